// Circuit breaker for the link to the leader: after several consecutive timeouts, no heartbeats are forwarded
// over the link for a few seconds.
import { addMs, type Instant, LONG_AGO } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

const TIMEOUTS_TO_OPEN = 3;
const OPEN_MS = 5000;

/** Counts consecutive timeouts of requests; while the breaker is open, callers should send nothing. */
export class CircuitBreaker {
  private consecutiveTimeouts = 0;
  private openUntil: Instant = LONG_AGO;

  constructor(private readonly io: ControllerIo) {}

  get isOpen(): boolean {
    return this.io.now < this.openUntil;
  }

  /** Records that a request was answered, which ends the series of timeouts. */
  recordResponse(): void {
    this.consecutiveTimeouts = 0;
  }

  /**
   * Records that a request timed out; returns whether this opens the breaker. The breaker stays closed while
   * the peer still sends messages (`isPeerSilent` is false): a peer that is only slow must not also receive
   * all the requests over another path.
   */
  recordTimeout(isPeerSilent: boolean): boolean {
    this.consecutiveTimeouts++;
    if (this.consecutiveTimeouts < TIMEOUTS_TO_OPEN || !isPeerSilent || this.isOpen) return false;
    this.consecutiveTimeouts = 0;
    this.openUntil = addMs(this.io.now, OPEN_MS);
    return true;
  }

  /** Closes the breaker and clears the count, because the link now leads to another peer. */
  reset(): void {
    this.consecutiveTimeouts = 0;
    this.openUntil = LONG_AGO;
  }
}
