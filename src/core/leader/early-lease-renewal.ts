// Renewal of machines' leases by a new leader that has not read the records yet (docs/safety.md, point 15).
import type { FencingToken, Instant, MachineId, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { LAST_RECOVERY_KEY } from '../storage/keys.ts';
import { encodeRecoveryRecord, type RecoveryRecord } from '../storage/shard-records.ts';

/** A heartbeat is sent this long before it is read, at the most: later its agent drops the response. */
const HEARTBEAT_MAX_AGE_MS = 4500;
/** Wall clocks of controllers are never this far apart: they keep within tens of milliseconds of true time. */
const WALL_CLOCK_SKEW_MS = 1000;
/** Twice what monotonic clocks drift apart. */
const CLOCK_DRIFT_FACTOR = 1.001;

/**
 * Decides whether a machine may be answered, and its lease renewed, before the records are read. What an
 * earlier leader confirmed as cancelled may run there, and this leader does not know it yet. So the last
 * response that the machine took must have come from a leader that knew: then what was cancelled later was
 * confirmed later, and the machine, first answered within a lease of that response, may be given leases until
 * all must be gone within `cancel_s` of what may have been confirmed. It came from a leader that knew if the
 * machine has seen no later token, and that leader had read the records more than a lease ago: a response
 * from before that has run out.
 */
export class EarlyLeaseRenewal {
  private readonly firstAnsweredAt = new Map<MachineId, Instant>();
  /** For how long after its first response a machine may be given leases; none if negative. */
  private readonly renewalPeriodMs: number;
  private readonly leaseMs: number;

  constructor(
    private readonly io: ControllerIo,
    workers: Settings['workers'],
    /** The last leader before this one that had read all records. */
    private readonly lastRecovery: RecoveryRecord | null,
  ) {
    const { cancelS, leaseS } = workers;
    this.renewalPeriodMs = (cancelS - 2 * leaseS * CLOCK_DRIFT_FACTOR) * 1000;
    this.leaseMs = leaseS * 1000 * CLOCK_DRIFT_FACTOR;
  }

  /**
   * Whether the machine, which has seen the token, may be answered; notes that it is, as all callers do so.
   */
  mayRenew(machine: MachineId, seenToken: FencingToken): boolean {
    const firstAnsweredAt = this.firstAnsweredAt.get(machine);
    if (firstAnsweredAt !== undefined)
      return this.io.now <= firstAnsweredAt + this.renewalPeriodMs - HEARTBEAT_MAX_AGE_MS;
    if (!this.wasAnsweredByRecoveredLeader(seenToken)) return false;
    this.firstAnsweredAt.set(machine, this.io.now);
    return true;
  }

  /** The records are read: leases are renewed by what they say from now on. */
  end(): void {
    this.firstAnsweredAt.clear();
  }

  private wasAnsweredByRecoveredLeader(seenToken: FencingToken): boolean {
    if (this.renewalPeriodMs < 0 || this.lastRecovery === null) return false;
    if (seenToken !== (this.lastRecovery.term as number)) return false;
    return this.io.wallTime - this.lastRecovery.at > this.leaseMs + WALL_CLOCK_SKEW_MS;
  }
}

/** Puts on record that this leader has read all records: from now on its responses stop what is cancelled. */
export function recordRecovery(io: ControllerIo, writer: FencedWriter, term: Revision): void {
  const writeId = writer.nextWriteId();
  writer.write({
    conditions: [],
    // The same value whichever copy is carried out, under this term only.
    puts: [{ key: LAST_RECOVERY_KEY, value: encodeRecoveryRecord({ term, at: io.wallTime }, writeId) }],
    deletes: [],
    verifyKey: LAST_RECOVERY_KEY,
    writeId,
    priority: WritePriority.machineRegistry,
    onResult: () => {},
  });
}
