// Join-below-threshold for one job: each task goes to a random one of the best machines with free capacity,
// else to one of those whose queue is below the threshold, else it waits in the controller.
import type { MachineId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import { isGang } from '../jobs/placement-constraints.ts';
import { isBoundToSameZone, isSpread } from '../jobs/zone-constraints.ts';
import { type CapacityIndex, sampleFrom } from '../machines/capacity-index.ts';
import { hasCapacityAhead, isZoneAllowed, type Machine, type MachinePool } from '../machines/machine.ts';
import type { Quota } from '../teams/quota.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import { bucketMayFit, MACHINES_SAMPLED_PER_BUCKET } from './capacity-search.ts';
import type { GangScheduler } from './gang-scheduler.ts';
import { LowestScores } from './lowest-scores.ts';
import type { Preemption } from './preemption.ts';
import type { Reservations } from './reservations.ts';
import type { TaskQueuing } from './task-queuing.ts';
import { placementKind, UnplaceableJobs } from './unplaceable-jobs.ts';

/** Machines sampled in each pool for a queue below the threshold, and more of them for urgent jobs. */
const QUEUES_SAMPLED_PER_POOL = 3;
const QUEUES_SAMPLED_FOR_URGENT = 12;
/** Machines examined among those that hold the job's image. */
const IMAGE_HOLDERS_EXAMINED = 12;
/** What an image holder without free capacity counts for among them: examining it is cheap, but not free. */
const FULL_IMAGE_HOLDER_WEIGHT = 0.1;
/** Taken off the score of a queue whose head preempts, so that it goes before any queue whose head waits. */
const PREEMPTION_BONUS = 10;
/** A job that failed on so many machines may go to any of them again. */
const MAX_AVOIDED_MACHINES = 3;
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
  /** How many machines were examined, for the tests that bound the work. */
  machinesExamined = 0;
  /** Queue length below which a machine without free capacity may be joined. */
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

  /** At the start of a scheduling cycle. */
  beginCycle(): void {
    this.unplaceable.clear();
    this.reservations.beginCycle();
  }

  /**
   * Places up to `maxTasks` tasks of the job, of a gang all or none; returns how many were placed.
   * `mayReserve`: machines may be reserved for what found no place.
   */
  placeTasks(job: Job, maxTasks: number, mayReserve: boolean): number {
    const allowed = this.quota.allowedTasks(job);
    if (allowed <= 0) return 0;
    if (isGang(job.spec)) return this.gangs.placeGang(job, allowed, mayReserve);
    const isZoneBound = hasZoneConstraint(job);
    // Until all its tasks are located, it is not known which zones they are in.
    if (isZoneBound && job.unlocatedTasks > 0) return 0;
    const kind = placementKind(job.spec);
    if (!this.reservations.has(job) && this.unplaceable.covers(job, kind)) {
      if (mayReserve) this.reserve(job, allowed);
      return 0;
    }
    const limit = Math.min(allowed, maxTasks);
    const placed = this.placeWhileFound(job, limit, isZoneBound);
    const foundNoMachine = placed < limit && job.nextWaitingTask() >= 0;
    if (foundNoMachine) {
      if (mayReserve) this.reserve(job, allowed);
      if (!isZoneBound && job.failedOn.size === 0) this.unplaceable.add(job, kind);
    }
    return placed;
  }

  /** Places up to `maxTasks` waiting tasks, one after the other, until no machine is found; returns how many. */
  private placeWhileFound(job: Job, maxTasks: number, isZoneBound: boolean): number {
    let placed = 0;
    while (placed < maxTasks && job.nextWaitingTask() >= 0) {
      const machine = this.chooseMachine(job, isZoneBound);
      if (machine === null) return placed;
      this.enqueueNext(machine, job);
      placed++;
      if (!isZoneBound) placed += this.placeOnSame(machine, job, maxTasks - placed);
    }
    return placed;
  }

  private enqueueNext(machine: Machine, job: Job): void {
    this.queuing.enqueue(machine, job, job.nextWaitingTask(), this.queuing.nextAttempt());
  }

  private reserve(job: Job, allowedTasks: number): void {
    this.reservations.reserve(job, Math.min(allowedTasks, job.waitingTasks), null);
  }

  /** Fuller machines score better, so a search for the job's next task would find the same machine again. */
  private placeOnSame(machine: Machine, job: Job, maxTasks: number): number {
    let placed = 0;
    while (placed < maxTasks && this.isSuitable(machine, job) && job.nextWaitingTask() >= 0) {
      this.enqueueNext(machine, job);
      placed++;
    }
    return placed;
  }

  private isSuitable(machine: Machine, job: Job): boolean {
    return (
      hasCapacityAhead(machine, job) &&
      !this.reservations.isReservedAgainst(machine, job) &&
      Number.isFinite(this.binPacking.score(job, machine))
    );
  }

  /** Random among the best machines with free capacity, else among the best queues below the threshold. */
  private chooseMachine(job: Job, isZoneBound: boolean): Machine | null {
    // A job that failed on one machine tries others; one that failed on many may go anywhere again.
    const avoided = job.failedOn.size < MAX_AVOIDED_MACHINES ? job.failedOn : null;
    const best = new LowestScores();
    const examine = (machine: Machine): void => {
      this.machinesExamined++;
      if (avoided?.has(machine.id)) return;
      if (this.reservations.isReservedAgainst(machine, job) || !hasCapacityAhead(machine, job)) return;
      best.offer(machine, this.binPacking.score(job, machine));
    };
    const pools = this.samplePools(job, isZoneBound, examine);
    this.examineImageHolders(job, pools, examine);
    // Reserved before another task of the job used up the limit of its zone, a machine may be in a zone that
    // is no longer allowed.
    for (const machine of this.reservations.of(job))
      if (!isZoneBound || isZoneAllowed(job, machine.zone, job.zones)) examine(machine);
    if (best.machines.length > 0) return this.pickRandom(best.machines);
    return this.chooseQueueBelowThreshold(job, pools, avoided);
  }

  /** Examines a sample of each bucket that may have free capacity; returns the pools that the job may use. */
  private samplePools(job: Job, isZoneBound: boolean, examine: (machine: Machine) => void): MachinePool[] {
    const pools: MachinePool[] = [];
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec)) continue;
      if (isZoneBound && !isZoneAllowed(job, pool.zone, job.zones)) continue;
      pools.push(pool);
      for (const bucket of pool.buckets.values())
        if (bucketMayFit(bucket, job.spec))
          sampleFrom(bucket.members, MACHINES_SAMPLED_PER_BUCKET, this.io.random, examine);
    }
    return pools;
  }

  /** Machines that need not fetch the image first are few among many and would seldom be sampled. */
  private examineImageHolders(job: Job, pools: MachinePool[], examine: (machine: Machine) => void): void {
    const holders = this.capacityIndex.machinesWithImage(job.spec.image);
    if (holders === undefined) return;
    let remaining = IMAGE_HOLDERS_EXAMINED;
    for (const machine of holders) {
      if (
        machine.indexPosition === null ||
        machine.freeCpus + ROUNDING_TOLERANCE < job.spec.cpus ||
        !pools.includes(machine.indexPosition.pool)
      ) {
        remaining -= FULL_IMAGE_HOLDER_WEIGHT;
      } else {
        examine(machine);
        remaining--;
      }
      if (remaining <= 0) return;
    }
  }

  private chooseQueueBelowThreshold(
    job: Job,
    pools: MachinePool[],
    avoided: ReadonlySet<MachineId> | null,
  ): Machine | null {
    const best = new LowestScores();
    for (const pool of pools) {
      if (this.binPacking.wasteful(job, pool)) continue;
      const score = this.binPacking.typeScore(job, pool);
      const isUrgent = job.priority > this.binPacking.leastPriority;
      const sampleSize = isUrgent ? QUEUES_SAMPLED_FOR_URGENT : QUEUES_SAMPLED_PER_POOL;
      sampleFrom(pool.usable, sampleSize, this.io.random, (machine) => {
        this.machinesExamined++;
        if (machine.queue.length >= this.threshold || avoided?.has(machine.id)) return;
        if (this.reservations.isReservedAgainst(machine, job) || hasCapacityAhead(machine, job)) return;
        // Where less urgent work can be preempted the task starts sooner than where it waits for an end.
        const preempts = isUrgent && this.preemption.findVictims(machine, job) !== null;
        best.offer(machine, preempts ? score - PREEMPTION_BONUS : score);
      });
    }
    return this.pickRandom(best.machines);
  }

  private pickRandom(machines: Machine[]): Machine | null {
    return machines.length === 0 ? null : machines[this.io.random.below(machines.length)]!;
  }
}

/** Whether the zones of the job's other tasks limit where a task may go. */
const hasZoneConstraint = ({ spec }: Job): boolean => isSpread(spec) || isBoundToSameZone(spec);
