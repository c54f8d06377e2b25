// The log of the store's changes, and the watches that wait for new ones.
import type { StoreItem, StoreReply, StoreRequest } from '../../../src/core/base/model.ts';
import type { Revision } from '../../../src/types/index.ts';

/** A request to watch changes. */
export type WatchRequest = Extract<StoreRequest, { kind: 'watch' }>;

/** A change as watches read it. */
export interface LoggedChange {
  readonly key: string;
  /** Null: it was deleted. */
  readonly item: StoreItem | null;
  readonly revision: number;
}

/** A watch that waits for a change. */
export interface Watch {
  readonly node: string;
  readonly request: WatchRequest;
  /** When it is answered without a change, in milliseconds. */
  readonly expiresAt: number;
  readonly respond: (reply: StoreReply) => void;
}

/** What watches need of the store. */
export interface WatchedStore {
  /** Milliseconds. */
  readonly now: number;
  readonly revision: number;
  /** Whether a node can be answered now. */
  canAnswer(node: string): boolean;
  /** Answers a watch, now or later. */
  answerWatch(watch: Watch, reply: StoreReply): void;
}

/** From twice as many logged changes on, the oldest are dropped down to this number. */
const LOGGED_CHANGES = 10_000;

/** The log and the watches of one store. */
export class StoreWatches {
  private readonly log: LoggedChange[] = [];
  private waiting: Watch[] = [];
  /** Changes up to this revision are no longer in the log. */
  private compactedRevision = 0;

  /** `store`: whose changes are watched. */
  constructor(private readonly store: WatchedStore) {}

  /** Changes up to this revision were made before the log begins. */
  beginAfter(revision: number): void {
    this.compactedRevision = revision;
  }

  /** Adds a change to the log. */
  record(change: LoggedChange): void {
    this.log.push(change);
  }

  /** Whether changes after this revision are no longer in the log. */
  isCompacted(revision: number): boolean {
    return revision < this.compactedRevision;
  }

  /** Answers a watch, or lets it wait. */
  add(watch: Watch): void {
    if (!this.tryAnswer(watch)) this.waiting.push(watch);
  }

  /** Answers the watches that have something to read or whose time is over. */
  notify(): void {
    const excess = this.log.length - LOGGED_CHANGES;
    if (excess > LOGGED_CHANGES) this.compactedRevision = this.log.splice(0, excess).at(-1)!.revision;
    this.waiting = this.waiting.filter((watch) => !this.tryAnswer(watch));
  }

  /** False if it waits on. */
  private tryAnswer(watch: Watch): boolean {
    const { node, request, expiresAt } = watch;
    if (!this.store.canAnswer(node)) return false;
    const changes = this.changesSince(request.after).filter(({ key }) => key.startsWith(request.prefix));
    if (changes.length === 0 && this.store.now < expiresAt) return false;
    this.store.answerWatch(watch, this.replyWith(changes));
    return true;
  }

  private changesSince(revision: number): LoggedChange[] {
    // The newest are last, and most watches are up to date.
    let first = this.log.length;
    while (first > 0 && this.log[first - 1]!.revision > revision) first--;
    return this.log.slice(first);
  }

  private replyWith(changes: readonly LoggedChange[]): StoreReply {
    const newest = new Map(changes.map(({ key, item }) => [key, item]));
    return {
      kind: 'changes',
      revision: this.store.revision as Revision,
      puts: [...newest.values()].filter((item): item is StoreItem => item !== null),
      deletes: [...newest].filter(([, item]) => item === null).map(([key]) => key),
    };
  }
}
