// Whether the jobs that a new one awaits were ever accepted: the one place that decides, for the owner and for a
// node that takes a job in without it. "Never" is shown by the state service alone: a job may have been accepted a
// moment ago by another node, or be long over.
import type { JobId } from '../../types/index.ts';
import type { JobKind, JobSpec, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';

/** What the asking node knows for certain of a job: its kind, that it is over, or nothing. */
export type KnownJobKind = (id: JobId) => JobKind | 'over' | null;

export function checkDependencies(
  spec: JobSpec,
  known: KnownJobKind,
  lookup: JobRecordReader,
  answer: (a: UserResponse) => void,
  accept: () => void,
): void {
  const others = (spec.dependsOn ?? []).filter((id) => id !== spec.id);
  const itself = others.length < (spec.dependsOn ?? []).length;
  const unknown = others.filter((id) => known(id) === null);
  const service = others.find((id) => known(id) === 'service');
  if (!itself && unknown.length === 0 && service === undefined) return accept();
  lookup.findExisting([spec.id, ...unknown], (found) => {
    if (found === null) return answer(retryLater('what the job awaits cannot be checked at the moment'));
    if (found.has(spec.id)) return lookup.answerRepeatedSubmission(spec.id, answer);
    if (itself) return answer({ kind: 'impossible', reason: `${spec.id} awaits itself` });
    const missing = unknown.find((id) => !found.has(id));
    if (missing !== undefined)
      return answer({ kind: 'impossible', reason: `${missing}, which the job awaits, was never accepted` });
    if (service !== undefined) return answer(endless(service));
    const open = unknown.filter((id) => found.get(id) === 'open');
    lookup.findFirstService(open, (s) => {
      if (s === 'unclear') answer(retryLater('what the job awaits cannot be checked at the moment'));
      else if (s !== null) answer(endless(s));
      else accept();
    });
  });
}

const endless = (id: JobId): UserResponse => ({
  kind: 'impossible',
  reason: `${id}, which the job awaits, is a service and never done`,
});
