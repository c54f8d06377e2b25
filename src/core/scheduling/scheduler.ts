// Scheduling cycles: places the tasks of waiting jobs by their ranking, what fair shares owe first.
import { addMs, type Instant, LONG_AGO, type Millis, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Quota } from '../teams/quota.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import type { FairShare } from './fair-share.ts';
import { GangScheduler } from './gang-scheduler.ts';
import type { JobRanking, RankedJobs } from './job-ranking.ts';
import type { Preemption } from './preemption.ts';
import { QueuedTaskReturn } from './queued-task-return.ts';
import type { Reservations } from './reservations.ts';
import { TaskPlacement } from './task-placement.ts';
import { TaskQueuing } from './task-queuing.ts';

/** Settings of the scheduler that operators may change. */
export interface SchedulerOptions {
  /** Queue length below which a machine without free capacity may be joined. */
  threshold: number;
  /** How long a task may be queued for one machine while another could start it. */
  dequeueAfterMs: Millis;
  /** Fractions of their fair share that teams, and classes, are never kept below while capacity is short. */
  teamFloor: number;
  classFloor: number;
}

/** Cycles are at least this far apart, and further with many jobs waiting. */
const CYCLE_INTERVAL_MS = 40;
const CYCLE_INTERVAL_MS_PER_JOB = 0.4;
/** In a large fleet something changes all the time; a cycle for each change would cost more than it finds. */
const CYCLE_INTERVAL_MS_PER_MACHINE = 0.03;
const MAX_CYCLE_INTERVAL_MS = 250;
const MAX_TASKS_PER_CYCLE = 400;

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

/** Runs a scheduling cycle when one has been requested and the last is long enough ago. */
export class Scheduler {
  private isCycleRequested = true;
  private nextCycle: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly ranking: JobRanking;
  private readonly fairShare: FairShare;
  private readonly placement: TaskPlacement;
  private readonly queuedTaskReturn: QueuedTaskReturn;
  private options: SchedulerOptions;

  constructor(dependencies: SchedulerDependencies) {
    const { io, machines, capacityIndex, binPacking, reservations, preemption, term } = dependencies;
    this.io = io;
    this.jobs = dependencies.jobs;
    this.machines = machines;
    this.ranking = dependencies.ranking;
    this.fairShare = dependencies.fairShare;
    this.options = dependencies.options;
    const queuing = new TaskQueuing(io, machines, reservations, term);
    const gangs = new GangScheduler({ io, capacityIndex, binPacking, reservations, queuing });
    this.placement = new TaskPlacement(
      { io, capacityIndex, quota: dependencies.quota, binPacking, reservations, preemption, gangs, queuing },
      this.options.threshold,
    );
    this.queuedTaskReturn = new QueuedTaskReturn(io, machines, capacityIndex, preemption);
  }

  /** Applies changed settings. */
  configure(options: SchedulerOptions): void {
    this.options = options;
    this.placement.threshold = options.threshold;
    this.requestCycle();
  }

  /** Asks for a scheduling cycle as soon as one is due. */
  requestCycle(): void {
    this.isCycleRequested = true;
  }

  /** Whether the next cycle may find a task for a machine with free capacity. */
  get hasPendingCycle(): boolean {
    return this.isCycleRequested && this.jobs.waitingJobs.size > 0;
  }

  /** How many machines were examined, for the tests that bound the work. */
  get machinesExamined(): number {
    return this.placement.machinesExamined + this.queuedTaskReturn.machinesExamined;
  }

  /** Runs a cycle over the waiting jobs if one is requested and due; returns whether it did. */
  runCycle(): boolean {
    if (!this.isCycleRequested || this.io.now < this.nextCycle) return false;
    this.isCycleRequested = false;
    this.nextCycle = addMs(this.io.now, this.cycleIntervalMs() * this.io.intervalFactor);
    this.queuedTaskReturn.run(this.options.dequeueAfterMs);
    const ranked = this.ranking.rank();
    this.placement.beginCycle();
    let remaining = MAX_TASKS_PER_CYCLE;
    for (const group of ranked.groups) {
      remaining -= this.placeOwedTasks(group, ranked, remaining);
      remaining -= this.placeGroup(group, ranked, remaining);
    }
    if (remaining <= 0) this.requestCycle();
    return true;
  }

  private cycleIntervalMs(): Millis {
    const extraMs =
      this.jobs.waitingJobs.size * CYCLE_INTERVAL_MS_PER_JOB +
      this.machines.byId.size * CYCLE_INTERVAL_MS_PER_MACHINE;
    return Math.min(MAX_CYCLE_INTERVAL_MS, CYCLE_INTERVAL_MS + extraMs);
  }

  /** Places what is owed to teams and classes below their floors; returns how many tasks were placed. */
  private placeOwedTasks(group: readonly Job[], ranked: RankedJobs, maxTasks: number): number {
    let placed = 0;
    for (const job of group) {
      const machineSet = ranked.machineSets.get(job);
      if (machineSet === undefined) continue;
      const owed = this.fairShare.owedTasks(job, machineSet);
      if (placed >= maxTasks || owed <= 0) continue;
      const tasks = this.placement.placeTasks(job, Math.min(maxTasks - placed, owed), true);
      this.fairShare.onPlaced(job, machineSet, tasks);
      placed += tasks;
    }
    return placed;
  }

  /** Places the tasks of the group's jobs in their order; returns how many were placed. */
  private placeGroup(group: readonly Job[], ranked: RankedJobs, maxTasks: number): number {
    let placed = 0;
    for (const job of group) {
      if (placed >= maxTasks) break;
      placed += this.placement.placeTasks(job, maxTasks - placed, !ranked.deferred.has(job));
    }
    return placed;
  }
}
