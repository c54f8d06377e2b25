// When a request is sent again, and how many retries there may be. Without a `Retry-After`, the delay is a
// random part of a bound that doubles (exponential backoff with full jitter). Retries spend from a budget
// that successes fill, so that a client with a thousand jobs does not ask ten times as much of a service in
// trouble as of a healthy one.

/** Bound of the first delay. */
const FIRST_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 30_000;
/** No retry comes sooner; the service's own rule for its users. */
const MIN_DELAY_MS = 1000;
/** `2 **` this many doublings is above every bound; more would overflow. */
const MAX_DOUBLINGS = 20;
/**
 * What `Retry-After` asks for is spread by up to this part, as the service gives the same to many clients.
 */
const RETRY_AFTER_JITTER = 0.1;

const MIN_POLL_MS = 1000;
const MAX_POLL_MS = 15_000;
/** The status of a job is polled again after this part of its age. */
const POLL_AGE_FRACTION = 0.05;

/**
 * Delay in milliseconds before attempt `attempts + 1`. `retryAfterS`: what the service asked for, null for
 * nothing; `random`: numbers from 0 to below 1.
 */
export function backoffMs(attempts: number, retryAfterS: number | null, random: () => number): number {
  if (retryAfterS !== null)
    return Math.max(MIN_DELAY_MS, retryAfterS * 1000 * (1 + random() * RETRY_AFTER_JITTER));
  const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, attempts - 1));
  const bound = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
  return MIN_DELAY_MS + random() * bound;
}

/** Milliseconds until the status of a job of this age is asked for again, spread by a tenth to both sides. */
export function pollIntervalMs(ageMs: number, random: () => number): number {
  const interval = Math.min(MAX_POLL_MS, Math.max(MIN_POLL_MS, ageMs * POLL_AGE_FRACTION));
  return interval * (0.9 + random() * 0.2);
}

/**
 * Seconds of a `Retry-After` header; null if there is none that can be read. Dates are not in the protocol.
 */
export function retryAfterS(value: string | undefined): number | null {
  if (value === undefined || !/^\d{1,6}$/.test(value.trim())) return null;
  return Number(value);
}

/** How a retry budget is filled. */
export interface RetryBudgetOptions {
  /** Retries a second that are always allowed. */
  perSecond: number;
  /** Retries more for each request that is answered for good. */
  perSuccess: number;
  /** Retries that can be saved up; the budget begins with as many. */
  maxSaved: number;
}

/** A token bucket for retries. */
export class RetryBudget {
  private tokens: number;
  private refilledAt: number | null = null;

  /** `options`: how it is filled. */
  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.maxSaved;
  }

  /** The retry that was taken is not made. */
  refund(): void {
    this.tokens++;
  }

  /** A request was answered for good. */
  recordSuccess(): void {
    this.tokens = Math.min(this.options.maxSaved, this.tokens + this.options.perSuccess);
  }

  /** Takes one retry: 0 if it may be sent now, otherwise the milliseconds after which to ask again. */
  take(now: number): number {
    const { perSecond, maxSaved } = this.options;
    if (this.refilledAt !== null)
      this.tokens = Math.min(maxSaved, this.tokens + ((now - this.refilledAt) / 1000) * perSecond);
    this.refilledAt = now;
    if (this.tokens < 1) return Math.ceil(((1 - this.tokens) / perSecond) * 1000);
    this.tokens--;
    return 0;
  }
}
