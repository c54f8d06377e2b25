// Relays heartbeats of agents that cannot reach the leader: when a redirected agent returns, this node sends
// its heartbeats to the leader over its own link. Agents accept a response with the leader's fencing token
// from any node, and discard it if it arrives later than 4 s after the heartbeat, like any other response.
import {
  addMs,
  elapsedMs,
  fencingTokenOf,
  type Instant,
  LONG_AGO,
  type MachineId,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat, HeartbeatResponse } from '../base/model.ts';
import type { LeaderRecord } from '../membership/leader-election.ts';
import type { HeartbeatResponder } from './pending-heartbeats.ts';

/** An agent that returns within this time of a redirect to the leader could not reach the leader. */
const RETURN_WINDOW_MS = 12_000;
/** After this time a relayed agent is redirected to the leader again, because it may reach it by now. */
const REDIRECT_RETRY_INTERVAL_MS = 30_000;
const RESPONSE_TIMEOUT_MS = 3500;

interface RelayedRequest {
  respond: HeartbeatResponder;
  deadline: Instant;
}

/**
 * On a node that is not the leader, decides for each heartbeat whether to redirect the agent to the leader or
 * to relay the heartbeat.
 */
export class HeartbeatRelay {
  private readonly redirectedAt = new Map<MachineId, Instant>();
  /** When relaying the heartbeats of each machine began. */
  private readonly relayedSince = new Map<MachineId, Instant>();
  private readonly requests = new Map<number, RelayedRequest>();
  private readonly io: ControllerIo;

  constructor(io: ControllerIo) {
    this.io = io;
  }

  /**
   * Redirects the agent to the leader, or relays its heartbeat if the agent could not reach the leader.
   * `isLinked`: whether this node has a link to the leader.
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
   * Whether the agent probably cannot reach the leader: it has the leader's fencing token but connected here,
   * so the leader no longer answered it, or it was redirected to the leader moments ago and has returned.
   */
  private cannotReachLeader(heartbeat: Heartbeat, leader: LeaderRecord): boolean {
    const { machine } = heartbeat;
    const { now } = this.io;
    const since = this.relayedSince.get(machine);
    if (since !== undefined && elapsedMs(now, since) > REDIRECT_RETRY_INTERVAL_MS) {
      this.relayedSince.delete(machine);
      return false;
    }
    const hasReturned = elapsedMs(now, this.redirectedAt.get(machine) ?? LONG_AGO) < RETURN_WINDOW_MS;
    if (!hasReturned && heartbeat.fencingToken !== fencingTokenOf(leader.revision)) return false;
    if (since === undefined) this.relayedSince.set(machine, now);
    return true;
  }

  /** Passes the leader's response to a relayed heartbeat to the agent; null if the leader will not answer. */
  onResponse(id: number, response: HeartbeatResponse | null): void {
    const request = this.requests.get(id);
    this.requests.delete(id);
    request?.respond(response ?? { kind: 'redirect', node: null });
  }

  /** Redirects agents whose relayed heartbeats timed out, and drops the state of agents that stayed away. */
  tick(): void {
    const { now } = this.io;
    for (const [id, request] of this.requests) if (now >= request.deadline) this.onResponse(id, null);
    for (const [machine, at] of this.redirectedAt)
      if (elapsedMs(now, at) > RETURN_WINDOW_MS) this.redirectedAt.delete(machine);
    for (const [machine, since] of this.relayedSince)
      if (elapsedMs(now, since) > 2 * REDIRECT_RETRY_INTERVAL_MS) this.relayedSince.delete(machine);
  }
}
