// Join-below-threshold: a task joins a random machine with room, else a random machine whose queue
// is below the threshold, else it waits in the controller. Tasks queued too long are taken back.
import { type Attempt, addMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { isGang, needsAtLeast, placementKey } from '../jobs/placement-constraints.ts';
import { type CapacityIndex, sampleFrom } from '../machines/capacity-index.ts';
import {
  hasCapacityAhead,
  isZoneAllowed,
  type Machine,
  type MachinePool,
  type QueuedTask,
} from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Quota } from '../teams/quota.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import type { FairShare } from './fair-share.ts';
import { GangScheduler } from './gang-scheduler.ts';
import type { JobRanking } from './job-ranking.ts';
import type { Preemption } from './preemption.ts';
import type { Reservations } from './reservations.ts';

export interface SchedulerOptions {
  /** Queue length below which a machine without room may be joined. */
  threshold: number;
  dequeueAfterMs: number;
  /** Parts of their fair share that teams, and classes, are never kept below while there is not room for all. */
  teamFloor: number;
  classFloor: number;
}
const EPS = 1e-9;
/** Scores this close are the same. */
const SAME = 0.05;
/** Room for starts between two terms; terms are revisions, and both stay below 2^53. */
const ATTEMPTS_PER_TERM = 2 ** 24;
/** Machines looked at in each bucket of like ones, and among those that hold the image. */
const LOOK = 3;
const LOOK_IMAGE = 12;
const LOOK_URGENT = 12;
/** Whatever its score, a queue whose head makes room for itself goes before one that waits. */
const SOONER = 10;
/** Passes are at least this far apart, and further with many jobs waiting; each binds so many tasks at most. */
const PASS_MS = 40;
const PASS_MS_PER_JOB = 0.4;
/** Somewhere in a large fleet something changes all the time; passes for each change would cost more than they find. */
const PASS_MS_PER_MACHINE = 0.03;
const PASS_MS_MAX = 250;
const BIND_MAX = 400;
const TAKE_BACK_EVERY_MS = 500;

/** Jobs that found no place in this pass: one that asks for as much or more finds none either. */
interface Hopeless {
  kind: string;
  job: Job;
}

/** What {@link Scheduler} depends on. */
export interface SchedulerDependencies {
  io: ControllerIo;
  jobs: JobTable;
  machines: MachineTable;
  capacityIndex: CapacityIndex;
  quota: Quota;
  ranking: JobRanking;
  fairShare: FairShare;
  options: SchedulerOptions;
  term: Revision;
  binPacking: BinPackingScorer;
  reservations: Reservations;
  preemption: Preemption;
}

export class Scheduler {
  private attempts = 0;
  private dirty = true;
  private nextPass: Instant = LONG_AGO;
  private nextTakeBack: Instant = LONG_AGO;
  /** Machines whose queues got something since they were last asked for. */
  readonly changedMachines = new Set<Machine>();
  /** How many machines were looked at, for the tests that bound the work. */
  machinesExamined = 0;
  private readonly gangs: GangScheduler;
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly capacityIndex: CapacityIndex;
  private readonly quota: Quota;
  private readonly ranking: JobRanking;
  private readonly fairShare: FairShare;
  private options: SchedulerOptions;
  private readonly term: Revision;
  private readonly binPacking: BinPackingScorer;
  private readonly reservations: Reservations;
  private readonly preemption: Preemption;

  constructor(dependencies: SchedulerDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.machines = dependencies.machines;
    this.capacityIndex = dependencies.capacityIndex;
    this.quota = dependencies.quota;
    this.ranking = dependencies.ranking;
    this.fairShare = dependencies.fairShare;
    this.options = dependencies.options;
    this.term = dependencies.term;
    this.binPacking = dependencies.binPacking;
    this.reservations = dependencies.reservations;
    this.preemption = dependencies.preemption;
    const { io, capacityIndex, binPacking, reservations } = dependencies;
    this.gangs = new GangScheduler(io, capacityIndex, binPacking, reservations);
  }

  /** Settings from now on. */
  configure(options: SchedulerOptions): void {
    this.options = options;
    this.requestCycle();
  }

  requestCycle(): void {
    this.dirty = true;
  }

  /** Whether anything waits that a machine with room might take in the next pass. */
  get hasPendingCycle(): boolean {
    return this.dirty && this.jobs.waitingJobs.size > 0;
  }

  /** Attempts rise with the term and within it, so none is ever used twice for a task. */
  nextAttempt(): Attempt {
    this.attempts++;
    return (this.term * ATTEMPTS_PER_TERM + this.attempts) as Attempt;
  }

  /** One pass over the waiting jobs, when anything has changed and the last pass is long enough ago. */
  runCycle(): boolean {
    const { io } = this;
    if (!this.dirty || io.now < this.nextPass) return false;
    this.dirty = false;
    const size = this.jobs.waitingJobs.size * PASS_MS_PER_JOB + this.machines.byId.size * PASS_MS_PER_MACHINE;
    const gap = Math.min(PASS_MS_MAX, PASS_MS + size);
    this.nextPass = addMs(io.now, gap * io.intervalFactor);
    this.takeBackLate();
    const { groups, machineSets, deferred } = this.ranking.rank();
    const hopeless: Hopeless[] = [];
    this.reservations.beginCycle();
    let left = BIND_MAX;
    for (const jobs of groups) {
      for (const job of jobs) {
        const machineSet = machineSets.get(job);
        const owed = machineSet === undefined ? 0 : this.fairShare.owedTasks(job, machineSet);
        if (left <= 0 || owed <= 0) continue;
        const n = this.place(job, Math.min(left, owed), hopeless, true);
        this.fairShare.onPlaced(job, machineSet!, n);
        left -= n;
      }
      for (const job of jobs) {
        if (left <= 0) break;
        left -= this.place(job, left, hopeless, !deferred.has(job));
      }
    }
    if (left <= 0) this.dirty = true;
    return true;
  }

  /** Places tasks of the job; returns how many. `mayReserve`: room that it lacks may be kept for it. */
  private place(job: Job, most: number, hopeless: Hopeless[], mayReserve: boolean): number {
    const allowed = this.quota.allowedTasks(job);
    if (allowed <= 0) return 0;
    if (isGang(job.spec))
      return this.gangs.plan(
        job,
        allowed,
        () => this.nextAttempt(),
        (m, index, attempt) => this.enqueue(m, job, index, attempt),
        mayReserve,
      );
    const rules = needsPlaceCheck(job);
    if (rules && job.unlocatedTasks > 0) return 0;
    const kind = kindOf(job.spec);
    const gathered = [...this.reservations.of(job)].length > 0;
    if (!gathered && hopeless.some((h) => h.kind === kind && asksAsMuch(job, h.job))) {
      if (mayReserve) this.reservations.reserve(job, Math.min(allowed, job.waitingTasks), null);
      return 0;
    }
    let n = 0;
    while (n < Math.min(allowed, most)) {
      const index = job.nextWaitingTask();
      if (index < 0) return n;
      const m = this.choose(job, rules);
      if (m === null) {
        if (mayReserve) this.reservations.reserve(job, Math.min(allowed, job.waitingTasks), null);
        if (!rules && job.failedOn.size === 0) hopeless.push({ kind, job });
        return n;
      }
      this.enqueue(m, job, index, this.nextAttempt());
      n++;
      // Fuller machines suit better, so the next task of the job would come here again: no need to look round for it.
      while (!rules && n < Math.min(allowed, most) && this.suits(m, job)) {
        const next = job.nextWaitingTask();
        if (next < 0) return n;
        this.enqueue(m, job, next, this.nextAttempt());
        n++;
      }
    }
    return n;
  }

  private suits(m: Machine, job: Job): boolean {
    return (
      hasCapacityAhead(m, job) &&
      !this.reservations.isReservedAgainst(m, job) &&
      Number.isFinite(this.binPacking.score(job, m))
    );
  }

  /** Random among the best suited machines with room, else among those whose queue is below the threshold. */
  private choose(job: Job, rules: boolean): Machine | null {
    // A job that failed on one machine tries others; one that failed on many may go anywhere again.
    const avoid = job.failedOn.size < 3 ? job.failedOn : null;
    const best = new Lowest();
    const look = (m: Machine) => {
      this.machinesExamined++;
      if (avoid?.has(m.id) || this.reservations.isReservedAgainst(m, job) || !hasCapacityAhead(m, job))
        return;
      best.offer(m, this.binPacking.score(job, m));
    };
    const pools: MachinePool[] = [];
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec) || (rules && !isZoneAllowed(job, pool.zone, job.zones))) continue;
      pools.push(pool);
      for (const b of pool.buckets.values())
        if (b.cpusBelow > job.spec.cpus && b.gpusBelow > job.spec.gpus)
          sampleFrom(b.members, LOOK, this.io.random, look);
    }
    this.lookAtImageHolders(job, pools, look);
    // Kept before another task of the job took its zone's part: what pools were left out for holds for these as well.
    for (const m of this.reservations.of(job)) if (!rules || isZoneAllowed(job, m.zone, job.zones)) look(m);
    if (best.found.length > 0) return this.pick(best.found);
    return this.belowThreshold(job, pools, avoid);
  }

  /** Machines that need not fetch the image first are few among many and would seldom be sampled. */
  private lookAtImageHolders(job: Job, pools: MachinePool[], look: (m: Machine) => void): void {
    const holders = this.capacityIndex.machinesWithImage(job.spec.image);
    if (holders === undefined) return;
    let left = LOOK_IMAGE;
    for (const m of holders) {
      if (
        m.indexPosition === null ||
        m.freeCpus + EPS < job.spec.cpus ||
        !pools.includes(m.indexPosition.pool)
      ) {
        // Looking at a machine without room is cheap, but not free.
        left -= 0.1;
      } else {
        look(m);
        left--;
      }
      if (left <= 0) return;
    }
  }

  private belowThreshold(job: Job, pools: MachinePool[], avoid: ReadonlySet<string> | null): Machine | null {
    const best = new Lowest();
    for (const pool of pools) {
      if (this.binPacking.wasteful(job, pool)) continue;
      const score = this.binPacking.typeScore(job, pool);
      const urgent = job.priority > this.binPacking.leastPriority;
      sampleFrom(pool.usable, urgent ? LOOK_URGENT : LOOK, this.io.random, (m) => {
        this.machinesExamined++;
        if (
          m.queue.length >= this.options.threshold ||
          avoid?.has(m.id) ||
          this.reservations.isReservedAgainst(m, job)
        )
          return;
        if (hasCapacityAhead(m, job)) return;
        // Where less urgent work can give way it starts sooner than where it waits for an end.
        best.offer(m, urgent && this.preemption.plan(m, job) !== null ? score - SOONER : score);
      });
    }
    return this.pick(best.found);
  }

  private pick(machines: Machine[]): Machine | null {
    return machines.length === 0 ? null : machines[this.io.random.below(machines.length)]!;
  }

  private enqueue(m: Machine, job: Job, index: number, attempt: Attempt): void {
    this.reservations.release(m);
    this.machines.enqueue(m, { job, index, attempt, since: this.io.now });
    this.changedMachines.add(m);
  }

  /** A task queued too long moves to a machine with room; with none in sight it keeps its turn. */
  private takeBackLate(): void {
    const { now } = this.io;
    if (now < this.nextTakeBack) return;
    this.nextTakeBack = addMs(now, TAKE_BACK_EVERY_MS);
    const hopeless: Hopeless[] = [];
    for (const m of this.machines.byId.values()) {
      if (m.queue.length === 0) continue;
      if (!m.isSchedulable) {
        this.machines.dequeueAll(m);
        continue;
      }
      this.preemption.forQueue(m);
      for (const q of [...m.queue])
        if (now - q.since > this.options.dequeueAfterMs && this.elsewhere(m, q, hopeless))
          this.machines.dequeue(m, q);
    }
  }

  private elsewhere(m: Machine, q: QueuedTask, hopeless: Hopeless[]): boolean {
    const { job } = q;
    if (isGang(job.spec)) return false;
    const kind = kindOf(job.spec);
    if (hopeless.some((h) => h.kind === kind && asksAsMuch(job, h.job))) return false;
    let found = false;
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec)) continue;
      for (const b of pool.buckets.values())
        if (!found && b.cpusBelow > job.spec.cpus && b.gpusBelow > job.spec.gpus)
          sampleFrom(b.members, LOOK, this.io.random, (x) => {
            this.machinesExamined++;
            found ||= x !== m && hasCapacityAhead(x, job);
          });
    }
    if (!found) hopeless.push({ kind, job });
    return found;
  }
}

/** Collects the machines whose score is about the lowest. */
class Lowest {
  found: Machine[] = [];
  private scores: number[] = [];
  private min = Number.POSITIVE_INFINITY;

  offer(m: Machine, score: number): void {
    if (score > this.min + SAME || !Number.isFinite(score)) return;
    if (score < this.min) {
      this.min = score;
      if (this.scores.some((s) => s > score + SAME)) {
        this.found = this.found.filter((_, i) => this.scores[i]! <= score + SAME);
        this.scores = this.scores.filter((s) => s <= score + SAME);
      }
    }
    this.found.push(m);
    this.scores.push(score);
  }
}

const needsPlaceCheck = (job: Job): boolean => job.spec.tasks > 1 && (job.spec.oneZone || job.spec.spread);

/** Jobs of the same kind differ for a choice of place only in how much their tasks take. */
const kindOf = (s: JobSpec): string => `${s.class}|${placementKey(s)}`;

const asksAsMuch = (job: Job, than: Job): boolean =>
  needsAtLeast(job.spec, than.spec) && job.priority <= than.priority;
