// Which controller leads the shard: the one that its leader key names, a key attached to a lease of the
// store. The revision that created the key is the leader's term, its fencing token for machines, and a
// condition of each of its writes.
import {
  addMs,
  elapsedMs,
  type Instant,
  LONG_AGO,
  type NodeId,
  type Revision,
  type StoreLeaseId,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreCondition, StorePut, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import type { LeaderRecord, RecoveryRecord } from '../storage/shard-records.ts';
import { claimLeadership, moveLeaderKey } from './leader-key.ts';
import { LEADER_LEASE_MS, LeaderLease } from './leader-lease.ts';
import { ShardWatch } from './shard-watch.ts';

export type { LeaderRecord };
export { LEADER_LEASE_MS };

/**
 * A candidate waits this long for each node that stands before it in the list; a grant and a commit take
 * less.
 */
const CANDIDACY_DELAY_MS = 100;
const CANDIDACY_RETRY_JITTER_MS = 500;
const MIGRATION_RETRY_MS = 300;

/** Receives what the election decides, and makes the one write of it that needs a leader. */
export interface LeaderElectionListener {
  /** This controller leads from now on. */
  onElected(term: Revision): void;
  /** This controller leads no longer; the reason is for the log. */
  onLeadershipLost(reason: string): void;
  /**
   * Among the leader's writes, so conditional on its term; the revision, or null if it was not made as asked.
   */
  migrateLeaderKey(
    conditions: StoreCondition[],
    puts: StorePut[],
    onResult: (revision: Revision | null) => void,
  ): void;
  /** The newest change of the configuration was made at this revision. */
  onConfigurationChanged(revision: Revision): void;
}

/** What {@link LeaderElection} depends on. */
export interface LeaderElectionDependencies {
  io: ControllerIo;
  /** This node. */
  self: NodeId;
  /** How many of the nodes stand before this one in the list. */
  rank: number;
  /** Number of nodes, this one among them. */
  nodes: number;
  listener: LeaderElectionListener;
}

/** Elects the leader of the shard, together with the same class on the other controllers. */
export class LeaderElection {
  /** The term in which this controller leads; null while it does not. */
  term: Revision | null = null;
  /** The leader as far as this node knows. */
  leader: LeaderRecord | null = null;
  private isCandidate = false;
  private vacantSince: Instant | null = null;
  /** A leader of a revision up to this is over: the keys have been read without one since. */
  private endedUpTo = 0 as Revision;
  /** An earlier process of this node ended as the leader: others, which did not end, go first. */
  private endedAsLeader = false;
  /** The write that moves the leader key is on its way, under the present term. */
  private isMigrating = false;
  private migrateAt: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly self: NodeId;
  private readonly rank: number;
  private readonly nodes: number;
  private readonly listener: LeaderElectionListener;
  private readonly watch: ShardWatch;
  private readonly lease: LeaderLease;

  constructor(dependencies: LeaderElectionDependencies) {
    this.io = dependencies.io;
    this.self = dependencies.self;
    this.rank = dependencies.rank;
    this.nodes = dependencies.nodes;
    this.listener = dependencies.listener;
    this.watch = new ShardWatch(this.io, {
      onLeaderFound: (leader) => this.onLeaderFound(leader),
      onLeaderMissing: (asOf) => this.onLeaderMissing(asOf),
      onConfigurationChanged: (revision) => this.listener.onConfigurationChanged(revision),
    });
    this.lease = new LeaderLease(this.io, {
      onLeaseExpired: () => this.stepDown('the lease has expired'),
    });
  }

  /** Until when, on this node's steady clock, no other controller can be elected. */
  get leaseExpiresAt(): Instant {
    return this.lease.expiresAt;
  }

  /** When the last request that the store is known to have served was sent. */
  get confirmedAt(): Instant {
    return this.lease.confirmedAt;
  }

  /** The last failover that was completed. */
  get lastRecovery(): RecoveryRecord | null {
    return this.watch.lastRecovery;
  }

  /** The key that names the leader. */
  get leaderKey(): string {
    return this.watch.leaderKey;
  }

  /** True while no other controller can lead: what this node answers is not stale. */
  get holdsLease(): boolean {
    return this.term !== null && this.io.now < this.lease.expiresAt;
  }

  /** The store has replied to this node since it last failed to. */
  get isStoreReadable(): boolean {
    return this.watch.isSynced;
  }

  /** Watches the shard; renews the lease of a leader, or stands for election while there is none. */
  tick(): void {
    this.watch.tick();
    if (this.term === null) {
      this.standIfVacant();
      return;
    }
    this.lease.tick();
    this.migrateKeyIfNeeded();
  }

  /** A peer claims to lead since this revision; the larger revision is the later leader. */
  observeLeader(node: NodeId, revision: Revision): void {
    // A late claim of an earlier process: believed, nobody would stand for election.
    if (revision <= this.endedUpTo) return;
    if (this.leader !== null && revision <= this.leader.revision) return;
    this.leader = { node, revision };
    this.vacantSince = null;
    const isSuperseded = this.term !== null && revision > this.term && node !== this.self;
    if (isSuperseded) this.stepDown('another controller was elected');
  }

  /** A machine has seen a fencing token above this node's: another controller was elected. */
  onHigherFencingToken(): void {
    this.stepDown('a machine has seen a higher fencing token');
    this.leader = null;
    this.vacantSince = null;
    this.refresh();
  }

  /** Reads the keys of the shard again, and at once. */
  refresh(): void {
    this.watch.resync();
  }

  /** Ends this controller's term, if it leads. */
  stepDown(reason: string): void {
    if (this.term === null) return;
    this.io.log('info', 'leadership lost', { term: this.term, reason });
    this.term = null;
    this.lease.end();
    this.isMigrating = false;
    if (this.leader?.node === this.self) this.leader = null;
    this.refresh();
    this.listener.onLeadershipLost(reason);
  }

  private onLeaderFound(leader: LeaderRecord): void {
    this.vacantSince = null;
    if (leader.node !== this.self) this.observeLeader(leader.node, leader.revision);
    // A key of this node's under another revision was made by an earlier process of it, or by a request of
    // that process that came late: its lease expires by itself.
    else if (leader.revision !== this.term) this.endedAsLeader = true;
  }

  private onLeaderMissing(asOf: Revision): void {
    this.endedUpTo = Math.max(this.endedUpTo, asOf) as Revision;
    if (this.term === null) this.leader = null;
    this.vacantSince ??= this.io.now;
  }

  /** Stands for election; the later in the list of nodes, the longer it lets others go first. */
  private standIfVacant(): void {
    const { io } = this;
    if (this.vacantSince === null || this.isCandidate || io.now < this.watch.retryAt) return;
    if (elapsedMs(io.now, this.vacantSince) < this.nodesBefore * CANDIDACY_DELAY_MS) return;
    this.isCandidate = true;
    const sentAt = io.now;
    io.store({ kind: 'grant-lease', ttlMs: LEADER_LEASE_MS }, StorePriority.lease, (reply) => {
      if (reply.kind === 'lease-granted') this.sendClaim(reply.lease, sentAt);
      else this.endCandidacy();
    });
  }

  /** How many nodes go first. A node that ends as leader again and again must not be elected each time. */
  private get nodesBefore(): number {
    return this.rank + (this.endedAsLeader ? this.nodes : 0);
  }

  private endCandidacy(): void {
    this.isCandidate = false;
    this.watch.backOff(CANDIDACY_RETRY_JITTER_MS);
  }

  private sendClaim(lease: StoreLeaseId, sentAt: Instant): void {
    const isConfigured = this.watch.configRevision > 0;
    const { conditions, puts } = claimLeadership(this.self, lease, this.watch);
    this.io.store(
      { kind: 'compare-and-swap', conditions, puts, deletes: [] },
      StorePriority.lease,
      (reply) => {
        if (reply.kind === 'committed') {
          this.watch.isLeaderKeyMigrated ||= isConfigured;
          this.beginTerm(reply.revision, lease, sentAt);
        } else this.onClaimFailed(reply, lease);
      },
    );
  }

  private onClaimFailed(reply: StoreReply, lease: StoreLeaseId): void {
    // Without a reply the claim may still be carried out; with the lease the key ends as well.
    if (reply.kind === 'no-answer')
      this.io.store({ kind: 'revoke-lease', lease }, StorePriority.lease, () => {});
    this.vacantSince = null;
    this.refresh();
    this.endCandidacy();
  }

  private beginTerm(term: Revision, lease: StoreLeaseId, sentAt: Instant): void {
    this.isCandidate = false;
    this.term = term;
    this.leader = { node: this.self, revision: term };
    this.vacantSince = null;
    this.endedAsLeader = false;
    this.lease.begin(lease, sentAt);
    this.io.log('info', 'leadership acquired', { term });
    this.listener.onElected(term);
  }

  /**
   * The first configuration documents are about to be written: the leader key moves to the one that versions
   * without them don't know, under the same lease and in one transaction. The term that begins with it is
   * this node's as well. The leader's own writes wait for it: one under way at the same time would find its
   * term over.
   */
  private migrateKeyIfNeeded(): void {
    const { term, io } = this;
    const lease = this.lease.id;
    const { isLeaderKeyMigrated, configRevision } = this.watch;
    if (isLeaderKeyMigrated || configRevision === 0 || term === null || lease === null) return;
    if (this.isMigrating || io.now < this.migrateAt) return;
    this.isMigrating = true;
    this.migrateAt = addMs(io.now, MIGRATION_RETRY_MS);
    const { conditions, puts } = moveLeaderKey(this.self, lease);
    this.listener.migrateLeaderKey(conditions, puts, (revision) => {
      if (this.term === term) this.onKeyMigrated(revision, lease);
    });
  }

  private onKeyMigrated(revision: Revision | null, lease: StoreLeaseId): void {
    const { confirmedAt } = this;
    this.stepDown('the leader key has moved to the one of configured shards');
    if (revision === null) return;
    this.watch.isLeaderKeyMigrated = true;
    this.beginTerm(revision, lease, confirmedAt);
  }
}
