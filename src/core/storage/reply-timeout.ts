// How long the reply to a transaction is waited for. Only one is on its way at a time: one that will never be
// answered must not hold up the rest for long, and one that is repeated too soon is found on record.
import type { Millis } from '../../types/index.ts';

/** Replies take some milliseconds, now and then a few hundred. */
const MIN_TIMEOUT_MS = 800;
const MAX_TIMEOUT_MS = 2000;
/** The timeout as a multiple of the last reply's time. */
const REPLY_TIME_FACTOR = 4;
const GROWTH_WITHOUT_REPLY = 1.6;

/** A timeout that follows the time that replies take. */
export class ReplyTimeout {
  /** The timeout of the next request. */
  ms: Millis = MIN_TIMEOUT_MS;

  /** A reply came after this time. */
  onReply(tookMs: Millis): void {
    this.ms = Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, tookMs * REPLY_TIME_FACTOR));
  }

  /** No reply came in time. */
  onNoReply(): void {
    this.ms = Math.min(MAX_TIMEOUT_MS, this.ms * GROWTH_WITHOUT_REPLY);
  }
}
