// The configuration of one controller: which revision it applies, which is the newest that it knows of, and reading what it
// lacks. News of a change comes with the watch on the share that every node has open, and from the other nodes; without any
// document nothing is ever asked of the state service.
import { addMs, elapsedMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { CONFIG_PREFIX } from '../storage/keys.ts';
import {
  type ConfigSnapshot,
  type EffectiveConfig,
  lowersLimit,
  overlay,
  readSnapshot,
  UnreadableDocumentError,
} from './documents.ts';

/** Reads are at least this far apart, so that a burst of changes costs a bounded number of them; and a little by chance. */
const READ_EVERY_MS = 500;
const READ_JITTER_MS = 200;
/** After a read that failed, doubled with each in a row. */
const RETRY_MS = 250;
const RETRY_MAX_MS = 4000;
/** An owner that has known of a newer revision for so long, and can't read it, starts nothing under the one that it has. */
const STOP_STARTS_MS = 5000;
/** A node that lags for longer than this takes no submissions. */
export const MAX_LAG_MS = 18_000;

export interface AppliedChange {
  from: Revision;
  to: Revision;
  /** Some team's limit is lower than before. */
  lowered: boolean;
}

export class Configuration {
  /** What this node goes by. */
  effective: EffectiveConfig;
  /** The revision that it is as of; 0 without any document. */
  applied = 0 as Revision;
  /** The newest revision that is known of. */
  newest = 0 as Revision;
  /** Since when a newer one than the applied one is known of. */
  private behindSince: Instant | null = null;
  private appliedAt: Instant = LONG_AGO;
  private documents = 0;
  private reading = false;
  private nextRead: Instant = LONG_AGO;
  private failures = 0;
  private toldUnreadable: string | null = null;
  /** Hears of every revision that this node applies, after it has. */
  onApplied: (change: AppliedChange) => void = () => {};

  constructor(
    private readonly io: ControllerIo,
    private readonly base: Pick<Settings, 'teams' | 'objectives'>,
  ) {
    this.effective = overlay(base, []);
  }

  /** Whether there are documents, or are about to be. */
  get hasDocuments(): boolean {
    return this.newest > 0;
  }

  /** For how long a newer revision has been known and not applied. */
  get lagMs(): number {
    return this.behindSince === null ? 0 : elapsedMs(this.io.now, this.behindSince);
  }

  /** Nothing may be started any more under the revision that is applied. */
  get isOverdue(): boolean {
    return this.lagMs > STOP_STARTS_MS;
  }

  /** Somebody has seen this revision: on record, or applied by another node. */
  onRevisionSeen(revision: Revision): void {
    if (revision <= this.newest) return;
    this.newest = revision;
    if (this.applied < revision) this.behindSince ??= this.io.now;
    this.read();
  }

  tick(): void {
    this.read();
  }

  private read(): void {
    if (this.reading || this.applied >= this.newest || this.io.now < this.nextRead) return;
    this.reading = true;
    this.nextRead = addMs(this.io.now, READ_EVERY_MS + this.io.random.below(READ_JITTER_MS));
    // Holds and what the owner writes go before.
    this.io.store({ kind: 'list', prefix: CONFIG_PREFIX, after: null }, StorePriority.work, (r) => {
      this.reading = false;
      this.onRead(r);
    });
  }

  private onRead(r: StoreReply): void {
    if (r.kind !== 'items') return this.backOff();
    try {
      // All documents are in one page (change.ts): more than one would not be atomic.
      const snapshot = r.more ? null : readSnapshot(r.items);
      // With changes coming all the time a newer one is always known of: what was read is applied all the same.
      if (snapshot === null || snapshot.revision <= this.applied) return this.backOff();
      this.apply(snapshot);
    } catch (e) {
      if (!(e instanceof UnreadableDocumentError)) throw e;
      this.tellUnreadable(e);
      this.backOff();
    }
  }

  private backOff(): void {
    const waitMs = Math.min(RETRY_MAX_MS, RETRY_MS * 2 ** Math.min(8, this.failures++));
    this.nextRead = addMs(this.io.now, waitMs / 2 + this.io.random.below(waitMs));
  }

  private tellUnreadable(e: UnreadableDocumentError): void {
    if (this.toldUnreadable === e.key) return;
    this.toldUnreadable = e.key;
    this.io.log('error', 'a configuration document cannot be read and is not applied', { key: e.key });
  }

  private apply(snapshot: ConfigSnapshot): void {
    const from = this.applied;
    const before = this.effective;
    const afterMs = Math.round(this.lagMs);
    this.failures = 0;
    this.toldUnreadable = null;
    this.applied = snapshot.revision;
    this.newest = Math.max(this.newest, snapshot.revision) as Revision;
    this.behindSince = this.applied < this.newest ? this.io.now : null;
    this.appliedAt = this.io.now;
    this.documents = snapshot.documents.length;
    this.effective = overlay(this.base, snapshot.documents);
    const number = snapshot.head?.number ?? 0;
    this.io.log('info', 'configuration applied', { from, to: this.applied, number, afterMs });
    this.onApplied({ from, to: this.applied, lowered: lowersLimit(before, this.effective) });
  }

  /** For operators who ask a node about itself. */
  describe(): Record<string, unknown> {
    return {
      revision: this.applied,
      newest: this.newest,
      documents: this.documents,
      ageS: this.appliedAt === LONG_AGO ? null : Math.round(elapsedMs(this.io.now, this.appliedAt) / 1000),
      lagS: Math.round(this.lagMs / 100) / 10,
    };
  }
}
