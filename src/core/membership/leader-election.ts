// Who owns the share: a key attached to a hold in the state service. The revision of the commit that
// created the key is the owner's term, its token for machines, and the condition of all it writes.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type NodeId,
  type Revision,
  type StoreLeaseId,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreCondition, StoreItem, StorePut, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import {
  CONFIG_NOTIFICATION_KEY,
  CONFIGURED_LEADER_KEY,
  LAST_RECOVERY_KEY,
  LEADER_KEY,
  type RecoveryRecord,
  SHARD_PREFIX,
} from '../storage/keys.ts';

/**
 * A worker whose report an owner leaves unanswered waits for 4 s; the next owner is to be there by then, or it goes round by
 * nodes that may be dead, at 5 s each.
 */
export const LEADER_LEASE_MS = 3000;
const EXTEND_EVERY_MS = 750;
/**
 * A renewal that is answered late still counts from when it was sent, and the next goes out meanwhile: given up sooner,
 * none would ever count while the state service takes longer, and nobody would own the share as the hold lives on.
 */
const EXTEND_TIMEOUT_MS = 2700;
const EXTEND_AGAIN_MS = 200;
/** So long a node lets each that stands before it in the list go first: a grant and a commit take less. */
const TURN_MS = 100;
const RETRY_MS = 300;
const WATCH_MS = 10_000;
/** With configuration documents a watch that has broken must be noticed sooner, as it brings the news of changes. */
const CONFIGURED_WATCH_MS = 4000;
const WATCH_PATIENCE_MS = 3000;
/** Steady clocks drift apart by at most 0.05%; twice that, and a little for the sender. */
const DRIFT = 0.001;

export interface LeaderRecord {
  node: NodeId;
  revision: Revision;
}

export interface LeaderElectionListener {
  onElected(term: Revision): void;
  onLeadershipLost(why: string): void;
  /** Among the owner's writes, so conditional on its term; the revision, or null if it was not made as asked. */
  migrateLeaderKey(
    conditions: StoreCondition[],
    puts: StorePut[],
    done: (revision: Revision | null) => void,
  ): void;
  /** The configuration's head is on record at this revision. */
  onConfigurationChanged(revision: Revision): void;
}

/** What {@link LeaderElection} depends on. */
export interface LeaderElectionDependencies {
  io: ControllerIo;
  self: NodeId;
  rank: number;
  nodes: number;
  listener: LeaderElectionListener;
}

export class LeaderElection {
  term: Revision | null = null;
  leader: LeaderRecord | null = null;
  /** Until when, on this node's steady clock, nobody else can have taken the share. */
  leaseExpiresAt: Instant = LONG_AGO;
  /** When the last request that the state service is known to have served was sent. */
  confirmedAt: Instant = LONG_AGO;
  /** The last owner known to have read all records. */
  lastRecovery: RecoveryRecord | null = null;
  private lease: StoreLeaseId | null = null;
  private busy = false;
  private nextExtend: Instant = LONG_AGO;
  private nextTry: Instant = LONG_AGO;
  private watching = false;
  /** Numbers what was asked about the share: an answer to what was asked before a re-read is not looked at. */
  private asked = 0;
  private watchFrom: Revision | null = null;
  private unownedSince: Instant | null = null;
  /** An owner under a revision up to this is over: the record has been read without one since. */
  private overUpTo = 0 as Revision;
  /** This node's former self ended as the owner: others, which did not end, go first. */
  private endedAsOwner = false;
  /** The revision of the configuration's head as the record was read last; 0 if there is none. */
  private configuration = 0 as Revision;
  /** The share is owned under the key that versions without configuration documents don't know. */
  private moved = false;
  /** A write that moves it is on its way, under the present term. */
  private moving = false;
  private nextMove: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly self: NodeId;
  private readonly rank: number;
  private readonly nodes: number;
  private readonly listener: LeaderElectionListener;

  /** `rank`: how many of the `nodes` stand before this one in the list. */
  constructor(dependencies: LeaderElectionDependencies) {
    this.io = dependencies.io;
    this.self = dependencies.self;
    this.rank = dependencies.rank;
    this.nodes = dependencies.nodes;
    this.listener = dependencies.listener;
  }

  /** The key under which the share is owned. */
  get leaderKey(): string {
    return this.moved ? CONFIGURED_LEADER_KEY : LEADER_KEY;
  }

  /** True while no other controller can own the share: what this node answers is not stale. */
  get holdsLease(): boolean {
    return this.term !== null && this.io.now < this.leaseExpiresAt;
  }

  /** The state service has answered this node since it last failed to. */
  get isStoreReadable(): boolean {
    return this.watchFrom !== null;
  }

  tick(): void {
    if (!this.watching) this.watch();
    if (this.term !== null) {
      this.extend();
      this.moveIfNeeded();
    } else this.consider();
  }

  /** A peer says it owns the share under a revision; the larger revision is the later owner. */
  observeLeader(node: NodeId, revision: Revision): void {
    // Said by a former self, and late: believed, nobody would look for the next owner.
    if (revision <= this.overUpTo) return;
    if (this.leader !== null && revision <= this.leader.revision) return;
    this.leader = { node, revision };
    this.unownedSince = null;
    if (this.term !== null && revision > this.term && node !== this.self)
      this.stepDown('another controller took over');
  }

  /** A machine has seen a token above this node's: somebody took over. */
  onHigherFencingToken(): void {
    this.stepDown('a machine has seen a higher token');
    this.leader = null;
    this.unownedSince = null;
    this.refresh();
  }

  /**
   * Who owns the share must be read again, and at once. A watch that is open tells only of changes from where it began:
   * left to end, it would make this node wait for a change that may never come, while nobody owns the share.
   */
  refresh(): void {
    this.watchFrom = null;
    this.watching = false;
    this.asked++;
  }

  private watch(): void {
    if (this.io.now < this.nextTry) return;
    this.watching = true;
    const no = ++this.asked;
    if (this.watchFrom === null)
      this.io.store({ kind: 'list', prefix: SHARD_PREFIX, after: null }, StorePriority.lease, (r) => {
        if (no === this.asked) this.onList(r);
      });
    else {
      const waitMs = this.configuration > 0 ? CONFIGURED_WATCH_MS : WATCH_MS;
      this.io.store(
        { kind: 'watch', prefix: SHARD_PREFIX, after: this.watchFrom, waitMs },
        StorePriority.lease,
        (r) => {
          if (no === this.asked) this.onChanges(r);
        },
        waitMs + WATCH_PATIENCE_MS,
      );
    }
  }

  private onList(r: StoreReply): void {
    this.watching = false;
    if (r.kind !== 'items') {
      this.nextTry = addMs(this.io.now, RETRY_MS + this.io.random.below(RETRY_MS));
      return;
    }
    this.watchFrom = r.revision;
    this.note(r.items);
    const found = r.items.find((i) => i.key === this.leaderKey);
    if (found !== undefined) this.see(found);
    else this.vanish(r.revision);
    this.watch();
  }

  private onChanges(r: StoreReply): void {
    this.watching = false;
    if (r.kind !== 'changes') {
      if (r.kind === 'too-old') this.watchFrom = null;
      this.nextTry = addMs(this.io.now, RETRY_MS + this.io.random.below(RETRY_MS));
      // A watch that broke may have missed the share's end.
      if (r.kind !== 'refused') this.watchFrom = null;
      return;
    }
    this.watchFrom = r.revision;
    const before = this.leaderKey;
    this.note(r.puts);
    const put = r.puts.filter((i) => i.key === this.leaderKey).at(-1);
    const dropped = r.deletes.includes(this.leaderKey);
    // Who owns the share under its other key may have been on record before.
    if (before !== this.leaderKey && put === undefined) this.watchFrom = null;
    if (put !== undefined) this.see(put);
    if (dropped && put === undefined) this.vanish(r.revision);
    // Which of the two came last is not told: read again.
    if (dropped && put !== undefined) this.watchFrom = null;
    this.watch();
  }

  /** What stands beside the owner's key. */
  private note(items: StoreItem[]): void {
    const read = items.find((i) => i.key === LAST_RECOVERY_KEY);
    if (read !== undefined) this.lastRecovery = read.value as RecoveryRecord;
    if (items.some((i) => i.key === LEADER_KEY && isMoved(i))) this.moved = true;
    const news = items.find((i) => i.key === CONFIG_NOTIFICATION_KEY);
    if (news === undefined || news.revision <= this.configuration) return;
    this.configuration = news.revision;
    this.listener.onConfigurationChanged(news.revision);
  }

  private see(item: StoreItem): void {
    const node = (item.value as { node?: NodeId }).node;
    if (node === undefined) return;
    this.unownedSince = null;
    if (node !== this.self) this.observeLeader(node, item.revision);
    // A key of this node's under another revision is an earlier process of it, or a request of that process that came
    // late: its hold runs out by itself.
    else if (item.revision !== this.term) this.endedAsOwner = true;
  }

  private vanish(at: Revision): void {
    this.overUpTo = Math.max(this.overUpTo, at) as Revision;
    if (this.term === null) this.leader = null;
    this.unownedSince ??= this.io.now;
  }

  /** Takes an unowned share; the later in the list of nodes, the longer it lets others go first. */
  private consider(): void {
    const { io } = this;
    if (this.unownedSince === null || this.busy || io.now < this.nextTry) return;
    if (io.now - this.unownedSince < this.turn * TURN_MS) return;
    this.busy = true;
    const sentAt = io.now;
    io.store({ kind: 'grant-lease', ttlMs: LEADER_LEASE_MS }, StorePriority.lease, (r) => {
      if (r.kind !== 'lease-granted') return this.backOff();
      this.take(r.lease, sentAt);
    });
  }

  /** How many go first. A node that ends as owner again and again must not take the share each time. */
  private get turn(): number {
    return this.rank + (this.endedAsOwner ? this.nodes : 0);
  }

  private backOff(): void {
    this.busy = false;
    this.nextTry = addMs(this.io.now, RETRY_MS + this.io.random.below(500));
  }

  /**
   * What takes the share: on the condition that nobody owns it, under either key, and that the configuration is the one
   * that this node knows of, so that the new owner knows at its term what it has to read.
   */
  private taking(lease: StoreLeaseId): { conditions: StoreCondition[]; puts: StorePut[] } {
    const none = 0 as Revision;
    const conditions = [{ key: CONFIG_NOTIFICATION_KEY, revision: this.configuration }];
    if (!this.moved) conditions.push({ key: LEADER_KEY, revision: none });
    if (this.configuration === 0)
      return { conditions, puts: [{ key: LEADER_KEY, value: { node: this.self }, lease }] };
    conditions.push({ key: CONFIGURED_LEADER_KEY, revision: none });
    const puts: StorePut[] = [{ key: CONFIGURED_LEADER_KEY, value: { node: this.self }, lease }];
    if (!this.moved) puts.push({ key: LEADER_KEY, value: MOVED });
    return { conditions, puts };
  }

  private take(lease: StoreLeaseId, sentAt: Instant): void {
    const { io } = this;
    const { conditions, puts } = this.taking(lease);
    const configured = this.configuration > 0;
    io.store({ kind: 'compare-and-swap', conditions, puts, deletes: [] }, StorePriority.lease, (r) => {
      if (r.kind === 'committed') {
        this.moved ||= configured;
        this.own(r.revision, lease, sentAt);
        return;
      }
      // Without an answer the take-over may still be applied; the hold is left to end, and with it the key.
      if (r.kind === 'no-answer') io.store({ kind: 'revoke-lease', lease }, StorePriority.lease, () => {});
      this.unownedSince = null;
      this.refresh();
      this.backOff();
    });
  }

  private own(term: Revision, hold: StoreLeaseId, sentAt: Instant): void {
    this.busy = false;
    this.term = term;
    this.lease = hold;
    this.leader = { node: this.self, revision: term };
    this.unownedSince = null;
    this.endedAsOwner = false;
    this.confirm(sentAt);
    this.nextExtend = LONG_AGO;
    this.io.log('info', 'term taken', { term });
    this.listener.onElected(term);
  }

  /**
   * The first documents are about to be written: the share moves to the key that versions without them don't know, under
   * the same hold and in one transaction. The term that begins with it is this node's as well. The owner's own writes wait
   * for it: one under way at the same time would find its term over.
   */
  private moveIfNeeded(): void {
    const { term, lease, io } = this;
    if (this.moved || this.configuration === 0 || term === null || lease === null) return;
    if (this.moving || io.now < this.nextMove) return;
    this.moving = true;
    this.nextMove = addMs(io.now, RETRY_MS);
    const conditions = [{ key: CONFIGURED_LEADER_KEY, revision: 0 as Revision }];
    const puts: StorePut[] = [
      { key: CONFIGURED_LEADER_KEY, value: { node: this.self }, lease },
      { key: LEADER_KEY, value: MOVED },
    ];
    this.listener.migrateLeaderKey(conditions, puts, (revision) => {
      if (this.term !== term) return;
      const { confirmedAt } = this;
      this.stepDown('the share has moved to the key for configured shares');
      if (revision === null) return;
      this.moved = true;
      this.own(revision, lease, confirmedAt);
    });
  }

  private confirm(sentAt: Instant): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt) as Instant;
    this.leaseExpiresAt = addMs(this.confirmedAt, LEADER_LEASE_MS * (1 - DRIFT));
  }

  private extend(): void {
    const { io } = this;
    if (io.now < this.nextExtend || this.lease === null) return;
    const sentAt = io.now;
    this.nextExtend = addMs(sentAt, EXTEND_EVERY_MS);
    const term = this.term;
    io.store(
      { kind: 'renew-lease', lease: this.lease },
      StorePriority.lease,
      (r) => {
        if (this.term !== term) return;
        if (r.kind === 'ok') this.confirm(sentAt);
        else if (r.kind === 'missing') this.stepDown('the hold has ended');
        else this.nextExtend = Math.min(this.nextExtend, addMs(io.now, EXTEND_AGAIN_MS)) as Instant;
      },
      EXTEND_TIMEOUT_MS,
    );
  }

  stepDown(why: string): void {
    if (this.term === null) return;
    this.io.log('info', 'term lost', { term: this.term, why });
    this.term = null;
    this.lease = null;
    this.leaseExpiresAt = LONG_AGO;
    this.moving = false;
    if (this.leader?.node === this.self) this.leader = null;
    this.refresh();
    this.listener.onLeadershipLost(why);
  }
}

/** Left under the first key when the share has moved: it names no owner, and is never dropped. */
const MOVED = { moved: CONFIGURED_LEADER_KEY };

const isMoved = (item: StoreItem): boolean =>
  (item.value as { moved?: string } | null)?.moved === CONFIGURED_LEADER_KEY;
