// Failures of a job's tasks: which machines the job avoids because of them, and how long it backs off. Every
// place that uses, counts or keeps capacity for a job asks here, so that all of them leave out the same
// machines.
import { elapsedMs, type Instant, LONG_AGO, type MachineId, type Millis } from '../../types/index.ts';

/** How long a job tries other machines, new ones too, before it uses a machine again that failed its task. */
const AVOIDANCE_MS: Millis = 30_000;
/** Number of machines on which a job has failed after which the job itself counts as faulty. */
const FAULTY_JOB_MACHINES = 3;
/** Bounds the memory of a job that fails everywhere; the failures that lie back the longest are dropped. */
const MAX_MACHINES_REMEMBERED = 32;
/** Failures are forgotten once there has been no other for so long: tasks of services never succeed. */
const MEMORY_MS: Millis = 300_000;
const BACKOFF_MS: Millis = 1000;
const BACKOFF_MAX_MS: Millis = 20_000;
const BACKOFF_MAX_DOUBLINGS = 10;

/** The failures of a job since one of its tasks last succeeded. */
export class FailureHistory {
  /** The last failure on each machine, the one that lies back the longest first. */
  private readonly lastFailures = new Map<MachineId, Instant>();
  private lastFailureAt: Instant = LONG_AGO;
  private failures = 0;

  /** Number of failures since the last success. */
  get count(): number {
    return this.failures;
  }

  /** Records that a task has failed on the machine. */
  record(machine: MachineId, now: Instant): void {
    if (this.isForgotten(now)) this.clear();
    this.failures++;
    this.lastFailureAt = now;
    this.lastFailures.delete(machine);
    this.lastFailures.set(machine, now);
    if (this.lastFailures.size <= MAX_MACHINES_REMEMBERED) return;
    const [oldest] = this.lastFailures.keys();
    this.lastFailures.delete(oldest!);
  }

  /** Records that a task has succeeded. */
  clear(): void {
    this.failures = 0;
    this.lastFailures.clear();
  }

  private isForgotten(now: Instant): boolean {
    return elapsedMs(now, this.lastFailureAt) >= MEMORY_MS;
  }

  /** Whether the job has failed on so many machines that the fault is its own rather than theirs. */
  isJobFaulty(now: Instant): boolean {
    return this.lastFailures.size >= FAULTY_JOB_MACHINES && !this.isForgotten(now);
  }

  /** How long the job waits before it is tried again after a failure at `now`. */
  backoffMs(now: Instant): Millis {
    if (!this.isJobFaulty(now)) return 0;
    return Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** Math.min(BACKOFF_MAX_DOUBLINGS, this.failures));
  }

  /** Whether a task of the job has failed on the machine since the last success. */
  hasFailedOn(machine: MachineId): boolean {
    return this.lastFailures.has(machine);
  }

  /**
   * Whether the job must not use the machine for now. It lasts for a limited time, as the machine may be
   * sound again and the only one that the job can get; a faulty job avoids no machine.
   */
  avoids(machine: MachineId, now: Instant): boolean {
    if (this.lastFailures.size === 0 || this.isJobFaulty(now)) return false;
    return elapsedMs(now, this.lastFailures.get(machine) ?? LONG_AGO) < AVOIDANCE_MS;
  }

  /** Whether the job must not use some machine for now. */
  avoidsAny(now: Instant): boolean {
    for (const machine of this.lastFailures.keys()) if (this.avoids(machine, now)) return true;
    return false;
  }
}
