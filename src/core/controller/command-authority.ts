// Rules for when this controller may command machines, start tasks and adopt jobs: while it holds the leader
// lease, and for a bounded time after the lease has expired (docs/safety.md).
import type { Instant, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { TermAuthority } from '../leader/term-authority.ts';
import { LEADER_LEASE_MS, type LeaderElection } from '../membership/leader-election.ts';

/** Milliseconds per second of a worker's lease, including the drift between two monotonic clocks. */
const LEASE_MS_PER_S = 1001;
/** Allowance for commands that are still in transit when the command deadline passes. */
const COMMAND_MARGIN_MS = 1500;

/** Reports whether another controller has sent a message recently. */
export interface PeerLiveness {
  isAlive(node: Settings['node']): boolean;
}

/** Dependencies of {@link CommandAuthority}. */
export interface CommandAuthorityDependencies {
  io: ControllerIo;
  settings: Settings;
  election: LeaderElection;
  configuration: Configuration;
  peerLiveness: PeerLiveness;
}

/** Decides whether this controller may command machines, start tasks and adopt jobs. */
export class CommandAuthority {
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly election: LeaderElection;
  private readonly configuration: Configuration;
  private readonly peerLiveness: PeerLiveness;

  constructor(dependencies: CommandAuthorityDependencies) {
    this.io = dependencies.io;
    this.settings = dependencies.settings;
    this.election = dependencies.election;
    this.configuration = dependencies.configuration;
    this.peerLiveness = dependencies.peerLiveness;
  }

  /**
   * Whether machines may be commanded and their leases renewed under this term. Fencing tokens already make
   * the machines of a later leader reject this controller's commands. The time limit guarantees to a later
   * leader that the tasks on machines that still follow this controller end within `cancel_s` of the expiry
   * of this controller's leader lease, and to its users that the cancellations that it confirmed take effect
   * in time.
   */
  mayCommand(): boolean {
    if (this.election.term === null) return false;
    if (this.election.holdsLease) return true;
    return this.io.now < this.commandDeadline();
  }

  private commandDeadline(): Instant {
    const { cancelS, leaseS } = this.settings.workers;
    const leaderLeaseEnd = this.election.confirmedAt + LEADER_LEASE_MS;
    return (leaderLeaseEnd + cancelS * 1000 - leaseS * LEASE_MS_PER_S - COMMAND_MARGIN_MS) as Instant;
  }

  /**
   * Whether tasks may be started. A leader whose lease has expired and that is cut off from its peers cannot
   * know whether one of them has become the leader and has confirmed the cancellation of a job; from that
   * moment no task of the job may be started. A leader that receives messages from all its peers would also
   * be notified of a new leader, so it continues to start tasks, as during an outage of the state service.
   * But the peers cannot notify it of a configuration change that they have not read yet: if there are
   * configuration documents, no task is started after the lease has expired.
   */
  mayStart(): boolean {
    if (this.configuration.isTooStaleToStart) return false;
    if (this.election.holdsLease) return true;
    if (this.configuration.hasDocuments) return false;
    return this.settings.peers.every((peer) => this.peerLiveness.isAlive(peer.node));
  }

  /**
   * Whether a recorded job may be adopted: only while no other controller can have become the leader.
   */
  mayAdopt(term: Revision): boolean {
    return this.election.term === term && this.election.holdsLease;
  }

  /** The same checks, bound to one term. */
  forTerm(term: Revision): TermAuthority {
    return {
      holdsLease: () => this.mayAdopt(term),
      mayStart: () => this.mayStart(),
    };
  }
}
