// Releases machines to the cloud: idle ones that no plan uses, drained ones, and those that never came up.
import { addMs, type Instant, LONG_AGO, type MachineId, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply } from '../base/model.ts';
import type { TokenBucket } from '../base/token-bucket.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { OfferBackoff } from './offer-backoff.ts';

/** Machines that one call to the cloud may release. */
const MAX_MACHINES_PER_CALL = 100;
/** What falls idle within this time shares a call; a call that failed is repeated after the delay. */
const CALL_INTERVAL_MS: Millis = 2000;
const RETRY_DELAY_MS: Millis = 1000;
/** An idle machine is kept for the first minute. */
const MIN_AGE_MS: Millis = 60_000;
/** An idle machine is kept for about a boot time: that costs at most twice what the best choice would. */
const IDLE_MS_PER_BOOT_S = 400;
/** A machine that is not up by then never comes up. */
const BOOT_TIMEOUT_MS_PER_BOOT_S = 4000;
const BOOT_TIMEOUT_EXTRA_MS: Millis = 5000;

/** What {@link ScaleIn} depends on. */
export interface ScaleInDependencies {
  io: ControllerIo;
  machines: MachineTable;
  backoff: OfferBackoff;
  callBudget: TokenBucket;
  /** Machines that waiting work or spare capacity is planned on. */
  neededMachines: ReadonlySet<MachineId>;
}

/** Machines to release, and how many of them for each reason. */
interface ReleaseBatch {
  machines: Machine[];
  reasons: Map<string, number>;
}

/** Releases machines, one call at a time. */
export class ScaleIn {
  private isCallInFlight = false;
  private nextCall: Instant = LONG_AGO;
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

  /** Whether a call that releases machines is under way. */
  get isInProgress(): boolean {
    return this.isCallInFlight;
  }

  /**
   * Releases what need not be kept. Machines stay in use until the call is made: with few calls a second,
   * ones marked ahead of it stood idle, and were paid for, beside waiting work. `mayReleaseIdle`: the state
   * is known well enough to tell which machines are idle. `holdsLease`: no other leader can exist; without
   * it, no machine is released that the next leader may be using.
   */
  tick(mayReleaseIdle: boolean, holdsLease: boolean): void {
    if (this.isCallInFlight || this.io.now < this.nextCall) return;
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

  /** Why the machine need not be kept; null if it is kept. */
  private releaseReason(machine: Machine): string | null {
    const { now } = this.io;
    const { bootS } = machine.type;
    const ageMs = now - machine.requestedAt;
    if (!machine.isUp) {
      const timeoutMs = bootS * BOOT_TIMEOUT_MS_PER_BOOT_S + BOOT_TIMEOUT_EXTRA_MS;
      return ageMs > timeoutMs ? 'never came up' : null;
    }
    if (!machine.isEmpty || hasUnrecordedResults(machine)) return null;
    if (machine.drainReason !== null) return machine.drainReason;
    if (!machine.isReconciled || ageMs < MIN_AGE_MS || this.neededMachines.has(machine.id)) return null;
    return now - machine.idleSince > bootS * IDLE_MS_PER_BOOT_S ? 'idle' : null;
  }

  private release({ machines, reasons }: ReleaseBatch): void {
    for (const machine of machines) this.machines.beginRelease(machine);
    const ids = machines.map((machine) => machine.id);
    this.io.log('info', 'releasing machines', { reasons: Object.fromEntries(reasons), machines: ids });
    this.isCallInFlight = true;
    this.io.cloud({ kind: 'release', machines: ids }, (reply) => this.onReply(machines, reply));
  }

  private onReply(machines: readonly Machine[], reply: CloudReply): void {
    this.isCallInFlight = false;
    const isReleased = reply.kind === 'released';
    this.nextCall = addMs(this.io.now, isReleased ? CALL_INTERVAL_MS : RETRY_DELAY_MS);
    if (!isReleased) return;
    for (const machine of machines) {
      this.machines.remove(machine, 'returned');
      // At least this one can be had again.
      this.backoff.onAvailable(machine);
    }
  }
}

/** Results not yet recorded would be lost with the machine. */
function hasUnrecordedResults(machine: Machine): boolean {
  for (const task of machine.exitedTasks.values()) if (task.exitReason === 'done') return true;
  return false;
}
