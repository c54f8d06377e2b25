// Timeout for the reply to a transaction. Only one transaction is in flight at a time: one that is never
// answered must not delay the others for long, and one that is repeated too early finds its first copy
// already stored.
import type { Millis } from '../../types/index.ts';

/** Replies usually take some milliseconds, occasionally a few hundred. */
const MIN_TIMEOUT_MS = 800;
const MAX_TIMEOUT_MS = 2000;
/** The timeout as a multiple of the time that the last reply took. */
const REPLY_TIME_FACTOR = 4;
const NO_REPLY_GROWTH_FACTOR = 1.6;

/** A timeout that adapts to the time that replies take. */
export class ReplyTimeout {
  /** The timeout of the next request. */
  ms: Millis = MIN_TIMEOUT_MS;

  /** Adapts the timeout to a reply that took `replyTimeMs`. */
  onReply(replyTimeMs: Millis): void {
    this.ms = Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, replyTimeMs * REPLY_TIME_FACTOR));
  }

  /** Extends the timeout, as no reply came in time. */
  onNoReply(): void {
    this.ms = Math.min(MAX_TIMEOUT_MS, this.ms * NO_REPLY_GROWTH_FACTOR);
  }
}
