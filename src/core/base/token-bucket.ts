import type { Instant } from '../../types/index.ts';

/** A budget that refills evenly; bursts up to one second's worth. */
export class TokenBucket {
  private level: number;
  private at: Instant | null = null;
  private perS: number;
  private burst: number;

  constructor(perS: number, burst: number) {
    this.perS = perS;
    this.burst = burst;
    this.level = burst;
  }

  /** The rate from now on. */
  set rate(perS: number) {
    this.perS = perS;
  }

  resize(perS: number, burst: number): void {
    this.perS = perS;
    this.burst = burst;
  }

  private refill(now: Instant): void {
    if (this.at !== null)
      this.level = Math.min(this.burst, this.level + ((now - this.at) / 1000) * this.perS);
    this.at = now;
  }

  /** `keep`: only if so much is left after it. */
  take(now: Instant, n = 1, keep = 0): boolean {
    this.refill(now);
    if (this.level < n + keep) return false;
    this.level -= n;
    return true;
  }

  /** Takes it whatever is left, in debt if need be. */
  takeOnCredit(now: Instant, n = 1): void {
    this.refill(now);
    this.level -= n;
  }

  /** Nothing is left; a debt stays. */
  empty(): void {
    this.level = Math.min(this.level, 0);
  }
}
