// This controller's leadership: it stands for election, and holds a term while it is the leader.
import type { NodeId, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreCondition, StorePut } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { ConnectionBalancer } from '../heartbeats/connection-balancer.ts';
import { LeaderTerm } from '../leader/leader-term.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import {
  LeaderElection,
  type LeaderElectionListener,
  type LeaderRecord,
} from '../membership/leader-election.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';
import type { SchedulerOptions } from '../scheduling/scheduler.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';
import { CommandAuthority, type PeerLiveness } from './command-authority.ts';
import type { PeerAnnouncer } from './peer-announcer.ts';

/** Dependencies of {@link Leadership}. */
export interface LeadershipDependencies {
  io: ControllerIo;
  settings: Settings;
  options: SchedulerOptions;
  configuration: Configuration;
  peers: PeerRegistry;
  peerLiveness: PeerLiveness;
  machineTypes: MachineTypeCatalog;
  jobRecords: JobRecordReader;
  connectionBalancer: ConnectionBalancer;
  announcer: PeerAnnouncer;
}

/** Takes part in the election, and begins and ends the terms of this controller. */
export class Leadership implements LeaderElectionListener {
  /** The current term of this controller; null while it is not the leader. */
  leaderTerm: LeaderTerm | null = null;
  readonly election: LeaderElection;
  readonly authority: CommandAuthority;
  private readonly dependencies: LeadershipDependencies;

  constructor(dependencies: LeadershipDependencies) {
    this.dependencies = dependencies;
    const { io, settings, configuration, peerLiveness } = dependencies;
    this.election = new LeaderElection({
      io,
      self: settings.node,
      rank: settings.peers.filter((peer) => peer.node < settings.node).length,
      nodeCount: settings.peers.length + 1,
      listener: this,
    });
    const { election } = this;
    this.authority = new CommandAuthority({ io, settings, election, configuration, peerLiveness });
  }

  private get self(): NodeId {
    return this.dependencies.settings.node;
  }

  /** The last known leader if it is another controller; else null. */
  get remoteLeader(): LeaderRecord | null {
    const { leader } = this.election;
    return leader?.node === this.self ? null : leader;
  }

  /**
   * The term of this controller while no other controller can be the leader, so that responses from it are
   * not stale; else null.
   */
  get currentTerm(): LeaderTerm | null {
    return this.election.holdsLease ? this.leaderTerm : null;
  }

  onElected(term: Revision): void {
    this.setLeader(true);
    this.leaderTerm = this.beginTerm(term);
    this.dependencies.announcer.announceTerm(this.election.term);
  }

  onLeadershipLost(): void {
    this.setLeader(false);
    this.leaderTerm?.close();
    this.leaderTerm = null;
    this.dependencies.announcer.announceTerm(this.election.term);
  }

  migrateLeaderKey(
    conditions: StoreCondition[],
    puts: StorePut[],
    onResult: (revision: Revision | null) => void,
  ): void {
    this.leaderTerm?.migrateLeaderKey(conditions, puts, onResult);
  }

  onConfigurationChanged(revision: Revision): void {
    this.dependencies.configuration.onRevisionSeen(revision);
  }

  private setLeader(isLeader: boolean): void {
    this.dependencies.io.storeBudget?.setLeader(isLeader);
    this.dependencies.connectionBalancer.setLeader(isLeader);
  }

  private beginTerm(term: Revision): LeaderTerm {
    const { io, settings, options, configuration, peers, machineTypes, jobRecords } = this.dependencies;
    return new LeaderTerm({
      io,
      settings,
      options,
      fencingCondition: { key: this.election.leaderKey, revision: term },
      configuration,
      peers,
      machineTypes,
      jobRecords,
      lastRecovery: this.election.lastRecovery,
      authority: this.authority.forTerm(term),
      onSuperseded: () => this.onSuperseded(term),
    });
  }

  /** A write failed because another leader was elected; ignored if that write belongs to an earlier term. */
  private onSuperseded(term: Revision): void {
    if (this.election.term === term) this.election.stepDown('a write found another leader');
  }
}
