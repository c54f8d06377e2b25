// When a revision of the configuration is in force: no controller can act on an older one (docs/safety.md).
// The leader alone starts tasks, so that is when it has applied the revision and the last start under an
// older one has reached its machine. It puts that on record, for operators who wait for it, and watches which
// nodes lag.
import { addMs, type Instant, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerConfigRevision } from '../membership/peer-registry.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { CONFIG_IN_FORCE_KEY } from '../storage/keys.ts';
import type { AppliedChange, Configuration } from './configuration.ts';
import { encodeInForceRecord, type InForceRecord } from './in-force-record.ts';
import { LagMonitor } from './lag-monitor.ts';

export type { InForceRecord };

/** Agents drop responses after 4 s: a start that was sent under an older limit arrives no later than this. */
const START_DELIVERY_MS = 4100;
const LAG_CHECK_INTERVAL_MS = 500;

/** An applied revision that is in force from a moment on. */
interface PendingRevision {
  revision: Revision;
  inForceAt: Instant;
}

/** What {@link Rollout} depends on. */
export interface RolloutDependencies {
  io: ControllerIo;
  writer: FencedWriter;
  /** The term of this leader. */
  term: Revision;
  configuration: Configuration;
  /** What each of the other nodes applies. */
  peerRevisions: () => readonly PeerConfigRevision[];
}

/** Declares revisions in force during one term. */
export class Rollout {
  /** The last revision that is on record as in force, under this term. */
  inForce = 0 as Revision;
  private readonly pending: PendingRevision[] = [];
  private isWriting = false;
  private checkLagsAt = 0 as Instant;
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

  /** The leader begins: what an earlier leader has started may still be on its way. */
  begin(): void {
    if (this.configuration.hasDocuments) this.addPending(this.configuration.applied, true);
  }

  /** The leader has applied a revision. */
  onApplied(change: AppliedChange): void {
    this.addPending(change.to, change.lowered);
  }

  /** `isCurrent`: no other controller can be the leader. */
  tick(isCurrent: boolean): void {
    if (!this.configuration.hasDocuments) return;
    if (isCurrent) this.declareNext();
    if (this.io.now < this.checkLagsAt) return;
    this.checkLagsAt = addMs(this.io.now, LAG_CHECK_INTERVAL_MS);
    for (const peer of this.peerRevisions()) this.lagMonitor.check(peer, this.configuration.applied);
  }

  /** For operators: what is in force, and how long each node that lags has done so, in seconds. */
  describe(): Record<string, unknown> {
    return { inForce: this.inForce, lagging: this.lagMonitor.describe() };
  }

  private addPending(revision: Revision, isLimitLowered: boolean): void {
    const earlier = this.pending.at(-1)?.inForceAt ?? this.io.now;
    const delivered = isLimitLowered ? addMs(this.io.now, START_DELIVERY_MS) : this.io.now;
    // Of an earlier revision that lowered a limit a start may be on its way as well.
    this.pending.push({ revision, inForceAt: Math.max(delivered, earlier) as Instant });
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
    const lagging = this.revisionsBehind(revision);
    const record: InForceRecord = { revision, term: this.term, at: this.io.wallTime, lagging };
    const writeId = this.writer.nextWriteId();
    // The same value whichever copy is carried out, under this term only.
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
        this.inForce = revision;
        this.io.log('info', 'configuration in force', { revision, lagging: Object.keys(lagging) });
      },
    });
  }

  /** The nodes that apply an older revision, each with the one that it applies. */
  private revisionsBehind(revision: Revision): Record<string, Revision> {
    const lagging: Record<string, Revision> = {};
    for (const peer of this.peerRevisions()) {
      const applied = peer.revision ?? (0 as Revision);
      if (peer.revision === null || applied < revision) lagging[peer.node] = applied;
    }
    return lagging;
  }
}
