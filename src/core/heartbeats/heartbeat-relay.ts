// Agents that cannot reach the leader: the node that they come back to relays their heartbeats over its link
// to the leader. Agents accept a response with the leader's fencing token from any node, and drop it after 4
// s like any other.
import { addMs, elapsedMs, type Instant, LONG_AGO, type MachineId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat, HeartbeatResponse } from '../base/model.ts';
import type { LeaderRecord } from '../membership/leader-election.ts';
import type { HeartbeatResponder } from './pending-heartbeats.ts';

/** An agent that is back this soon after it was redirected to the leader did not get through. */
const RETURN_WITHIN_MS = 12_000;
/** After this time a relayed agent is redirected to the leader once more: the path may be open again. */
const RETRY_REDIRECT_MS = 30_000;
const RESPONSE_TIMEOUT_MS = 3500;

interface RelayedRequest {
  respond: HeartbeatResponder;
  deadline: Instant;
}

/**
 * Decides for each heartbeat at a node that is not the leader whether to redirect its agent or to relay it.
 */
export class HeartbeatRelay {
  private readonly redirectedAt = new Map<MachineId, Instant>();
  /** Since when each machine's heartbeats are relayed. */
  private readonly relayedSince = new Map<MachineId, Instant>();
  private readonly requests = new Map<number, RelayedRequest>();
  private readonly io: ControllerIo;

  constructor(io: ControllerIo) {
    this.io = io;
  }

  /**
   * Redirects the agent to the leader, or relays its heartbeat if it has tried that in vain; `isLinked`: to
   * the leader.
   */
  relay(
    heartbeat: Heartbeat,
    leader: LeaderRecord | null,
    isLinked: boolean,
    respond: HeartbeatResponder,
  ): void {
    if (leader === null || !isLinked || !this.cannotReachLeader(heartbeat, leader)) {
      this.redirectedAt.set(heartbeat.machine, this.io.now);
      return respond({ kind: 'redirect', node: leader?.node ?? null });
    }
    const id = this.io.nextRequestId();
    this.requests.set(id, { respond, deadline: addMs(this.io.now, RESPONSE_TIMEOUT_MS) });
    this.io.emit({
      kind: 'peer',
      node: leader.node,
      message: { kind: 'relayed-heartbeat', id, heartbeat },
    });
  }

  /**
   * An agent with the leader's token has left it for want of responses; another was just redirected to it in
   * vain.
   */
  private cannotReachLeader(heartbeat: Heartbeat, leader: LeaderRecord): boolean {
    const { machine } = heartbeat;
    const { now } = this.io;
    const since = this.relayedSince.get(machine);
    if (since !== undefined && elapsedMs(now, since) > RETRY_REDIRECT_MS) {
      this.relayedSince.delete(machine);
      return false;
    }
    const hasReturned = elapsedMs(now, this.redirectedAt.get(machine) ?? LONG_AGO) < RETURN_WITHIN_MS;
    if (!hasReturned && (heartbeat.fencingToken as number) !== leader.revision) return false;
    if (since === undefined) this.relayedSince.set(machine, now);
    return true;
  }

  /** The leader's response to a relayed heartbeat; null if there will be none. */
  onResponse(id: number, response: HeartbeatResponse | null): void {
    const request = this.requests.get(id);
    this.requests.delete(id);
    request?.respond(response ?? { kind: 'redirect', node: null });
  }

  /** Redirects the agents whose time is up, and forgets those that have not come back. */
  tick(): void {
    const { now } = this.io;
    for (const [id, request] of this.requests) if (now >= request.deadline) this.onResponse(id, null);
    for (const [machine, at] of this.redirectedAt)
      if (elapsedMs(now, at) > RETURN_WITHIN_MS) this.redirectedAt.delete(machine);
    for (const [machine, since] of this.relayedSince)
      if (elapsedMs(now, since) > 2 * RETRY_REDIRECT_MS) this.relayedSince.delete(machine);
  }
}
