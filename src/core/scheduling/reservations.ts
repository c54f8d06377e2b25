// Machines reserved for a large task or a gang while capacity for it comes free on them. Without
// reservations, small tasks refill each gap as it opens, and a task that needs most of a machine starves.
import { addMs, type Instant, type Millis, type ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { RuntimeEstimates } from '../jobs/job-ordering.ts';
import { type CapacityIndex, sampleFrom } from '../machines/capacity-index.ts';
import { isZoneAllowed, type Machine, type MachinePool } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import { FreedCapacity } from './freed-capacity.ts';
import type { Preemption } from './preemption.ts';

/** Machines are reserved for a job that has waited this long, and only where capacity is expected soon. */
const MIN_WAIT_MS: Millis = 1500;
const MAX_EXPECTED_WAIT_S = 40;
/** A reservation ends when the capacity has not come free this long after it was expected. */
const PATIENCE_MS: Millis = 10_000;
/**
 * Bounds on what stands idle for this: a fraction of a pool's machines, and machines reserved in one cycle.
 */
const MAX_RESERVED_FRACTION = 0.25;
const MAX_RESERVATIONS_PER_CYCLE = 24;
/** Machines sampled in a pool for each one that is needed. */
const MACHINES_SAMPLED_PER_RESERVATION = 6;
/** A job is large if its tasks are worth this many times those of the least valuable class. */
const LARGE_VALUE_RATIO = 2;
/** A preemption counts like so many seconds more, and must free capacity this much before the task's end. */
const PREEMPTION_PENALTY_S = 4;
const MIN_PREEMPTION_GAIN_S = 8;

interface Reservation {
  job: Job;
  until: Instant;
}

/**
 * When a machine will have capacity for a task if it gets no more work, and the tasks to preempt for that.
 */
interface ExpectedCapacity {
  inS: number;
  victims: TaskAssignment[];
}

interface ReservationCandidate extends ExpectedCapacity {
  machine: Machine;
  pool: MachinePool;
}

/** When a task's capacity comes free, and whether because the task is preempted. */
interface ExpectedEnd {
  assignment: TaskAssignment;
  inS: number;
  isPreempted: boolean;
}

/** What {@link Reservations} depends on. */
export interface ReservationsDependencies {
  io: ControllerIo;
  machines: MachineTable;
  capacityIndex: CapacityIndex;
  binPacking: BinPackingScorer;
  estimates: RuntimeEstimates;
  preemption: Preemption;
}

/** The reserved machines. */
export class Reservations {
  private readonly byMachine = new Map<Machine, Reservation>();
  private readonly byJob = new Map<Job, Set<Machine>>();
  /** Reserved machines of each pool, as of this cycle. */
  private readonly countByPool = new Map<MachinePool, number>();
  private remaining = 0;
  private readonly io: ControllerIo;
  private readonly machines: MachineTable;
  private readonly capacityIndex: CapacityIndex;
  private readonly binPacking: BinPackingScorer;
  private readonly estimates: RuntimeEstimates;
  private readonly preemption: Preemption;

  constructor(dependencies: ReservationsDependencies) {
    this.io = dependencies.io;
    this.machines = dependencies.machines;
    this.capacityIndex = dependencies.capacityIndex;
    this.binPacking = dependencies.binPacking;
    this.estimates = dependencies.estimates;
    this.preemption = dependencies.preemption;
  }

  /** Whether the machine is reserved for another job. */
  isReservedAgainst(machine: Machine, job: Job): boolean {
    const reservation = this.byMachine.get(machine);
    return reservation !== undefined && reservation.job !== job;
  }

  /** Whether any machine is reserved for the job. */
  has(job: Job): boolean {
    return this.byJob.has(job);
  }

  /** The machines reserved for the job. */
  of(job: Job): Iterable<Machine> {
    return this.byJob.get(job) ?? [];
  }

  /**
   * At the start of a scheduling cycle: reservations that are no longer needed, or have waited in vain, end.
   */
  beginCycle(): void {
    this.remaining = MAX_RESERVATIONS_PER_CYCLE;
    this.preemption.beginCycle(this.machines.byId.size);
    this.countByPool.clear();
    for (const [machine, { job, until }] of this.byMachine) {
      const isNeeded = !job.isOver && !job.isCancelling && job.waitingTasks > 0;
      if (!isNeeded || machine.indexPosition === null || this.io.now >= until) {
        this.release(machine);
        continue;
      }
      const { pool } = machine.indexPosition;
      this.countByPool.set(pool, (this.countByPool.get(pool) ?? 0) + 1);
    }
  }

  /** Ends the machine's reservation, if it has one. */
  release(machine: Machine): void {
    const reservation = this.byMachine.get(machine);
    if (reservation === undefined) return;
    this.byMachine.delete(machine);
    const ofJob = this.byJob.get(reservation.job);
    ofJob?.delete(machine);
    if (ofJob?.size === 0) this.byJob.delete(reservation.job);
  }

  /** Reserves machines for tasks of the job that found no place; in one zone if the job is bound to one. */
  reserve(job: Job, tasks: number, zone: ZoneName | null): void {
    if (this.io.now - job.readyAt < MIN_WAIT_MS || this.remaining <= 0) return;
    const isLarge = this.isLarge(job);
    // Capacity for smaller tasks comes and goes by itself: for them only a preemption helps.
    if (!isLarge && !this.mayPreempt(job)) return;
    const missing = Math.min(tasks - (this.byJob.get(job)?.size ?? 0), this.remaining);
    if (missing <= 0) return;
    this.remaining -= this.reserveBest(this.findCandidates(job, missing, zone, isLarge), job, missing);
  }

  private isLarge(job: Job): boolean {
    return this.binPacking.valueOfClass(job.spec.class) >= LARGE_VALUE_RATIO * this.binPacking.leastValue;
  }

  private mayPreempt(job: Job): boolean {
    return this.preemption.remainingStops > 0 && job.priority > this.binPacking.leastPriority;
  }

  /** Machines on which capacity is expected soon, the best first. */
  private findCandidates(
    job: Job,
    missing: number,
    zone: ZoneName | null,
    isLarge: boolean,
  ): ReservationCandidate[] {
    const found: ReservationCandidate[] = [];
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec) || (zone !== null && pool.zone !== zone)) continue;
      if (!isZoneAllowed(job, pool.zone, job.zones)) continue;
      if (this.binPacking.wasteful(job, pool)) continue;
      sampleFrom(pool.usable, MACHINES_SAMPLED_PER_RESERVATION * missing, this.io.random, (machine) => {
        if (this.byMachine.has(machine) || job.failedOn.has(machine.id)) return;
        const { inS, victims } = this.expectedCapacity(machine, job);
        if (inS > MAX_EXPECTED_WAIT_S) return;
        if (isLarge || victims.length > 0) found.push({ machine, pool, inS, victims });
      });
    }
    return found.sort(
      (a, b) =>
        a.inS + a.victims.length * PREEMPTION_PENALTY_S - b.inS - b.victims.length * PREEMPTION_PENALTY_S,
    );
  }

  /** Reserves up to `missing` of the candidates; returns how many. */
  private reserveBest(candidates: readonly ReservationCandidate[], job: Job, missing: number): number {
    let reserved = 0;
    for (const { machine, pool, inS, victims } of candidates) {
      if (reserved >= missing) break;
      const inPool = this.countByPool.get(pool) ?? 0;
      if (inPool >= Math.max(1, pool.usable.length * MAX_RESERVED_FRACTION)) continue;
      if (victims.length > this.preemption.remainingStops) continue;
      this.countByPool.set(pool, inPool + 1);
      this.reserveMachine(machine, job, inS * 1000);
      for (const victim of victims) this.preemption.preempt(victim, job);
      reserved++;
    }
    return reserved;
  }

  private reserveMachine(machine: Machine, job: Job, expectedInMs: Millis): void {
    this.byMachine.set(machine, { job, until: addMs(this.io.now, expectedInMs + PATIENCE_MS) });
    const ofJob = this.byJob.get(job) ?? new Set();
    ofJob.add(machine);
    this.byJob.set(job, ofJob);
    for (const queued of [...machine.queue])
      if (queued.job.spec.kind !== 'gang') this.machines.dequeue(machine, queued);
  }

  private expectedCapacity(machine: Machine, job: Job): ExpectedCapacity {
    const capacity = new FreedCapacity(machine.freeCpus, machine.freeGpus, machine.freeMemory, job.spec);
    if (capacity.isEnough) return { inS: 0, victims: [] };
    const ends = [...machine.assignments.values()].map((assignment) => this.expectedEnd(assignment, job));
    ends.sort((a, b) => a.inS - b.inS);
    const victims: TaskAssignment[] = [];
    for (const { assignment, inS, isPreempted } of ends) {
      capacity.addTask(assignment.job.spec);
      if (isPreempted) victims.push(assignment);
      if (capacity.isEnough) return { inS, victims };
    }
    return { inS: Number.POSITIVE_INFINITY, victims: [] };
  }

  /** A task ends by itself, or sooner because it is preempted for the job. */
  private expectedEnd(assignment: TaskAssignment, forJob: Job): ExpectedEnd {
    const inS = this.remainingS(assignment.job, assignment.runningAt);
    const preemptedInS =
      this.preemption.remainingStops > 0 ? this.preemption.secondsUntilFree(assignment, forJob) : null;
    if (preemptedInS === null || inS <= preemptedInS + MIN_PREEMPTION_GAIN_S)
      return { assignment, inS, isPreempted: false };
    return { assignment, inS: preemptedInS, isPreempted: true };
  }

  private remainingS(job: Job, runningAt: Instant | null): number {
    if (job.spec.kind === 'service') return Number.POSITIVE_INFINITY;
    const elapsedS = runningAt === null ? 0 : (this.io.now - runningAt) / 1000;
    return this.estimates.remainingS(job, elapsedS);
  }
}
