// Delays of retries and status polls, and the retry budget. Without a `Retry-After` header, the delay before
// a retry is a random fraction of a bound that doubles with each attempt (exponential backoff with full
// jitter), plus a minimum. Retries take tokens from a budget that successful requests refill, so that a
// client with a thousand jobs does not send ten times as many requests to an overloaded service as to a
// healthy one.

/** Upper bound of the random part of the first delay. */
const BASE_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 30_000;
/** Minimum delay of a retry, as the service requires of its users. */
const MIN_DELAY_MS = 1000;
/** Limit on the exponent of the backoff: reaches MAX_BACKOFF_MS in any case, and does not overflow. */
const MAX_DOUBLINGS = 20;
/**
 * A delay from `Retry-After` is lengthened by up to this fraction, so that clients that were given the same
 * value do not retry at the same time.
 */
const RETRY_AFTER_JITTER = 0.1;

const MIN_POLL_MS = 1000;
const MAX_POLL_MS = 15_000;
/** The interval between status polls of a job is this fraction of its age. */
const POLL_AGE_FRACTION = 0.05;

/**
 * Returns the delay in milliseconds before attempt `attempts + 1`. `retryAfterS`: the value of the
 * `Retry-After` header, null without one; `random`: returns numbers from 0 to below 1.
 */
export function backoffMs(attempts: number, retryAfterS: number | null, random: () => number): number {
  if (retryAfterS !== null)
    return Math.max(MIN_DELAY_MS, retryAfterS * 1000 * (1 + random() * RETRY_AFTER_JITTER));
  const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, attempts - 1));
  const maxDelayMs = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** doublings);
  return MIN_DELAY_MS + random() * maxDelayMs;
}

/** Returns the milliseconds until the next status poll of a job of this age, randomized by ±10%. */
export function pollIntervalMs(ageMs: number, random: () => number): number {
  const intervalMs = Math.min(MAX_POLL_MS, Math.max(MIN_POLL_MS, ageMs * POLL_AGE_FRACTION));
  return intervalMs * (0.9 + random() * 0.2);
}

/**
 * Parses a `Retry-After` header in seconds; null if it is absent or malformed. Dates are not supported, as
 * the protocol does not use them.
 */
export function parseRetryAfterS(value: string | undefined): number | null {
  if (value === undefined || !/^\d{1,6}$/.test(value.trim())) return null;
  return Number(value);
}

/** Refill rates and capacity of a retry budget. */
export interface RetryBudgetOptions {
  /** Tokens added per second. */
  perSecond: number;
  /** Tokens added for each successful request. */
  perSuccess: number;
  /** Maximum number of tokens, and the initial number. */
  capacity: number;
}

/** Token bucket that limits retries. */
export class RetryBudget {
  private tokens: number;
  private refilledAtMs: number | null = null;

  /** `options`: refill rates and capacity. */
  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.capacity;
  }

  /** Returns the token of a retry that was not sent. */
  refund(): void {
    this.tokens++;
  }

  /** Adds tokens for a successful request. */
  recordSuccess(): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + this.options.perSuccess);
  }

  /**
   * Takes the token for one retry and returns 0, or returns the milliseconds until a token is available.
   * `nowMs`: steady clock.
   */
  take(nowMs: number): number {
    const { perSecond, capacity } = this.options;
    if (this.refilledAtMs !== null)
      this.tokens = Math.min(capacity, this.tokens + ((nowMs - this.refilledAtMs) / 1000) * perSecond);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) return Math.ceil(((1 - this.tokens) / perSecond) * 1000);
    this.tokens--;
    return 0;
  }
}
