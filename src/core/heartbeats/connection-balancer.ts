// Balances the agents' connections across the controllers. Agents choose a node at random and move to another
// one when it stops, so after a few restarts most agents are connected to the same node, which then lacks CPU
// time and sockets. A node whose weight is far above the mean redirects a small fraction of its agents per
// second to the node with the lowest weight. The leader should have few connections: it processes the
// heartbeats of all agents anyway, and a heartbeat over HTTP costs it several times as much as a forwarded
// one.
import { addMs, elapsedMs, type Instant, LONG_AGO, type MachineId, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

/** An agent counts as connected for this many heartbeat intervals after its last heartbeat. */
const ACTIVE_HEARTBEAT_INTERVALS = 2;
const SWEEP_INTERVAL_MS = 1000;
/**
 * How long the weight reported by a peer is valid. Peers report it every second; a peer that does not may be
 * frozen.
 */
const PEER_WEIGHT_TTL_MS = 2500;
/** A node is overloaded if its weight exceeds the mean by both this factor and this difference. */
const OVERLOAD_FACTOR = 1.25;
const OVERLOAD_MIN_EXCESS_WEIGHT = 24;
/** Fraction of a node's agents redirected per second. It is limited because each opens a new connection. */
const REDIRECTED_FRACTION_PER_S = 0.04;
/**
 * The same for the leader. A newly elected leader has as many agents as any other node and needs its CPU time
 * at once.
 */
const LEADER_REDIRECTED_FRACTION_PER_S = 0.12;
/** Weight of an agent connected to the leader; an agent connected to any other node has weight 1. */
const LEADER_AGENT_WEIGHT = 4;
/**
 * An agent that returns after a redirect could not reach the other node; it is not redirected again for this
 * long.
 */
const REDIRECT_PAUSE_MS = 120_000;

interface PeerWeight {
  weight: number;
  validUntil: Instant;
}

/** Counts the agents connected to this node and decides which of them to redirect to other nodes. */
export class ConnectionBalancer {
  private readonly lastHeartbeatAt = new Map<MachineId, Instant>();
  private readonly peerWeights = new Map<NodeId, PeerWeight>();
  private isLeader = false;
  private readonly redirectedAt = new Map<MachineId, Instant>();
  private nextSweepAt: Instant = LONG_AGO;
  /** How many more agents may be redirected before the next sweep. */
  private remainingRedirects = 0;
  /** The node to which they are redirected; null if there is none. */
  private redirectTarget: NodeId | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly heartbeatS: number,
  ) {}

  /** Number of agents connected to this node. */
  get workers(): number {
    return this.lastHeartbeatAt.size;
  }

  /** Sets whether this node is the leader. */
  setLeader(isLeader: boolean): void {
    this.isLeader = isLeader;
  }

  /** Load of this node from agents' connections, as reported to its peers. */
  get weight(): number {
    return this.workers * this.agentWeight;
  }

  private get agentWeight(): number {
    return this.isLeader ? LEADER_AGENT_WEIGHT : 1;
  }

  /** Stores the weight that a peer has reported. */
  recordPeerWeight(node: NodeId, weight: number): void {
    this.peerWeights.set(node, { weight, validUntil: addMs(this.io.now, PEER_WEIGHT_TTL_MS) });
  }

  /**
   * Counts the agent that sent a heartbeat to this node; returns the node to redirect it to, or null if it
   * should stay.
   */
  onHeartbeat(machine: MachineId): NodeId | null {
    const { now } = this.io;
    this.lastHeartbeatAt.set(machine, now);
    if (this.remainingRedirects <= 0 || this.redirectTarget === null || this.redirectedAt.has(machine))
      return null;
    this.remainingRedirects--;
    this.lastHeartbeatAt.delete(machine);
    this.redirectedAt.set(machine, now);
    return this.redirectTarget;
  }

  /**
   * Drops inactive agents and plans the redirects of the next interval. `isReachable`: whether a node accepts
   * agents and this node has a link to it.
   */
  tick(isReachable: (node: NodeId) => boolean): void {
    const { now } = this.io;
    if (now < this.nextSweepAt) return;
    this.nextSweepAt = addMs(now, SWEEP_INTERVAL_MS);
    const activeMs = ACTIVE_HEARTBEAT_INTERVALS * this.heartbeatS * 1000;
    for (const [machine, at] of this.lastHeartbeatAt)
      if (elapsedMs(now, at) > activeMs) this.lastHeartbeatAt.delete(machine);
    for (const [machine, at] of this.redirectedAt)
      if (elapsedMs(now, at) > REDIRECT_PAUSE_MS) this.redirectedAt.delete(machine);
    this.planRedirects(isReachable);
  }

  private planRedirects(isReachable: (node: NodeId) => boolean): void {
    this.remainingRedirects = 0;
    this.redirectTarget = null;
    const ownWeight = this.weight;
    let totalWeight = ownWeight;
    let nodeCount = 1;
    let leastWeight = Number.POSITIVE_INFINITY;
    for (const [node, peer] of this.peerWeights) {
      if (this.io.now >= peer.validUntil || !isReachable(node)) continue;
      totalWeight += peer.weight;
      nodeCount++;
      if (peer.weight >= leastWeight) continue;
      leastWeight = peer.weight;
      this.redirectTarget = node;
    }
    const meanWeight = totalWeight / nodeCount;
    const overloadThreshold = Math.max(meanWeight * OVERLOAD_FACTOR, meanWeight + OVERLOAD_MIN_EXCESS_WEIGHT);
    if (this.redirectTarget === null || ownWeight <= overloadThreshold) return;
    this.remainingRedirects = Math.ceil(
      Math.min(
        (ownWeight - meanWeight) / this.agentWeight,
        meanWeight - leastWeight,
        this.maxRedirectsPerSweep,
      ),
    );
  }

  private get maxRedirectsPerSweep(): number {
    return this.workers * (this.isLeader ? LEADER_REDIRECTED_FRACTION_PER_S : REDIRECTED_FRACTION_PER_S);
  }
}
