// A token bucket that limits the rate of requests.
import type { Instant } from '../../types/index.ts';

/** A token bucket that refills at a constant rate up to `burst` tokens; its balance may be negative. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: Instant | null = null;
  private tokensPerS: number;
  private burst: number;

  /** Creates a full bucket. */
  constructor(tokensPerS: number, burst: number) {
    this.tokensPerS = tokensPerS;
    this.burst = burst;
    this.tokens = burst;
  }

  /** Sets the rate, in tokens per second. */
  set rate(tokensPerS: number) {
    this.tokensPerS = tokensPerS;
  }

  /** Sets the rate, in tokens per second, and the burst. */
  resize(tokensPerS: number, burst: number): void {
    this.tokensPerS = tokensPerS;
    this.burst = burst;
  }

  private refill(now: Instant): void {
    if (this.refilledAt !== null) {
      const added = ((now - this.refilledAt) / 1000) * this.tokensPerS;
      this.tokens = Math.min(this.burst, this.tokens + added);
    }
    this.refilledAt = now;
  }

  /** Takes tokens if at least `reserve` tokens remain afterwards; returns whether it took them. */
  take(now: Instant, tokens = 1, reserve = 0): boolean {
    this.refill(now);
    if (this.tokens < tokens + reserve) return false;
    this.tokens -= tokens;
    return true;
  }

  /** Takes tokens unconditionally; the balance may become negative. */
  takeOnCredit(now: Instant, tokens = 1): void {
    this.refill(now);
    this.tokens -= tokens;
  }

  /** Removes all tokens; a negative balance is kept. */
  empty(): void {
    this.tokens = Math.min(this.tokens, 0);
  }
}
