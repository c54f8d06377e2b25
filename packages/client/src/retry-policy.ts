// When a request that was not answered for good is sent again: after `Retry-After` if the service says so, otherwise after
// a random part of a time that doubles (full jitter). And how many may be: retries spend from a budget that first requests
// fill, so that a client with a thousand jobs does not ask ten times as much of a service in trouble as of one that is well.

const FIRST_MS = 1000;
const MOST_MS = 30_000;
/** No retry comes sooner; the service's own rule for its users. */
const LEAST_MS = 1000;

export function backoffMs(tries: number, retryAfterS: number | null, chance: () => number): number {
  // What the service asks for is obeyed, and a little spread, as it tells many the same.
  if (retryAfterS !== null) return Math.max(LEAST_MS, retryAfterS * 1000 * (1 + chance() * 0.1));
  const most = Math.min(MOST_MS, FIRST_MS * 2 ** Math.min(20, Math.max(0, tries - 1)));
  return LEAST_MS + chance() * most;
}

/** Seconds of a `Retry-After` header; null if there is none that can be read. Dates are not in the protocol. */
export function retryAfterS(value: string | undefined): number | null {
  if (value === undefined || !/^\d{1,6}$/.test(value.trim())) return null;
  return Number(value);
}

export class RetryBudget {
  private tokens: number;
  private last: number | null = null;

  /** `perS` retries a second are always allowed, and `share` more for each request that is answered for good. */
  constructor(
    private readonly perS: number,
    private readonly share: number,
    private readonly most: number,
  ) {
    this.tokens = most;
  }

  /** The retry that was taken is not made. */
  giveBack(): void {
    this.tokens++;
  }

  earn(): void {
    this.tokens = Math.min(this.most, this.tokens + this.share);
  }

  /** Takes one retry: 0 if it may go now, otherwise the milliseconds after which to ask again. */
  take(now: number): number {
    if (this.last !== null)
      this.tokens = Math.min(this.most, this.tokens + ((now - this.last) / 1000) * this.perS);
    this.last = now;
    if (this.tokens < 1) return Math.ceil(((1 - this.tokens) / this.perS) * 1000);
    this.tokens--;
    return 0;
  }
}
