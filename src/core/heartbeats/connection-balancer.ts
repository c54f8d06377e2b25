// Balances the connections of agents over the controllers. Agents choose a node at random and move on when it
// ends, so after a few ends most of them are at one node, which then lacks processor time and sockets. A node
// with many more than the mean redirects some to the one with fewest, a few a second. The leader should have
// few: it processes the heartbeats of all agents anyway, and a connection with its HTTP costs it several
// times as much as a forwarded heartbeat.
import { addMs, elapsedMs, type Instant, LONG_AGO, type MachineId, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

/** Agents are counted for this many heartbeat intervals after their last heartbeat. */
const ACTIVE_INTERVALS = 2;
const SWEEP_INTERVAL_MS = 1000;
/** How long the weight of a peer is valid: it is sent every second, and a silent peer may be frozen. */
const PEER_WEIGHT_TTL_MS = 2500;
/** A node is overloaded when its weight exceeds the mean by this factor and by this much. */
const OVERLOAD_FACTOR = 1.25;
const OVERLOAD_MIN_EXCESS = 24;
/** Part of a node's agents redirected in a second: each makes a new connection elsewhere. */
const REDIRECTED_PART_PER_S = 0.04;
/** A new leader has as many agents as any other node, and needs its processor at once. */
const LEADER_REDIRECTED_PART_PER_S = 0.12;
/** Weight of an agent that is connected to the leader; elsewhere 1. */
const LEADER_AGENT_WEIGHT = 4;
/**
 * An agent that comes back after a redirect did not get through; it is not redirected again for this time.
 */
const REDIRECT_PAUSE_MS = 120_000;

interface PeerWeight {
  weight: number;
  validUntil: Instant;
}

/** Counts the agents of this node and decides which of them to redirect to other nodes. */
export class ConnectionBalancer {
  private readonly lastHeartbeatAt = new Map<MachineId, Instant>();
  private readonly peerWeights = new Map<NodeId, PeerWeight>();
  private isLeader = false;
  private readonly redirectedAt = new Map<MachineId, Instant>();
  private nextSweepAt: Instant = LONG_AGO;
  /** How many more agents may be redirected before the next sweep, and where to. */
  private redirectsLeft = 0;
  private redirectTarget: NodeId | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly heartbeatS: number,
  ) {}

  /** Number of agents that are connected to this node. */
  get workers(): number {
    return this.lastHeartbeatAt.size;
  }

  /** Whether this node is the leader from now on. */
  setLeader(isLeader: boolean): void {
    this.isLeader = isLeader;
  }

  /** The load of this node, as it is sent to its peers. */
  get weight(): number {
    return this.workers * this.agentWeight;
  }

  private get agentWeight(): number {
    return this.isLeader ? LEADER_AGENT_WEIGHT : 1;
  }

  /** A peer has sent its weight. */
  recordPeerWeight(node: NodeId, weight: number): void {
    this.peerWeights.set(node, { weight, validUntil: addMs(this.io.now, PEER_WEIGHT_TTL_MS) });
  }

  /** Counts the agent of a heartbeat to this node; the node to redirect it to, or null if it may stay. */
  onHeartbeat(machine: MachineId): NodeId | null {
    const { now } = this.io;
    this.lastHeartbeatAt.set(machine, now);
    if (this.redirectsLeft <= 0 || this.redirectTarget === null || this.redirectedAt.has(machine))
      return null;
    this.redirectsLeft--;
    this.lastHeartbeatAt.delete(machine);
    this.redirectedAt.set(machine, now);
    return this.redirectTarget;
  }

  /** `isReachable`: whether a node takes agents and this one is linked to it. */
  tick(isReachable: (node: NodeId) => boolean): void {
    const { now } = this.io;
    if (now < this.nextSweepAt) return;
    this.nextSweepAt = addMs(now, SWEEP_INTERVAL_MS);
    const activeMs = ACTIVE_INTERVALS * this.heartbeatS * 1000;
    for (const [machine, at] of this.lastHeartbeatAt)
      if (elapsedMs(now, at) > activeMs) this.lastHeartbeatAt.delete(machine);
    for (const [machine, at] of this.redirectedAt)
      if (elapsedMs(now, at) > REDIRECT_PAUSE_MS) this.redirectedAt.delete(machine);
    this.planRedirects(isReachable);
  }

  private planRedirects(isReachable: (node: NodeId) => boolean): void {
    this.redirectsLeft = 0;
    this.redirectTarget = null;
    const ownWeight = this.weight;
    let totalWeight = ownWeight;
    let nodes = 1;
    let leastWeight = Number.POSITIVE_INFINITY;
    for (const [node, peer] of this.peerWeights) {
      if (this.io.now >= peer.validUntil || !isReachable(node)) continue;
      totalWeight += peer.weight;
      nodes++;
      if (peer.weight >= leastWeight) continue;
      leastWeight = peer.weight;
      this.redirectTarget = node;
    }
    const mean = totalWeight / nodes;
    const overloadedAbove = Math.max(mean * OVERLOAD_FACTOR, mean + OVERLOAD_MIN_EXCESS);
    if (this.redirectTarget === null || ownWeight <= overloadedAbove) return;
    this.redirectsLeft = Math.ceil(
      Math.min((ownWeight - mean) / this.agentWeight, mean - leastWeight, this.maxRedirectsPerSweep),
    );
  }

  private get maxRedirectsPerSweep(): number {
    return this.workers * (this.isLeader ? LEADER_REDIRECTED_PART_PER_S : REDIRECTED_PART_PER_S);
  }
}
