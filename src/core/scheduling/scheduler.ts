// Runs scheduling cycles: places the tasks of waiting jobs in the order of their ranking. In each group of
// the ranking, teams and classes below their fair-share floors are served first.
import { addMs, type Instant, LONG_AGO, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Quota } from '../teams/quota.ts';
import type { AttemptNumbers } from './attempt-numbers.ts';
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
  /** Queue length below which another task may be queued on a machine without free capacity. */
  threshold: number;
  /** How long a task may stay in the queue of one machine while another machine could start it. */
  dequeueAfterMs: Millis;
  /** Fractions of their fair share that teams, and classes, get at least while capacity is short. */
  teamFloor: number;
  classFloor: number;
}

/** Minimum interval between cycles; it grows with each waiting job and each machine, up to a maximum. */
const CYCLE_INTERVAL_MS = 40;
const CYCLE_INTERVAL_MS_PER_JOB = 0.4;
/** A large fleet changes all the time: a cycle for each change would cost more than its placements gain. */
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
  attempts: AttemptNumbers;
  binPacking: BinPackingScorer;
  reservations: Reservations;
  preemption: Preemption;
}

/** Runs a scheduling cycle when one has been requested and the minimum interval has passed. */
export class Scheduler {
  private isCycleRequested = true;
  private nextCycleAt: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly ranking: JobRanking;
  private readonly fairShare: FairShare;
  private readonly attempts: AttemptNumbers;
  private readonly placement: TaskPlacement;
  private readonly queuedTaskReturn: QueuedTaskReturn;
  private options: SchedulerOptions;

  constructor(dependencies: SchedulerDependencies) {
    const { io, machines, capacityIndex, binPacking, reservations, preemption, attempts } = dependencies;
    this.io = io;
    this.jobs = dependencies.jobs;
    this.machines = machines;
    this.ranking = dependencies.ranking;
    this.fairShare = dependencies.fairShare;
    this.attempts = attempts;
    this.options = dependencies.options;
    const queuing = new TaskQueuing(io, machines, reservations, attempts);
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

  /** Requests a scheduling cycle, which runs as soon as the minimum interval has passed. */
  requestCycle(): void {
    this.isCycleRequested = true;
  }

  /** Whether the next cycle may place tasks: a cycle is requested, and jobs are waiting. */
  get hasPendingCycle(): boolean {
    return this.isCycleRequested && this.jobs.waitingJobs.size > 0;
  }

  /** Number of machines examined so far; read by tests that limit the work of a cycle. */
  get machinesExamined(): number {
    return this.placement.machinesExamined + this.queuedTaskReturn.machinesExamined;
  }

  /**
   * Runs a cycle over the waiting jobs if one is requested and due, and if there are attempt numbers for all
   * tasks that it may place; returns whether it ran.
   */
  runCycle(): boolean {
    if (!this.isCycleRequested || this.io.now < this.nextCycleAt) return false;
    if (this.attempts.remaining < MAX_TASKS_PER_CYCLE) return false;
    this.isCycleRequested = false;
    this.nextCycleAt = addMs(this.io.now, this.cycleIntervalMs() * this.io.intervalFactor);
    this.queuedTaskReturn.run(this.options.dequeueAfterMs);
    const ranked = this.ranking.rank();
    this.placement.beginCycle();
    let remainingTasks = MAX_TASKS_PER_CYCLE;
    for (const group of ranked.groups) {
      remainingTasks -= this.placeTasksBelowFloors(group, ranked, remainingTasks);
      remainingTasks -= this.placeGroup(group, ranked, remainingTasks);
    }
    if (remainingTasks <= 0) this.requestCycle();
    return true;
  }

  private cycleIntervalMs(): Millis {
    const extraMs =
      this.jobs.waitingJobs.size * CYCLE_INTERVAL_MS_PER_JOB +
      this.machines.byId.size * CYCLE_INTERVAL_MS_PER_MACHINE;
    return Math.min(MAX_CYCLE_INTERVAL_MS, CYCLE_INTERVAL_MS + extraMs);
  }

  /** Places tasks of teams and classes that are below their floors; returns how many were placed. */
  private placeTasksBelowFloors(group: readonly Job[], ranked: RankedJobs, maxTasks: number): number {
    let placed = 0;
    for (const job of group) {
      const machineSet = ranked.machineSets.get(job);
      if (machineSet === undefined) continue;
      const tasksToFloor = this.fairShare.tasksToReachFloor(job, machineSet);
      if (placed >= maxTasks || tasksToFloor <= 0) continue;
      const tasks = this.placement.placeTasks(job, Math.min(maxTasks - placed, tasksToFloor), true);
      this.fairShare.recordPlacement(job, machineSet, tasks);
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
