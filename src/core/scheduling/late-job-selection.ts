// Which waiting jobs are given up for now when not all of them can start in time. Served by the time left alone, a
// fleet that is too small starts every job just too late: each late one takes the room that the next needed. So the
// jobs are gone through in that order, and whenever more is to be started by some moment than will have room by then, the
// one that takes most is put off to its next aim, and past its last behind all that can be met (Moore and Hodgson's rule
// for the fewest late jobs). While there is room for all nobody is put off, and the order is the same as without it.
import TinyQueue from 'tinyqueue';
import type { Job } from '../jobs/job.ts';

export interface Candidate {
  readonly job: Job;
  /** Seconds from now by which its tasks should have started, one for each aim that can still be met, earliest first. */
  readonly deadlines: readonly number[];
  /** What its waiting tasks take of the resource that is short, and for how long: what putting it off saves. */
  readonly takes: number;
  readonly work: number;
}

interface Entry<C extends Candidate> {
  c: C;
  aim: number;
  due: number;
}

/** How much can have been started within so many seconds: what is free, what comes free, and what is on its way. */
export type Supply = (withinS: number) => number;

export interface LateJobSelection<C extends Candidate> {
  /** In the order in which they should start, each with the seconds until the aim that it is kept for. */
  inTime: { c: C; due: number }[];
  late: C[];
}

export function selectLateJobs<C extends Candidate>(
  candidates: readonly C[],
  supply: Supply,
  taken = 0,
): LateJobSelection<C> {
  const byDue = new TinyQueue<Entry<C>>([], (a, b) => a.due - b.due);
  const late: C[] = [];
  for (const c of candidates) {
    const due = c.deadlines[0];
    if (due === undefined) late.push(c);
    else byDue.push({ c, aim: 0, due });
  }
  const byWork = new TinyQueue<Entry<C>>([], (a, b) => b.c.work - a.c.work);
  const gone = new Set<Entry<C>>();
  const kept: Entry<C>[] = [];
  let sum = taken;
  for (let e = byDue.pop(); e !== undefined; e = byDue.pop()) {
    kept.push(e);
    byWork.push(e);
    sum += e.c.takes;
    const room = supply(e.due);
    while (sum > room) {
      const largest = byWork.pop();
      if (largest === undefined) break;
      gone.add(largest);
      sum -= largest.c.takes;
      // Only a later aim than the one that is being looked at: what came before has been settled.
      let aim = largest.aim + 1;
      while ((largest.c.deadlines[aim] ?? Number.POSITIVE_INFINITY) <= e.due) aim++;
      const due = largest.c.deadlines[aim];
      if (due === undefined) late.push(largest.c);
      else byDue.push({ c: largest.c, aim, due });
    }
  }
  return { inTime: kept.filter((e) => !gone.has(e)), late };
}
