// Watches the keys of the shard in the store: the leader keys, the record of the last failover, and the
// notification of the newest configuration change. The keys are listed again whenever the watch may have
// missed a change.
import { addMs, type Instant, LONG_AGO, type Millis, NO_REVISION, type Revision } from '../../types/index.ts';
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
const WATCH_DURATION_MS = 10_000;
/**
 * With configuration documents a broken watch must be detected sooner, as the watch reports their changes.
 */
const CONFIGURED_WATCH_DURATION_MS = 4000;
/** Time allowed for the reply to a watch beyond the duration of the watch. */
const WATCH_REPLY_GRACE_MS = 3000;

/** Receives changes of the shard's keys. */
export interface ShardWatchListener {
  /** The leader key names `leader`. */
  onLeaderFound(leader: LeaderRecord): void;
  /** There was no leader key as of this revision. */
  onLeaderMissing(asOf: Revision): void;
  /** The newest configuration change was made at this revision. */
  onConfigurationChanged(revision: Revision): void;
}

/** One controller's view of the shard's keys. */
export class ShardWatch {
  /** The last completed failover. */
  lastRecovery: RecoveryRecord | null = null;
  /** Revision of the newest configuration change; 0 if there is none. */
  configRevision = NO_REVISION;
  /** The leader key is the one that versions without configuration documents do not read. */
  isLeaderKeyMigrated = false;
  /** Earliest time of the next request after a failure, for the watch and for a candidacy. */
  retryAt: Instant = LONG_AGO;
  private isRequestOpen = false;
  /** Number of the last request; the reply to a request that was sent before a resync is ignored. */
  private lastRequestNumber = 0;
  /** Revision as of which the keys are known; null if they have to be listed. */
  private syncedRevision: Revision | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly listener: ShardWatchListener,
  ) {}

  /** The key that names the leader. */
  get leaderKey(): string {
    return this.isLeaderKeyMigrated ? CONFIGURED_LEADER_KEY : LEADER_KEY;
  }

  /** Whether the keys have been listed since the last resync or broken watch. */
  get isSynced(): boolean {
    return this.syncedRevision !== null;
  }

  /** Lists or watches the keys unless a request is open. */
  tick(): void {
    if (!this.isRequestOpen) this.sendRequest();
  }

  /**
   * Has the next tick list the keys again, even if a request is open. An open watch reports only changes
   * since it began: a node that waited for its reply might wait for a change that never comes, while there is
   * no leader.
   */
  resync(): void {
    this.syncedRevision = null;
    this.isRequestOpen = false;
    this.lastRequestNumber++;
  }

  /** Delays further requests about the shard; up to `jitterMs` of the delay is random. */
  backOff(jitterMs: Millis): void {
    this.retryAt = addMs(this.io.now, RETRY_DELAY_MS + this.io.random.below(jitterMs));
  }

  private sendRequest(): void {
    if (this.io.now < this.retryAt) return;
    this.isRequestOpen = true;
    const requestNumber = ++this.lastRequestNumber;
    if (this.syncedRevision === null) this.sendList(requestNumber);
    else this.sendWatch(requestNumber, this.syncedRevision);
  }

  private sendList(requestNumber: number): void {
    this.io.sendStoreRequest(
      { kind: 'list', prefix: SHARD_PREFIX, after: null },
      StorePriority.lease,
      (reply) => {
        if (requestNumber === this.lastRequestNumber) this.onListed(reply);
      },
    );
  }

  private sendWatch(requestNumber: number, after: Revision): void {
    const waitMs = this.configRevision > 0 ? CONFIGURED_WATCH_DURATION_MS : WATCH_DURATION_MS;
    this.io.sendStoreRequest(
      { kind: 'watch', prefix: SHARD_PREFIX, after, waitMs },
      StorePriority.lease,
      (reply) => {
        if (requestNumber === this.lastRequestNumber) this.onWatched(reply);
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
    this.syncedRevision = reply.revision;
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
      // A broken watch may have missed the deletion of the leader key.
      if (reply.kind !== 'refused') this.syncedRevision = null;
      return;
    }
    this.syncedRevision = reply.revision;
    const previousLeaderKey = this.leaderKey;
    this.readOtherKeys(reply.puts);
    const leaderItem = reply.puts.filter((item) => item.key === this.leaderKey).at(-1);
    const wasLeaderKeyDeleted = reply.deletes.includes(this.leaderKey);
    // The leader may have been stored under the new leader key before this watch began.
    if (previousLeaderKey !== this.leaderKey && leaderItem === undefined) this.syncedRevision = null;
    if (leaderItem !== undefined) this.readLeader(leaderItem);
    if (wasLeaderKeyDeleted && leaderItem === undefined) this.listener.onLeaderMissing(reply.revision);
    // The reply does not show whether the put or the delete came last: list the keys again.
    if (wasLeaderKeyDeleted && leaderItem !== undefined) this.syncedRevision = null;
    this.sendRequest();
  }

  /** Reads the keys of the shard other than the leader key. */
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
