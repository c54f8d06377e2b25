// What this controller may do to machines and jobs while its leader lease is held, or has just run out
// (docs/safety.md).
import type { Instant, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { TermAuthority } from '../leader/term-authority.ts';
import { LEADER_LEASE_MS, type LeaderElection } from '../membership/leader-election.ts';

/** Milliseconds for each second of a worker's lease, with the drift between two monotonic clocks. */
const LEASE_MS_PER_S = 1001;
/** Time for what is in transit when the last command is sent. */
const COMMAND_MARGIN_MS = 1500;

/** Tells whether another controller has said something lately. */
export interface PeerLiveness {
  isAlive(node: Settings['node']): boolean;
}

/** What {@link CommandAuthority} depends on. */
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
   * Whether machines may be commanded and their leases renewed under this term. Fencing tokens keep the
   * machines of a later leader from this controller's commands; this bound lets a later leader, and a user
   * who cancelled with it, rely on everything here being gone in time.
   */
  mayCommand(): boolean {
    if (this.election.term === null) return false;
    if (this.election.holdsLease) return true;
    return this.io.now < this.commandsUntil();
  }

  private commandsUntil(): Instant {
    const { cancelS, leaseS } = this.settings.workers;
    const leaderLeaseEnd = this.election.confirmedAt + LEADER_LEASE_MS;
    return (leaderLeaseEnd + cancelS * 1000 - leaseS * LEASE_MS_PER_S - COMMAND_MARGIN_MS) as Instant;
  }

  /**
   * Whether tasks may be started. Beyond its lease a leader that is out of the others' reach can't know
   * whether one of them has become the leader and has confirmed the cancellation of a job; none of its tasks
   * may be started from then on. One that hears from them all would learn of that as well, and goes on as in
   * an outage. But none of them tells it of a change of the configuration that none of them may have read
   * yet: with documents it starts nothing beyond its lease.
   */
  mayStart(): boolean {
    if (this.configuration.isOverdue) return false;
    if (this.election.holdsLease) return true;
    if (this.configuration.hasDocuments) return false;
    return this.settings.peers.every((peer) => this.peerLiveness.isAlive(peer.node));
  }

  /**
   * Whether a job found on record may be adopted: only while no other controller can have become the leader.
   */
  mayAdopt(term: Revision): boolean {
    return this.election.term === term && this.election.holdsLease;
  }

  /** The same questions for the parts of one term. */
  forTerm(term: Revision): TermAuthority {
    return {
      holdsLease: () => this.mayAdopt(term),
      mayStart: () => this.mayStart(),
    };
  }
}
