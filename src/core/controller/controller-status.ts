// Status of a controller for load balancers and operators: its readiness, and a description of its state.
import type { LoadShedder } from '../admission/load-shedder.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import { type Configuration, MAX_LAG_MS } from '../configuration/configuration.ts';
import type { ConnectionBalancer } from '../heartbeats/connection-balancer.ts';
import type { HeartbeatForwarder } from '../heartbeats/heartbeat-forwarder.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';
import type { Leadership } from './leadership.ts';

/** Dependencies of {@link ControllerStatus}. */
export interface ControllerStatusDependencies {
  io: ControllerIo;
  settings: Settings;
  leadership: Leadership;
  configuration: Configuration;
  peers: PeerRegistry;
  machineTypes: MachineTypeCatalog;
  forwarder: HeartbeatForwarder;
  connectionBalancer: ConnectionBalancer;
  loadShedder: LoadShedder;
}

/** Reads the state of a controller; changes nothing. */
export class ControllerStatus {
  private readonly dependencies: ControllerStatusDependencies;

  constructor(dependencies: ControllerStatusDependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Whether this controller can serve users: as the leader, through the leader, or from the stored records.
   */
  get isReady(): boolean {
    const { io, leadership, configuration, machineTypes } = this.dependencies;
    if (leadership.leaderTerm?.failover.isUnreadable) return false;
    if (this.isIsolated && io.isStoreUnavailable) return false;
    if (configuration.lagMs > MAX_LAG_MS) return false;
    if (this.canReachLeader) return true;
    return leadership.election.isStoreReadable && machineTypes.isLoaded;
  }

  /** Whether the leader is this controller with its records loaded, or another controller connected to it. */
  private get canReachLeader(): boolean {
    const { settings, leadership, peers } = this.dependencies;
    const { leader } = leadership.election;
    if (leader === null) return false;
    if (leader.node === settings.node) return leadership.leaderTerm?.failover.isLoaded === true;
    return peers.connectedPeers.has(leader.node);
  }

  /**
   * Whether this controller is cut off from every other controller. If it cannot reach the state service
   * either, any other controller serves users better.
   */
  private get isIsolated(): boolean {
    const { settings, peers, forwarder } = this.dependencies;
    if (settings.peers.length === 0) return false;
    for (const node of peers.connectedPeers) {
      const mayBeCutOff = peers.forwardingPeers.has(node) && forwarder.isSilent(node);
      if (!mayBeCutOff) return false;
    }
    return true;
  }

  /** The state as a JSON object for operators; its keys are a public interface. */
  describe(): Record<string, unknown> {
    const { io, settings, leadership, peers, connectionBalancer, loadShedder } = this.dependencies;
    const { leaderTerm, election } = leadership;
    const machines = [...(leaderTerm?.machines.byId.values() ?? [])];
    const draining = machines.filter((machine) => machine.cordonReason !== null);
    return {
      node: settings.node,
      owner: election.leader?.node ?? null,
      term: election.term,
      current: election.holdsLease,
      peers: [...peers.connectedPeers],
      recovered: leaderTerm?.failover.isComplete ?? null,
      stateDown: leaderTerm !== null && leaderTerm.writer.unavailableSince !== null,
      writesWaiting: leaderTerm?.writer.backlog ?? 0,
      jobs: leaderTerm?.jobs.openJobs.size ?? 0,
      workers: connectionBalancer.workers,
      loadLevel: loadShedder.level,
      loopDelayMs: Math.round(loadShedder.delayMs),
      requestsShed: loadShedder.requestsShed,
      memoryShort: loadShedder.isMemoryShort,
      stateRequests: { sent: io.storeBudget?.sent, refused: io.storeBudget?.refused },
      olderPeers: peers.peersWithoutDependencies(),
      configuration: this.describeConfiguration(),
      finalStatesToRead: leaderTerm?.dependencies.unresolvedCount ?? 0,
      machines: machines.length,
      draining: draining.map((machine) => `${machine.id}: ${machine.cordonReason}`),
    };
  }

  private describeConfiguration(): Record<string, unknown> {
    const { configuration, leadership, peers } = this.dependencies;
    const nodes = peers.configRevisions().map((peer) => ({
      ...peer,
      knowsDocuments: peers.supportsConfigDocuments(peer.node),
    }));
    return { ...configuration.describe(), ...leadership.leaderTerm?.rollout.describe(), nodes };
  }
}
