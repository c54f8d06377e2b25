// Dispatches each message of another controller to the component that handles it.
import type { NodeId } from '../../types/index.ts';
import type { LoadShedder } from '../admission/load-shedder.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerMessage } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { ConnectionBalancer } from '../heartbeats/connection-balancer.ts';
import type { HeartbeatForwarder } from '../heartbeats/heartbeat-forwarder.ts';
import type { HeartbeatRelay } from '../heartbeats/heartbeat-relay.ts';
import type { LeaderElection } from '../membership/leader-election.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';
import type { HeartbeatRouter } from './heartbeat-router.ts';
import type { PeerAnnouncer } from './peer-announcer.ts';
import type { UserRequestRouter } from './user-request-router.ts';

type Hello = Extract<PeerMessage, { kind: 'hello' }>;
type Load = Extract<PeerMessage, { kind: 'load' }>;

/** Dependencies of {@link PeerMessageHandler}. */
export interface PeerMessageHandlerDependencies {
  io: ControllerIo;
  election: LeaderElection;
  configuration: Configuration;
  peers: PeerRegistry;
  announcer: PeerAnnouncer;
  loadShedder: LoadShedder;
  connectionBalancer: ConnectionBalancer;
  forwarder: HeartbeatForwarder;
  relay: HeartbeatRelay;
  heartbeatRouter: HeartbeatRouter;
  userRequestRouter: UserRequestRouter;
}

/** Handles messages of the other controllers, and their connections and disconnections. */
export class PeerMessageHandler {
  private readonly dependencies: PeerMessageHandlerDependencies;

  constructor(dependencies: PeerMessageHandlerDependencies) {
    this.dependencies = dependencies;
  }

  onConnected(node: NodeId): void {
    const { peers, announcer, election } = this.dependencies;
    peers.onConnected(node);
    announcer.sendHello(node, election.term);
  }

  onDisconnected(node: NodeId): void {
    const { peers, forwarder, userRequestRouter } = this.dependencies;
    peers.onDisconnected(node);
    forwarder.onPeerDisconnected(node);
    userRequestRouter.onPeerDisconnected(node);
  }

  onMessage(node: NodeId, message: PeerMessage): void {
    const { forwarder, relay, heartbeatRouter, userRequestRouter } = this.dependencies;
    forwarder.recordPeerActivity(node);
    switch (message.kind) {
      case 'hello':
        return this.onHello(message);
      case 'load':
        return this.onLoad(node, message);
      case 'forwarded-heartbeat':
        return heartbeatRouter.onForwardedHeartbeat(node, message.id, message.heartbeat);
      case 'forwarded-heartbeat-response':
        return forwarder.onResponse(message.id, message.response);
      case 'user-request':
        return userRequestRouter.onForwardedRequest(node, message.id, message.request);
      case 'user-response':
        return userRequestRouter.onForwardedResponse(message.id, message.response);
      case 'relayed-heartbeat':
        return heartbeatRouter.onRelayedHeartbeat(node, message.id, message.heartbeat);
      case 'relayed-heartbeat-response':
        return relay.onResponse(message.id, message.response);
    }
  }

  private onHello(hello: Hello): void {
    const { io, peers, election } = this.dependencies;
    const { node, leaderTerm } = hello;
    if (peers.onHello(hello))
      io.log(
        'info',
        'peer does not support job dependencies; jobs with dependencies are refused while it is connected',
        { node },
      );
    election.observeLeader(node, leaderTerm);
  }

  private onLoad(node: NodeId, load: Load): void {
    const { peers, election, configuration, loadShedder, connectionBalancer } = this.dependencies;
    loadShedder.onPeerLoad(node, load);
    connectionBalancer.recordPeerWeight(node, load.workers);
    peers.onLoad(node, load.configRevision);
    election.observeLeader(node, load.leaderTerm);
    configuration.onRevisionSeen(load.configRevision);
  }
}
