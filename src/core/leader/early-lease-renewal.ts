// Renewal of machines' leases by a new leader before it has read the records (docs/safety.md, point 15).
import {
  type FencingToken,
  fencingTokenOf,
  type Instant,
  type MachineId,
  type Revision,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { LAST_RECOVERY_KEY } from '../storage/keys.ts';
import { encodeRecoveryRecord, type RecoveryRecord } from '../storage/shard-records.ts';

/** Maximum time between sending and processing a heartbeat: its agent drops any later response. */
const HEARTBEAT_MAX_AGE_MS = 4500;
/** Upper bound on the skew between wall clocks of controllers, which stay within tens of ms of true time. */
const WALL_CLOCK_SKEW_MS = 1000;
/** Covers twice the drift between two monotonic clocks. */
const CLOCK_DRIFT_FACTOR = 1.001;

/**
 * Decides whether a machine may be answered, and its lease renewed, before the records are read.
 *
 * The machine may run tasks whose cancellation an earlier leader has confirmed, which this leader cannot know
 * yet. Its lease may therefore be renewed only if the last response that the machine accepted came from a
 * leader that had read all records. Any cancellation that this response did not carry out was confirmed after
 * it. The machine is first answered here within one lease of that response, and may be given leases as long
 * as its tasks still end within `cancel_s` of the earliest such confirmation.
 *
 * The response came from a leader that had read all records if the latest fencing token that the machine has
 * seen is that leader's, and if it had read them more than one lease ago: a lease renewed by an earlier
 * response has expired by now.
 */
export class EarlyLeaseRenewal {
  private readonly firstAnsweredAt = new Map<MachineId, Instant>();
  /** How long after its first response a machine may be given leases; if negative, it is given none. */
  private readonly renewalPeriodMs: number;
  private readonly leaseMs: number;

  constructor(
    private readonly io: ControllerIo,
    workers: Settings['workers'],
    /** The last completed recovery: the latest earlier leader that had read all records. */
    private readonly lastRecovery: RecoveryRecord | null,
  ) {
    const { cancelS, leaseS } = workers;
    this.renewalPeriodMs = (cancelS - 2 * leaseS * CLOCK_DRIFT_FACTOR) * 1000;
    this.leaseMs = leaseS * 1000 * CLOCK_DRIFT_FACTOR;
  }

  /**
   * Whether the machine, whose latest fencing token is `seenToken`, may be answered. The first time that it
   * may, the time is recorded, as every caller answers it then.
   */
  tryRenew(machine: MachineId, seenToken: FencingToken): boolean {
    const firstAnsweredAt = this.firstAnsweredAt.get(machine);
    if (firstAnsweredAt !== undefined)
      return this.io.now <= firstAnsweredAt + this.renewalPeriodMs - HEARTBEAT_MAX_AGE_MS;
    if (!this.wasAnsweredByRecoveredLeader(seenToken)) return false;
    this.firstAnsweredAt.set(machine, this.io.now);
    return true;
  }

  /** The records have been read: from now on leases are renewed by the ordinary rules. */
  end(): void {
    this.firstAnsweredAt.clear();
  }

  private wasAnsweredByRecoveredLeader(seenToken: FencingToken): boolean {
    if (this.renewalPeriodMs < 0 || this.lastRecovery === null) return false;
    if (seenToken !== fencingTokenOf(this.lastRecovery.term)) return false;
    return this.io.wallTime - this.lastRecovery.at > this.leaseMs + WALL_CLOCK_SKEW_MS;
  }
}

/**
 * Records that this leader has read all records: from now on its responses to heartbeats stop the tasks of
 * cancelled jobs.
 */
export function recordRecovery(io: ControllerIo, writer: FencedWriter, term: Revision): void {
  const writeId = writer.nextWriteId();
  writer.write({
    conditions: [],
    // Needs no further conditions: repeated copies write the same value, and only under this term.
    puts: [{ key: LAST_RECOVERY_KEY, value: encodeRecoveryRecord({ term, at: io.wallTime }, writeId) }],
    deletes: [],
    verifyKey: LAST_RECOVERY_KEY,
    writeId,
    priority: WritePriority.machineRegistry,
    onResult: () => {},
  });
}
