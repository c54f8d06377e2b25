// Routes the heartbeats that reach this controller: processed here if it is the leader, else forwarded or
// relayed to the leader, deferred until one is elected, or redirected to another controller.
import { type FencingToken, type Instant, NEVER, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { fitsPeerMessage } from '../base/message-size.ts';
import type {
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  Heartbeat,
  HeartbeatResponse,
} from '../base/model.ts';
import type { ConnectionBalancer } from '../heartbeats/connection-balancer.ts';
import type { HeartbeatForwarder } from '../heartbeats/heartbeat-forwarder.ts';
import type { HeartbeatRelay } from '../heartbeats/heartbeat-relay.ts';
import type { HeartbeatResponder } from '../leader/responders.ts';
import { commandsForResponse } from '../machines/command-list.ts';
import type { LeaderRecord } from '../membership/leader-election.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';
import type { Leadership } from './leadership.ts';

/** Dependencies of {@link HeartbeatRouter}. */
export interface HeartbeatRouterDependencies {
  io: ControllerIo;
  self: NodeId;
  leadership: Leadership;
  peers: PeerRegistry;
  balancer: ConnectionBalancer;
  forwarder: HeartbeatForwarder;
  relay: HeartbeatRelay;
}

/** Routes heartbeats to the leader over the path that is available. */
export class HeartbeatRouter {
  private readonly io: ControllerIo;
  private readonly self: NodeId;
  private readonly leadership: Leadership;
  private readonly peers: PeerRegistry;
  private readonly balancer: ConnectionBalancer;
  private readonly forwarder: HeartbeatForwarder;
  private readonly relay: HeartbeatRelay;

  constructor(dependencies: HeartbeatRouterDependencies) {
    this.io = dependencies.io;
    this.self = dependencies.self;
    this.leadership = dependencies.leadership;
    this.peers = dependencies.peers;
    this.balancer = dependencies.balancer;
    this.forwarder = dependencies.forwarder;
    this.relay = dependencies.relay;
  }

  /**
   * A heartbeat of an agent connected here. If too many agents are connected here, this one is redirected
   * before its heartbeat is processed.
   */
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    const target = this.balancer.onHeartbeat(heartbeat.machine);
    if (target !== null) respond({ kind: 'redirect', node: target });
    else this.route(heartbeat, (response) => respond(withinLimit(response)));
  }

  /**
   * A relayed heartbeat is handled like a direct one; the response is null if this controller does not lead.
   */
  onRelayedHeartbeat(node: NodeId, id: number, heartbeat: Heartbeat): void {
    const respond = (response: HeartbeatResponse | null) =>
      this.io.emit({ kind: 'peer', node, message: { kind: 'relayed-heartbeat-response', id, response } });
    if (this.leadership.leaderTerm === null) respond(null);
    else this.route(heartbeat, respond);
  }

  /** A forwarded heartbeat, full or as a delta; the response is null if this controller does not lead. */
  onForwardedHeartbeat(node: NodeId, id: number, heartbeat: ForwardedHeartbeat): void {
    const respond = (response: ForwardedHeartbeatResponse) =>
      this.io.emit({ kind: 'peer', node, message: { kind: 'forwarded-heartbeat-response', id, response } });
    const isDelta = heartbeat.kind === 'delta';
    const token = isDelta ? heartbeat.fencingToken : heartbeat.heartbeat.fencingToken;
    if (this.isSuperseded(token)) return respond(null);
    const { leaderTerm, authority } = this.leadership;
    if (leaderTerm === null || !authority.mayCommand()) return respond(null);
    leaderTerm.onForwardedHeartbeat(heartbeat, respond);
  }

  /** Called after every input: routes the deferred heartbeats as soon as a leader can take them. */
  resumeDeferred(): void {
    const { leader } = this.leadership.election;
    if (leader === null) return;
    this.forwarder.onLeader(leader);
    if (!this.isServedBy(leader)) return;
    this.forwarder.resumeDeferred((heartbeat, respond, respondBy) =>
      this.route(heartbeat, respond, respondBy),
    );
  }

  /** Whether heartbeats can reach the leader, this controller or another, at the moment. */
  private isServedBy(leader: LeaderRecord): boolean {
    if (leader.node !== this.self) return this.peers.connectedPeers.has(leader.node);
    return this.leadership.leaderTerm !== null && this.leadership.authority.mayCommand();
  }

  /**
   * Whether the machine has seen a higher token, so that another leader has taken over; if so, ends this
   * term.
   */
  private isSuperseded(token: FencingToken): boolean {
    const { leaderTerm, election } = this.leadership;
    if (leaderTerm === null || token <= leaderTerm.machines.fencingToken) return false;
    election.onHigherFencingToken();
    return true;
  }

  /** `respondBy`: deadline for the response to the agent, if the heartbeat has been deferred before. */
  private route(heartbeat: Heartbeat, respond: HeartbeatResponder, respondBy: Instant = NEVER): void {
    if (this.isSuperseded(heartbeat.fencingToken)) return respond({ kind: 'redirect', node: null });
    const { leaderTerm, authority } = this.leadership;
    if (leaderTerm !== null && authority.mayCommand())
      return leaderTerm.onHeartbeat(heartbeat, respond, respondBy);
    const leader = this.leadership.remoteLeader;
    const isConnected = leader !== null && this.peers.connectedPeers.has(leader.node);
    if (this.shouldDefer(leader, isConnected)) return this.forwarder.defer(heartbeat, respond, respondBy);
    // A longer message would end the connection to the leader; the leader reads the heartbeat from its agent.
    if (leader !== null && !fitsPeerMessage(heartbeat))
      return respond({ kind: 'redirect', node: leader.node });
    if (isConnected && this.peers.forwardingPeers.has(leader.node) && this.forwarder.isUsable)
      return this.forwarder.forward(heartbeat, leader.node, respond, respondBy);
    this.relay.relay(heartbeat, leader, isConnected, respond);
  }

  /** Whether a leader will probably be elected soon; an agent redirected before that would only come back. */
  private shouldDefer(leader: LeaderRecord | null, isConnected: boolean): boolean {
    if (isConnected) return leader !== null && this.forwarder.leaderMayHaveEnded(leader.node);
    if (this.peers.connectedPeers.size === 0) return false;
    return leader === null || this.forwarder.wasDisconnectedRecently(leader.node);
  }
}

/**
 * The response with no more commands than fit into it: a leader of an earlier version does not bound them.
 * Commands that are left out are repeated by the leader, as if the response had been lost.
 */
function withinLimit(response: HeartbeatResponse): HeartbeatResponse {
  if (response.kind !== 'commands') return response;
  const commands = commandsForResponse(response.commands);
  return commands === response.commands ? response : { ...response, commands };
}
