// The core of one controller: a state machine that takes inputs and returns the messages and responses to
// send.
import type { Instant, WallTime } from '../types/index.ts';
import { FallbackAdmission } from './admission/fallback-admission.ts';
import { LoadShedder } from './admission/load-shedder.ts';
import { ControllerIo, type Effect, type Input, type Random } from './base/io.ts';
import type { Settings, UserRequest, UserResponse } from './base/model.ts';
import { StoreRequestBudget } from './base/store-request-budget.ts';
import { Configuration } from './configuration/configuration.ts';
import { ControllerStatus } from './controller/controller-status.ts';
import { HeartbeatRouter } from './controller/heartbeat-router.ts';
import { LeaderRequests } from './controller/leader-requests.ts';
import { LeaderlessRequests } from './controller/leaderless-requests.ts';
import { Leadership } from './controller/leadership.ts';
import { PeerAnnouncer } from './controller/peer-announcer.ts';
import { PeerMessageHandler } from './controller/peer-message-handler.ts';
import { UserRequestRouter } from './controller/user-request-router.ts';
import { ConnectionBalancer } from './heartbeats/connection-balancer.ts';
import { HeartbeatForwarder } from './heartbeats/heartbeat-forwarder.ts';
import { HeartbeatRelay } from './heartbeats/heartbeat-relay.ts';
import type { LeaderTerm } from './leader/leader-term.ts';
import { MachineTypeCatalog } from './machines/machine-type-catalog.ts';
import type { LeaderElection } from './membership/leader-election.ts';
import { PeerRegistry } from './membership/peer-registry.ts';
import type { SchedulerOptions } from './scheduling/scheduler.ts';
import { JobRecordReader } from './storage/job-record-reader.ts';

/** One controller: composes its components, and dispatches each input to the component that handles it. */
export class Controller {
  /** Reads the records of jobs that this controller does not hold in memory. */
  readonly jobRecords: JobRecordReader;
  /** The configuration that this controller applies. */
  readonly configuration: Configuration;
  private readonly io: ControllerIo;
  private readonly peers: PeerRegistry;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly relay: HeartbeatRelay;
  private readonly forwarder: HeartbeatForwarder;
  private readonly loadShedder: LoadShedder;
  private readonly connectionBalancer: ConnectionBalancer;
  private readonly announcer: PeerAnnouncer;
  private readonly leadership: Leadership;
  private readonly userRequestRouter: UserRequestRouter;
  private readonly heartbeatRouter: HeartbeatRouter;
  private readonly peerMessageHandler: PeerMessageHandler;
  private readonly status: ControllerStatus;

  constructor(settings: Settings, options: SchedulerOptions, random: Random) {
    this.peers = new PeerRegistry(settings.peers);
    const budget = new StoreRequestBudget(settings.store.requestsPerS, settings.peers.length + 1);
    this.io = new ControllerIo(random, budget, { state: settings.storeAddr, cloud: settings.cloudAddr });
    this.jobRecords = new JobRecordReader(this.io, settings);
    this.machineTypes = new MachineTypeCatalog(this.io);
    this.relay = new HeartbeatRelay(this.io);
    this.forwarder = new HeartbeatForwarder(this.io);
    this.loadShedder = new LoadShedder(this.io);
    this.connectionBalancer = new ConnectionBalancer(this.io, settings.workers.heartbeatS);
    this.configuration = new Configuration(this.io, settings);
    this.configuration.onApplied = (change) => this.leaderTerm?.onConfigurationApplied(change);
    this.announcer = new PeerAnnouncer(this.io, settings.node, this.peers);
    const fallbackAdmission = this.createFallbackAdmission(settings);
    this.leadership = this.createLeadership(settings, options);
    this.userRequestRouter = this.createUserRequestRouter(fallbackAdmission);
    this.heartbeatRouter = this.createHeartbeatRouter(settings);
    this.peerMessageHandler = this.createPeerMessageHandler();
    this.status = this.createStatus(settings);
  }

  private createFallbackAdmission(settings: Settings): FallbackAdmission {
    return new FallbackAdmission({
      io: this.io,
      settings,
      machineTypes: this.machineTypes,
      jobRecords: this.jobRecords,
      configuration: this.configuration,
      onStaleConfiguration: () => this.election.refresh(),
    });
  }

  private createLeadership(settings: Settings, options: SchedulerOptions): Leadership {
    return new Leadership({
      io: this.io,
      settings,
      options,
      configuration: this.configuration,
      peers: this.peers,
      peerLiveness: this.forwarder,
      machineTypes: this.machineTypes,
      jobRecords: this.jobRecords,
      connectionBalancer: this.connectionBalancer,
      announcer: this.announcer,
    });
  }

  private createUserRequestRouter(fallbackAdmission: FallbackAdmission): UserRequestRouter {
    const { io, leadership, peers, loadShedder, jobRecords } = this;
    const leaderless = new LeaderlessRequests(jobRecords, fallbackAdmission);
    const leaderRequests = new LeaderRequests({ leadership, loadShedder, jobRecords, leaderless });
    return new UserRequestRouter({
      io,
      leadership,
      peers,
      loadShedder,
      jobRecords,
      leaderRequests,
      leaderless,
    });
  }

  private createHeartbeatRouter(settings: Settings): HeartbeatRouter {
    return new HeartbeatRouter({
      io: this.io,
      self: settings.node,
      leadership: this.leadership,
      peers: this.peers,
      balancer: this.connectionBalancer,
      forwarder: this.forwarder,
      relay: this.relay,
    });
  }

  private createPeerMessageHandler(): PeerMessageHandler {
    return new PeerMessageHandler({
      io: this.io,
      election: this.election,
      configuration: this.configuration,
      peers: this.peers,
      announcer: this.announcer,
      loadShedder: this.loadShedder,
      connectionBalancer: this.connectionBalancer,
      forwarder: this.forwarder,
      relay: this.relay,
      heartbeatRouter: this.heartbeatRouter,
      userRequestRouter: this.userRequestRouter,
    });
  }

  private createStatus(settings: Settings): ControllerStatus {
    return new ControllerStatus({
      io: this.io,
      settings,
      leadership: this.leadership,
      configuration: this.configuration,
      peers: this.peers,
      machineTypes: this.machineTypes,
      forwarder: this.forwarder,
      connectionBalancer: this.connectionBalancer,
      loadShedder: this.loadShedder,
    });
  }

  /** The current term of this controller; null while it is not the leader. */
  get leaderTerm(): LeaderTerm | null {
    return this.leadership.leaderTerm;
  }

  get election(): LeaderElection {
    return this.leadership.election;
  }

  /** Whether this controller can serve users. */
  get ready(): boolean {
    return this.status.isReady;
  }

  /** Describes the state of this controller for operators. */
  describe(): Record<string, unknown> {
    return this.status.describe();
  }

  /**
   * The response to a request that is shed under overload, before its body is parsed; null if the request is
   * to be served.
   */
  rejection(op: UserRequest['op']): UserResponse | null {
    const leader = this.election.leader?.node ?? null;
    return this.loadShedder.rejection(op, leader, this.writeBacklogS);
  }

  /**
   * Processes one input at the given monotonic and wall-clock times; returns the resulting effects in order.
   */
  step(now: Instant, wall: WallTime, input: Input): Effect[] {
    this.io.beginStep(now, wall);
    this.dispatch(input);
    this.heartbeatRouter.resumeDeferred();
    if (this.leadership.authority.mayCommand()) this.leaderTerm?.afterInput();
    return this.io.takeEffects();
  }

  private dispatch(input: Input): void {
    switch (input.kind) {
      case 'tick':
        return this.tick(input.queuedMs ?? 0, input.memory ?? 0);
      case 'user':
        return this.userRequestRouter.onRequest(input.request, (response) =>
          this.io.emit({ kind: 'user-response', requestId: input.requestId, response }),
        );
      case 'heartbeat':
        return this.heartbeatRouter.onHeartbeat(input.heartbeat, (response) =>
          this.io.emit({ kind: 'heartbeat-response', requestId: input.requestId, response }),
        );
      case 'store':
      case 'cloud':
      case 'worker':
        return this.io.resolve(input.tag, input.reply);
      case 'peer':
        return this.peerMessageHandler.onMessage(input.node, input.message);
      case 'peer-up':
        return this.peerMessageHandler.onConnected(input.node);
      case 'peer-down':
        return this.peerMessageHandler.onDisconnected(input.node);
    }
  }

  /** Seconds needed to carry out the pending writes; 0 while this controller is not the leader. */
  private get writeBacklogS(): number {
    return this.leaderTerm?.userRequests.backlogS ?? 0;
  }

  /** `queuedMs`: how long the oldest unread request has waited; `memory`: the fraction of memory in use. */
  private tick(queuedMs: number, memory: number): void {
    this.tickLoad(queuedMs, memory);
    this.connectionBalancer.tick(
      (node) => this.peers.connectedPeers.has(node) && this.peers.forwardingPeers.has(node),
    );
    this.election.tick();
    this.configuration.tick();
    this.machineTypes.tick(this.leaderTerm !== null);
    this.leaderTerm?.tick(this.leadership.authority.mayCommand());
    this.jobRecords.tick();
    this.relay.tick();
    this.forwarder.tick(this.leadership.remoteLeader?.node ?? null);
    this.userRequestRouter.tick();
  }

  /** Measures the load, and broadcasts it to the other controllers when a report is due. */
  private tickLoad(queuedMs: number, memory: number): void {
    const backlogS = this.writeBacklogS;
    const load = this.loadShedder.tick(queuedMs, backlogS, memory);
    if (load === null) return;
    this.announcer.broadcastLoad(
      {
        level: load.level,
        afterS: load.afterS,
        memoryShort: load.memoryShort,
        workers: this.connectionBalancer.weight,
        backlogS,
        configRevision: this.configuration.appliedRevision,
      },
      this.election.term,
    );
  }
}
