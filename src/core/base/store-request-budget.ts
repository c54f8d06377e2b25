// Rate limit with priorities for all requests of a controller to the store. The store counts the requests of
// all controllers together and refuses those above its limit, regardless of their purpose. The renewal of a
// leader's lease must never be refused, and must never wait behind a user's status request.
import { addMs, type Instant, LONG_AGO } from '../../types/index.ts';
import { TokenBucket } from './token-bucket.ts';

/** Priorities of requests; while the budget is exhausted, lower numbers are sent first. */
export const StorePriority = {
  /** Leases and leader records: sent at once, even if the budget goes into debt. */
  lease: 0,
  /** Reads by a new leader, and writes by the leader. */
  leader: 1,
  /** Requests that work in progress is waiting for. */
  work: 2,
  /** Requests of users; dropped if they cannot be sent soon. */
  query: 3,
} as const;
/** The priority of a request to the store. */
export type StorePriority = (typeof StorePriority)[keyof typeof StorePriority];

interface QueuedRequest {
  send: () => void;
  onDropped: () => void;
  queuedAt: Instant;
}

/**
 * Fraction of the store's limit that all controllers together use. The rest is a margin for clock differences
 * and for retries that fail.
 */
const USED_LIMIT_FRACTION = 0.94;
/** Maximum fraction of the store's limit that each controller other than the leader may use. */
const FOLLOWER_LIMIT_FRACTION = 0.14;
/** A query that cannot be sent within this time is dropped, and its user is asked to retry. */
const QUERY_TIMEOUT_MS = 800;
const MAX_QUEUED_QUERIES = 400;
/**
 * When the store refuses a request because of its limit, the rate factor is multiplied by the slowdown
 * factor, down to the minimum. It then recovers linearly.
 */
const SLOWDOWN_FACTOR = 0.6;
const MIN_RATE_FACTOR = 0.2;
const RATE_FACTOR_RECOVERY_PER_S = 0.1;
/** Refusals within this time after a slowdown cause no further slowdown. */
const SLOWDOWN_INTERVAL_MS = 500;

/** Sends requests by priority, within this controller's fraction of the store's limit. */
export class StoreRequestBudget {
  private readonly bucket: TokenBucket;
  private lastRecoveryAt: Instant | null = null;
  /** Fraction of the store's limit that this controller may use. */
  private limitFraction: number;
  /** Multiplies the rate; below 1 after refusals. */
  private rateFactor = 1;
  private slowedDownAt: Instant = LONG_AGO;
  /** Queued requests; the index is their priority. */
  private readonly queues: QueuedRequest[][] = [[], [], [], []];
  /** Number of requests sent; reported in the status. */
  sent = 0;
  /** Number of requests refused because of the store's limit; reported in the status. */
  refused = 0;

  constructor(
    private readonly requestsPerS: number,
    private readonly controllerCount: number,
  ) {
    this.limitFraction = this.fractionFor(false);
    this.bucket = new TokenBucket(this.rate, this.rate);
  }

  /** The leader gets the largest fraction. The sum over all controllers stays below the limit. */
  setLeader(isLeader: boolean): void {
    this.limitFraction = this.fractionFor(isLeader);
  }

  private fractionFor(isLeader: boolean): number {
    const follower = Math.min(FOLLOWER_LIMIT_FRACTION, USED_LIMIT_FRACTION / (2 * this.controllerCount));
    return isLeader ? USED_LIMIT_FRACTION - follower * (this.controllerCount - 1) : follower;
  }

  private get rate(): number {
    return Math.max(1, this.requestsPerS * this.limitFraction) * this.rateFactor;
  }

  /** Sends the request at once or as soon as the budget allows; calls `onDropped` if it is dropped before. */
  submit(now: Instant, priority: StorePriority, send: () => void, onDropped: () => void): void {
    this.recover(now);
    if (priority === StorePriority.lease) {
      this.bucket.takeOnCredit(now);
      return this.sendNow(send);
    }
    const queue = this.queues[priority]!;
    if (this.hasEmptyQueuesUpTo(priority) && this.bucket.take(now)) return this.sendNow(send);
    if (priority === StorePriority.query && queue.length >= MAX_QUEUED_QUERIES) return onDropped();
    queue.push({ send, onDropped, queuedAt: now });
  }

  private hasEmptyQueuesUpTo(lastPriority: StorePriority): boolean {
    for (let priority = 0; priority <= lastPriority; priority++)
      if (this.queues[priority]!.length > 0) return false;
    return true;
  }

  private sendNow(send: () => void): void {
    this.sent++;
    send();
  }

  private recover(now: Instant): void {
    if (this.lastRecoveryAt !== null) {
      const recovered = ((now - this.lastRecoveryAt) / 1000) * RATE_FACTOR_RECOVERY_PER_S;
      this.rateFactor = Math.min(1, this.rateFactor + recovered);
    }
    this.lastRecoveryAt = now;
    this.bucket.resize(this.rate, this.rate);
  }

  /** Drops queries that have waited too long, and sends queued requests as the budget allows. */
  tick(now: Instant): void {
    this.recover(now);
    const queries = this.queues[StorePriority.query]!;
    while (queries.length > 0 && now - queries[0]!.queuedAt > QUERY_TIMEOUT_MS) queries.shift()!.onDropped();
    for (const queue of this.queues)
      while (queue.length > 0 && this.bucket.take(now)) this.sendNow(queue.shift()!.send);
  }

  /**
   * The store refused a request because of its limit. Every controller that is refused slows down, no matter
   * which one used up the limit.
   */
  onThrottled(now: Instant): void {
    this.refused++;
    this.bucket.empty();
    if (now < addMs(this.slowedDownAt, SLOWDOWN_INTERVAL_MS)) return;
    this.slowedDownAt = now;
    this.rateFactor = Math.max(MIN_RATE_FACTOR, this.rateFactor * SLOWDOWN_FACTOR);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.queues.reduce((sum, queue) => sum + queue.length, 0);
  }
}
