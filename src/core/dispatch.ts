// Join-below-threshold: a task joins a random machine with room, else a random machine whose queue
// is below the threshold, else it waits in the controller. Tasks queued too long are taken back.
import type { Attempt, Revision, ZoneName } from '../types/index.ts';
import type { Fit } from './fit.ts';
import { planGang } from './gangs.ts';
import type { Outbox } from './io.ts';
import { type Job, type Jobs, Task } from './jobs.ts';
import type { Machine, Machines, Queued } from './machines.ts';
import type { Ordering } from './order.ts';
import type { Quota } from './quota.ts';

export interface DispatchSettings {
  /** Queue length below which a machine without room may be joined. */
  threshold: number;
  takeBackMs: number;
}
const EPS = 1e-9;
/** Scores this close are the same. */
const SAME = 0.05;
/** A task is not put where it displaces waiting work worth this many times as much. */
const WASTEFUL = 1.6;
/** Room for starts between two terms; terms are revisions, and both stay below 2^53. */
const ATTEMPTS_PER_TERM = 2 ** 24;

export class Dispatch {
  private attempts = 0;
  private dirty = true;
  /** Filled anew by every pass: jobs with tasks that found no place. */
  unplaced: Job[] = [];
  private readonly io: Outbox;
  private readonly jobs: Jobs;
  private readonly machines: Machines;
  private readonly quota: Quota;
  private readonly ordering: Ordering;
  private readonly options: DispatchSettings;
  private readonly term: Revision;
  private readonly fit: Fit;

  constructor(
    io: Outbox,
    jobs: Jobs,
    machines: Machines,
    quota: Quota,
    ordering: Ordering,
    options: DispatchSettings,
    term: Revision,
    fit: Fit,
  ) {
    this.io = io;
    this.jobs = jobs;
    this.machines = machines;
    this.quota = quota;
    this.ordering = ordering;
    this.options = options;
    this.term = term;
    this.fit = fit;
  }

  poke(): void {
    this.dirty = true;
  }

  /** Attempts rise with the term and within it, so none is ever used twice for a task. */
  nextAttempt(): Attempt {
    this.attempts++;
    return (this.term * ATTEMPTS_PER_TERM + this.attempts) as Attempt;
  }

  /** One pass over the waiting jobs, when anything has changed. */
  pass(force: boolean): void {
    if (!this.dirty && !force) return;
    this.dirty = false;
    const { io } = this;
    this.takeBackLate();
    this.quota.recount(this.machines.all.values());
    this.fit.refresh(this.jobs.open.values());
    const waiting = [...this.jobs.open.values()].filter(
      (j) => !j.cancelled && j.waiting > 0 && io.now >= j.retryAt,
    );
    const ranked = waiting
      .map((job) => ({ job, rank: this.rank(job) }))
      .sort((a, b) => compare(a.rank, b.rank));
    this.unplaced = [];
    for (const { job } of ranked) {
      this.place(job);
      if (job.waiting > 0) this.unplaced.push(job);
    }
  }

  private rank(job: Job): number[] {
    return [
      -job.spec.priority,
      this.quota.withinGuarantee(job) ? 0 : 1,
      this.ordering.slackS(job, this.io.now, this.io.wall),
    ];
  }

  private place(job: Job): void {
    if (job.spec.kind === 'gang' && job.spec.tasks > 1) {
      const enqueue = (m: Machine, index: number, attempt: Attempt) => this.enqueue(m, job, index, attempt);
      planGang(
        job,
        this.candidates(job),
        this.zonesOf(job),
        this.quota.allows(job),
        () => this.nextAttempt(),
        enqueue,
      );
      return;
    }
    const rules = needsPlaceCheck(job);
    if (rules && job.unlocated > 0) return;
    let allowed = this.quota.allows(job);
    let open = this.candidates(job);
    while (allowed > 0 && open.length > 0) {
      const index = job.peek();
      if (index < 0) return;
      if (rules) open = open.filter((m) => zoneAllowed(job, m.zone, this.zonesOf(job)));
      const m = this.choose(job, open);
      if (m === null) return;
      this.enqueue(m, job, index, this.nextAttempt());
      allowed--;
    }
  }

  private candidates(job: Job): Machine[] {
    const out: Machine[] = [];
    // A job that failed on one machine tries others; one that failed on many may go anywhere again.
    const avoid = job.failedOn.size < 3 ? job.failedOn : null;
    for (const m of this.machines.all.values())
      if (m.usable && mayRunOn(job, m) && !avoid?.has(m.id)) out.push(m);
    return out;
  }

  /** Random among the best suited machines with room, else among those whose queue is below the threshold. */
  private choose(job: Job, open: Machine[]): Machine | null {
    const room = open.filter((m) => roomAhead(m, job));
    const best = this.lowest(room, (m) => this.fit.score(job, m));
    if (best.length > 0) return this.pick(best);
    const below = open.filter((m) => m.queue.length < this.options.threshold && !roomAhead(m, job));
    return this.pick(this.lowest(below, (m) => this.fit.typeScore(job, m.type)));
  }

  /** Machines whose score is about the lowest; none if the job would displace work worth much more than itself. */
  private lowest(machines: Machine[], score: (m: Machine) => number): Machine[] {
    const scored = machines.map((m) => ({ m, s: score(m) }));
    const min = Math.min(...scored.map((x) => x.s));
    if (min > WASTEFUL) return [];
    return scored.filter((x) => x.s <= min + SAME).map((x) => x.m);
  }

  private pick(machines: Machine[]): Machine | null {
    return machines.length === 0 ? null : machines[this.io.random.below(machines.length)]!;
  }

  private enqueue(m: Machine, job: Job, index: number, attempt: Attempt): void {
    job.move(index, Task.Queued);
    const q: Queued = { job, index, attempt, since: this.io.now };
    // More urgent tasks go ahead; among equals first come, first served.
    const at = m.queue.findIndex((x) => x.job.spec.priority < job.spec.priority);
    m.queue.splice(at < 0 ? m.queue.length : at, 0, q);
    this.quota.add(job, 1);
  }

  /** A task queued too long moves to a machine with room; with none in sight it keeps its turn. */
  private takeBackLate(): void {
    for (const m of this.machines.all.values()) {
      if (m.queue.length === 0) continue;
      if (!m.usable) {
        this.machines.takeBackAll(m);
        continue;
      }
      for (const q of [...m.queue]) {
        if (this.io.now - q.since <= this.options.takeBackMs || isGangPart(q)) continue;
        if (this.candidates(q.job).some((c) => c !== m && roomAhead(c, q.job))) this.machines.takeBack(m, q);
      }
    }
  }

  private zonesOf(job: Job): Map<ZoneName, number> {
    const zones = new Map<ZoneName, number>();
    const note = (z: ZoneName) => zones.set(z, (zones.get(z) ?? 0) + 1);
    for (const e of job.entries.values()) {
      const m = this.machines.all.get(e.machine);
      if (m !== undefined) note(m.zone);
    }
    if (job.queued > 0)
      for (const m of this.machines.all.values()) for (const q of m.queue) if (q.job === job) note(m.zone);
    return zones;
  }
}

const isGangPart = (q: Queued): boolean => q.job.spec.kind === 'gang' && q.job.spec.tasks > 1;

const needsPlaceCheck = (job: Job): boolean => job.spec.tasks > 1 && (job.spec.oneZone || job.spec.spread);

export function mayRunOn(job: Job, m: Machine): boolean {
  const { spec } = job;
  if (spec.types !== null && !spec.types.includes(m.type.name)) return false;
  if (spec.zone !== null && spec.zone !== m.zone) return false;
  if (m.spot && !spec.spot) return false;
  return (
    m.type.cpus + EPS >= spec.cpus && m.type.gpus + EPS >= spec.gpus && m.type.memoryGb + EPS >= spec.memoryGb
  );
}

export function zoneAllowed(job: Job, zone: ZoneName, used: Map<ZoneName, number>): boolean {
  if (job.spec.oneZone && [...used.keys()].some((z) => z !== zone)) return false;
  if (job.spec.spread && (used.get(zone) ?? 0) >= Math.ceil(job.spec.tasks / 2)) return false;
  return true;
}

/** Room for the task after everything on the machine and what is queued ahead of it. */
export function roomAhead(m: Machine, job: Job): boolean {
  let cpus = m.type.cpus - m.usedCpus;
  let gpus = m.type.gpus - m.usedGpus;
  let memory = m.type.memoryGb - m.usedMemory;
  for (const q of m.queue) {
    if (q.job.spec.priority < job.spec.priority) continue;
    cpus -= q.job.spec.cpus;
    gpus -= q.job.spec.gpus;
    memory -= q.job.spec.memoryGb;
  }
  return cpus + EPS >= job.spec.cpus && gpus + EPS >= job.spec.gpus && memory + EPS >= job.spec.memoryGb;
}

function compare(a: number[], b: number[]): number {
  for (let i = 0; i < a.length; i++) {
    const d = a[i]! - b[i]!;
    if (d !== 0) return d;
  }
  return 0;
}
