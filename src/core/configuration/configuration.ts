// The configuration that one controller applies. The controller learns of a newer revision from its watch on
// the shard and from the messages of other nodes, and then reads the documents from the store. As long as no
// operator has announced or written documents, this module sends no requests to the store.
import {
  addMs,
  elapsedMs,
  type Instant,
  LONG_AGO,
  type Millis,
  NO_REVISION,
  type Revision,
} from '../../types/index.ts';
import { largerOf } from '../../types/uint64.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { CONFIG_PREFIX } from '../storage/keys.ts';
import {
  type BaseConfig,
  type ConfigSnapshot,
  type EffectiveConfig,
  overlay,
  readSnapshot,
  UnreadableDocumentError,
} from './documents.ts';
import { lowersLimit } from './effective-config.ts';

/** Minimum interval between reads, which bounds the number of reads in a burst of changes. */
const MIN_READ_INTERVAL_MS = 500;
/** A random time below this is added to the interval. */
const READ_JITTER_MS = 200;
/** Delay after a failed read, doubled with each consecutive failure up to the maximum. */
const RETRY_DELAY_MS = 250;
const RETRY_MAX_DELAY_MS = 4000;
const RETRY_MAX_DOUBLINGS = 8;
/**
 * A leader that has known of a newer revision for longer than this without being able to read it starts no
 * tasks under the revision that it applies.
 */
const STOP_STARTS_LAG_MS = 5000;
/** A node that lags behind the newest revision for longer than this accepts no submissions. */
export const MAX_LAG_MS = 18_000;

/** The replacement of the applied revision by a newer one. */
export interface AppliedChange {
  from: Revision;
  to: Revision;
  /** Whether the limit of any team is lower than before. */
  isLimitLowered: boolean;
}

/** Holds the applied configuration of one controller and reads newer revisions. */
export class Configuration {
  /** The settings and documents that this controller acts on. */
  effective: EffectiveConfig;
  /** The revision of the applied documents; 0 if there are none. */
  appliedRevision = NO_REVISION;
  /** The newest revision that this controller knows of. */
  newestRevision = NO_REVISION;
  /** The time since which a newer revision than the applied one has been known; null if none is known. */
  private laggingSince: Instant | null = null;
  private appliedAt: Instant = LONG_AGO;
  private documentCount = 0;
  private isReading = false;
  private nextReadAt: Instant = LONG_AGO;
  /** Number of consecutive reads that failed. */
  private consecutiveFailures = 0;
  /** Key of the unreadable document that was logged last. */
  private loggedUnreadable: string | null = null;
  /** Called after this controller has applied a revision. */
  onApplied: (change: AppliedChange) => void = () => {};

  /** `base`: the parts of the settings file that documents replace. */
  constructor(
    private readonly io: ControllerIo,
    private readonly base: BaseConfig,
  ) {
    this.effective = overlay(base, []);
  }

  /** Whether there are documents, or an operator has announced the first ones. */
  get hasDocuments(): boolean {
    return this.newestRevision > 0;
  }

  /** The time for which a newer revision has been known but not applied. */
  get lagMs(): Millis {
    return this.laggingSince === null ? 0 : elapsedMs(this.io.now, this.laggingSince);
  }

  /** Whether the applied revision has been outdated for so long that no tasks may be started under it. */
  get isTooStaleToStart(): boolean {
    return this.lagMs > STOP_STARTS_LAG_MS;
  }

  /** Called with a revision that is on record in the store or applied by another node. */
  onRevisionSeen(revision: Revision): void {
    if (revision <= this.newestRevision) return;
    this.newestRevision = revision;
    if (this.appliedRevision < revision) this.laggingSince ??= this.io.now;
    this.readIfBehind();
  }

  /** Reads the documents if a newer revision is known and a read is due. */
  tick(): void {
    this.readIfBehind();
  }

  private readIfBehind(): void {
    if (this.isReading || this.appliedRevision >= this.newestRevision || this.io.now < this.nextReadAt)
      return;
    this.isReading = true;
    this.nextReadAt = addMs(this.io.now, MIN_READ_INTERVAL_MS + this.io.random.below(READ_JITTER_MS));
    // Leases and the writes of the leader have a higher priority.
    this.io.sendStoreRequest(
      { kind: 'list', prefix: CONFIG_PREFIX, after: null },
      StorePriority.work,
      (reply) => {
        this.isReading = false;
        this.onRead(reply);
      },
    );
  }

  private onRead(reply: StoreReply): void {
    if (reply.kind !== 'items') return this.backOff();
    try {
      // All documents fit into one page (change-transaction.ts); a listing of several pages is not atomic.
      const snapshot = reply.more ? null : readSnapshot(reply.items);
      // The snapshot is applied even if a newer revision is known already: during frequent changes that is
      // always so, and otherwise no revision would be applied.
      if (snapshot === null || snapshot.revision <= this.appliedRevision) return this.backOff();
      this.apply(snapshot);
    } catch (error) {
      if (!(error instanceof UnreadableDocumentError)) throw error;
      this.logUnreadable(error.key);
      this.backOff();
    }
  }

  private backOff(): void {
    const doublings = Math.min(RETRY_MAX_DOUBLINGS, this.consecutiveFailures++);
    const delayMs = Math.min(RETRY_MAX_DELAY_MS, RETRY_DELAY_MS * 2 ** doublings);
    this.nextReadAt = addMs(this.io.now, delayMs / 2 + this.io.random.below(delayMs));
  }

  private logUnreadable(key: string): void {
    if (this.loggedUnreadable === key) return;
    this.loggedUnreadable = key;
    this.io.log('error', 'a configuration document cannot be read and is not applied', { key });
  }

  private apply(snapshot: ConfigSnapshot): void {
    const from = this.appliedRevision;
    const previous = this.effective;
    const afterMs = Math.round(this.lagMs);
    this.consecutiveFailures = 0;
    this.loggedUnreadable = null;
    this.appliedRevision = snapshot.revision;
    this.newestRevision = largerOf(this.newestRevision, snapshot.revision);
    this.laggingSince = this.appliedRevision < this.newestRevision ? this.io.now : null;
    this.appliedAt = this.io.now;
    this.documentCount = snapshot.documents.length;
    this.effective = overlay(this.base, snapshot.documents);
    const number = snapshot.head?.number ?? 0;
    this.io.log('info', 'configuration applied', { from, to: this.appliedRevision, number, afterMs });
    this.onApplied({ from, to: this.appliedRevision, isLimitLowered: lowersLimit(previous, this.effective) });
  }

  /** The status output for operators. */
  describe(): Record<string, unknown> {
    const wasApplied = this.appliedAt !== LONG_AGO;
    return {
      revision: this.appliedRevision,
      newest: this.newestRevision,
      documents: this.documentCount,
      ageS: wasApplied ? Math.round(elapsedMs(this.io.now, this.appliedAt) / 1000) : null,
      lagS: Math.round(this.lagMs / 100) / 10,
    };
  }
}
