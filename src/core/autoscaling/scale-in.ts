// Releases machines to the cloud: idle machines that the plan does not use, drained machines, and machines
// whose boot timed out.
import { addMs, type Instant, LONG_AGO, type MachineId, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply } from '../base/model.ts';
import type { TokenBucket } from '../base/token-bucket.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { OfferBackoff } from './offer-backoff.ts';

/** The most machines that one call to the cloud may release. */
const MAX_MACHINES_PER_CALL = 100;
/** Interval between calls: machines that become idle within it are released in one call. */
const CALL_INTERVAL_MS: Millis = 2000;
/** Delay after a call that failed. */
const RETRY_DELAY_MS: Millis = 1000;
/** A machine is not released as idle before this time since this leader added it to the machine table. */
const MIN_AGE_MS: Millis = 60_000;
/**
 * An idle machine is kept for this many milliseconds for each second of its usual boot time. The time is in
 * proportion to the boot time because keeping a machine for one whole boot time costs at most twice as much
 * as the best choice with knowledge of future demand.
 */
const IDLE_MS_PER_BOOT_S = 400;
/**
 * Boot timeout: this many milliseconds for each second of the usual boot time, plus `BOOT_TIMEOUT_EXTRA_MS`.
 * A machine that is not up by then is released.
 */
const BOOT_TIMEOUT_MS_PER_BOOT_S = 4000;
const BOOT_TIMEOUT_EXTRA_MS: Millis = 5000;

/** Dependencies of {@link ScaleIn}. */
export interface ScaleInDependencies {
  io: ControllerIo;
  machines: MachineTable;
  backoff: OfferBackoff;
  callBudget: TokenBucket;
  /** Machines whose capacity the last plan uses for tasks or keeps as spare capacity. */
  neededMachines: ReadonlySet<MachineId>;
}

/** Machines to release in one call. */
interface ReleaseBatch {
  machines: Machine[];
  /** Number of machines for each reason. */
  reasons: Map<string, number>;
}

/** Releases machines, one call at a time. */
export class ScaleIn {
  private isCallInFlight = false;
  private nextCallAt: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly machines: MachineTable;
  private readonly backoff: OfferBackoff;
  private readonly callBudget: TokenBucket;
  private readonly neededMachines: ReadonlySet<MachineId>;

  constructor(dependencies: ScaleInDependencies) {
    this.io = dependencies.io;
    this.machines = dependencies.machines;
    this.backoff = dependencies.backoff;
    this.callBudget = dependencies.callBudget;
    this.neededMachines = dependencies.neededMachines;
  }

  /** Whether a call that releases machines is in flight. */
  get isInProgress(): boolean {
    return this.isCallInFlight;
  }

  /**
   * Releases machines that need not be kept. Machines stay usable until the call is sent: few calls a second
   * are allowed, and a machine marked in advance would be paid for without running the tasks that wait.
   * `mayReleaseIdle`: the state is known well enough to tell which machines are idle. `holdsLease`: no other
   * leader can exist; without the lease, machines that the next leader may be using are not released.
   */
  tick(mayReleaseIdle: boolean, holdsLease: boolean): void {
    if (this.isCallInFlight || this.io.now < this.nextCallAt) return;
    const batch = this.nextBatch(mayReleaseIdle, holdsLease);
    if (batch.machines.length === 0 || !this.callBudget.take(this.io.now)) return;
    this.release(batch);
  }

  private nextBatch(mayReleaseIdle: boolean, holdsLease: boolean): ReleaseBatch {
    const batch: ReleaseBatch = { machines: [], reasons: new Map() };
    for (const machine of this.machines.byId.values()) {
      if (batch.machines.length >= MAX_MACHINES_PER_CALL) break;
      if (!holdsLease && (!machine.isUp || machine.isOverdue)) continue;
      let reason: string | null = null;
      if (machine.isReleasing) reason = 'already releasing';
      else if (mayReleaseIdle) reason = this.releaseReason(machine);
      if (reason === null) continue;
      batch.machines.push(machine);
      batch.reasons.set(reason, (batch.reasons.get(reason) ?? 0) + 1);
    }
    return batch;
  }

  /** The reason to release the machine, for the log; null if it is kept. */
  private releaseReason(machine: Machine): string | null {
    const { now } = this.io;
    const { bootS } = machine.type;
    const ageMs = now - machine.requestedAt;
    if (!machine.isUp) {
      const timeoutMs = bootS * BOOT_TIMEOUT_MS_PER_BOOT_S + BOOT_TIMEOUT_EXTRA_MS;
      return ageMs > timeoutMs ? 'never came up' : null;
    }
    if (!machine.isEmpty || hasUnrecordedResults(machine)) return null;
    if (machine.cordonReason !== null) return machine.cordonReason;
    if (!machine.isReconciled || ageMs < MIN_AGE_MS || this.neededMachines.has(machine.id)) return null;
    return now - machine.idleSince > bootS * IDLE_MS_PER_BOOT_S ? 'idle' : null;
  }

  private release({ machines, reasons }: ReleaseBatch): void {
    for (const machine of machines) this.machines.beginRelease(machine);
    const ids = machines.map((machine) => machine.id);
    this.io.log('info', 'releasing machines', { reasons: Object.fromEntries(reasons), machines: ids });
    this.isCallInFlight = true;
    this.io.sendCloudRequest({ kind: 'release', machines: ids }, (reply) => this.onReply(machines, reply));
  }

  private onReply(machines: readonly Machine[], reply: CloudReply): void {
    this.isCallInFlight = false;
    const isReleased = reply.kind === 'released';
    this.nextCallAt = addMs(this.io.now, isReleased ? CALL_INTERVAL_MS : RETRY_DELAY_MS);
    if (!isReleased) return;
    for (const machine of machines) {
      this.machines.remove(machine, 'returned');
      // The cloud has at least this machine available again.
      this.backoff.onAvailable(machine);
    }
  }
}

/** Whether the machine has results that are not recorded yet; releasing it would lose them. */
function hasUnrecordedResults(machine: Machine): boolean {
  for (const task of machine.exitedTasks.values()) if (task.exitReason === 'done') return true;
  return false;
}
