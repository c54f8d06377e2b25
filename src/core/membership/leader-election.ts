// Leader election for the shard. The leader is the controller named by the leader key, which is attached to a
// lease of the store. The revision that created the key is the leader's term, its fencing token for machines,
// and a condition of each of its writes.
import {
  addMs,
  elapsedMs,
  type Instant,
  LONG_AGO,
  NO_REVISION,
  type NodeId,
  type Revision,
  type StoreLeaseId,
} from '../../types/index.ts';
import { largerOf } from '../../types/uint64.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreCondition, StorePut, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import type { LeaderRecord, RecoveryRecord } from '../storage/shard-records.ts';
import { buildLeaderKeyMigration, buildLeadershipClaim } from './leader-key.ts';
import { LEADER_LEASE_MS, LeaderLease } from './leader-lease.ts';
import { ShardWatch } from './shard-watch.ts';

export type { LeaderRecord };
export { LEADER_LEASE_MS };

/**
 * A candidate waits this long for each node that precedes it in the list of nodes. The lease grant and the
 * commit of a candidacy together take less.
 */
const CANDIDACY_DELAY_MS = 100;
const CANDIDACY_RETRY_JITTER_MS = 500;
const MIGRATION_RETRY_MS = 300;

/**
 * Receives the election's results, and executes the one write of the election that only a leader can make.
 */
export interface LeaderElectionListener {
  /** This controller has become the leader. */
  onElected(term: Revision): void;
  /** This controller is no longer the leader; the reason is for the log. */
  onLeadershipLost(reason: string): void;
  /**
   * Queues this write among the leader's writes, so that it is conditional on the term. `onResult` receives
   * its revision, or null if it was not carried out as given.
   */
  migrateLeaderKey(
    conditions: StoreCondition[],
    puts: StorePut[],
    onResult: (revision: Revision | null) => void,
  ): void;
  /** The newest configuration change was made at this revision. */
  onConfigurationChanged(revision: Revision): void;
}

/** Dependencies of {@link LeaderElection}. */
export interface LeaderElectionDependencies {
  io: ControllerIo;
  /** This node. */
  self: NodeId;
  /** Number of nodes that precede this one in the list of nodes. */
  rank: number;
  /** Number of nodes, including this one. */
  nodeCount: number;
  listener: LeaderElectionListener;
}

/** This controller's part in the election of the shard's leader; each controller has one instance. */
export class LeaderElection {
  /** The term in which this controller leads; null while it does not. */
  term: Revision | null = null;
  /** The leader as last read from the store or reported by a peer; null if there is none or none is known. */
  leader: LeaderRecord | null = null;
  private isCandidate = false;
  private vacantSince: Instant | null = null;
  /** Newest revision at which the store held no leader key: terms that began at or before it have ended. */
  private vacantAsOf = NO_REVISION;
  /**
   * An earlier process of this node ended while it was the leader. The other nodes, which kept running, stand
   * for election first.
   */
  private wasLeaderBeforeRestart = false;
  /** The write that moves the leader key is in progress, under the present term. */
  private isMigrating = false;
  private nextMigrationAt: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly self: NodeId;
  private readonly rank: number;
  private readonly nodeCount: number;
  private readonly listener: LeaderElectionListener;
  private readonly watch: ShardWatch;
  private readonly lease: LeaderLease;

  constructor(dependencies: LeaderElectionDependencies) {
    this.io = dependencies.io;
    this.self = dependencies.self;
    this.rank = dependencies.rank;
    this.nodeCount = dependencies.nodeCount;
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

  /** Time on this node's monotonic clock until which no other controller can be elected. */
  get leaseExpiresAt(): Instant {
    return this.lease.expiresAt;
  }

  /** Send time of the latest lease request that the store is known to have served. */
  get confirmedAt(): Instant {
    return this.lease.confirmedAt;
  }

  /** The last completed failover. */
  get lastRecovery(): RecoveryRecord | null {
    return this.watch.lastRecovery;
  }

  /** The key that names the leader. */
  get leaderKey(): string {
    return this.watch.leaderKey;
  }

  /**
   * Whether this controller leads and no other can have been elected, so that its responses are not stale.
   */
  get holdsLease(): boolean {
    return this.term !== null && this.io.now < this.lease.expiresAt;
  }

  /** Whether the shard's keys have been listed since the last resync or broken watch. */
  get isStoreReadable(): boolean {
    return this.watch.isSynced;
  }

  /**
   * Watches the shard; renews the lease while this node leads, or stands for election if there is no leader.
   */
  tick(): void {
    this.watch.tick();
    if (this.term === null) {
      this.startCandidacyIfVacant();
      return;
    }
    this.lease.tick();
    this.migrateKeyIfNeeded();
  }

  /** Handles a claim that `node` leads since this revision; the claim with the larger revision is newer. */
  observeLeader(node: NodeId, revision: Revision): void {
    // A delayed claim of an earlier process: if it were accepted, no node would stand for election.
    if (revision <= this.vacantAsOf) return;
    if (this.leader !== null && revision <= this.leader.revision) return;
    this.leader = { node, revision };
    this.vacantSince = null;
    const isSuperseded = this.term !== null && revision > this.term && node !== this.self;
    if (isSuperseded) this.stepDown('another controller was elected');
  }

  /**
   * A machine has seen a higher fencing token than this node's, so another controller was elected: ends the
   * term and reads the leader key again.
   */
  onHigherFencingToken(): void {
    this.stepDown('a machine has seen a higher fencing token');
    this.leader = null;
    this.vacantSince = null;
    this.refresh();
  }

  /** Has the keys of the shard listed again, without waiting for the reply to an open request. */
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
    // A leader key that names this node at another revision was put by an earlier process of this node, by a
    // delayed request of that process, or by a claim of this process that got no reply so far. If the claim
    // succeeds, `beginTerm` resets the flag. The key is deleted when its lease ends.
    else if (leader.revision !== this.term) this.wasLeaderBeforeRestart = true;
  }

  private onLeaderMissing(asOf: Revision): void {
    this.vacantAsOf = largerOf(this.vacantAsOf, asOf);
    if (this.term === null) this.leader = null;
    this.vacantSince ??= this.io.now;
  }

  /**
   * Starts a candidacy if there is no leader. The later this node is in the list of nodes, the longer it
   * waits for the nodes before it.
   */
  private startCandidacyIfVacant(): void {
    const { io } = this;
    if (this.vacantSince === null || this.isCandidate || io.now < this.watch.retryAt) return;
    if (elapsedMs(io.now, this.vacantSince) < this.candidacyRank * CANDIDACY_DELAY_MS) return;
    this.isCandidate = true;
    const sentAt = io.now;
    io.sendStoreRequest({ kind: 'grant-lease', ttlMs: LEADER_LEASE_MS }, StorePriority.lease, (reply) => {
      if (reply.kind === 'lease-granted') this.sendClaim(reply.lease, sentAt);
      else this.endCandidacy();
    });
  }

  /**
   * Number of nodes that this node lets stand for election first. A node that repeatedly ends while it leads
   * comes after all others, so that it is not elected each time.
   */
  private get candidacyRank(): number {
    return this.rank + (this.wasLeaderBeforeRestart ? this.nodeCount : 0);
  }

  private endCandidacy(): void {
    this.isCandidate = false;
    this.watch.backOff(CANDIDACY_RETRY_JITTER_MS);
  }

  private sendClaim(lease: StoreLeaseId, sentAt: Instant): void {
    const isConfigured = this.watch.configRevision > 0;
    const { conditions, puts } = buildLeadershipClaim(this.self, lease, this.watch);
    this.io.sendStoreRequest(
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
    // A claim without a reply may still be carried out; revoking its lease also deletes the leader key.
    if (reply.kind === 'no-answer')
      this.io.sendStoreRequest({ kind: 'revoke-lease', lease }, StorePriority.lease, () => {});
    this.vacantSince = null;
    this.refresh();
    this.endCandidacy();
  }

  private beginTerm(term: Revision, lease: StoreLeaseId, sentAt: Instant): void {
    this.isCandidate = false;
    this.term = term;
    this.leader = { node: this.self, revision: term };
    this.vacantSince = null;
    this.wasLeaderBeforeRestart = false;
    this.lease.begin(lease, sentAt);
    this.io.log('info', 'leadership acquired', { term });
    this.listener.onElected(term);
  }

  /**
   * Moves the leader key once the first configuration documents are about to be written. The new key is one
   * that versions without configuration documents do not read; the move keeps the lease and is one
   * transaction. It begins a new term, which also belongs to this node. The leader's other writes wait until
   * the move is done: one in progress at the same time would fail because its term is over.
   */
  private migrateKeyIfNeeded(): void {
    const { term, io } = this;
    const lease = this.lease.id;
    const { isLeaderKeyMigrated, configRevision } = this.watch;
    if (isLeaderKeyMigrated || configRevision === 0 || term === null || lease === null) return;
    if (this.isMigrating || io.now < this.nextMigrationAt) return;
    this.isMigrating = true;
    this.nextMigrationAt = addMs(io.now, MIGRATION_RETRY_MS);
    const { conditions, puts } = buildLeaderKeyMigration(this.self, lease);
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
