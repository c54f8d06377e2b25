// A token bucket, for rates of requests.
import type { Instant } from '../../types/index.ts';

/** A budget that refills evenly up to a burst; it may go into debt. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: Instant | null = null;
  private perS: number;
  private burst: number;

  /** Full at first. */
  constructor(perS: number, burst: number) {
    this.perS = perS;
    this.burst = burst;
    this.tokens = burst;
  }

  /** Changes the rate, in tokens a second. */
  set rate(perS: number) {
    this.perS = perS;
  }

  /** Changes the rate and the burst. */
  resize(perS: number, burst: number): void {
    this.perS = perS;
    this.burst = burst;
  }

  private refill(now: Instant): void {
    if (this.refilledAt !== null) {
      const added = ((now - this.refilledAt) / 1000) * this.perS;
      this.tokens = Math.min(this.burst, this.tokens + added);
    }
    this.refilledAt = now;
  }

  /** Takes tokens if there are enough of them and of those to be left (`keep`). */
  take(now: Instant, tokens = 1, keep = 0): boolean {
    this.refill(now);
    if (this.tokens < tokens + keep) return false;
    this.tokens -= tokens;
    return true;
  }

  /** Takes tokens whatever is left, in debt if need be. */
  takeOnCredit(now: Instant, tokens = 1): void {
    this.refill(now);
    this.tokens -= tokens;
  }

  /** Takes all tokens; a debt stays. */
  empty(): void {
    this.tokens = Math.min(this.tokens, 0);
  }
}
