// Checks on submission that the dependencies of a job were accepted and can end. The leader and fallback
// admission both use this check. Only the store can show that a job was never accepted: a job that is not
// in this controller's memory may just have been accepted by another controller, or may have ended long ago.
import type { JobId } from '../../types/index.ts';
import type { JobKind, JobSpec, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';

/** Looks up a job in this controller's memory: its kind, `over` if it has ended, or null if not found. */
export type KnownJobKind = (id: JobId) => JobKind | 'over' | null;

/**
 * Calls `accept` if all dependencies were accepted before and can end; otherwise responds to the user. If the
 * job itself was accepted before, its dependencies are not checked again, and the response holds its status.
 */
export function checkDependencies(
  spec: JobSpec,
  knownKind: KnownJobKind,
  records: JobRecordReader,
  respond: (response: UserResponse) => void,
  accept: () => void,
): void {
  const dependsOn = spec.dependsOn ?? [];
  const otherJobs = dependsOn.filter((id) => id !== spec.id);
  const dependsOnItself = otherJobs.length < dependsOn.length;
  const unknown = otherJobs.filter((id) => knownKind(id) === null);
  const service = otherJobs.find((id) => knownKind(id) === 'service');
  if (!dependsOnItself && unknown.length === 0 && service === undefined) return accept();
  records.findExisting([spec.id, ...unknown], (found) => {
    if (found === null) return respond(cannotCheck());
    if (found.has(spec.id)) return records.answerRepeatedSubmission(spec.id, respond);
    if (dependsOnItself) return respond(impossible(`${spec.id} awaits itself`));
    const missing = unknown.find((id) => !found.has(id));
    if (missing !== undefined)
      return respond(impossible(`${missing}, which the job awaits, was never accepted`));
    if (service !== undefined) return respond(neverEnds(service));
    const open = unknown.filter((id) => found.get(id) === 'open');
    records.findFirstService(open, (first) => {
      if (first === 'unclear') respond(cannotCheck());
      else if (first !== null) respond(neverEnds(first));
      else accept();
    });
  });
}

const cannotCheck = (): UserResponse => retryLater('what the job awaits cannot be checked at the moment');

const impossible = (reason: string): UserResponse => ({ kind: 'impossible', reason });

const neverEnds = (id: JobId): UserResponse =>
  impossible(`${id}, which the job awaits, is a service and never done`);
