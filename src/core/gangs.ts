// Gangs: all parts get their places at once, under one attempt; a waiting gang that lost a part
// gets a replacement under the same attempt.
import type { Attempt, ZoneName } from '../types/index.ts';
import { roomAhead, zoneAllowed } from './dispatch.ts';
import { type Job, Task } from './jobs.ts';
import type { Machine } from './machines.ts';

type Enqueue = (m: Machine, index: number, attempt: Attempt) => void;

export function planGang(
  job: Job,
  open: Machine[],
  used: Map<ZoneName, number>,
  allowed: number,
  nextAttempt: () => Attempt,
  enqueue: Enqueue,
): void {
  if (job.unlocated > 0 || job.queued > 0) return;
  const missing = partsToPlace(job);
  if (missing.length === 0 || missing.length > allowed) return;
  // A gang that has run and lost a part is over: its other parts exit, and the next attempt starts afresh.
  if (job.live > 0 && (job.gangRan || job.gangAttempt === null)) return;
  const plan = choosePlaces(job, missing.length, open, used);
  if (plan === null) return;
  const attempt = job.live > 0 ? job.gangAttempt! : nextAttempt();
  job.gangAttempt = attempt;
  missing.forEach((index, i) => {
    enqueue(plan[i]!, index, attempt);
  });
}

function partsToPlace(job: Job): number[] {
  const out: number[] = [];
  for (let i = 0; i < job.spec.tasks; i++) if (job.state[i] === Task.Waiting) out.push(i);
  return out;
}

/** Places for n parts, or null: one zone at a time for gangs bound to one, else over all. */
function choosePlaces(job: Job, n: number, open: Machine[], used: Map<ZoneName, number>): Machine[] | null {
  if (!job.spec.oneZone) return fill(job, n, open, used);
  const zones = used.size > 0 ? [...used.keys()] : [...new Set(open.map((m) => m.zone))];
  for (const zone of zones) {
    const plan = fill(
      job,
      n,
      open.filter((m) => m.zone === zone),
      used,
    );
    if (plan !== null) return plan;
  }
  return null;
}

function fill(job: Job, n: number, open: Machine[], used: Map<ZoneName, number>): Machine[] | null {
  const zones = new Map(used);
  const plan: Machine[] = [];
  for (const m of open) {
    const fits = slots(m, job);
    for (let k = 0; k < fits && plan.length < n; k++) {
      if (!zoneAllowed(job, m.zone, zones)) break;
      plan.push(m);
      zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
    }
  }
  return plan.length === n ? plan : null;
}

/** How many parts the machine has room for now. */
export function slots(m: Machine, job: Job): number {
  if (!roomAhead(m, job)) return 0;
  const { spec } = job;
  const per = (free: number, each: number) =>
    each <= 0 ? Number.POSITIVE_INFINITY : Math.floor((free + 1e-9) / each);
  const queued = m.queue.reduce(
    (s, q) => ({
      cpus: s.cpus + q.job.spec.cpus,
      gpus: s.gpus + q.job.spec.gpus,
      memory: s.memory + q.job.spec.memoryGb,
    }),
    { cpus: 0, gpus: 0, memory: 0 },
  );
  return Math.min(
    per(m.type.cpus - m.usedCpus - queued.cpus, spec.cpus),
    per(m.type.gpus - m.usedGpus - queued.gpus, spec.gpus),
    per(m.type.memoryGb - m.usedMemory - queued.memory, spec.memoryGb),
  );
}
