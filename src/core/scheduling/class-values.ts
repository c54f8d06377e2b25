// What a task of each class is worth, by the price of the machines that it needs, and from that what free
// capacity is worth to the work that waits or is expected.
import type { TypeName } from '../../types/index.ts';
import type { JobSpec, MachineType, Priority } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { Machine } from '../machines/machine.ts';

/** An amount of each resource. */
export interface Capacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** The jobs of a class, as one typical task. */
interface ClassProfile extends Capacity {
  types: TypeName[] | null;
  value: number;
  /** The highest priority among the class's jobs that wait; its own if none does. */
  priority: number;
  /** Whether it may run on spot machines. */
  spot: boolean;
}

/** Sums over the open jobs of a class. */
interface ClassTotals {
  /** One of the jobs. */
  spec: JobSpec;
  jobs: number;
  /** Tasks that wait and that their teams' quotas allow. */
  waitingTasks: number;
  waitingPriority: number;
  needed: Capacity;
}

/** Large tasks are harder to place, so capacity for them is worth keeping together. */
const SIZE_BONUS = 0.3;
/** The fraction of its value that capacity for a class has while none of its tasks wait. */
const EXPECTED_ONLY_WEIGHT = 0.3;
/** The most urgent priority. */
const MAX_PRIORITY: Priority = 3;
/** Tolerance for sums of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-6;
/** Tasks that need none of a resource: as many as will ever be counted. */
const UNLIMITED_TASKS = 1e6;

/** The values of classes and of capacity. */
export class ClassValues {
  /** The priority of the least urgent class. */
  leastPriority = 0;
  private profiles: ClassProfile[] = [];
  private readonly values = new Map<string, number>();
  private readonly cheapestPrices = new Map<string, number>();

  constructor(private readonly types: ReadonlyMap<TypeName, MachineType>) {}

  /**
   * Makes one profile for each class of the open jobs: the mean of what its tasks need. Capacity is kept for
   * a class of which none wait only as far as tasks of it are expected soon; kept beyond that, it would stand
   * idle and be paid for.
   */
  refresh(
    jobs: Iterable<Job>,
    capacityIndex: CapacityIndex,
    expectedTasks: (className: string) => number,
    allowedTasks: (job: Job) => number,
  ): void {
    const totalsByClass = sumByClass(jobs, allowedTasks);
    this.values.clear();
    this.leastPriority = MAX_PRIORITY;
    this.profiles = [];
    for (const [className, totals] of totalsByClass) {
      const { spec } = totals;
      const mean = meanOf(totals);
      const value = this.valueOfTask(mean, spec.machineTypes);
      this.cheapestPrices.set(className, this.cheapestPriceOfTask(mean, spec.machineTypes));
      this.values.set(className, value);
      const isWaiting = totals.waitingTasks > 0;
      // While any of it waits all capacity counts: what was free beyond that was gone to small tasks before
      // the next refresh.
      let weight = 1;
      if (!isWaiting)
        weight = hasSlots(capacityIndex, spec, mean, expectedTasks(className)) ? 0 : EXPECTED_ONLY_WEIGHT;
      const priority = isWaiting ? totals.waitingPriority : spec.priority;
      this.leastPriority = Math.min(this.leastPriority, priority);
      const { machineTypes: types, spot } = spec;
      this.profiles.push({ ...mean, types, spot, priority, value: value * weight });
    }
  }

  /** What a task of the class is worth; 0 for a class without open jobs. */
  valueOfClass(className: string): number {
    return this.values.get(className) ?? 0;
  }

  /** What a task of the least valuable class is worth; infinite if there is none. */
  get leastValue(): number {
    let least = Number.POSITIVE_INFINITY;
    for (const value of this.values.values()) least = Math.min(least, value);
    return least;
  }

  /** The lowest price at which a task of the class could run; 0 if it could run nowhere. */
  cheapestPriceOfClass(className: string): number {
    return this.cheapestPrices.get(className) ?? 0;
  }

  /**
   * What capacity on such a machine is worth to the class, of at least this priority, that values it most.
   */
  valueOfCapacity(capacity: Capacity, type: TypeName, spot: boolean, minPriority: number): number {
    let best = 0;
    for (const profile of this.profiles) {
      if (profile.priority < minPriority || (spot && !profile.spot)) continue;
      if (profile.types !== null && !profile.types.includes(type)) continue;
      best = Math.max(best, tasksFitting(capacity, profile) * profile.value);
    }
    return best;
  }

  private cheapestPriceOfTask(needed: Capacity, allowedTypes: TypeName[] | null): number {
    let best = Number.POSITIVE_INFINITY;
    for (const type of this.types.values()) {
      if (allowedTypes !== null && !allowedTypes.includes(type.name)) continue;
      const tasks = tasksFitting(type, needed);
      if (tasks >= 1) best = Math.min(best, Math.min(type.price, type.spotPrice) / tasks);
    }
    return Number.isFinite(best) ? best : 0;
  }

  /** The price of the cheapest machine for such a task, divided by the tasks that it holds. */
  private valueOfTask(needed: Capacity, allowedTypes: TypeName[] | null): number {
    let best = Number.POSITIVE_INFINITY;
    for (const type of this.types.values()) {
      if (allowedTypes !== null && !allowedTypes.includes(type.name)) continue;
      const tasks = tasksFitting(type, needed);
      if (tasks < 1) continue;
      const price = Math.min(type.price, type.spotPrice) / tasks;
      best = Math.min(best, price * (1 + SIZE_BONUS / tasks));
    }
    return Number.isFinite(best) ? best : 0;
  }
}

function sumByClass(jobs: Iterable<Job>, allowedTasks: (job: Job) => number): Map<string, ClassTotals> {
  const totalsByClass = new Map<string, ClassTotals>();
  for (const job of jobs) {
    if (job.isCancelling) continue;
    const { spec } = job;
    const totals = totalsByClass.get(spec.class) ?? {
      spec,
      jobs: 0,
      waitingTasks: 0,
      waitingPriority: 0,
      needed: { cpus: 0, gpus: 0, memoryGb: 0 },
    };
    totals.jobs++;
    // What waits for its team's quota alone would not use the capacity.
    const waiting = job.unplacedTasks === 0 ? 0 : Math.min(job.unplacedTasks, allowedTasks(job));
    totals.waitingTasks += waiting;
    if (waiting > 0) totals.waitingPriority = Math.max(totals.waitingPriority, job.priority);
    totals.needed.cpus += spec.cpus;
    totals.needed.gpus += spec.gpus;
    totals.needed.memoryGb += spec.memoryGb;
    totalsByClass.set(spec.class, totals);
  }
  return totalsByClass;
}

const meanOf = ({ needed, jobs }: ClassTotals): Capacity => ({
  cpus: needed.cpus / jobs,
  gpus: needed.gpus / jobs,
  memoryGb: needed.memoryGb / jobs,
});

/** What the machine has free after all that is on it and queued for it. */
export const freeCapacityOf = (machine: Machine): Capacity => ({
  cpus: machine.freeCpus,
  gpus: machine.freeGpus,
  memoryGb: machine.freeMemory,
});

/** Whether there is free capacity now for more than `tasks` tasks of about this size. */
function hasSlots(capacityIndex: CapacityIndex, spec: JobSpec, needed: Capacity, tasks: number): boolean {
  let found = 0;
  for (const pool of capacityIndex.pools.values()) {
    if (!pool.admits(spec)) continue;
    for (const { members } of pool.buckets.values()) {
      const example = members[0];
      if (example !== undefined) found += tasksFitting(freeCapacityOf(example), needed) * members.length;
    }
    if (found > tasks) return true;
  }
  return false;
}

/** How many tasks fit into the capacity. */
export function tasksFitting(capacity: Capacity, needed: Capacity): number {
  return Math.min(
    fittingResource(capacity.cpus, needed.cpus),
    fittingResource(capacity.gpus, needed.gpus),
    fittingResource(capacity.memoryGb, needed.memoryGb),
  );
}

const fittingResource = (free: number, needed: number): number =>
  needed <= 0 ? UNLIMITED_TASKS : Math.max(0, Math.floor((free + ROUNDING_TOLERANCE) / needed));
