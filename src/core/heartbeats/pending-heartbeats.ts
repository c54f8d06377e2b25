// Queue of heartbeats that cannot be answered yet, for example because no leader is elected. Each waits for a
// limited time.
import { addMs, type Instant, NEVER } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat, HeartbeatResponse } from '../base/model.ts';

/** Sends the response to a heartbeat; called once per heartbeat. */
export type HeartbeatResponder = (response: HeartbeatResponse) => void;

/** A heartbeat that has not been answered yet. */
export interface PendingHeartbeat {
  heartbeat: Heartbeat;
  respond: HeartbeatResponder;
  /** The time until which it may wait. */
  until: Instant;
}

/** Heartbeats that have not been answered yet, in the order in which they were received. */
export class PendingHeartbeats {
  private queue: PendingHeartbeat[] = [];

  constructor(
    private readonly io: ControllerIo,
    private readonly maxWaitMs: number,
  ) {}

  /**
   * Adds a heartbeat. `deadline`: the time by which its agent must be answered, if the heartbeat has already
   * waited elsewhere.
   */
  add(heartbeat: Heartbeat, respond: HeartbeatResponder, deadline: Instant = NEVER): void {
    const until = Math.min(addMs(this.io.now, this.maxWaitMs), deadline) as Instant;
    this.queue.push({ heartbeat, respond, until });
  }

  /** Removes and returns the oldest heartbeats, up to `limit`. */
  take(limit = Number.POSITIVE_INFINITY): PendingHeartbeat[] {
    return this.queue.splice(0, limit);
  }

  /** Removes and returns the heartbeats whose waiting time is over. */
  takeOverdue(): PendingHeartbeat[] {
    const { now } = this.io;
    const overdue = this.queue.filter((pending) => now >= pending.until);
    if (overdue.length > 0) this.queue = this.queue.filter((pending) => now < pending.until);
    return overdue;
  }
}
