// Circuit breaker of the link to the leader: after some timeouts in a row the link is not used for a while.
import { addMs, type Instant, LONG_AGO } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

const TIMEOUTS_TO_OPEN = 3;
const OPEN_MS = 5000;

/** Counts timeouts in a row; while it is open, nothing should be sent. */
export class CircuitBreaker {
  private consecutiveTimeouts = 0;
  private openUntil: Instant = LONG_AGO;

  constructor(private readonly io: ControllerIo) {}

  /** Whether nothing should be sent at present. */
  get isOpen(): boolean {
    return this.io.now < this.openUntil;
  }

  /** A request has been answered. */
  recordResponse(): void {
    this.consecutiveTimeouts = 0;
  }

  /**
   * A request has not been answered in time; whether the breaker opens by it. It does not while the other
   * side is active (`isPeerSilent` is false): one that is merely slow must not get all the work by another
   * path as well.
   */
  recordTimeout(isPeerSilent: boolean): boolean {
    this.consecutiveTimeouts++;
    if (this.consecutiveTimeouts < TIMEOUTS_TO_OPEN || !isPeerSilent || this.isOpen) return false;
    this.consecutiveTimeouts = 0;
    this.openUntil = addMs(this.io.now, OPEN_MS);
    return true;
  }

  /** There is another peer at the other side: starts anew, closed. */
  reset(): void {
    this.consecutiveTimeouts = 0;
    this.openUntil = LONG_AGO;
  }
}
