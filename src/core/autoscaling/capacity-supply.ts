// Free capacity on machines that are up, booting or requested, by pool, while a capacity plan is built.
import type { Instant, MachineId, ZoneName } from '../../types/index.ts';
import { MIN_LISTED_TASK_BYTES, TASK_LIST_BYTES } from '../base/message-size.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { needsAtLeast, placementKey } from '../jobs/placement-constraints.ts';
import { type Capacity, fitsCapacity, neededBy, tasksFitting } from '../jobs/task-capacity.ts';
import type { Machine } from '../machines/machine.ts';
import { type MachineOffer, offerKey } from './machine-offer.ts';

/** Capacity on one machine that the plan has not assigned yet. */
export interface MachineCapacity extends MachineOffer, Capacity {
  /** The machine, if it is up or booting; null if it has only been requested. */
  readonly machine: Machine | null;
}

/** Tasks that need capacity. */
export interface CapacityDemand {
  readonly job: Job;
  readonly tasks: number;
  /** The zone that they must run in; null: any that the job allows. */
  readonly zone: ZoneName | null;
  /** The tasks are of jobs like this one that may arrive: its failures do not count for them. */
  readonly isSpare: boolean;
}

/** A search for capacity for a demand. */
interface CapacitySearch extends CapacityDemand {
  /** What each of the tasks takes. */
  readonly needed: Capacity;
}

/** Tolerance for sums of fractional CPUs and GPUs. */
const ROUNDING_TOLERANCE = 1e-9;
/** Machines with less CPU capacity than this are ignored. */
const MIN_USABLE_CPUS = 1e-3;

/**
 * The capacity of a machine that its running tasks do not use; tasks queued for the machine are not counted.
 */
export const unusedCapacityOf = (machine: Machine): MachineCapacity => ({
  type: machine.type,
  zone: machine.zone,
  spot: machine.spot,
  cpus: machine.type.cpus - machine.usedCpus,
  gpus: machine.type.gpus - machine.usedGpus,
  memoryGb: machine.type.memoryGb - machine.usedMemoryGb,
  taskListBytes: machine.unusedTaskListBytes,
  machine,
});

/** The full capacity of a requested machine, which has no tasks yet. */
export const requestedCapacity = (type: MachineType, zone: ZoneName, spot: boolean): MachineCapacity => ({
  type,
  zone,
  spot,
  cpus: type.cpus,
  gpus: type.gpus,
  memoryGb: type.memoryGb,
  taskListBytes: TASK_LIST_BYTES,
  machine: null,
});

/** Reserves capacity for up to `tasks` tasks; returns the number of tasks that fit. */
export const placeOn = (capacity: MachineCapacity, { spec }: Job, tasks: number): number =>
  place(capacity, neededBy(spec), tasks);

function place(capacity: Capacity, needed: Capacity, tasks: number): number {
  const placed = Math.min(tasks, tasksFitting(capacity, needed));
  if (placed <= 0) return 0;
  capacity.cpus -= needed.cpus * placed;
  capacity.gpus -= needed.gpus * placed;
  capacity.memoryGb -= needed.memoryGb * placed;
  capacity.taskListBytes -= needed.taskListBytes * placed;
  return placed;
}

/** Whether no task can use the capacity. */
const isUsedUp = ({ cpus, taskListBytes }: Capacity): boolean =>
  cpus < MIN_USABLE_CPUS || taskListBytes < MIN_LISTED_TASK_BYTES;

/**
 * The machines of one pool, indexed by free GPUs and CPUs rounded down, so that only machines that may have
 * capacity for a job are examined.
 */
class PoolCapacity {
  /** Lists of machines, indexed by free GPUs, then by free CPUs. */
  private readonly byGpus: MachineCapacity[][][] = [];

  constructor(readonly offer: MachineOffer) {}

  add(capacity: MachineCapacity): void {
    if (isUsedUp(capacity)) return;
    const gpus = Math.floor(capacity.gpus + ROUNDING_TOLERANCE);
    const cpus = Math.floor(capacity.cpus + ROUNDING_TOLERANCE);
    const byCpus = this.byGpus[gpus] ?? [];
    this.byGpus[gpus] = byCpus;
    const list = byCpus[cpus];
    if (list === undefined) byCpus[cpus] = [capacity];
    else list.push(capacity);
  }

  /** Lists of machines that may have capacity for the job, fewest free GPUs first, then fewest free CPUs. */
  *listsFor({ spec }: Job): Iterable<MachineCapacity[]> {
    for (let gpus = Math.floor(spec.gpus); gpus < this.byGpus.length; gpus++) {
      const byCpus = this.byGpus[gpus];
      if (byCpus === undefined) continue;
      for (let cpus = Math.floor(spec.cpus); cpus < byCpus.length; cpus++) {
        const list = byCpus[cpus];
        if (list !== undefined && list.length > 0) yield list;
      }
    }
  }
}

/** A search that found no capacity, or used all that it found without placing all of the tasks. */
interface FailedSearch {
  /** Key of the set of pools that were searched. */
  scope: string;
  spec: JobSpec;
}

/** The capacity that the plan has not assigned yet, by pool. */
export class CapacitySupply {
  private readonly pools = new Map<string, PoolCapacity>();
  /** After a failed search, a job that requires at least as much from the same pools is not searched for. */
  private failedSearches: FailedSearch[] = [];

  /** `now`: when the plan is made. */
  constructor(private readonly now: Instant) {}

  /** Adds the capacity of a machine. */
  add(capacity: MachineCapacity): void {
    if (isUsedUp(capacity)) return;
    this.failedSearches = [];
    const key = offerKey(capacity);
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = new PoolCapacity(capacity);
      this.pools.set(key, pool);
    }
    pool.add(capacity);
  }

  /** The number of the demanded tasks that there is capacity for. */
  countPlaceable(demand: CapacityDemand): number {
    const { job, tasks } = demand;
    if (this.hasSearchFailed(demand)) return 0;
    const needed = neededBy(job.spec);
    let found = 0;
    for (const pool of this.poolsFor(demand))
      for (const list of pool.listsFor(job))
        for (const capacity of list) {
          if (this.isAvoided(capacity, demand)) continue;
          found += Math.max(0, tasksFitting(capacity, needed));
          if (found >= tasks) return tasks;
        }
    return found;
  }

  /**
   * Reserves capacity for as many of the demanded tasks as fit and adds the machines used to
   * `neededMachines`; returns the number of tasks. A machine that the job avoids for now is kept as well, as
   * the job uses it again if it gets no other.
   */
  reserve(demand: CapacityDemand, neededMachines: Set<MachineId>): number {
    const { job, tasks } = demand;
    if (this.hasSearchFailed(demand)) return 0;
    const needed = neededBy(job.spec);
    let remaining = tasks;
    for (const pool of this.poolsFor(demand))
      for (const list of pool.listsFor(job)) {
        const search = { ...demand, tasks: remaining, needed };
        remaining -= this.reserveFromList(list, pool, search, neededMachines);
        if (remaining <= 0) return tasks;
      }
    // Other jobs may use the machines that this one avoids: the search has failed for this job only.
    const isForAllJobs = demand.isSpare || !job.failures.avoidsAny(this.now);
    if (remaining > 0 && isForAllJobs) this.failedSearches.push({ scope: scopeOf(demand), spec: job.spec });
    return tasks - remaining;
  }

  /** Reserves capacity from one list of the pool; returns the number of tasks that fit. */
  private reserveFromList(
    list: MachineCapacity[],
    pool: PoolCapacity,
    search: CapacitySearch,
    neededMachines: Set<MachineId>,
  ): number {
    const { job, tasks, needed } = search;
    let used = 0;
    for (let index = list.length - 1; index >= 0 && used < tasks; index--) {
      const capacity = list[index]!;
      if (!fitsCapacity(job.spec, capacity)) continue;
      if (capacity.machine !== null) neededMachines.add(capacity.machine.id);
      if (this.isAvoided(capacity, search)) continue;
      used += place(capacity, needed, tasks - used);
      // The machine moves to another list. The last element, which has been examined already, takes its place.
      const last = list.pop()!;
      if (last !== capacity) list[index] = last;
      pool.add(capacity);
    }
    return used;
  }

  private isAvoided({ machine }: MachineCapacity, { job, isSpare }: CapacityDemand): boolean {
    return machine !== null && !isSpare && job.failures.avoids(machine.id, this.now);
  }

  private hasSearchFailed(demand: CapacityDemand): boolean {
    const scope = scopeOf(demand);
    return this.failedSearches.some(
      (search) => search.scope === scope && needsAtLeast(demand.job.spec, search.spec),
    );
  }

  private *poolsFor({ job: { spec }, zone }: CapacityDemand): Iterable<PoolCapacity> {
    for (const pool of this.pools.values()) {
      const { offer } = pool;
      if (offer.spot && !spec.spot) continue;
      if (zone !== null && offer.zone !== zone) continue;
      if (spec.zone !== null && spec.zone !== offer.zone) continue;
      if (spec.machineTypes === null || spec.machineTypes.includes(offer.type.name)) yield pool;
    }
  }
}

const scopeOf = ({ job, zone }: CapacityDemand): string => `${zone ?? ''}|${placementKey(job.spec)}`;
