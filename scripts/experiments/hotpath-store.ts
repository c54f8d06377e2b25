// The key-value store of the hotpath load, as plain as can be.
import type { Input } from '../../src/core/base/io.ts';
import type { StoreItem, StoreReply, StoreRequest } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';

type WatchRequest = Extract<StoreRequest, { kind: 'watch' }>;
type CompareAndSwap = Extract<StoreRequest, { kind: 'compare-and-swap' }>;

interface Watch {
  prefix: string;
  /** Changes after this revision are reported. */
  after: number;
  tag: number;
  controller: Controller;
  /** Its time is over. */
  hasEnded: boolean;
}

interface Change {
  key: string;
  revision: number;
}

/** What the store needs of the load. */
export interface StoreEnvironment {
  readonly now: number;
  at(ms: number, run: () => void): void;
  /** Gives the controller a reply, unless another one has taken its place. */
  reply(controller: Controller, tag: number, reply: StoreReply): void;
  isCurrent(controller: Controller): boolean;
}

const FIRST_REVISION = 100;
const PAGE_SIZE = 500;
/** Changes of so many revisions are kept for watches. */
const HISTORY = 500;
const NOTICE_MS = 1;

/** Serves the requests of one controller at a time. */
export class LoadStore {
  private readonly entries = new Map<string, { value: unknown; revision: number }>();
  private sortedKeys: string[] | null = null;
  private revision = FIRST_REVISION;
  private nextLease = 1;
  private readonly watches: Watch[] = [];
  private changes: Change[] = [];

  constructor(private readonly environment: StoreEnvironment) {}

  /** Opens a watch, which ends with the first changes that it reports, or when its time is over. */
  watch(controller: Controller, tag: number, { prefix, after, waitMs }: WatchRequest): void {
    const watch: Watch = { prefix, after, tag, controller, hasEnded: false };
    this.watches.push(watch);
    this.environment.at(this.environment.now + waitMs, () => {
      watch.hasEnded = true;
      this.notifyWatches();
    });
    this.notifyWatches();
  }

  /** Reports changes to watches. */
  notifyWatches(): void {
    const { environment } = this;
    for (const watch of [...this.watches]) {
      const news = this.changes.filter(
        (change) => change.revision > watch.after && change.key.startsWith(watch.prefix),
      );
      if (news.length === 0 && !watch.hasEnded) continue;
      this.watches.splice(this.watches.indexOf(watch), 1);
      if (!environment.isCurrent(watch.controller)) continue;
      const reply = this.changesReply([...new Set(news.map((change) => change.key))]);
      environment.at(environment.now + NOTICE_MS, () =>
        environment.reply(watch.controller, watch.tag, reply),
      );
    }
    this.changes = this.changes.filter((change) => change.revision > this.revision - HISTORY);
  }

  /** Serves a request that is answered at once. */
  serve(request: Exclude<StoreRequest, WatchRequest>): StoreReply {
    switch (request.kind) {
      case 'get':
        return this.entries.has(request.key)
          ? { kind: 'item', item: this.item(request.key) }
          : { kind: 'missing' };
      case 'list':
        return this.list(request.prefix, request.after);
      case 'grant-lease':
        return { kind: 'lease-granted', lease: this.nextLease++ as never };
      case 'renew-lease':
      case 'revoke-lease':
        return { kind: 'ok' };
      case 'compare-and-swap':
        return this.compareAndSwap(request);
    }
  }

  /** Deletes a key without a revision of its own, as when its lease has ended. */
  expire(key: string): void {
    this.change(key, undefined);
  }

  private changesReply(keys: string[]): StoreReply {
    return {
      kind: 'changes',
      revision: this.revision as never,
      puts: keys.filter((key) => this.entries.has(key)).map((key) => this.item(key)),
      deletes: keys.filter((key) => !this.entries.has(key)),
    };
  }

  private list(prefix: string, after: string | null): StoreReply {
    this.sortedKeys ??= [...this.entries.keys()].sort();
    const keys = this.sortedKeys.filter((key) => key.startsWith(prefix) && (after === null || key > after));
    const items = keys.slice(0, PAGE_SIZE).map((key) => this.item(key));
    return { kind: 'items', items, more: keys.length > PAGE_SIZE, revision: this.revision as never };
  }

  private compareAndSwap({ conditions, puts, deletes }: CompareAndSwap): StoreReply {
    const failed = conditions
      .filter(({ key, revision }) => (this.entries.get(key)?.revision ?? 0) !== revision)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    if (puts.length + deletes.length > 0) this.revision++;
    for (const { key, value } of puts) this.change(key, value);
    for (const key of deletes) this.change(key, undefined);
    return { kind: 'committed', revision: this.revision as never };
  }

  private item(key: string): StoreItem {
    const { value, revision } = this.entries.get(key)!;
    return { key, value, revision: revision as never };
  }

  private change(key: string, value: unknown): void {
    this.sortedKeys = null;
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, { value: JSON.parse(JSON.stringify(value)), revision: this.revision });
    this.changes.push({ key, revision: this.revision });
  }
}

/** The input that gives a controller a reply of the store. */
export const storeInput = (tag: number, reply: StoreReply): Input => ({ kind: 'store', tag, reply });
