// Scores how well a machine suits a task, mainly by the value of the other work that could then no longer use
// the machine's capacity. The choice among machines with about equal scores stays random, as
// join-below-threshold requires.
import type { MachineTypeName } from '../../types/index.ts';
import { listedTaskBytes } from '../base/message-size.ts';
import type { MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { tasksPerMachine } from '../jobs/placement-constraints.ts';
import type { Capacity } from '../jobs/task-capacity.ts';
import type { Machine, MachinePool } from '../machines/machine.ts';
import { type CapacitySource, type ClassValueInputs, ClassValues } from './class-values.ts';

/** A task is not placed where it displaces other work that is worth more than this many times as much. */
const WASTEFUL_COST_RATIO = 1.6;
/**
 * Penalty for each factor of e by which the price per task exceeds the lowest one: expensive machines become
 * idle first and can be released.
 */
const PRICE_WEIGHT = 0.4;
/**
 * Weight of the fraction of a machine's CPUs that stay free: fuller machines are filled first, so that
 * emptier ones drain for tasks that need whole machines, or can be released.
 */
const FREE_CPUS_WEIGHT = 1.5;
/** Penalty for a start delay that uses up all slack of a job in a dependency chain, and its upper bound. */
const LATE_START_WEIGHT = 2;
const MAX_LATE_START_PENALTY = 1;
const MIN_FETCH_GB_PER_S = 1e-3;
/** Ranks machines on which the job has failed behind all others, whose scores are far lower. */
const FAILED_MACHINE_PENALTY = 1000;

/** Scores machines for tasks; lower is better. */
export class BinPackingScorer {
  private readonly classValues: ClassValues;

  /**
   * `shortestWaitS`: the shortest wait that an objective of the class allows, null if it has no such
   * objective. `heartbeatDueInS`: how long a start command must wait for the next heartbeat of the machine.
   */
  constructor(
    types: Map<MachineTypeName, MachineType>,
    private readonly shortestWaitS: (className: string) => number | null,
    private readonly heartbeatDueInS: (machine: Machine) => number,
  ) {
    this.classValues = new ClassValues(types);
  }

  /** Updates the values of the classes from the open jobs; see `ClassValues.refresh`. */
  refresh(inputs: ClassValueInputs): void {
    this.classValues.refresh(inputs);
  }

  /** The lowest priority among the classes. */
  get lowestPriority(): number {
    return this.classValues.lowestPriority;
  }

  /** The value of a task of the class; 0 for a class without open jobs. */
  valueOfClass(className: string): number {
    return this.classValues.valueOfClass(className);
  }

  /** The value of a task of the class with the lowest value. */
  get lowestValue(): number {
    return this.classValues.lowestValue;
  }

  /** Whether a task of the job would displace too much other work even on an empty machine of the pool. */
  isWasteful(job: Job, pool: MachinePool): boolean {
    return this.typeScore(job, pool) > WASTEFUL_COST_RATIO;
  }

  /** The score of an empty machine of the pool: how well its type suits the job; lower is better. */
  typeScore(job: Job, pool: MachinePool): number {
    return this.displacementCost(job, pool, pool.machineCapacity, job.priority);
  }

  /** Lower is better; infinite if the task would displace work that is worth much more than itself. */
  score(job: Job, machine: Machine): number {
    const capacity = machine.freeCapacity;
    // Only work of at least the job's priority may exclude a machine. Otherwise urgent work waits beside idle
    // machines: services did not use 197 idle machines, as each was worth more to a gang of lower priority.
    const costToUrgent = this.displacementCost(job, machine, capacity, job.priority);
    if (costToUrgent > WASTEFUL_COST_RATIO) return Number.POSITIVE_INFINITY;
    // Of the machines that are left, the one that is worth least to work of all priorities is best.
    const cost =
      job.priority <= this.lowestPriority
        ? costToUrgent
        : this.displacementCost(job, machine, capacity, this.lowestPriority);
    const freeCpusAfter = Math.max(0, machine.freeCpus - job.spec.cpus) / machine.type.cpus;
    // The terms below are finite penalties: fetching an image displaces no other work, so that even a long
    // fetch must not exclude an idle machine.
    const basePenalty =
      cost +
      this.fetchPenalty(job, machine) +
      freeCpusAfter * FREE_CPUS_WEIGHT +
      this.pricePenalty(job, machine);
    return (
      basePenalty +
      this.fetchDelayPenalty(job, machine) +
      this.lateStartPenalty(job, machine) +
      this.failurePenalty(job, machine)
    );
  }

  /** Penalty for a machine on which the job has failed: it is used only if there is no other. */
  failurePenalty(job: Job, machine: Machine): number {
    return job.failures.hasFailedOn(machine.id) ? FAILED_MACHINE_PENALTY : 0;
  }

  /**
   * By how much the task lowers the value of the capacity to work of at least `minPriority`, as a multiple of
   * the task's own value.
   */
  private displacementCost(
    job: Job,
    source: CapacitySource,
    capacity: Capacity,
    minPriority: number,
  ): number {
    const { spec } = job;
    const ownValue = this.classValues.valueOfClass(spec.class);
    if (ownValue === 0) return 0;
    const remaining = {
      cpus: capacity.cpus - spec.cpus,
      gpus: capacity.gpus - spec.gpus,
      memoryGb: capacity.memoryGb - spec.memoryGb,
      taskListBytes: capacity.taskListBytes - listedTaskBytes(spec),
    };
    const valueBefore = this.classValues.valueOfCapacity(capacity, source, minPriority);
    const valueAfter = this.classValues.valueOfCapacity(remaining, source, minPriority);
    return (valueBefore - valueAfter) / ownValue;
  }

  /** The fraction of the fetch time and run time together that fetching the image would take. */
  private fetchPenalty(job: Job, machine: Machine): number {
    if (machine.images.has(job.spec.image) || machine.type.fetchGbPerS <= 0) return 0;
    const fetchS = job.spec.imageGb / machine.type.fetchGbPerS;
    return fetchS / (fetchS + Math.max(1, job.spec.estimatedRunS));
  }

  /** The fraction of the class's shortest wait objective that fetching the image would take; at most 1. */
  private fetchDelayPenalty(job: Job, machine: Machine): number {
    const objectiveS = this.shortestWaitS(job.spec.class);
    if (objectiveS === null) return 0;
    if (machine.images.has(job.spec.image) || machine.type.fetchGbPerS <= 0) return 0;
    return Math.min(1, job.spec.imageGb / machine.type.fetchGbPerS / objectiveS);
  }

  private pricePenalty(job: Job, machine: Machine): number {
    const tasks = tasksPerMachine(machine.type, job.spec);
    const cheapest = this.classValues.cheapestPriceOfClass(job.spec.class);
    if (tasks < 1 || cheapest <= 0) return 0;
    const price = machine.spot ? machine.type.spotPrice : machine.type.price;
    return Math.max(0, Math.log(price / tasks / cheapest)) * PRICE_WEIGHT;
  }

  /**
   * Penalty for a job in a dependency chain, by the fraction of its slack that waiting for the machine's next
   * heartbeat and for the image would take. The delays of all jobs in a chain add up.
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
