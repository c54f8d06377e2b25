// Forwards heartbeats to the leader. Agents connect to any controller: a node that is not the leader forwards
// their heartbeats over its link to the leader, most of them as a delta to the previous one, and returns the
// leader's responses to the agents. It never answers a heartbeat with commands of its own, so only the leader
// renews leases and commands machines (docs/safety.md).
import {
  addMs,
  elapsedMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  NEVER,
  type NodeId,
} from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import type { ControllerIo } from '../base/io.ts';
import type { ForwardedHeartbeat, ForwardedHeartbeatResponse, Heartbeat } from '../base/model.ts';
import type { LeaderRecord } from '../membership/leader-election.ts';
import { CircuitBreaker } from './circuit-breaker.ts';
import { PeerLiveness } from './peer-liveness.ts';
import { type HeartbeatResponder, PendingHeartbeats } from './pending-heartbeats.ts';
import { diffTaskLists, type TaskListDelta } from './task-list-delta.ts';

/**
 * Agents time out after 4 s. The heartbeat is kept for almost that long, because a new leader may be elected
 * meanwhile, while an agent that is redirected earlier may not reach any leader.
 */
const RESPONSE_TIMEOUT_MS = 3800;
/** How long a heartbeat waits for a leader to be elected; its agent is redirected after that. */
const DEFER_TIMEOUT_MS = 3800;
/** The baseline of an agent is dropped if no heartbeat of it was answered for this long. */
const BASELINE_TTL_MS = 60_000;
const SWEEP_INTERVAL_MS = 10_000;
/**
 * A leader that has been silent for longer than its leader lease, while the store still names it as the
 * leader, is running and only unreachable from this node. Before that it has probably stopped, and each agent
 * redirected to it would lose 5 s of its own lease without getting an answer.
 */
const UNREACHABLE_AFTER_MS = 6000;
/**
 * After a node has denied being the leader, nothing is forwarded to it for this long, unless it is elected
 * again.
 */
const LEADERSHIP_DENIAL_TTL_MS = 1000;

/** A forwarded heartbeat that the leader has not answered yet. */
interface ForwardedRequest {
  heartbeat: Heartbeat;
  respond: HeartbeatResponder;
  deadline: Instant;
  leader: NodeId;
  /** If true and the leader still requires the full heartbeat, sending it again would not help. */
  wasSentInFull: boolean;
}

/**
 * The last heartbeat of an agent that a leader has answered through this node; the next one may be sent as a
 * delta to it.
 */
interface Baseline {
  leader: NodeId;
  heartbeat: Heartbeat;
  answeredAt: Instant;
}

/** Forwards heartbeats to the leader, and defers them while no leader can be reached. */
export class HeartbeatForwarder {
  private readonly requests = new Map<number, ForwardedRequest>();
  private readonly baselines = new Map<MachineId, Baseline>();
  private readonly deferred: PendingHeartbeats;
  private readonly liveness: PeerLiveness;
  private readonly circuitBreaker: CircuitBreaker;
  private nextSweepAt = 0 as Instant;
  /** The last leader that this node was given. */
  private leader: LeaderRecord | null = null;
  private leadershipDeniedUntil: Instant = LONG_AGO;

  constructor(private readonly io: ControllerIo) {
    this.deferred = new PendingHeartbeats(io, DEFER_TIMEOUT_MS);
    this.liveness = new PeerLiveness(io);
    this.circuitBreaker = new CircuitBreaker(io);
  }

  /** Whether heartbeats may be forwarded now; if not, agents are redirected to the leader. */
  get isUsable(): boolean {
    return !this.circuitBreaker.isOpen;
  }

  /**
   * Whether the leader may have stopped although the link to it is up. Either the link is silent and the
   * circuit breaker is open for that reason; or the node has denied being the leader, because it restarted
   * within a fraction of a second and its previous leader lease has not expired. The outcome is known within
   * seconds.
   */
  leaderMayHaveEnded(leader: NodeId): boolean {
    return (
      this.isLeadershipDenied || (!this.isUsable && this.liveness.silenceMs(leader) < UNREACHABLE_AFTER_MS)
    );
  }

  private get isLeadershipDenied(): boolean {
    return this.io.now < this.leadershipDeniedUntil;
  }

  /**
   * Forwards a heartbeat to the leader. `deadline`: the time by which the agent must be answered, if the
   * heartbeat has already been deferred.
   */
  forward(received: Heartbeat, leader: NodeId, respond: HeartbeatResponder, deadline: Instant = NEVER): void {
    const id = this.io.nextRequestId();
    const baseline = this.baselines.get(received.machine);
    const base =
      baseline !== undefined && baseline.leader === leader && canSendAsDelta(received, baseline.heartbeat)
        ? baseline.heartbeat
        : null;
    const diff = base === null ? null : diffTaskLists(base.tasks, received.tasks);
    // The heartbeat that may become the baseline reuses the unchanged task objects of the previous list, so
    // that the next comparison is cheap.
    const heartbeat = diff === null ? received : { ...received, tasks: diff.tasks };
    this.requests.set(id, {
      heartbeat,
      respond,
      deadline: Math.min(addMs(this.io.now, RESPONSE_TIMEOUT_MS), deadline) as Instant,
      leader,
      wasSentInFull: diff === null,
    });
    if (base === null || diff === null) this.send(id, leader, { kind: 'full', heartbeat: received });
    else this.send(id, leader, createDelta(received, base.seq, diff));
  }

  private send(id: number, leader: NodeId, heartbeat: ForwardedHeartbeat): void {
    this.io.emit({ kind: 'peer', node: leader, message: { kind: 'forwarded-heartbeat', id, heartbeat } });
  }

  /** Handles the leader's response to a forwarded heartbeat; null if the node is not the leader. */
  onResponse(id: number, response: ForwardedHeartbeatResponse): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    this.circuitBreaker.recordResponse();
    if (response?.kind === 'full-heartbeat-required' && !request.wasSentInFull) {
      request.wasSentInFull = true;
      return this.send(id, request.leader, { kind: 'full', heartbeat: request.heartbeat });
    }
    this.requests.delete(id);
    if (response === null) return this.onLeadershipDenied(request);
    if (response.kind === 'full-heartbeat-required') return request.respond({ kind: 'redirect', node: null });
    if (response.kind === 'commands') this.updateBaseline(request);
    request.respond(response);
  }

  /**
   * Defers a heartbeat because the node it was forwarded to is not the leader. If the agent were redirected
   * instead, it would return a second later on a new connection, still before a leader is elected.
   */
  private onLeadershipDenied(request: ForwardedRequest): void {
    if (request.leader === this.leader?.node)
      this.leadershipDeniedUntil = addMs(this.io.now, LEADERSHIP_DENIAL_TTL_MS);
    this.defer(request.heartbeat, request.respond, request.deadline);
  }

  private updateBaseline({ heartbeat, leader }: ForwardedRequest): void {
    const last = this.baselines.get(heartbeat.machine);
    if (last !== undefined && last.leader === leader && !isNewer(heartbeat, last.heartbeat)) return;
    this.baselines.set(heartbeat.machine, { leader, heartbeat, answeredAt: this.io.now });
  }

  /** Keeps a heartbeat while there is no leader: one is elected within seconds and then answers it. */
  defer(heartbeat: Heartbeat, respond: HeartbeatResponder, deadline: Instant = NEVER): void {
    this.deferred.add(heartbeat, respond, deadline);
  }

  /**
   * Passes the deferred heartbeats to `handle` as if they had just been received; to be called when a leader
   * can be reached or this node has become the leader.
   */
  resumeDeferred(
    handle: (heartbeat: Heartbeat, respond: HeartbeatResponder, deadline: Instant) => void,
  ): void {
    if (this.isLeadershipDenied) return;
    for (const pending of this.deferred.take()) handle(pending.heartbeat, pending.respond, pending.until);
  }

  /**
   * Records the current leader. If it has changed, heartbeats that the previous leader has not answered are
   * deferred until they can be forwarded to the new one: a frozen or partitioned leader may never answer
   * them, and its link may stay up.
   */
  onLeader(leader: LeaderRecord): void {
    if (leader.node === this.leader?.node && leader.revision === this.leader.revision) return;
    this.leader = leader;
    this.circuitBreaker.reset();
    this.leadershipDeniedUntil = LONG_AGO;
    this.deferRequests((request) => request.leader !== leader.node);
  }

  private deferRequests(isAffected: (request: ForwardedRequest) => boolean): void {
    for (const [id, request] of this.requests) {
      if (!isAffected(request)) continue;
      this.requests.delete(id);
      this.defer(request.heartbeat, request.respond, request.deadline);
    }
  }

  /** Records that the peer has sent a message. */
  recordPeerActivity(node: NodeId): void {
    this.liveness.recordActivity(node);
  }

  /** Whether the link to the peer was lost within the last seconds. */
  wasDisconnectedRecently(node: NodeId): boolean {
    return this.liveness.wasDisconnectedRecently(node);
  }

  /** Records that the link to a peer was lost; heartbeats forwarded over it will not be answered. */
  onPeerDisconnected(node: NodeId): void {
    this.liveness.recordDisconnect(node);
    this.deferRequests((request) => request.leader === node);
    for (const [machine, baseline] of this.baselines)
      if (baseline.leader === node) this.baselines.delete(machine);
  }

  /**
   * Whether the peer has sent nothing for some seconds. Controllers that accept agents send a message every
   * second.
   */
  isSilent(node: NodeId): boolean {
    return this.liveness.isSilent(node);
  }

  /** Whether the peer has sent a message within the last seconds. */
  isAlive(node: NodeId): boolean {
    return this.liveness.isAlive(node);
  }

  /**
   * The node to redirect an agent to when its heartbeat cannot be answered here. An agent loses 5 s on each
   * node that does not answer, so a node known to be alive is preferred. The leader is chosen only if the
   * agent can probably reach it; null leaves the choice of the node to the agent.
   */
  private redirectTarget(leader: NodeId | null): NodeId | null {
    const alivePeer = this.liveness.findAlivePeer(leader);
    if (alivePeer !== null) return alivePeer;
    if (leader === null || this.liveness.wasDisconnectedRecently(leader)) return null;
    const mayAnswer =
      this.liveness.isAlive(leader) || this.liveness.silenceMs(leader) >= UNREACHABLE_AFTER_MS;
    return mayAnswer ? leader : null;
  }

  /**
   * Answers overdue heartbeats with redirects and drops old baselines. `leader`: the last known leader, which
   * agents may be able to reach even if this node cannot.
   */
  tick(leader: NodeId | null): void {
    const { now } = this.io;
    for (const [id, request] of this.requests) {
      if (now < request.deadline) break;
      this.requests.delete(id);
      this.onTimeout(request);
    }
    for (const pending of this.deferred.takeOverdue())
      pending.respond({ kind: 'redirect', node: this.redirectTarget(leader) });
    if (now < this.nextSweepAt) return;
    this.nextSweepAt = addMs(now, SWEEP_INTERVAL_MS);
    for (const [machine, baseline] of this.baselines)
      if (elapsedMs(now, baseline.answeredAt) > BASELINE_TTL_MS) this.baselines.delete(machine);
  }

  private onTimeout(request: ForwardedRequest): void {
    if (this.circuitBreaker.recordTimeout(this.liveness.isSilent(request.leader)))
      this.io.log('info', 'leader does not answer forwarded heartbeats', { leader: request.leader });
    request.respond({ kind: 'redirect', node: this.redirectTarget(request.leader) });
  }
}

const isNewer = (heartbeat: Heartbeat, other: Heartbeat): boolean =>
  heartbeat.agentEpoch > other.agentEpoch ||
  (heartbeat.agentEpoch === other.agentEpoch && heartbeat.seq > other.seq);

/**
 * Whether a heartbeat can be sent as a delta to an earlier one. A delta cannot name heartbeat number 0 as its
 * base: that number marks full heartbeats (peer.proto).
 */
const canSendAsDelta = (heartbeat: Heartbeat, base: Heartbeat): boolean =>
  base.seq > 0 &&
  heartbeat.agentEpoch === base.agentEpoch &&
  heartbeat.seq > base.seq &&
  heartbeat.addr === base.addr;

function createDelta(
  heartbeat: Heartbeat,
  baseSeq: Uint64,
  { removed, changed }: TaskListDelta,
): ForwardedHeartbeat {
  const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS } = heartbeat;
  return {
    kind: 'delta',
    machine,
    agentEpoch,
    seq,
    fencingToken,
    preemptionNoticeS,
    baseSeq,
    removed,
    changed,
  };
}
