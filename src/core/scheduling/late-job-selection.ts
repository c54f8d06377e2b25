// Which waiting jobs are deferred when not all of them can start in time. Served by slack alone, a fleet that
// is too small starts every job just too late: each late job uses the capacity that the next one needed. So
// the jobs are gone through in that order, and whenever more must start by some moment than there will be
// capacity for, the job with the most work is deferred to its next deadline, and past its last one behind all
// that can be met (the Moore-Hodgson rule for the fewest late jobs). While there is capacity for all no job
// is deferred, and the order is by slack.
import TinyQueue from 'tinyqueue';
import type { Job } from '../jobs/job.ts';

/** A waiting job. */
export interface Candidate {
  readonly job: Job;
  /** Seconds from now by which its tasks should start, for each objective that can still be met, in order. */
  readonly deadlines: readonly number[];
  /** What its waiting tasks need of the scarce resource. */
  readonly amount: number;
  /** That amount multiplied by the run time in seconds: what deferring the job saves. */
  readonly work: number;
}

/** A candidate with the deadline that it is considered for. */
interface Entry<C extends Candidate> {
  candidate: C;
  deadlineIndex: number;
  dueS: number;
}

/** How much of a resource can have been used for starts within so many seconds from now. */
export type Supply = (withinS: number) => number;

/** A job that can start in time, with the seconds until the deadline that it is kept for. */
export interface InTimeJob<C extends Candidate> {
  candidate: C;
  dueS: number;
}

/** The result of the selection. */
export interface LateJobSelection<C extends Candidate> {
  /** In the order in which they should start. */
  inTime: InTimeJob<C>[];
  late: C[];
}

/**
 * Selects the late jobs; `alreadyUsed`: how much of the supply is used by jobs that go before all candidates.
 */
export function selectLateJobs<C extends Candidate>(
  candidates: readonly C[],
  supply: Supply,
  alreadyUsed = 0,
): LateJobSelection<C> {
  const late: C[] = [];
  const byDueTime = new TinyQueue<Entry<C>>([], (a, b) => a.dueS - b.dueS);
  const enqueue = (candidate: C, deadlineIndex: number): void => {
    const dueS = candidate.deadlines[deadlineIndex];
    if (dueS === undefined) late.push(candidate);
    else byDueTime.push({ candidate, deadlineIndex, dueS });
  };
  for (const candidate of candidates) enqueue(candidate, 0);
  const byWork = new TinyQueue<Entry<C>>([], (a, b) => b.candidate.work - a.candidate.work);
  const deferred = new Set<Entry<C>>();
  const considered: Entry<C>[] = [];
  let used = alreadyUsed;
  for (let entry = byDueTime.pop(); entry !== undefined; entry = byDueTime.pop()) {
    considered.push(entry);
    byWork.push(entry);
    used += entry.candidate.amount;
    const available = supply(entry.dueS);
    while (used > available) {
      const largest = byWork.pop();
      if (largest === undefined) break;
      deferred.add(largest);
      used -= largest.candidate.amount;
      enqueue(largest.candidate, nextDeadlineAfter(largest, entry.dueS));
    }
  }
  return { inTime: considered.filter((entry) => !deferred.has(entry)), late };
}

/** The index of the entry's next deadline after the given time: what is due before has been settled. */
function nextDeadlineAfter(entry: Entry<Candidate>, dueS: number): number {
  const { deadlines } = entry.candidate;
  let index = entry.deadlineIndex + 1;
  while ((deadlines[index] ?? Number.POSITIVE_INFINITY) <= dueS) index++;
  return index;
}
