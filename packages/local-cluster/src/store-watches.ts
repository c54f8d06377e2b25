// The store's change log, and the watches that wait for new changes.
import type { StoreItem, StoreReply, StoreRequest } from '../../../src/core/base/model.ts';
import { NO_REVISION, type Revision } from '../../../src/types/index.ts';

/** A request to watch changes. */
export type WatchRequest = Extract<StoreRequest, { kind: 'watch' }>;

/** An entry of the change log. */
export interface LoggedChange {
  readonly key: string;
  /** Null if the key was deleted. */
  readonly item: StoreItem | null;
  readonly revision: Revision;
}

/** A watch that waits for a change. */
export interface Watch {
  readonly node: string;
  readonly request: WatchRequest;
  /** Time at which it is answered even without a change, in milliseconds. */
  readonly expiresAt: number;
  readonly respond: (reply: StoreReply) => void;
}

/** The operations of the store that watches depend on. */
export interface WatchedStore {
  /** The current time in milliseconds. */
  readonly now: number;
  readonly revision: Revision;
  /** Whether a node can be answered now. */
  canAnswer(node: string): boolean;
  /** Answers a watch, at once or after a delay. */
  answerWatch(watch: Watch, reply: StoreReply): void;
}

/** Number of newest changes that compaction keeps; the log is compacted when it exceeds twice this number. */
const LOGGED_CHANGES_AFTER_COMPACTION = 10_000;

/** The change log and the watches of one store. */
export class StoreWatches {
  private readonly log: LoggedChange[] = [];
  private pendingWatches: Watch[] = [];
  /** Changes up to this revision are not in the log. */
  private compactedRevision = NO_REVISION;

  constructor(private readonly store: WatchedStore) {}

  /** Marks changes up to this revision as not in the log, when the store is restored. */
  beginAfter(revision: Revision): void {
    this.compactedRevision = revision;
  }

  /** Adds a change to the log. */
  record(change: LoggedChange): void {
    this.log.push(change);
  }

  /** Whether changes after this revision are no longer in the log. */
  isCompacted(revision: Revision): boolean {
    return revision < this.compactedRevision;
  }

  /** Answers a watch if changes are available, else adds it to the pending ones. */
  add(watch: Watch): void {
    if (!this.tryAnswer(watch)) this.pendingWatches.push(watch);
  }

  /** Answers the pending watches that have changes or have expired, and compacts the log. */
  notify(): void {
    const excess = this.log.length - LOGGED_CHANGES_AFTER_COMPACTION;
    if (excess > LOGGED_CHANGES_AFTER_COMPACTION)
      this.compactedRevision = this.log.splice(0, excess).at(-1)!.revision;
    this.pendingWatches = this.pendingWatches.filter((watch) => !this.tryAnswer(watch));
  }

  /** Answers a watch if it has changes or has expired; returns whether it was answered. */
  private tryAnswer(watch: Watch): boolean {
    const { node, request, expiresAt } = watch;
    if (!this.store.canAnswer(node)) return false;
    const changes = this.changesSince(request.after).filter(({ key }) => key.startsWith(request.prefix));
    if (changes.length === 0 && this.store.now < expiresAt) return false;
    this.store.answerWatch(watch, this.replyWith(changes));
    return true;
  }

  private changesSince(revision: Revision): LoggedChange[] {
    // Searches from the end, as most watches are nearly up to date.
    let first = this.log.length;
    while (first > 0 && this.log[first - 1]!.revision > revision) first--;
    return this.log.slice(first);
  }

  private replyWith(changes: readonly LoggedChange[]): StoreReply {
    const newest = new Map(changes.map(({ key, item }) => [key, item]));
    return {
      kind: 'changes',
      revision: this.store.revision,
      puts: [...newest.values()].filter((item): item is StoreItem => item !== null),
      deletes: [...newest].filter(([, item]) => item === null).map(([key]) => key),
    };
  }
}
