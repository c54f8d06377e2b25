// One budget for all that a node asks of the state service. The service counts requests of all nodes together and
// refuses what is beyond its limit, whatever it is for: the renewal of a hold must never be among that, and must
// never wait behind a user's question.
import { addMs, type Instant, LONG_AGO } from '../../types/index.ts';
import { TokenBucket } from './token-bucket.ts';

/** In which order requests are sent while the budget is short. */
export const StorePriority = {
  /** Holds, and who owns the share: sent at once, in debt if need be. */
  lease: 0,
  /** What a new owner reads, and what an owner writes. */
  leader: 1,
  /** What work in progress waits for. */
  work: 2,
  /** Users' questions; given up when they cannot be asked soon. */
  query: 3,
} as const;
export type StorePriority = (typeof StorePriority)[keyof typeof StorePriority];

interface Waiting {
  send: () => void;
  giveUp: () => void;
  since: Instant;
}

/** Part of the service's limit that all nodes together keep to; the rest is for clocks that differ and for tries in vain. */
const USED = 0.94;
/** What each node but the owner may use while there is an owner. */
const OTHERS = 0.14;
/** A question that cannot be sent within this is answered by asking the user to come back. */
const ASK_MS = 800;
const MAX_ASKS = 400;
/** After a refusal for too many requests: so much slower, and back by this much a second. */
const SLOWER = 0.6;
const SLOWEST = 0.2;
const RECOVER_PER_S = 0.1;
const SLOW_EVERY_MS = 500;

export class StoreRequestBudget {
  private readonly bucket: TokenBucket;
  private at: Instant | null = null;
  private share: number;
  /** Below 1 after refusals. */
  private pace = 1;
  private slowedAt: Instant = LONG_AGO;
  private readonly queues: Waiting[][] = [[], [], [], []];
  /** Requests sent, and refused as too many; for operators. */
  sent = 0;
  refused = 0;

  constructor(
    private readonly rps: number,
    private readonly nodes: number,
  ) {
    this.share = this.shareOf(false);
    this.bucket = new TokenBucket(this.rate, this.rate);
  }

  /** The owner needs most; what is left is divided among the others, so that the sum stays below the limit. */
  setLeader(owner: boolean): void {
    this.share = this.shareOf(owner);
  }

  private shareOf(owner: boolean): number {
    const others = Math.min(OTHERS, USED / (2 * this.nodes));
    return owner ? USED - others * (this.nodes - 1) : others;
  }

  private get rate(): number {
    return Math.max(1, this.rps * this.share) * this.pace;
  }

  /** Sends the request now, or when the budget allows; `giveUp` if that is too late to be of use. */
  submit(now: Instant, rank: StorePriority, send: () => void, giveUp: () => void): void {
    this.recover(now);
    if (rank === StorePriority.lease) {
      this.bucket.takeOnCredit(now);
      return this.sendNow(send);
    }
    const queue = this.queues[rank]!;
    if (this.clearUpTo(rank) && this.bucket.take(now)) return this.sendNow(send);
    if (rank === StorePriority.query && queue.length >= MAX_ASKS) return giveUp();
    queue.push({ send, giveUp, since: now });
  }

  private clearUpTo(rank: StorePriority): boolean {
    for (let r = 0; r <= rank; r++) if (this.queues[r]!.length > 0) return false;
    return true;
  }

  private sendNow(send: () => void): void {
    this.sent++;
    send();
  }

  private recover(now: Instant): void {
    if (this.at !== null) this.pace = Math.min(1, this.pace + ((now - this.at) / 1000) * RECOVER_PER_S);
    this.at = now;
    this.bucket.resize(this.rate, this.rate);
  }

  /** Gives up on questions that came too early, and sends what has become due. */
  tick(now: Instant): void {
    this.recover(now);
    const asks = this.queues[StorePriority.query]!;
    while (asks.length > 0 && now - asks[0]!.since > ASK_MS) asks.shift()!.giveUp();
    for (const queue of this.queues)
      while (queue.length > 0 && this.bucket.take(now)) this.sendNow(queue.shift()!.send);
  }

  /** The service refused a request as one too many: all slow down, whoever used it up. */
  onThrottled(now: Instant): void {
    this.refused++;
    this.bucket.empty();
    if (now < addMs(this.slowedAt, SLOW_EVERY_MS)) return;
    this.slowedAt = now;
    this.pace = Math.max(SLOWEST, this.pace * SLOWER);
  }

  get waiting(): number {
    return this.queues.reduce((n, q) => n + q.length, 0);
  }
}
