// Selects the waiting jobs that are deferred when not all of them can start in time. If jobs were served by
// slack alone, a fleet that is too small would start every job just too late: each late job uses the capacity
// that the next one needed. So jobs are considered in the order of their deadlines. Whenever the jobs due by
// a deadline need more capacity than there will be, the job with the most work is deferred to its next
// deadline, or after its last deadline to the end of the order (the Moore-Hodgson rule, which minimizes the
// number of late jobs). While there is capacity for all jobs, none is deferred, and the order is by slack.
import TinyQueue from 'tinyqueue';
import type { Job } from '../jobs/job.ts';

/** A waiting job. */
export interface Candidate {
  readonly job: Job;
  /**
   * Seconds from now by which its tasks should start, one for each objective that can still be met, in
   * ascending order.
   */
  readonly deadlines: readonly number[];
  /** The amount of the scarce resource that its waiting tasks need. */
  readonly amount: number;
  /** The amount multiplied by the run time in seconds: the capacity that deferring the job saves. */
  readonly work: number;
}

/** A candidate with one of its deadlines. */
interface CandidateDeadline<C extends Candidate> {
  candidate: C;
  deadlineIndex: number;
  dueS: number;
}

/** The amount of a resource that becomes available for starting tasks within `withinS` seconds from now. */
export type Supply = (withinS: number) => number;

/** A job that can start in time, with the seconds until the deadline that it is expected to meet. */
export interface InTimeJob<C extends Candidate> {
  candidate: C;
  dueS: number;
}

/** The result of {@link selectLateJobs}. */
export interface LateJobSelection<C extends Candidate> {
  /** In the order in which they should start. */
  inTime: InTimeJob<C>[];
  /** Jobs that cannot start by any of their deadlines. */
  late: C[];
}

/** Selects the late jobs; `alreadyUsed`: the amount of the supply that higher-ranked jobs use. */
export function selectLateJobs<C extends Candidate>(
  candidates: readonly C[],
  supply: Supply,
  alreadyUsed = 0,
): LateJobSelection<C> {
  const late: C[] = [];
  const byDueTime = new TinyQueue<CandidateDeadline<C>>([], (a, b) => a.dueS - b.dueS);
  const enqueue = (candidate: C, deadlineIndex: number): void => {
    const dueS = candidate.deadlines[deadlineIndex];
    if (dueS === undefined) late.push(candidate);
    else byDueTime.push({ candidate, deadlineIndex, dueS });
  };
  for (const candidate of candidates) enqueue(candidate, 0);
  const byWork = new TinyQueue<CandidateDeadline<C>>([], (a, b) => b.candidate.work - a.candidate.work);
  const deferred = new Set<CandidateDeadline<C>>();
  const considered: CandidateDeadline<C>[] = [];
  let used = alreadyUsed;
  for (let current = byDueTime.pop(); current !== undefined; current = byDueTime.pop()) {
    considered.push(current);
    byWork.push(current);
    used += current.candidate.amount;
    const available = supply(current.dueS);
    while (used > available) {
      const largest = byWork.pop();
      if (largest === undefined) break;
      deferred.add(largest);
      used -= largest.candidate.amount;
      enqueue(largest.candidate, nextDeadlineAfter(largest, current.dueS));
    }
  }
  return { inTime: considered.filter((candidateDeadline) => !deferred.has(candidateDeadline)), late };
}

/** Index of the candidate's next deadline after `dueS`, as earlier deadlines have been processed already. */
function nextDeadlineAfter(current: CandidateDeadline<Candidate>, dueS: number): number {
  const { deadlines } = current.candidate;
  let index = current.deadlineIndex + 1;
  while ((deadlines[index] ?? Number.POSITIVE_INFINITY) <= dueS) index++;
  return index;
}
