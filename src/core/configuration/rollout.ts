// Declares revisions of the configuration in force: from then on no controller can act on an older one
// (docs/safety.md). Only the leader starts tasks, so a revision is in force when the leader has applied it
// and the last start command under an older revision has reached its machine. The leader records the revision
// for operators who wait for it, and monitors which nodes lag behind.
import { addMs, type Instant, NO_REVISION, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerConfigRevision } from '../membership/peer-registry.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { CONFIG_IN_FORCE_KEY } from '../storage/keys.ts';
import type { AppliedChange, Configuration } from './configuration.ts';
import { encodeInForceRecord, type InForceRecord } from './in-force-record.ts';
import { LagMonitor } from './lag-monitor.ts';

export type { InForceRecord };

/**
 * Agents discard responses after 4 s: a start command sent under an older limit arrives within this time or
 * never.
 */
const START_DELIVERY_MS = 4100;
const LAG_CHECK_INTERVAL_MS = 500;

/** An applied revision that has not been declared in force yet. */
interface PendingRevision {
  revision: Revision;
  inForceAt: Instant;
}

/** Dependencies of {@link Rollout}. */
export interface RolloutDependencies {
  io: ControllerIo;
  writer: FencedWriter;
  /** The term of this leader. */
  term: Revision;
  configuration: Configuration;
  /** The revision that each of the other nodes applies. */
  peerRevisions: () => readonly PeerConfigRevision[];
}

/** Declares the applied revisions in force during one term. */
export class Rollout {
  /** The last revision that this term has recorded as in force. */
  inForceRevision = NO_REVISION;
  private readonly pending: PendingRevision[] = [];
  private isWriting = false;
  private nextLagCheckAt = 0 as Instant;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly term: Revision;
  private readonly configuration: Configuration;
  private readonly peerRevisions: () => readonly PeerConfigRevision[];
  private readonly lagMonitor: LagMonitor;

  constructor(dependencies: RolloutDependencies) {
    this.io = dependencies.io;
    this.writer = dependencies.writer;
    this.term = dependencies.term;
    this.configuration = dependencies.configuration;
    this.peerRevisions = dependencies.peerRevisions;
    this.lagMonitor = new LagMonitor(this.io);
  }

  /**
   * Called when the term has loaded its records. Start commands of an earlier leader may still be in transit.
   */
  begin(): void {
    if (this.configuration.hasDocuments) this.addPending(this.configuration.appliedRevision, true);
  }

  /** Called when the leader has applied a revision. */
  onApplied(change: AppliedChange): void {
    this.addPending(change.to, change.isLimitLowered);
  }

  /**
   * Declares due revisions and checks for lagging nodes. `holdsLease`: no other controller can be the leader.
   */
  tick(holdsLease: boolean): void {
    if (!this.configuration.hasDocuments) return;
    if (holdsLease) this.declareNext();
    if (this.io.now < this.nextLagCheckAt) return;
    this.nextLagCheckAt = addMs(this.io.now, LAG_CHECK_INTERVAL_MS);
    for (const peer of this.peerRevisions()) this.lagMonitor.check(peer, this.configuration.appliedRevision);
  }

  /** The status output for operators: the revision in force, and the lag of each lagging node in seconds. */
  describe(): Record<string, unknown> {
    return { inForce: this.inForceRevision, lagging: this.lagMonitor.describe() };
  }

  private addPending(revision: Revision, mayHaveStartsInTransit: boolean): void {
    const previousInForceAt = this.pending.at(-1)?.inForceAt ?? this.io.now;
    const deliveredAt = mayHaveStartsInTransit ? addMs(this.io.now, START_DELIVERY_MS) : this.io.now;
    // Not before the previous pending revision: start commands from before its limits were lowered may still
    // be in transit.
    this.pending.push({ revision, inForceAt: Math.max(deliveredAt, previousInForceAt) as Instant });
  }

  private declareNext(): void {
    if (this.isWriting) return;
    let revision: Revision | null = null;
    while (this.pending.length > 0 && this.pending[0]!.inForceAt <= this.io.now)
      revision = this.pending.shift()!.revision;
    if (revision !== null) this.declare(revision);
  }

  private declare(revision: Revision): void {
    this.isWriting = true;
    const lagging = this.laggingRevisions(revision);
    const record: InForceRecord = { revision, term: this.term, at: this.io.wallTime, lagging };
    const writeId = this.writer.nextWriteId();
    // A repeated write has the same value, and the writer carries it out under this term only.
    this.writer.write({
      conditions: [],
      puts: [{ key: CONFIG_IN_FORCE_KEY, value: encodeInForceRecord(record, writeId) }],
      deletes: [],
      verifyKey: CONFIG_IN_FORCE_KEY,
      writeId,
      priority: WritePriority.sharedRecord,
      onResult: (result) => {
        this.isWriting = false;
        if (result.kind !== 'ok') return;
        this.inForceRevision = revision;
        this.io.log('info', 'configuration in force', { revision, lagging: Object.keys(lagging) });
      },
    });
  }

  /** The nodes that apply an older revision, each with the revision that it applies. */
  private laggingRevisions(revision: Revision): Record<string, Revision> {
    const lagging: Record<string, Revision> = {};
    for (const peer of this.peerRevisions()) {
      const applied = peer.revision ?? NO_REVISION;
      if (peer.revision === null || applied < revision) lagging[peer.node] = applied;
    }
    return lagging;
  }
}
