// How well a task suits a machine: what other waiting work could no longer use the machine's capacity. The
// choice among machines with equal scores stays random, as join-below-threshold demands.
import type { TypeName } from '../../types/index.ts';
import type { MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { Machine, MachinePool } from '../machines/machine.ts';
import { type Capacity, ClassValues, freeCapacityOf, tasksFitting } from './class-values.ts';

/** A task is not put where it displaces waiting work worth this many times as much. */
const WASTEFUL_COST_RATIO = 1.6;
/**
 * Expensive machines are left to fall idle, and be returned, before cheap ones: per factor e of the price.
 */
const PRICE_WEIGHT = 0.4;
/** Fuller machines are filled first: emptier ones drain, for tasks that need them whole or to be returned. */
const FREE_CPUS_WEIGHT = 1.5;
/** The weight of a start that takes all slack of a job in a dependency chain, and its upper bound. */
const LATE_START_WEIGHT = 2;
const MAX_LATE_START_PENALTY = 1;
const MIN_FETCH_GB_PER_S = 1e-3;

/** Scores machines for tasks; lower is better. */
export class BinPackingScorer {
  private readonly classValues: ClassValues;

  /**
   * `shortestWaitS`: the shortest wait that an objective demands for a class, null if none does.
   * `heartbeatDueInS`: how long a start command waits for the machine's next heartbeat.
   */
  constructor(
    types: Map<TypeName, MachineType>,
    private readonly shortestWaitS: (className: string) => number | null,
    private readonly heartbeatDueInS: (machine: Machine) => number,
  ) {
    this.classValues = new ClassValues(types);
  }

  /** Brings the values of classes up to date with the open jobs; see `ClassValues.refresh`. */
  refresh(
    jobs: Iterable<Job>,
    capacityIndex: CapacityIndex,
    expectedTasks: (className: string) => number,
    allowedTasks: (job: Job) => number,
  ): void {
    this.classValues.refresh(jobs, capacityIndex, expectedTasks, allowedTasks);
  }

  /** The priority of the least urgent class. */
  get leastPriority(): number {
    return this.classValues.leastPriority;
  }

  /** What a task of the class is worth; 0 for a class without open jobs. */
  valueOfClass(className: string): number {
    return this.classValues.valueOfClass(className);
  }

  /** What a task of the least valuable class is worth. */
  get leastValue(): number {
    return this.classValues.leastValue;
  }

  /** Whether the job's tasks do not suit the pool's machine type even on an empty machine. */
  wasteful(job: Job, pool: MachinePool): boolean {
    return this.typeScore(job, pool) > WASTEFUL_COST_RATIO;
  }

  /** The score for an empty machine of the pool: says how well its type suits. */
  typeScore(job: Job, { type, spot }: MachinePool): number {
    return this.displacementCost(job, type, type, spot, job.priority);
  }

  /** Lower is better; infinite when the task would displace work worth much more than itself. */
  score(job: Job, machine: Machine): number {
    const { type, spot } = machine;
    const capacity = freeCapacityOf(machine);
    // Work is not kept from a machine for the sake of what is less urgent: services found 197 machines
    // standing idle, each worth more to a gang of lower priority.
    const costToUrgent = this.displacementCost(job, type, capacity, spot, job.priority);
    if (costToUrgent > WASTEFUL_COST_RATIO) return Number.POSITIVE_INFINITY;
    // Among those it may use, still the one that is worth least to all others.
    const cost =
      job.priority <= this.leastPriority
        ? costToUrgent
        : this.displacementCost(job, type, capacity, spot, this.leastPriority);
    const freeCpusAfter = Math.max(0, machine.freeCpus - job.spec.cpus) / type.cpus;
    // Only penalties from here on, never infinite: a fetch displaces nobody, and however long it takes, it
    // must not keep a task from a machine that stands idle.
    const suitability =
      cost +
      this.fetchPenalty(job, machine) +
      freeCpusAfter * FREE_CPUS_WEIGHT +
      this.pricePenalty(job, machine);
    return suitability + this.fetchDelayPenalty(job, machine) + this.lateStartPenalty(job, machine);
  }

  /**
   * What the capacity is worth less with the task in it, to work of at least this priority, in units of the
   * task's own value.
   */
  private displacementCost(
    job: Job,
    type: MachineType,
    capacity: Capacity,
    spot: boolean,
    minPriority: number,
  ): number {
    const { spec } = job;
    const ownValue = this.classValues.valueOfClass(spec.class);
    if (ownValue === 0) return 0;
    const rest = {
      cpus: capacity.cpus - spec.cpus,
      gpus: capacity.gpus - spec.gpus,
      memoryGb: capacity.memoryGb - spec.memoryGb,
    };
    const valueBefore = this.classValues.valueOfCapacity(capacity, type.name, spot, minPriority);
    const valueAfter = this.classValues.valueOfCapacity(rest, type.name, spot, minPriority);
    return (valueBefore - valueAfter) / ownValue;
  }

  /** The fraction of the time from start to end that fetching the image would take. */
  private fetchPenalty(job: Job, machine: Machine): number {
    if (machine.images.has(job.spec.image) || machine.type.fetchGbPerS <= 0) return 0;
    const fetchS = job.spec.imageGb / machine.type.fetchGbPerS;
    return fetchS / (fetchS + Math.max(1, job.spec.estimatedRunS));
  }

  /** The fraction of the shortest wait in an objective that fetching the image would take. */
  private fetchDelayPenalty(job: Job, machine: Machine): number {
    const objectiveS = this.shortestWaitS(job.spec.class);
    if (objectiveS === null) return 0;
    if (machine.images.has(job.spec.image) || machine.type.fetchGbPerS <= 0) return 0;
    return Math.min(1, job.spec.imageGb / machine.type.fetchGbPerS / objectiveS);
  }

  private pricePenalty(job: Job, machine: Machine): number {
    const tasks = tasksFitting(machine.type, job.spec);
    const cheapest = this.classValues.cheapestPriceOfClass(job.spec.class);
    if (tasks < 1 || cheapest <= 0) return 0;
    const price = machine.spot ? machine.type.spotPrice : machine.type.price;
    return Math.max(0, Math.log(price / tasks / cheapest)) * PRICE_WEIGHT;
  }

  /**
   * The fraction of its slack that waiting for the machine's next heartbeat, and for the image, would take
   * from a job in a dependency chain: a chain pays it for every job in it.
   */
  private lateStartPenalty(job: Job, machine: Machine): number {
    if (!job.isInDependencyChain || job.slackS === null) return 0;
    const fetchS = machine.images.has(job.spec.image)
      ? 0
      : job.spec.imageGb / Math.max(MIN_FETCH_GB_PER_S, machine.type.fetchGbPerS);
    const delayS = this.heartbeatDueInS(machine) + fetchS;
    return Math.min(MAX_LATE_START_PENALTY, (LATE_START_WEIGHT * delayS) / Math.max(1, job.slackS));
  }
}
