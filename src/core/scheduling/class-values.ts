// Values a task of each class by the price of the machines that it needs, and free capacity by the value of
// the waiting or expected tasks that fit into it.
import {
  type Instant,
  LONG_AGO,
  type MachineId,
  type MachineTypeName,
  type ZoneName,
} from '../../types/index.ts';
import type { JobSpec, MachineType, Priority } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { type Capacity, capacityOfType, neededBy, tasksFitting } from '../jobs/task-capacity.ts';
import { isZoneAllowed } from '../machines/capacity-checks.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';

/** Where capacity is: on one machine, or on any of a pool, which has no id. */
export interface CapacitySource {
  readonly id?: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** What the values are computed from. */
export interface ClassValueInputs {
  now: Instant;
  /** The open jobs. */
  jobs: Iterable<Job>;
  capacityIndex: CapacityIndex;
  /** Number of tasks of the class that are expected to arrive soon. */
  expectedTasks: (className: string) => number;
  /** Number of tasks of the job that its team's quota allows. */
  allowedTasks: (job: Job) => number;
}

/** A task with the mean needs of the open jobs of a class. */
interface ClassProfile extends Capacity {
  /** Machine types that it may run on; null: any. */
  allowedTypes: MachineTypeName[] | null;
  value: number;
  /** The highest priority among the waiting jobs of the class; that of one of its jobs if none is waiting. */
  priority: number;
  /** Whether it may run on spot machines. */
  spot: boolean;
  /** The zones in which a waiting job of the class may start tasks; null if none is waiting. */
  zones: ReadonlySet<ZoneName> | null;
  /** The waiting jobs of the class if each of them avoids some machines for now; otherwise empty. */
  avoidingJobs: readonly Job[];
}

/** Sums over the open jobs of a class. */
interface ClassTotals {
  /** Specification of one of the jobs. */
  exampleSpec: JobSpec;
  jobs: number;
  /** Number of waiting tasks that the quotas of their teams allow. */
  waitingTasks: number;
  /** The highest priority among the jobs with such tasks. */
  waitingPriority: number;
  /** The zones in which one of these jobs may start tasks. */
  waitingZones: Set<ZoneName>;
  /** Number of jobs with such tasks, and those of them that avoid some machines for now. */
  waitingJobs: number;
  avoidingJobs: Job[];
  /** Sum over the jobs of what one task needs. */
  needed: Capacity;
}

/** Value bonus for large tasks: they are harder to place, so unfragmented capacity is worth keeping. */
const SIZE_BONUS = 0.3;
/** Fraction of its value that capacity has for a class whose tasks are expected, while none is waiting. */
const EXPECTED_ONLY_WEIGHT = 0.3;
/** The highest priority. */
const MAX_PRIORITY: Priority = 3;
/** Tolerance for means of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-6;
/** With more jobs that avoid machines, a class is taken to have a job for each machine. */
const MAX_AVOIDING_JOBS = 8;

/** The values of classes and of capacity. */
export class ClassValues {
  /** The lowest priority among the classes. */
  lowestPriority = 0;
  private profiles: ClassProfile[] = [];
  private refreshedAt: Instant = LONG_AGO;
  private readonly values = new Map<string, number>();
  private readonly cheapestPrices = new Map<string, number>();

  constructor(private readonly types: ReadonlyMap<MachineTypeName, MachineType>) {}

  /**
   * Computes a profile for each class of the open jobs, with the mean of what its tasks need. For a class
   * without waiting tasks, free capacity has a value only up to the number of tasks that are expected soon:
   * capacity kept free beyond that would be paid for and stay idle.
   */
  refresh(inputs: ClassValueInputs): void {
    const { capacityIndex, expectedTasks } = inputs;
    this.refreshedAt = inputs.now;
    const totalsByClass = sumByClass(inputs);
    this.values.clear();
    this.lowestPriority = MAX_PRIORITY;
    this.profiles = [];
    for (const [className, totals] of totalsByClass) {
      const { exampleSpec: spec } = totals;
      const mean = meanOf(totals);
      const value = this.valueOfTask(mean, spec.machineTypes);
      this.cheapestPrices.set(className, this.cheapestPriceOfTask(mean, spec.machineTypes));
      this.values.set(className, value);
      const isWaiting = totals.waitingTasks > 0;
      // While tasks of the class wait, all capacity for it has its full value. If capacity beyond the waiting
      // tasks had none, small tasks would take it before the next refresh.
      let weight = 1;
      if (!isWaiting)
        weight = hasCapacityForMore(capacityIndex, spec, mean, expectedTasks(className))
          ? 0
          : EXPECTED_ONLY_WEIGHT;
      const priority = isWaiting ? totals.waitingPriority : spec.priority;
      this.lowestPriority = Math.min(this.lowestPriority, priority);
      const { machineTypes: allowedTypes, spot } = spec;
      const avoidingJobs = totals.avoidingJobs.length < totals.waitingJobs ? [] : totals.avoidingJobs;
      const zones = isWaiting ? totals.waitingZones : null;
      this.profiles.push({
        ...mean,
        allowedTypes,
        spot,
        priority,
        value: value * weight,
        zones,
        avoidingJobs,
      });
    }
  }

  /** The value of a task of the class; 0 for a class without open jobs. */
  valueOfClass(className: string): number {
    return this.values.get(className) ?? 0;
  }

  /** The value of a task of the class with the lowest value; infinite if there are no classes. */
  get lowestValue(): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (const value of this.values.values()) lowest = Math.min(lowest, value);
    return lowest;
  }

  /** The lowest price at which a task of the class could run; 0 if it fits no machine type. */
  cheapestPriceOfClass(className: string): number {
    return this.cheapestPrices.get(className) ?? 0;
  }

  /**
   * The value of the capacity to the class that values it most. Classes below `minPriority` do not count, nor
   * do those whose waiting jobs may all not use the machine.
   */
  valueOfCapacity(capacity: Capacity, source: CapacitySource, minPriority: number): number {
    let best = 0;
    for (const profile of this.profiles) {
      if (profile.priority < minPriority || (source.spot && !profile.spot)) continue;
      if (profile.allowedTypes !== null && !profile.allowedTypes.includes(source.type.name)) continue;
      if (profile.zones !== null && !profile.zones.has(source.zone)) continue;
      if (this.isAvoided(source, profile)) continue;
      best = Math.max(best, meanTasksFitting(capacity, profile) * profile.value);
    }
    return best;
  }

  private isAvoided({ id }: CapacitySource, { avoidingJobs }: ClassProfile): boolean {
    if (id === undefined || avoidingJobs.length === 0) return false;
    return avoidingJobs.every((job) => job.failures.avoids(id, this.refreshedAt));
  }

  private cheapestPriceOfTask(needed: Capacity, allowedTypes: MachineTypeName[] | null): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (const type of this.types.values()) {
      if (allowedTypes !== null && !allowedTypes.includes(type.name)) continue;
      const tasks = meanTasksFitting(capacityOfType(type), needed);
      if (tasks >= 1) lowest = Math.min(lowest, Math.min(type.price, type.spotPrice) / tasks);
    }
    return Number.isFinite(lowest) ? lowest : 0;
  }

  /** The lowest price per task among the machine types that fit, with the bonus for large tasks. */
  private valueOfTask(needed: Capacity, allowedTypes: MachineTypeName[] | null): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (const type of this.types.values()) {
      if (allowedTypes !== null && !allowedTypes.includes(type.name)) continue;
      const tasks = meanTasksFitting(capacityOfType(type), needed);
      if (tasks < 1) continue;
      const price = Math.min(type.price, type.spotPrice) / tasks;
      lowest = Math.min(lowest, price * (1 + SIZE_BONUS / tasks));
    }
    return Number.isFinite(lowest) ? lowest : 0;
  }
}

function sumByClass({ now, jobs, capacityIndex, allowedTasks }: ClassValueInputs): Map<string, ClassTotals> {
  const zones = new Set([...capacityIndex.pools.values()].map((pool) => pool.zone));
  const totalsByClass = new Map<string, ClassTotals>();
  for (const job of jobs) {
    if (job.isCancelling) continue;
    const { spec } = job;
    const totals = totalsByClass.get(spec.class) ?? {
      exampleSpec: spec,
      jobs: 0,
      waitingTasks: 0,
      waitingPriority: 0,
      waitingZones: new Set(),
      waitingJobs: 0,
      avoidingJobs: [],
      needed: { cpus: 0, gpus: 0, memoryGb: 0, taskListBytes: 0 },
    };
    totalsByClass.set(spec.class, totals);
    totals.jobs++;
    addCapacity(totals.needed, neededBy(spec));
    // Tasks that back off or that their team's quota does not allow would not use the capacity.
    const mayStart = job.unplacedTasks > 0 && now >= job.retryAt;
    const waiting = mayStart ? Math.min(job.unplacedTasks, allowedTasks(job)) : 0;
    if (waiting <= 0) continue;
    addWaitingJob(totals, job, waiting, now);
    for (const zone of zones) if (mayUseZone(job, zone)) totals.waitingZones.add(zone);
  }
  return totalsByClass;
}

function addWaitingJob(totals: ClassTotals, job: Job, waitingTasks: number, now: Instant): void {
  totals.waitingTasks += waitingTasks;
  totals.waitingPriority = Math.max(totals.waitingPriority, job.priority);
  totals.waitingJobs++;
  if (totals.avoidingJobs.length < MAX_AVOIDING_JOBS && job.failures.avoidsAny(now))
    totals.avoidingJobs.push(job);
}

const mayUseZone = (job: Job, zone: ZoneName): boolean =>
  (job.spec.zone === null || job.spec.zone === zone) && isZoneAllowed(job, zone, job.tasksByZone);

const meanOf = ({ needed, jobs }: ClassTotals): Capacity => ({
  cpus: needed.cpus / jobs,
  gpus: needed.gpus / jobs,
  memoryGb: needed.memoryGb / jobs,
  taskListBytes: needed.taskListBytes / jobs,
});

function addCapacity(sum: Capacity, added: Capacity): void {
  sum.cpus += added.cpus;
  sum.gpus += added.gpus;
  sum.memoryGb += added.memoryGb;
  sum.taskListBytes += added.taskListBytes;
}

/** Whether there is free capacity now for more than `tasks` tasks of about this size. */
function hasCapacityForMore(
  capacityIndex: CapacityIndex,
  spec: JobSpec,
  needed: Capacity,
  tasks: number,
): boolean {
  let slots = 0;
  for (const pool of capacityIndex.pools.values()) {
    if (!pool.admits(spec)) continue;
    for (const { members } of pool.buckets.values()) {
      const example = members[0];
      if (example !== undefined) slots += meanTasksFitting(example.freeCapacity, needed) * members.length;
    }
    if (slots > tasks) return true;
  }
  return false;
}

/** How many tasks with the mean needs of a class fit into the capacity. */
const meanTasksFitting = (capacity: Capacity, needed: Capacity): number =>
  Math.max(0, tasksFitting(capacity, needed, ROUNDING_TOLERANCE));
