// When a revision of the configuration is in force: no controller can act on an older one (docs/safety.md). The owner alone
// starts tasks, so that is when it has applied the revision and the last start under an older one has reached its machine.
// It puts that on record, for operators who wait for it, and knows which nodes lag.
import { addMs, elapsedMs, type Instant, type NodeId, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerConfigRevision } from '../membership/peer-registry.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { CONFIG_IN_FORCE_KEY } from '../storage/keys.ts';
import type { AppliedChange, Configuration } from './configuration.ts';

/** Workers drop answers after 4 s: a start that was sent under an older limit arrives no later than this. */
const ON_ITS_WAY_MS = 4100;
/** A node that applies a revision within this time is not told of as lagging. */
const PROMPT_MS = 2000;
const LOOK_MS = 500;

/** What is on record under CONFIG_IN_FORCE. */
export interface InForceRecord {
  revision: Revision;
  term: Revision;
  /** Wall time, in milliseconds. */
  at: number;
  /** What the nodes that lag apply. */
  lagging: Record<string, Revision>;
}

interface Settling {
  revision: Revision;
  at: Instant;
}

interface Lag {
  from: Revision;
  since: Instant;
  told: boolean;
}

/** What {@link Rollout} depends on. */
export interface RolloutDependencies {
  io: ControllerIo;
  writer: FencedWriter;
  term: Revision;
  configuration: Configuration;
  peerRevisions: () => readonly PeerConfigRevision[];
}

export class Rollout {
  /** The last revision that is on record as in force, under this term. */
  inForce = 0 as Revision;
  private readonly settling: Settling[] = [];
  private writing = false;
  private readonly lags = new Map<NodeId, Lag>();
  private nextLook = 0 as Instant;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly term: Revision;
  private readonly configuration: Configuration;
  private readonly peerRevisions: () => readonly PeerConfigRevision[];

  constructor(dependencies: RolloutDependencies) {
    this.io = dependencies.io;
    this.writer = dependencies.writer;
    this.term = dependencies.term;
    this.configuration = dependencies.configuration;
    this.peerRevisions = dependencies.peerRevisions;
  }

  /** The owner begins: what an owner before it has started may still be on its way. */
  begin(): void {
    if (this.configuration.hasDocuments) this.settle(this.configuration.applied, true);
  }

  onApplied(change: AppliedChange): void {
    this.settle(change.to, change.lowered);
  }

  private settle(revision: Revision, lowered: boolean): void {
    const waiting = this.settling.at(-1)?.at ?? this.io.now;
    const at = lowered ? addMs(this.io.now, ON_ITS_WAY_MS) : this.io.now;
    // Of an earlier revision that lowered a limit a start may be on its way as well.
    this.settling.push({ revision, at: Math.max(at, waiting) as Instant });
  }

  /** `current`: no other controller can own the share. */
  tick(current: boolean): void {
    if (!this.configuration.hasDocuments) return;
    if (current) this.record();
    if (this.io.now < this.nextLook) return;
    this.nextLook = addMs(this.io.now, LOOK_MS);
    for (const n of this.peerRevisions()) this.look(n);
  }

  private record(): void {
    if (this.writing) return;
    let revision: Revision | null = null;
    while (this.settling.length > 0 && this.settling[0]!.at <= this.io.now)
      revision = this.settling.shift()!.revision;
    if (revision !== null) this.write(revision);
  }

  private write(revision: Revision): void {
    this.writing = true;
    const lagging: Record<string, Revision> = {};
    for (const { node, revision: r } of this.peerRevisions())
      if (r === null || r < revision) lagging[node] = r ?? (0 as Revision);
    const value: InForceRecord = { revision, term: this.term, at: this.io.wallTime, lagging };
    const writeId = this.writer.nextWriteId();
    // The same value whichever copy is carried out, under this term only.
    this.writer.write({
      conditions: [],
      puts: [{ key: CONFIG_IN_FORCE_KEY, value: { ...value, w: writeId } }],
      deletes: [],
      verifyKey: CONFIG_IN_FORCE_KEY,
      writeId,
      priority: WritePriority.sharedRecord,
      onResult: (r) => {
        this.writing = false;
        if (r.kind !== 'ok') return;
        this.inForce = revision;
        this.io.log('info', 'configuration in force', { revision, lagging: Object.keys(lagging) });
      },
    });
  }

  private look({ node, revision, linked }: PeerConfigRevision): void {
    const { applied } = this.configuration;
    const lag = this.lags.get(node);
    if (revision !== null && revision >= applied) {
      if (lag?.told) {
        const afterMs = Math.round(elapsedMs(this.io.now, lag.since));
        this.io.log('info', 'configuration caught up', { node, from: lag.from, to: revision, afterMs });
      }
      this.lags.delete(node);
      return;
    }
    if (lag === undefined) {
      this.lags.set(node, { from: revision ?? (0 as Revision), since: this.io.now, told: false });
      return;
    }
    if (lag.told || elapsedMs(this.io.now, lag.since) < PROMPT_MS) return;
    lag.told = true;
    const why = linked ? 'it has not applied the revision yet' : 'its link is down';
    this.io.log('info', 'configuration lags', { node, from: lag.from, to: applied, why });
  }

  /** For operators: how long each node that lags has done so, in seconds. */
  describe(): Record<string, unknown> {
    const lagging: Record<string, number> = {};
    for (const [node, lag] of this.lags)
      lagging[node] = Math.round(elapsedMs(this.io.now, lag.since) / 100) / 10;
    return { inForce: this.inForce, lagging };
  }
}
