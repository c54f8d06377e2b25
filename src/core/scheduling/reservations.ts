// Reserves machines for large tasks, also those of gangs, until enough capacity comes free on them. Without
// reservations, small tasks refill each gap as it opens, and a task that needs most of a machine starves. For
// smaller tasks, a machine is reserved only if tasks of lower priority on it are preempted for them.
import { addMs, type Instant, type Millis, type ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { RuntimeEstimates } from '../jobs/job-ordering.ts';
import { isZoneAllowed } from '../machines/capacity-checks.ts';
import { type CapacityIndex, sampleFrom } from '../machines/capacity-index.ts';
import type { Machine, MachinePool } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import { FreedCapacity } from './freed-capacity.ts';
import type { Preemption } from './preemption.ts';

/** A job must have waited this long before machines are reserved for it. */
const MIN_WAIT_MS: Millis = 1500;
/** A machine is reserved only if its capacity is expected to come free within this time. */
const MAX_EXPECTED_WAIT_S = 40;
/** A reservation expires this long after the time at which the capacity was expected to come free. */
const EXPIRY_MARGIN_MS: Millis = 10_000;
/** Limits on the capacity that reservations keep idle: a fraction of a pool, and machines per cycle. */
const MAX_RESERVED_FRACTION = 0.25;
const MAX_RESERVATIONS_PER_CYCLE = 24;
/** Machines sampled in each pool for each machine to be reserved. */
const MACHINES_SAMPLED_PER_RESERVATION = 6;
/**
 * A job is large if its tasks are worth at least this many times those of the class with the lowest value.
 */
const LARGE_VALUE_RATIO = 2;
/** Added to the expected wait for each preemption when machines are compared. */
const PREEMPTION_PENALTY_S = 4;
/** A preemption must free the capacity more than this much earlier than the end of the task. */
const MIN_PREEMPTION_GAIN_S = 8;

interface Reservation {
  job: Job;
  expiresAt: Instant;
}

/** When a machine that gets no further tasks has capacity for a task, and the tasks to preempt for it. */
interface ExpectedCapacity {
  availableInS: number;
  victims: TaskAssignment[];
}

interface ReservationCandidate extends ExpectedCapacity {
  machine: Machine;
  pool: MachinePool;
}

/** When a task frees its capacity, and whether it is preempted for that. */
interface ExpectedEnd {
  assignment: TaskAssignment;
  endsInS: number;
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
  /** Number of reserved machines in each pool, as of this cycle. */
  private readonly reservedByPool = new Map<MachinePool, number>();
  private remainingReservations = 0;
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
  isReservedForOther(machine: Machine, job: Job): boolean {
    const reservation = this.byMachine.get(machine);
    return reservation !== undefined && reservation.job !== job;
  }

  /** Whether any machine is reserved for the job. */
  has(job: Job): boolean {
    return this.byJob.has(job);
  }

  /** The machines reserved for the job. */
  machinesFor(job: Job): Iterable<Machine> {
    return this.byJob.get(job) ?? [];
  }

  /** Starts a scheduling cycle: resets the limits, and releases expired and unneeded reservations. */
  beginCycle(): void {
    this.remainingReservations = MAX_RESERVATIONS_PER_CYCLE;
    this.preemption.beginCycle(this.machines.byId.size);
    this.reservedByPool.clear();
    for (const [machine, { job, expiresAt }] of this.byMachine) {
      const isNeeded = !job.isOver && !job.isCancelling && job.waitingTasks > 0;
      const isOutdated = this.io.now >= expiresAt || job.failures.avoids(machine.id, this.io.now);
      if (!isNeeded || isOutdated || machine.indexPosition === null) {
        this.release(machine);
        continue;
      }
      const { pool } = machine.indexPosition;
      this.reservedByPool.set(pool, (this.reservedByPool.get(pool) ?? 0) + 1);
    }
  }

  /** Ends the machine's reservation, if it has one. */
  release(machine: Machine): void {
    const reservation = this.byMachine.get(machine);
    if (reservation === undefined) return;
    this.byMachine.delete(machine);
    const jobMachines = this.byJob.get(reservation.job);
    jobMachines?.delete(machine);
    if (jobMachines?.size === 0) this.byJob.delete(reservation.job);
  }

  /** Reserves machines for up to `tasks` waiting tasks of the job, only in `zone` unless that is null. */
  reserve(job: Job, tasks: number, zone: ZoneName | null): void {
    if (this.io.now - job.readyAt < MIN_WAIT_MS || this.remainingReservations <= 0) return;
    const isLarge = this.isLarge(job);
    // Capacity for smaller tasks comes free often: for them, only a reservation with a preemption helps.
    if (!isLarge && !this.mayPreempt(job)) return;
    const missing = Math.min(tasks - (this.byJob.get(job)?.size ?? 0), this.remainingReservations);
    if (missing <= 0) return;
    const candidates = this.findCandidates(job, missing, zone, isLarge);
    this.remainingReservations -= this.reserveBest(candidates, job, missing);
  }

  private isLarge(job: Job): boolean {
    return this.binPacking.valueOfClass(job.spec.class) >= LARGE_VALUE_RATIO * this.binPacking.lowestValue;
  }

  private mayPreempt(job: Job): boolean {
    return this.preemption.remainingPreemptions > 0 && job.priority > this.binPacking.lowestPriority;
  }

  /** Finds machines on which capacity is expected soon, the best first. */
  private findCandidates(
    job: Job,
    missing: number,
    zone: ZoneName | null,
    isLarge: boolean,
  ): ReservationCandidate[] {
    const candidates: ReservationCandidate[] = [];
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec) || (zone !== null && pool.zone !== zone)) continue;
      if (!isZoneAllowed(job, pool.zone, job.tasksByZone)) continue;
      if (this.binPacking.isWasteful(job, pool)) continue;
      sampleFrom(
        pool.schedulableMachines,
        MACHINES_SAMPLED_PER_RESERVATION * missing,
        this.io.random,
        (machine) => {
          if (this.byMachine.has(machine) || job.failures.avoids(machine.id, this.io.now)) return;
          const { availableInS, victims } = this.expectedCapacity(machine, job);
          if (availableInS > MAX_EXPECTED_WAIT_S) return;
          if (isLarge || victims.length > 0) candidates.push({ machine, pool, availableInS, victims });
        },
      );
    }
    return candidates.sort(
      (a, b) =>
        a.availableInS +
        a.victims.length * PREEMPTION_PENALTY_S -
        b.availableInS -
        b.victims.length * PREEMPTION_PENALTY_S,
    );
  }

  /** Reserves up to `missing` of the candidates; returns how many. */
  private reserveBest(candidates: readonly ReservationCandidate[], job: Job, missing: number): number {
    let reserved = 0;
    for (const { machine, pool, availableInS, victims } of candidates) {
      if (reserved >= missing) break;
      const reservedInPool = this.reservedByPool.get(pool) ?? 0;
      if (reservedInPool >= Math.max(1, pool.schedulableMachines.length * MAX_RESERVED_FRACTION)) continue;
      if (victims.length > this.preemption.remainingPreemptions) continue;
      this.reservedByPool.set(pool, reservedInPool + 1);
      this.reserveMachine(machine, job, availableInS * 1000);
      for (const victim of victims) this.preemption.preempt(victim, job);
      reserved++;
    }
    return reserved;
  }

  private reserveMachine(machine: Machine, job: Job, expectedInMs: Millis): void {
    this.byMachine.set(machine, { job, expiresAt: addMs(this.io.now, expectedInMs + EXPIRY_MARGIN_MS) });
    const jobMachines = this.byJob.get(job) ?? new Set();
    jobMachines.add(machine);
    this.byJob.set(job, jobMachines);
    for (const queued of [...machine.queue])
      if (queued.job.spec.kind !== 'gang') this.machines.dequeue(machine, queued);
  }

  private expectedCapacity(machine: Machine, job: Job): ExpectedCapacity {
    const capacity = new FreedCapacity(machine.freeCapacity, job.spec);
    if (capacity.isEnough) return { availableInS: 0, victims: [] };
    const ends = [...machine.assignments.values()].map((assignment) => this.expectedEnd(assignment, job));
    ends.sort((a, b) => a.endsInS - b.endsInS);
    const victims: TaskAssignment[] = [];
    for (const { assignment, endsInS, isPreempted } of ends) {
      capacity.addEndedTask(assignment.job.spec);
      if (isPreempted) victims.push(assignment);
      if (capacity.isEnough) return { availableInS: endsInS, victims };
    }
    return { availableInS: Number.POSITIVE_INFINITY, victims: [] };
  }

  /** When the task frees its capacity: at its own end, or earlier if it is preempted for the job. */
  private expectedEnd(assignment: TaskAssignment, forJob: Job): ExpectedEnd {
    const endsInS = this.remainingS(assignment.job, assignment.runningAt);
    const preemptedInS =
      this.preemption.remainingPreemptions > 0 ? this.preemption.secondsUntilFree(assignment, forJob) : null;
    if (preemptedInS === null || endsInS <= preemptedInS + MIN_PREEMPTION_GAIN_S)
      return { assignment, endsInS, isPreempted: false };
    return { assignment, endsInS: preemptedInS, isPreempted: true };
  }

  private remainingS(job: Job, runningAt: Instant | null): number {
    if (job.spec.kind === 'service') return Number.POSITIVE_INFINITY;
    const elapsedS = runningAt === null ? 0 : (this.io.now - runningAt) / 1000;
    return this.estimates.remainingS(job, elapsedS);
  }
}
