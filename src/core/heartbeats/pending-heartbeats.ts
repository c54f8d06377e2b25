// Reports that wait for something before they can be answered, and for how long at most.
import { addMs, type Instant, NEVER } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat, HeartbeatResponse } from '../base/model.ts';

export interface PendingHeartbeat {
  heartbeat: Heartbeat;
  respond: (a: HeartbeatResponse) => void;
  /** How long it may wait. */
  until: Instant;
}

export class PendingHeartbeats {
  /** In the order in which they came. */
  private waiting: PendingHeartbeat[] = [];

  constructor(
    private readonly io: ControllerIo,
    private readonly ms: number,
  ) {}

  /** `by`: when its worker must be answered, if it has waited elsewhere before. */
  add(heartbeat: Heartbeat, respond: PendingHeartbeat['respond'], by: Instant = NEVER): void {
    const until = Math.min(addMs(this.io.now, this.ms), by) as Instant;
    this.waiting.push({ heartbeat, respond, until });
  }

  take(most = Number.POSITIVE_INFINITY): PendingHeartbeat[] {
    return this.waiting.splice(0, most);
  }

  /** Those that have waited for as long as they may. */
  takeOverdue(): PendingHeartbeat[] {
    const out = this.waiting.filter((p) => this.io.now >= p.until);
    if (out.length > 0) this.waiting = this.waiting.filter((p) => this.io.now < p.until);
    return out;
  }
}
