// Agents spread over all controllers: a node that is not the leader keeps the agents that connect to it,
// forwards their heartbeats over its link to the leader, most of them as a delta to the last one, and brings
// back the leader's responses. It answers nothing by itself, so who renews a lease and who commands a machine
// stay with the leader (docs/safety.md).
import {
  addMs,
  elapsedMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  NEVER,
  type NodeId,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { ForwardedHeartbeat, ForwardedHeartbeatResponse, Heartbeat } from '../base/model.ts';
import type { LeaderRecord } from '../membership/leader-election.ts';
import { CircuitBreaker } from './circuit-breaker.ts';
import { PeerLiveness } from './peer-liveness.ts';
import { type HeartbeatResponder, PendingHeartbeats } from './pending-heartbeats.ts';
import { diffTaskLists, type TaskListDelta } from './task-list-delta.ts';

/**
 * Agents wait for 4 s. Until nearly then the next leader may come up, and a redirected agent may find nobody.
 */
const RESPONSE_TIMEOUT_MS = 3800;
/**
 * While no leader is known, a heartbeat waits this long for the next one; its agent then tries another node.
 */
const DEFER_MS = 3800;
/** The last answered heartbeat of an agent that no longer comes is forgotten after this time. */
const BASELINE_TTL_MS = 60_000;
const SWEEP_INTERVAL_MS = 10_000;
/**
 * A leader that is silent for longer than its lease lasts, while the store still names it, is alive and only
 * out of this node's reach. Before that it has probably ended, and each agent redirected to it loses 5 s of
 * its lease in vain.
 */
const OUT_OF_REACH_MS = 6000;
/**
 * A node that has just denied being the leader is not asked again for this time, unless it is elected anew.
 */
const DENIED_MS = 1000;

/** A forwarded heartbeat that the leader has not answered. */
interface ForwardedRequest {
  heartbeat: Heartbeat;
  respond: HeartbeatResponder;
  deadline: Instant;
  leader: NodeId;
  /** Sent in full: there is nothing more to send if the leader still does not know its machine. */
  isFull: boolean;
}

/**
 * The last heartbeat of an agent that a leader has answered through this node; the next one may be a delta to
 * it.
 */
interface Baseline {
  leader: NodeId;
  heartbeat: Heartbeat;
  answeredAt: Instant;
}

/** Forwards heartbeats to the leader, and keeps those for which there is no leader to be reached. */
export class HeartbeatForwarder {
  private readonly requests = new Map<number, ForwardedRequest>();
  private readonly baselines = new Map<MachineId, Baseline>();
  private readonly deferred: PendingHeartbeats;
  private readonly liveness: PeerLiveness;
  private readonly circuitBreaker: CircuitBreaker;
  private nextSweepAt = 0 as Instant;
  /** The leader as far as this node knows. */
  private leader: LeaderRecord | null = null;
  private deniedUntil: Instant = LONG_AGO;

  constructor(private readonly io: ControllerIo) {
    this.deferred = new PendingHeartbeats(io, DEFER_MS);
    this.liveness = new PeerLiveness(io);
    this.circuitBreaker = new CircuitBreaker(io);
  }

  /** Whether heartbeats may be forwarded now; if not, agents are redirected to the leader. */
  get isUsable(): boolean {
    return !this.circuitBreaker.isOpen;
  }

  /**
   * The link is up but silent, and was not used lately for that; or the node has denied being the leader, as
   * it was restarted within a fraction of a second and its earlier lease still stands. Who leads is known
   * within seconds.
   */
  leaderMayHaveEnded(leader: NodeId): boolean {
    return this.isDenied || (!this.isUsable && this.liveness.silentMs(leader) < OUT_OF_REACH_MS);
  }

  private get isDenied(): boolean {
    return this.io.now < this.deniedUntil;
  }

  /**
   * Forwards a heartbeat to the leader. `deadline`: when its agent must be answered, if it has waited before.
   */
  forward(received: Heartbeat, leader: NodeId, respond: HeartbeatResponder, deadline: Instant = NEVER): void {
    const id = this.io.nextRequestId();
    const baseline = this.baselines.get(received.machine);
    const base =
      baseline !== undefined && baseline.leader === leader && canBeDelta(received, baseline.heartbeat)
        ? baseline.heartbeat
        : null;
    const diff = base === null ? null : diffTaskLists(base.tasks, received.tasks);
    // What is remembered keeps the objects of the list before, so that the next comparison with it is cheap.
    const heartbeat = diff === null ? received : { ...received, tasks: diff.tasks };
    this.requests.set(id, {
      heartbeat,
      respond,
      deadline: Math.min(addMs(this.io.now, RESPONSE_TIMEOUT_MS), deadline) as Instant,
      leader,
      isFull: diff === null,
    });
    if (base === null || diff === null) this.send(id, leader, { kind: 'full', heartbeat: received });
    else this.send(id, leader, deltaOf(received, base.seq, diff));
  }

  private send(id: number, leader: NodeId, heartbeat: ForwardedHeartbeat): void {
    this.io.emit({ kind: 'peer', node: leader, message: { kind: 'forwarded-heartbeat', id, heartbeat } });
  }

  /** The leader's response to a forwarded heartbeat. */
  onResponse(id: number, response: ForwardedHeartbeatResponse): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    this.circuitBreaker.recordResponse();
    if (response?.kind === 'full-heartbeat-required' && !request.isFull) {
      request.isFull = true;
      return this.send(id, request.leader, { kind: 'full', heartbeat: request.heartbeat });
    }
    this.requests.delete(id);
    if (response === null) return this.onDenied(request);
    if (response.kind === 'full-heartbeat-required') return request.respond({ kind: 'redirect', node: null });
    if (response.kind === 'commands') this.rememberBaseline(request);
    request.respond(response);
  }

  /** Redirected, the agent would come back a second later, on a new connection, and still find no leader. */
  private onDenied(request: ForwardedRequest): void {
    if (request.leader === this.leader?.node) this.deniedUntil = addMs(this.io.now, DENIED_MS);
    this.defer(request.heartbeat, request.respond, request.deadline);
  }

  private rememberBaseline({ heartbeat, leader }: ForwardedRequest): void {
    const last = this.baselines.get(heartbeat.machine);
    if (last !== undefined && last.leader === leader && !isNewer(heartbeat, last.heartbeat)) return;
    this.baselines.set(heartbeat.machine, { leader, heartbeat, answeredAt: this.io.now });
  }

  /** Keeps a heartbeat for which there is no leader yet: one is elected within seconds, and answers it. */
  defer(heartbeat: Heartbeat, respond: HeartbeatResponder, deadline: Instant = NEVER): void {
    this.deferred.add(heartbeat, respond, deadline);
  }

  /**
   * A leader can be reached, or this node has become it: deferred heartbeats are handled as if they came now.
   */
  resumeDeferred(
    handle: (heartbeat: Heartbeat, respond: HeartbeatResponder, deadline: Instant) => void,
  ): void {
    if (this.isDenied) return;
    for (const pending of this.deferred.take()) handle(pending.heartbeat, pending.respond, pending.until);
  }

  /**
   * There is another leader: what the one before has not answered, and perhaps never will, waits for this
   * one. The link to a leader that is frozen, or cut off, does not show it.
   */
  onLeader(leader: LeaderRecord): void {
    if (leader.node === this.leader?.node && leader.revision === this.leader.revision) return;
    this.leader = leader;
    this.circuitBreaker.reset();
    this.deniedUntil = LONG_AGO;
    this.deferRequests((request) => request.leader !== leader.node);
  }

  private deferRequests(isConcerned: (request: ForwardedRequest) => boolean): void {
    for (const [id, request] of this.requests) {
      if (!isConcerned(request)) continue;
      this.requests.delete(id);
      this.defer(request.heartbeat, request.respond, request.deadline);
    }
  }

  /** The peer has sent a message. */
  recordPeerActivity(node: NodeId): void {
    this.liveness.recordActivity(node);
  }

  /** Whether the link to the peer was lost a moment ago. */
  disconnectedRecently(node: NodeId): boolean {
    return this.liveness.disconnectedRecently(node);
  }

  /** The link to a peer is lost: nothing that was forwarded to it will be answered. */
  onPeerDisconnected(node: NodeId): void {
    this.liveness.recordDisconnect(node);
    this.deferRequests((request) => request.leader === node);
    for (const [machine, baseline] of this.baselines)
      if (baseline.leader === node) this.baselines.delete(machine);
  }

  /**
   * Whether the peer has sent nothing for some seconds; those that agents connect to send something every
   * second.
   */
  isSilent(node: NodeId): boolean {
    return this.liveness.isSilent(node);
  }

  /** Whether the peer has sent something within the last seconds. */
  isAlive(node: NodeId): boolean {
    return this.liveness.isAlive(node);
  }

  /**
   * Where to redirect an agent that cannot be served here: to a node that is certainly alive, rather than
   * round nodes that may not be, at 5 s each. To the leader only if it may well answer there.
   */
  private redirectTarget(leader: NodeId | null): NodeId | null {
    const alivePeer = this.liveness.findAlivePeer(leader);
    if (alivePeer !== null) return alivePeer;
    if (leader === null || this.liveness.disconnectedRecently(leader)) return null;
    const mayAnswer = this.liveness.isAlive(leader) || this.liveness.silentMs(leader) >= OUT_OF_REACH_MS;
    return mayAnswer ? leader : null;
  }

  /** `leader`: the last one known, for agents that may reach it though this node does not. */
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

const isNewer = (heartbeat: Heartbeat, than: Heartbeat): boolean =>
  heartbeat.agentEpoch > than.agentEpoch ||
  (heartbeat.agentEpoch === than.agentEpoch && heartbeat.seq > than.seq);

/** Whether a heartbeat can be sent as a delta to an earlier one. */
const canBeDelta = (heartbeat: Heartbeat, base: Heartbeat): boolean =>
  heartbeat.agentEpoch === base.agentEpoch && heartbeat.seq > base.seq && heartbeat.addr === base.addr;

function deltaOf(
  heartbeat: Heartbeat,
  baseSeq: number,
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
