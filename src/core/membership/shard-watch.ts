// Watches the keys of the shard in the store: the leader key, and beside it the last failover and the newest
// change of the configuration. Whenever the watch may have missed a change, the keys are listed again.
import { addMs, type Instant, LONG_AGO, type Millis, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreItem, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import {
  CONFIG_NOTIFICATION_KEY,
  CONFIGURED_LEADER_KEY,
  LAST_RECOVERY_KEY,
  LEADER_KEY,
  SHARD_PREFIX,
} from '../storage/keys.ts';
import {
  decodeLeader,
  decodeRecoveryRecord,
  isMigrationMarker,
  type LeaderRecord,
  type RecoveryRecord,
} from '../storage/shard-records.ts';

const RETRY_DELAY_MS = 300;
const WATCH_MS = 10_000;
/** With configuration documents a broken watch must be noticed sooner, as it brings the news of changes. */
const CONFIGURED_WATCH_MS = 4000;
/** How much longer than the watch itself its reply is waited for. */
const WATCH_REPLY_GRACE_MS = 3000;

/** Receives what the watch finds. */
export interface ShardWatchListener {
  /** The leader key names this controller. */
  onLeaderFound(leader: LeaderRecord): void;
  /** There was no leader key as of this revision. */
  onLeaderMissing(asOf: Revision): void;
  /** The newest change of the configuration was made at this revision. */
  onConfigurationChanged(revision: Revision): void;
}

/** The view of the shard's keys that one controller has. */
export class ShardWatch {
  /** The last failover that was completed. */
  lastRecovery: RecoveryRecord | null = null;
  /** Revision of the newest change of the configuration; 0 without any. */
  configRevision = 0 as Revision;
  /** The leader key is the one that versions without configuration documents don't know. */
  isLeaderKeyMigrated = false;
  /**
   * After a failure no request about the shard is sent before this: neither of the watch nor of a candidacy.
   */
  retryAt: Instant = LONG_AGO;
  private isRequestOpen = false;
  /** Numbers the requests: the reply to one that was sent before a resync is ignored. */
  private lastRequest = 0;
  /** The keys are known as of this revision; null: they have to be listed. */
  private knownAsOf: Revision | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly listener: ShardWatchListener,
  ) {}

  /** The key that names the leader. */
  get leaderKey(): string {
    return this.isLeaderKeyMigrated ? CONFIGURED_LEADER_KEY : LEADER_KEY;
  }

  /** The store has replied to this node since it last failed to. */
  get isSynced(): boolean {
    return this.knownAsOf !== null;
  }

  /** Lists or watches the keys unless a request is open. */
  tick(): void {
    if (!this.isRequestOpen) this.sendRequest();
  }

  /**
   * Lists the keys again, and at once. An open watch tells only of changes since it began: left to end, it
   * would make this node wait for a change that may never come, while there is no leader.
   */
  resync(): void {
    this.knownAsOf = null;
    this.isRequestOpen = false;
    this.lastRequest++;
  }

  /** Sends nothing about the shard for a while, of which up to `jitterMs` is random. */
  backOff(jitterMs: Millis): void {
    this.retryAt = addMs(this.io.now, RETRY_DELAY_MS + this.io.random.below(jitterMs));
  }

  private sendRequest(): void {
    if (this.io.now < this.retryAt) return;
    this.isRequestOpen = true;
    const request = ++this.lastRequest;
    if (this.knownAsOf === null) this.sendList(request);
    else this.sendWatch(request, this.knownAsOf);
  }

  private sendList(request: number): void {
    this.io.store({ kind: 'list', prefix: SHARD_PREFIX, after: null }, StorePriority.lease, (reply) => {
      if (request === this.lastRequest) this.onListed(reply);
    });
  }

  private sendWatch(request: number, after: Revision): void {
    const waitMs = this.configRevision > 0 ? CONFIGURED_WATCH_MS : WATCH_MS;
    this.io.store(
      { kind: 'watch', prefix: SHARD_PREFIX, after, waitMs },
      StorePriority.lease,
      (reply) => {
        if (request === this.lastRequest) this.onWatched(reply);
      },
      waitMs + WATCH_REPLY_GRACE_MS,
    );
  }

  private onListed(reply: StoreReply): void {
    this.isRequestOpen = false;
    if (reply.kind !== 'items') {
      this.backOff(RETRY_DELAY_MS);
      return;
    }
    this.knownAsOf = reply.revision;
    this.readOtherKeys(reply.items);
    const leaderItem = reply.items.find((item) => item.key === this.leaderKey);
    if (leaderItem !== undefined) this.readLeader(leaderItem);
    else this.listener.onLeaderMissing(reply.revision);
    this.sendRequest();
  }

  private onWatched(reply: StoreReply): void {
    this.isRequestOpen = false;
    if (reply.kind !== 'changes') {
      this.backOff(RETRY_DELAY_MS);
      // A watch that broke may have missed that the leader key was deleted.
      if (reply.kind !== 'refused') this.knownAsOf = null;
      return;
    }
    this.knownAsOf = reply.revision;
    const previousKey = this.leaderKey;
    this.readOtherKeys(reply.puts);
    const leaderItem = reply.puts.filter((item) => item.key === this.leaderKey).at(-1);
    const wasDeleted = reply.deletes.includes(this.leaderKey);
    // The leader may have been on record under the other key before this watch began.
    if (previousKey !== this.leaderKey && leaderItem === undefined) this.knownAsOf = null;
    if (leaderItem !== undefined) this.readLeader(leaderItem);
    if (wasDeleted && leaderItem === undefined) this.listener.onLeaderMissing(reply.revision);
    // Which of the two came last is not told: list the keys again.
    if (wasDeleted && leaderItem !== undefined) this.knownAsOf = null;
    this.sendRequest();
  }

  /** Reads the keys that stand beside the leader key. */
  private readOtherKeys(items: StoreItem[]): void {
    const recovery = items.find((item) => item.key === LAST_RECOVERY_KEY);
    if (recovery !== undefined) this.lastRecovery = decodeRecoveryRecord(recovery);
    if (items.some(isMigrationMarker)) this.isLeaderKeyMigrated = true;
    const notification = items.find((item) => item.key === CONFIG_NOTIFICATION_KEY);
    if (notification === undefined || notification.revision <= this.configRevision) return;
    this.configRevision = notification.revision;
    this.listener.onConfigurationChanged(notification.revision);
  }

  private readLeader(item: StoreItem): void {
    const leader = decodeLeader(item);
    if (leader !== null) this.listener.onLeaderFound(leader);
  }
}
