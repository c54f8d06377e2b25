// Whether the dependencies of a submitted job were ever accepted: the one place that decides, for the leader
// and for fallback admission. Only the store shows that a job was never accepted: another controller may have
// accepted it a moment ago, or it may be long over.
import type { JobId } from '../../types/index.ts';
import type { JobKind, JobSpec, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';

/**
 * What the controller that checks knows of a job for certain: its kind, that it is over, or nothing (null).
 */
export type KnownJobKind = (id: JobId) => JobKind | 'over' | null;

/**
 * Calls `accept` if all dependencies exist and may end; else responds to the user. A job that was accepted
 * before is not checked again: the user is told its status.
 */
export function checkDependencies(
  spec: JobSpec,
  knownKind: KnownJobKind,
  records: JobRecordReader,
  respond: (response: UserResponse) => void,
  accept: () => void,
): void {
  const dependsOn = spec.dependsOn ?? [];
  const others = dependsOn.filter((id) => id !== spec.id);
  const dependsOnItself = others.length < dependsOn.length;
  const unknown = others.filter((id) => knownKind(id) === null);
  const service = others.find((id) => knownKind(id) === 'service');
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
