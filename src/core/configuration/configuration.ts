// The configuration of one controller: which revision it applies, which is the newest that it knows of, and
// reading what it lacks. News of a change come with the watch on the shard that every node has open, and from
// the other nodes; without any document nothing is ever asked of the store.
import { addMs, elapsedMs, type Instant, LONG_AGO, type Millis, type Revision } from '../../types/index.ts';
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

/**
 * Reads are at least this far apart, so that a burst of changes costs a bounded number of them; and a little
 * by chance.
 */
const READ_INTERVAL_MS = 500;
const READ_JITTER_MS = 200;
/** After a read that failed, doubled with each in a row. */
const RETRY_DELAY_MS = 250;
const RETRY_MAX_DELAY_MS = 4000;
const RETRY_MAX_DOUBLINGS = 8;
/**
 * A leader that has known of a newer revision for so long, and can't read it, starts nothing under the one
 * that it has.
 */
const STOP_STARTS_MS = 5000;
/** A node that lags for longer than this takes no submissions. */
export const MAX_LAG_MS = 18_000;

/** A revision has been applied in place of an earlier one. */
export interface AppliedChange {
  from: Revision;
  to: Revision;
  /** Some team's limit is lower than before. */
  lowered: boolean;
}

/** The revisions that one controller applies, one after the other. */
export class Configuration {
  /** What this node goes by. */
  effective: EffectiveConfig;
  /** The revision that it is as of; 0 without any document. */
  applied = 0 as Revision;
  /** The newest revision that is known of. */
  newest = 0 as Revision;
  /** Since when a newer one than the applied one is known of. */
  private laggingSince: Instant | null = null;
  private appliedAt: Instant = LONG_AGO;
  private documentCount = 0;
  private isReading = false;
  private readAt: Instant = LONG_AGO;
  /** Number of reads in a row that have failed. */
  private failures = 0;
  /** The unreadable document that was logged last. */
  private loggedUnreadable: string | null = null;
  /** Called for every revision that this node applies, after it has. */
  onApplied: (change: AppliedChange) => void = () => {};

  /** `base`: the settings file, which documents overlay. */
  constructor(
    private readonly io: ControllerIo,
    private readonly base: BaseConfig,
  ) {
    this.effective = overlay(base, []);
  }

  /** Whether there are documents, or are about to be. */
  get hasDocuments(): boolean {
    return this.newest > 0;
  }

  /** For how long a newer revision has been known and not applied. */
  get lagMs(): Millis {
    return this.laggingSince === null ? 0 : elapsedMs(this.io.now, this.laggingSince);
  }

  /** Nothing may be started any more under the revision that is applied. */
  get isOverdue(): boolean {
    return this.lagMs > STOP_STARTS_MS;
  }

  /** This revision is on record, or applied by another node. */
  onRevisionSeen(revision: Revision): void {
    if (revision <= this.newest) return;
    this.newest = revision;
    if (this.applied < revision) this.laggingSince ??= this.io.now;
    this.readIfBehind();
  }

  /** Reads what is lacking once it may be read. */
  tick(): void {
    this.readIfBehind();
  }

  private readIfBehind(): void {
    if (this.isReading || this.applied >= this.newest || this.io.now < this.readAt) return;
    this.isReading = true;
    this.readAt = addMs(this.io.now, READ_INTERVAL_MS + this.io.random.below(READ_JITTER_MS));
    // Leases and the leader's writes go first.
    this.io.store({ kind: 'list', prefix: CONFIG_PREFIX, after: null }, StorePriority.work, (reply) => {
      this.isReading = false;
      this.onRead(reply);
    });
  }

  private onRead(reply: StoreReply): void {
    if (reply.kind !== 'items') return this.backOff();
    try {
      // All documents are in one page (change-transaction.ts): more than one would not be atomic.
      const snapshot = reply.more ? null : readSnapshot(reply.items);
      // With changes coming all the time a newer one is always known of: what was read is applied all the
      // same.
      if (snapshot === null || snapshot.revision <= this.applied) return this.backOff();
      this.apply(snapshot);
    } catch (error) {
      if (!(error instanceof UnreadableDocumentError)) throw error;
      this.logUnreadable(error.key);
      this.backOff();
    }
  }

  private backOff(): void {
    const doublings = Math.min(RETRY_MAX_DOUBLINGS, this.failures++);
    const delayMs = Math.min(RETRY_MAX_DELAY_MS, RETRY_DELAY_MS * 2 ** doublings);
    this.readAt = addMs(this.io.now, delayMs / 2 + this.io.random.below(delayMs));
  }

  private logUnreadable(key: string): void {
    if (this.loggedUnreadable === key) return;
    this.loggedUnreadable = key;
    this.io.log('error', 'a configuration document cannot be read and is not applied', { key });
  }

  private apply(snapshot: ConfigSnapshot): void {
    const from = this.applied;
    const previous = this.effective;
    const afterMs = Math.round(this.lagMs);
    this.failures = 0;
    this.loggedUnreadable = null;
    this.applied = snapshot.revision;
    this.newest = Math.max(this.newest, snapshot.revision) as Revision;
    this.laggingSince = this.applied < this.newest ? this.io.now : null;
    this.appliedAt = this.io.now;
    this.documentCount = snapshot.documents.length;
    this.effective = overlay(this.base, snapshot.documents);
    const number = snapshot.head?.number ?? 0;
    this.io.log('info', 'configuration applied', { from, to: this.applied, number, afterMs });
    this.onApplied({ from, to: this.applied, lowered: lowersLimit(previous, this.effective) });
  }

  /** For operators who ask a node about itself. */
  describe(): Record<string, unknown> {
    const wasApplied = this.appliedAt !== LONG_AGO;
    return {
      revision: this.applied,
      newest: this.newest,
      documents: this.documentCount,
      ageS: wasApplied ? Math.round(elapsedMs(this.io.now, this.appliedAt) / 1000) : null,
      lagS: Math.round(this.lagMs / 100) / 10,
    };
  }
}
