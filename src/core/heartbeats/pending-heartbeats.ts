// Heartbeats that wait for something before they can be answered, each for a limited time.
import { addMs, type Instant, NEVER } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat, HeartbeatResponse } from '../base/model.ts';

/** Answers a heartbeat; called once. */
export type HeartbeatResponder = (response: HeartbeatResponse) => void;

/** A heartbeat that waits. */
export interface PendingHeartbeat {
  heartbeat: Heartbeat;
  respond: HeartbeatResponder;
  /** How long it may wait. */
  until: Instant;
}

/** Queue of heartbeats that wait, in the order in which they came. */
export class PendingHeartbeats {
  private waiting: PendingHeartbeat[] = [];

  constructor(
    private readonly io: ControllerIo,
    private readonly maxWaitMs: number,
  ) {}

  /** `deadline`: when its agent must be answered, if it has waited elsewhere before. */
  add(heartbeat: Heartbeat, respond: HeartbeatResponder, deadline: Instant = NEVER): void {
    const until = Math.min(addMs(this.io.now, this.maxWaitMs), deadline) as Instant;
    this.waiting.push({ heartbeat, respond, until });
  }

  /** Removes the first ones and returns them; all without a limit. */
  take(limit = Number.POSITIVE_INFINITY): PendingHeartbeat[] {
    return this.waiting.splice(0, limit);
  }

  /** Removes those that have waited for as long as they may, and returns them. */
  takeOverdue(): PendingHeartbeat[] {
    const { now } = this.io;
    const overdue = this.waiting.filter((pending) => now >= pending.until);
    if (overdue.length > 0) this.waiting = this.waiting.filter((pending) => now < pending.until);
    return overdue;
  }
}
