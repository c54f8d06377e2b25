// How many changes a second the leader makes: its part of what the store grants, less after a refusal.
import { addMs, type Instant } from '../../types/index.ts';
import type { Settings } from '../base/model.ts';
import { TokenBucket } from '../base/token-bucket.ts';

/** Part of the store's write budget that the leader uses; others write only while they cannot reach it. */
const LEADER_FRACTION = 0.92;
/** How long the lower rate is kept after a refusal for too many changes. */
const SLOWDOWN_MS = 60_000;

/** Limits the changes of the leader. */
export class WriteRate {
  private readonly bucket: TokenBucket;
  private readonly normalRate: number;
  private readonly reducedRate: number;
  private reducedUntil: Instant | null = null;

  constructor(settings: Settings) {
    const { writesPerS, maxTransactionOps } = settings.store;
    this.normalRate = settings.currentWritesPerS * LEADER_FRACTION;
    this.reducedRate = writesPerS * LEADER_FRACTION;
    this.bucket = new TokenBucket(this.normalRate, Math.max(this.reducedRate, maxTransactionOps));
  }

  /** Whether so many changes may be made now; if so, they are counted. */
  take(now: Instant, changes: number): boolean {
    return this.bucket.take(now, changes);
  }

  /** The store grants fewer changes than were made: writes go on at the rate announced for later. */
  reduce(now: Instant): void {
    this.reducedUntil = addMs(now, SLOWDOWN_MS);
    this.bucket.rate = this.reducedRate;
  }

  /** Returns to the normal rate some time after a refusal. */
  tick(now: Instant): void {
    if (this.reducedUntil === null || now < this.reducedUntil) return;
    this.reducedUntil = null;
    this.bucket.rate = this.normalRate;
  }
}
