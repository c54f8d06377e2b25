// One budget for all requests of a controller to the store. The store counts the requests of all controllers
// together and refuses those above its limit, whatever they are for: the renewal of a leader's lease must
// never be among these, and must never wait behind a user's status request.
import { addMs, type Instant, LONG_AGO } from '../../types/index.ts';
import { TokenBucket } from './token-bucket.ts';

/** The order in which requests are sent while the budget is short. */
export const StorePriority = {
  /** Leases and leader records: sent at once, in debt if need be. */
  lease: 0,
  /** Reads of a new leader, and writes of a leader. */
  leader: 1,
  /** What work in progress waits for. */
  work: 2,
  /** Requests of users; given up when they cannot be sent soon. */
  query: 3,
} as const;
/** One of the priorities above. */
export type StorePriority = (typeof StorePriority)[keyof typeof StorePriority];

interface QueuedRequest {
  send: () => void;
  giveUp: () => void;
  queuedAt: Instant;
}

/**
 * Fraction of the store's limit that all controllers together use; the rest is for differing clocks and vain
 * retries.
 */
const USED_FRACTION = 0.94;
/** Fraction of the limit that each controller but the leader may use while there is a leader. */
const FOLLOWER_FRACTION = 0.14;
/** A query that cannot be sent within this time is given up, and its user sent back. */
const QUERY_TIMEOUT_MS = 800;
const MAX_QUEUED_QUERIES = 400;
/**
 * After a refusal for too many requests the rate falls by this factor, and not below that; it recovers by so
 * much a second.
 */
const SLOWDOWN_FACTOR = 0.6;
const MIN_PACE = 0.2;
const RECOVERY_PER_S = 0.1;
/** Refusals within this time of a slowdown cause no other. */
const SLOWDOWN_INTERVAL_MS = 500;

/** Sends requests within this controller's part of the store's limit, in the order of their priorities. */
export class StoreRequestBudget {
  private readonly bucket: TokenBucket;
  private recoveredAt: Instant | null = null;
  /** Fraction of the store's limit that this controller may use. */
  private fraction: number;
  /** Below 1 after refusals. */
  private pace = 1;
  private slowedDownAt: Instant = LONG_AGO;
  /** By priority. */
  private readonly queues: QueuedRequest[][] = [[], [], [], []];
  /** Number of requests sent, for operators. */
  sent = 0;
  /** Number of requests refused as too many, for operators. */
  refused = 0;

  constructor(
    private readonly requestsPerS: number,
    private readonly controllers: number,
  ) {
    this.fraction = this.fractionFor(false);
    this.bucket = new TokenBucket(this.rate, this.rate);
  }

  /** The leader needs most; the rest is divided among the others, so that the sum stays below the limit. */
  setLeader(isLeader: boolean): void {
    this.fraction = this.fractionFor(isLeader);
  }

  private fractionFor(isLeader: boolean): number {
    const follower = Math.min(FOLLOWER_FRACTION, USED_FRACTION / (2 * this.controllers));
    return isLeader ? USED_FRACTION - follower * (this.controllers - 1) : follower;
  }

  private get rate(): number {
    return Math.max(1, this.requestsPerS * this.fraction) * this.pace;
  }

  /** Sends the request now, or when the budget allows; calls `giveUp` if that is too late to be of use. */
  submit(now: Instant, priority: StorePriority, send: () => void, giveUp: () => void): void {
    this.recover(now);
    if (priority === StorePriority.lease) {
      this.bucket.takeOnCredit(now);
      return this.sendNow(send);
    }
    const queue = this.queues[priority]!;
    if (this.isIdleUpTo(priority) && this.bucket.take(now)) return this.sendNow(send);
    if (priority === StorePriority.query && queue.length >= MAX_QUEUED_QUERIES) return giveUp();
    queue.push({ send, giveUp, queuedAt: now });
  }

  private isIdleUpTo(lowest: StorePriority): boolean {
    for (let priority = 0; priority <= lowest; priority++)
      if (this.queues[priority]!.length > 0) return false;
    return true;
  }

  private sendNow(send: () => void): void {
    this.sent++;
    send();
  }

  private recover(now: Instant): void {
    if (this.recoveredAt !== null) {
      const recovered = ((now - this.recoveredAt) / 1000) * RECOVERY_PER_S;
      this.pace = Math.min(1, this.pace + recovered);
    }
    this.recoveredAt = now;
    this.bucket.resize(this.rate, this.rate);
  }

  /** Gives up queries that have waited too long, and sends what has become due. */
  tick(now: Instant): void {
    this.recover(now);
    const queries = this.queues[StorePriority.query]!;
    while (queries.length > 0 && now - queries[0]!.queuedAt > QUERY_TIMEOUT_MS) queries.shift()!.giveUp();
    for (const queue of this.queues)
      while (queue.length > 0 && this.bucket.take(now)) this.sendNow(queue.shift()!.send);
  }

  /**
   * The store refused a request as one too many: every controller slows down, whichever of them used up the
   * limit.
   */
  onThrottled(now: Instant): void {
    this.refused++;
    this.bucket.empty();
    if (now < addMs(this.slowedDownAt, SLOWDOWN_INTERVAL_MS)) return;
    this.slowedDownAt = now;
    this.pace = Math.max(MIN_PACE, this.pace * SLOWDOWN_FACTOR);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.queues.reduce((sum, queue) => sum + queue.length, 0);
  }
}
