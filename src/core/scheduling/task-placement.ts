// Join-below-threshold placement of a job's tasks: each task goes to a random one of the best machines with
// free capacity, else to one of those whose queue is below the threshold, else it waits in the controller.
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import { isGang } from '../jobs/placement-constraints.ts';
import { isBoundToSameZone, isSpread } from '../jobs/zone-constraints.ts';
import { hasCapacityFor, isZoneAllowed } from '../machines/capacity-checks.ts';
import { type CapacityIndex, sampleFrom } from '../machines/capacity-index.ts';
import type { Machine, MachinePool } from '../machines/machine.ts';
import type { Quota } from '../teams/quota.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import { bucketMayFit, MACHINES_SAMPLED_PER_BUCKET } from './capacity-search.ts';
import type { GangScheduler } from './gang-scheduler.ts';
import { LowestScores } from './lowest-scores.ts';
import type { Preemption } from './preemption.ts';
import type { Reservations } from './reservations.ts';
import type { TaskQueuing } from './task-queuing.ts';
import { placementKind, UnplaceableJobs } from './unplaceable-jobs.ts';

/** Machines sampled in each pool when searching for a queue below the threshold; urgent jobs sample more. */
const QUEUES_SAMPLED_PER_POOL = 3;
const QUEUES_SAMPLED_PER_POOL_IF_URGENT = 12;
/** Maximum number of machines examined among those that have the job's image in their caches. */
const MAX_MACHINES_WITH_IMAGE_EXAMINED = 12;
/** How much a machine that is skipped counts towards that maximum: skipping is cheap, but not free. */
const SKIPPED_MACHINE_COST = 0.1;
/**
 * Subtracted from the score of a machine where the task could preempt others, so that such a machine ranks
 * before any machine where the task would have to wait for running tasks to end.
 */
const PREEMPTION_BONUS = 10;
/** Tolerance for sums of fractional CPUs. */
const ROUNDING_TOLERANCE = 1e-9;

/** What {@link TaskPlacement} depends on. */
export interface TaskPlacementDependencies {
  io: ControllerIo;
  capacityIndex: CapacityIndex;
  quota: Quota;
  binPacking: BinPackingScorer;
  reservations: Reservations;
  preemption: Preemption;
  gangs: GangScheduler;
  queuing: TaskQueuing;
}

/** Places the tasks of waiting jobs on machines. */
export class TaskPlacement {
  /** Number of machines examined so far; read by tests that limit the work of a cycle. */
  machinesExamined = 0;
  /** Queue length below which another task may be queued on a machine without free capacity. */
  threshold: number;
  private readonly unplaceable = new UnplaceableJobs();
  private readonly io: ControllerIo;
  private readonly capacityIndex: CapacityIndex;
  private readonly quota: Quota;
  private readonly binPacking: BinPackingScorer;
  private readonly reservations: Reservations;
  private readonly preemption: Preemption;
  private readonly gangs: GangScheduler;
  private readonly queuing: TaskQueuing;

  constructor(dependencies: TaskPlacementDependencies, threshold: number) {
    this.io = dependencies.io;
    this.capacityIndex = dependencies.capacityIndex;
    this.quota = dependencies.quota;
    this.binPacking = dependencies.binPacking;
    this.reservations = dependencies.reservations;
    this.preemption = dependencies.preemption;
    this.gangs = dependencies.gangs;
    this.queuing = dependencies.queuing;
    this.threshold = threshold;
  }

  /** Resets the state of the previous cycle; called at the start of each scheduling cycle. */
  beginCycle(): void {
    this.unplaceable.clear();
    this.reservations.beginCycle();
  }

  /**
   * Places up to `maxTasks` waiting tasks of the job, or of a gang all missing tasks or none; returns how
   * many were placed. `mayReserve`: whether machines may be reserved for tasks that found no machine.
   */
  placeTasks(job: Job, maxTasks: number, mayReserve: boolean): number {
    const allowed = this.quota.allowedTasks(job);
    if (allowed <= 0) return 0;
    if (isGang(job.spec)) return this.gangs.placeGang(job, allowed, mayReserve);
    const isZoneBound = hasZoneConstraint(job);
    // Until all its tasks are located, the zones that they run in are unknown.
    if (isZoneBound && job.unlocatedTasks > 0) return 0;
    const kind = placementKind(job.spec);
    if (!this.reservations.has(job) && this.unplaceable.covers(job, kind)) {
      if (mayReserve) this.reserve(job, allowed);
      return 0;
    }
    const limit = Math.min(allowed, maxTasks);
    const placed = this.placeOneByOne(job, limit, isZoneBound);
    const foundNoMachine = placed < limit && job.nextWaitingTask() >= 0;
    if (foundNoMachine) {
      if (mayReserve) this.reserve(job, allowed);
      if (!isZoneBound && !job.failures.avoidsAny(this.io.now)) this.unplaceable.add(job, kind);
    }
    return placed;
  }

  /** Places up to `maxTasks` waiting tasks until no machine is found; returns how many were placed. */
  private placeOneByOne(job: Job, maxTasks: number, isZoneBound: boolean): number {
    let placed = 0;
    while (placed < maxTasks && job.nextWaitingTask() >= 0) {
      const machine = this.chooseMachine(job, isZoneBound);
      if (machine === null) return placed;
      this.enqueueNext(machine, job);
      placed++;
      if (!isZoneBound) placed += this.placeOnSameMachine(machine, job, maxTasks - placed);
    }
    return placed;
  }

  private enqueueNext(machine: Machine, job: Job): void {
    this.queuing.enqueue(machine, job, job.nextWaitingTask(), this.queuing.nextAttempt());
  }

  private reserve(job: Job, allowedTasks: number): void {
    this.reservations.reserve(job, Math.min(allowedTasks, job.waitingTasks), null);
  }

  /**
   * Places further tasks of the job on the machine just chosen. Fuller machines score better, so a search for
   * the next task would find the same machine again.
   */
  private placeOnSameMachine(machine: Machine, job: Job, maxTasks: number): number {
    let placed = 0;
    while (placed < maxTasks && this.isSuitable(machine, job) && job.nextWaitingTask() >= 0) {
      this.enqueueNext(machine, job);
      placed++;
    }
    return placed;
  }

  private isSuitable(machine: Machine, job: Job): boolean {
    return (
      hasCapacityFor(machine, job) &&
      !this.reservations.isReservedForOther(machine, job) &&
      Number.isFinite(this.binPacking.score(job, machine))
    );
  }

  /** Picks at random among the best machines with free capacity, else the best queues below the threshold. */
  private chooseMachine(job: Job, isZoneBound: boolean): Machine | null {
    const best = new LowestScores();
    const examine = (machine: Machine): void => {
      this.machinesExamined++;
      if (job.failures.avoids(machine.id, this.io.now)) return;
      if (this.reservations.isReservedForOther(machine, job) || !hasCapacityFor(machine, job)) return;
      best.offer(machine, this.binPacking.score(job, machine));
    };
    const pools = this.samplePools(job, isZoneBound, examine);
    this.examineMachinesWithImage(job, pools, examine);
    // A machine may have been reserved before other tasks of the job used up the limit of its zone; its zone
    // is no longer allowed then.
    for (const machine of this.reservations.machinesFor(job))
      if (!isZoneBound || isZoneAllowed(job, machine.zone, job.tasksByZone)) examine(machine);
    if (best.machines.length > 0) return this.pickRandom(best.machines);
    return this.chooseQueueBelowThreshold(job, pools);
  }

  /** Examines a sample of each bucket that may have capacity; returns the pools that the job may use. */
  private samplePools(job: Job, isZoneBound: boolean, examine: (machine: Machine) => void): MachinePool[] {
    const pools: MachinePool[] = [];
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec)) continue;
      if (isZoneBound && !isZoneAllowed(job, pool.zone, job.tasksByZone)) continue;
      pools.push(pool);
      for (const bucket of pool.buckets.values())
        if (bucketMayFit(bucket, job.spec))
          sampleFrom(bucket.members, MACHINES_SAMPLED_PER_BUCKET, this.io.random, examine);
    }
    return pools;
  }

  /** Examines machines that have the image cached: they are few, and random samples seldom contain them. */
  private examineMachinesWithImage(
    job: Job,
    pools: MachinePool[],
    examine: (machine: Machine) => void,
  ): void {
    const machines = this.capacityIndex.machinesWithImage(job.spec.image);
    if (machines === undefined) return;
    let remainingExaminations = MAX_MACHINES_WITH_IMAGE_EXAMINED;
    for (const machine of machines) {
      if (
        machine.indexPosition === null ||
        machine.isTaskListFull ||
        machine.freeCpus + ROUNDING_TOLERANCE < job.spec.cpus ||
        !pools.includes(machine.indexPosition.pool)
      ) {
        remainingExaminations -= SKIPPED_MACHINE_COST;
      } else {
        examine(machine);
        remainingExaminations--;
      }
      if (remainingExaminations <= 0) return;
    }
  }

  private chooseQueueBelowThreshold(job: Job, pools: MachinePool[]): Machine | null {
    const best = new LowestScores();
    for (const pool of pools) {
      if (this.binPacking.isWasteful(job, pool)) continue;
      const score = this.binPacking.typeScore(job, pool);
      const isUrgent = job.priority > this.binPacking.lowestPriority;
      const sampleSize = isUrgent ? QUEUES_SAMPLED_PER_POOL_IF_URGENT : QUEUES_SAMPLED_PER_POOL;
      sampleFrom(pool.schedulableMachines, sampleSize, this.io.random, (machine) => {
        this.machinesExamined++;
        if (machine.queue.length >= this.threshold || job.failures.avoids(machine.id, this.io.now)) return;
        if (this.reservations.isReservedForOther(machine, job) || hasCapacityFor(machine, job)) return;
        // By preempting less urgent tasks the task starts sooner than by waiting for running tasks to end.
        const canPreempt = isUrgent && this.preemption.findVictims(machine, job) !== null;
        const penalty = this.binPacking.failurePenalty(job, machine);
        best.offer(machine, penalty + (canPreempt ? score - PREEMPTION_BONUS : score));
      });
    }
    return this.pickRandom(best.machines);
  }

  private pickRandom(machines: Machine[]): Machine | null {
    return machines.length === 0 ? null : machines[this.io.random.below(machines.length)]!;
  }
}

/** Whether the zones of the job's other tasks limit the zones that a task may run in. */
const hasZoneConstraint = ({ spec }: Job): boolean => isSpread(spec) || isBoundToSameZone(spec);
