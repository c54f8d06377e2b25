// Rate limit of the leader's changes: a fraction of the store's write budget, lower after a refusal.
import { addMs, type Instant } from '../../types/index.ts';
import type { Settings } from '../base/model.ts';
import { TokenBucket } from '../base/token-bucket.ts';

/**
 * Fraction of the store's write budget that the leader uses; other controllers write only while they cannot
 * reach the leader.
 */
const LEADER_BUDGET_FRACTION = 0.92;
/** How long the reduced rate applies after a refusal for too many changes. */
const REDUCED_RATE_MS = 60_000;

/** Limits the leader's changes per second. */
export class WriteRate {
  private readonly bucket: TokenBucket;
  private readonly normalChangesPerS: number;
  private readonly reducedChangesPerS: number;
  private reducedUntil: Instant | null = null;

  constructor(settings: Settings) {
    const { writesPerS, maxTransactionOps } = settings.store;
    this.normalChangesPerS = settings.currentWritesPerS * LEADER_BUDGET_FRACTION;
    this.reducedChangesPerS = writesPerS * LEADER_BUDGET_FRACTION;
    this.bucket = new TokenBucket(
      this.normalChangesPerS,
      Math.max(this.reducedChangesPerS, maxTransactionOps),
    );
  }

  /** Whether this number of changes may be made now; if so, they are deducted from the budget. */
  take(now: Instant, changes: number): boolean {
    return this.bucket.take(now, changes);
  }

  /**
   * Reduces the rate after the store has refused changes as too many: writes continue at the rate that the
   * settings announce for later.
   */
  reduce(now: Instant): void {
    this.reducedUntil = addMs(now, REDUCED_RATE_MS);
    this.bucket.rate = this.reducedChangesPerS;
  }

  /** Returns to the normal rate once {@link REDUCED_RATE_MS} have passed since the last refusal. */
  tick(now: Instant): void {
    if (this.reducedUntil === null || now < this.reducedUntil) return;
    this.reducedUntil = null;
    this.bucket.rate = this.normalChangesPerS;
  }
}
