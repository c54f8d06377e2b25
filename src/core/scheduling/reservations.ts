// Machines kept from smaller tasks while room for a larger one gathers on them. Without this, small tasks refill
// each gap as it opens, and a task that needs most of a machine, or a gang that needs several, waits for ever.
import { addMs, type Instant, type Millis, type ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { RuntimeEstimates } from '../jobs/job-ordering.ts';
import { type CapacityIndex, sampleFrom } from '../machines/capacity-index.ts';
import { isZoneAllowed, type Machine, type MachinePool } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import type { Preemption } from './preemption.ts';

/** A job gathers room when it has waited this long, and only where it is likely to come within the next. */
const AFTER_MS = 1500;
const WITHIN_S = 40;
/** A machine is let go when the room has not come this long after it was expected. */
const PATIENCE_MS = 10_000;
/** Bounds on what stands empty for this: part of a pool's machines, and machines taken in one pass. */
const PART = 0.25;
const PER_PASS = 24;
/** Machines looked at for each one that is wanted. */
const LOOK = 6;
/** Room is gathered for jobs whose tasks are worth this many times those of the least class. */
const LARGER = 2;

/** A stop counts like so many seconds more, and must bring the room at least so much sooner than a task's own end. */
const STOP_S = 4;
const WORTH_S = 8;

interface Hold {
  job: Job;
  until: Instant;
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

export class Reservations {
  private readonly holds = new Map<Machine, Hold>();
  private readonly ofJob = new Map<Job, Set<Machine>>();
  private readonly inPool = new Map<MachinePool, number>();
  private left = 0;
  /** How many machines were looked at, for the tests that bound the work. */
  machinesExamined = 0;
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

  /** Whether the machine gathers room for another job. */
  isReservedAgainst(m: Machine, job: Job): boolean {
    const h = this.holds.get(m);
    return h !== undefined && h.job !== job;
  }

  of(job: Job): Iterable<Machine> {
    return this.ofJob.get(job) ?? [];
  }

  /** At the start of a pass: holds that are no longer needed, or have not paid, end. */
  beginCycle(): void {
    this.left = PER_PASS;
    this.preemption.beginCycle(this.machines.byId.size);
    this.inPool.clear();
    for (const [m, h] of this.holds) {
      const over = h.job.isOver || h.job.isCancelling || h.job.waitingTasks === 0;
      if (over || m.indexPosition === null || this.io.now >= h.until) this.release(m);
      else this.inPool.set(m.indexPosition.pool, (this.inPool.get(m.indexPosition.pool) ?? 0) + 1);
    }
  }

  release(m: Machine): void {
    const h = this.holds.get(m);
    if (h === undefined) return;
    this.holds.delete(m);
    const set = this.ofJob.get(h.job);
    set?.delete(m);
    if (set?.size === 0) this.ofJob.delete(h.job);
  }

  /** Keeps machines for tasks of the job that found no place; in one zone if the job is bound to one. */
  reserve(job: Job, tasks: number, zone: ZoneName | null): void {
    if (this.io.now - job.readyAt < AFTER_MS || this.left <= 0) return;
    // Where room for smaller work comes and goes by itself, only a task that gives way helps.
    const large = this.binPacking.valueOfClass(job.spec.class) >= LARGER * this.binPacking.leastValue;
    if (!large && (this.preemption.remainingStops <= 0 || job.priority <= this.binPacking.leastPriority))
      return;
    const missing = Math.min(tasks - (this.ofJob.get(job)?.size ?? 0), this.left);
    if (missing <= 0) return;
    const found: { m: Machine; pool: MachinePool; eta: number; stops: TaskAssignment[] }[] = [];
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec) || (zone !== null && pool.zone !== zone)) continue;
      if (!isZoneAllowed(job, pool.zone, job.zones)) continue;
      if (this.binPacking.wasteful(job, pool)) continue;
      sampleFrom(pool.usable, LOOK * missing, this.io.random, (m) => {
        this.machinesExamined++;
        if (this.holds.has(m) || job.failedOn.has(m.id)) return;
        const { eta, stops } = this.eta(m, job);
        if (eta <= WITHIN_S && (large || stops.length > 0)) found.push({ m, pool, eta, stops });
      });
    }
    found.sort((a, b) => a.eta + a.stops.length * STOP_S - b.eta - b.stops.length * STOP_S);
    let n = 0;
    for (const f of found) {
      if (n >= missing) break;
      const held = this.inPool.get(f.pool) ?? 0;
      if (held >= Math.max(1, f.pool.usable.length * PART) || f.stops.length > this.preemption.remainingStops)
        continue;
      this.inPool.set(f.pool, held + 1);
      this.keep(f.m, job, f.eta * 1000);
      for (const e of f.stops) this.preemption.stop(e, job);
      n++;
    }
    this.left -= n;
  }

  private keep(m: Machine, job: Job, etaMs: Millis): void {
    this.holds.set(m, { job, until: addMs(this.io.now, etaMs + PATIENCE_MS) });
    const set = this.ofJob.get(job) ?? new Set();
    set.add(m);
    this.ofJob.set(job, set);
    for (const q of [...m.queue]) if (q.job.spec.kind !== 'gang') this.machines.dequeue(m, q);
  }

  /** Seconds until the machine has room for a task of the job if nothing more is put on it, and who must give way for that. */
  private eta(m: Machine, job: Job): { eta: number; stops: TaskAssignment[] } {
    const { cpus, gpus, memoryGb } = job.spec;
    let c = m.freeCpus - cpus;
    let g = m.freeGpus - gpus;
    let mem = m.freeMemory - memoryGb;
    const enough = () => c >= -1e-9 && g >= -1e-9 && mem >= -1e-9;
    if (enough()) return { eta: 0, stops: [] };
    const ends = [...m.assignments.values()].map((e) => this.end(e, job));
    ends.sort((a, b) => a.left - b.left);
    const stops: TaskAssignment[] = [];
    for (const { e, left, stop } of ends) {
      c += e.job.spec.cpus;
      g += e.job.spec.gpus;
      mem += e.job.spec.memoryGb;
      if (stop) stops.push(e);
      if (enough()) return { eta: left, stops };
    }
    return { eta: Number.POSITIVE_INFINITY, stops: [] };
  }

  /** When the task's room is free: by itself, or sooner because it gives way. */
  private end(e: TaskAssignment, job: Job): { e: TaskAssignment; left: number; stop: boolean } {
    const left = this.leftS(e.job, e.runningAt);
    const yielded = this.preemption.remainingStops > 0 ? this.preemption.freeS(e, job) : null;
    if (yielded === null || left <= yielded + WORTH_S) return { e, left, stop: false };
    return { e, left: yielded, stop: true };
  }

  private leftS(job: Job, runningAt: Instant | null): number {
    if (job.spec.kind === 'service') return Number.POSITIVE_INFINITY;
    return this.estimates.remainingS(job, runningAt === null ? 0 : (this.io.now - runningAt) / 1000);
  }
}
