// A minimal key-value store for the hotpath load.
import type { Input } from '../../src/core/base/io.ts';
import type { StoreItem, StoreReply, StoreRequest } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';

type WatchRequest = Extract<StoreRequest, { kind: 'watch' }>;
type CompareAndSwap = Extract<StoreRequest, { kind: 'compare-and-swap' }>;

interface Watch {
  prefix: string;
  /** Only changes after this revision are reported. */
  after: number | bigint;
  tag: number;
  controller: Controller;
  /** Whether its waiting time has elapsed. */
  hasTimedOut: boolean;
}

interface Change {
  key: string;
  revision: number;
}

/** The simulated surroundings of the store. */
export interface StoreEnvironment {
  readonly now: number;
  at(ms: number, run: () => void): void;
  /** Passes a reply to the controller, unless another controller has replaced it. */
  reply(controller: Controller, tag: number, reply: StoreReply): void;
  isCurrent(controller: Controller): boolean;
}

const FIRST_REVISION = 100;
const PAGE_SIZE = 500;
/** Number of the latest revisions whose changes are kept for watches. */
const HISTORY_REVISIONS = 500;
const WATCH_DELAY_MS = 1;

/** Serves the requests of one controller at a time. */
export class LoadStore {
  private readonly entries = new Map<string, { value: unknown; revision: number }>();
  private sortedKeys: string[] | null = null;
  private revision = FIRST_REVISION;
  private nextLease = 1;
  private readonly watches: Watch[] = [];
  private changes: Change[] = [];

  constructor(private readonly environment: StoreEnvironment) {}

  /** Opens a watch, which ends with its first report of changes, or when its waiting time has elapsed. */
  watch(controller: Controller, tag: number, { prefix, after, waitMs }: WatchRequest): void {
    const watch: Watch = { prefix, after, tag, controller, hasTimedOut: false };
    this.watches.push(watch);
    this.environment.at(this.environment.now + waitMs, () => {
      watch.hasTimedOut = true;
      this.notifyWatches();
    });
    this.notifyWatches();
  }

  /** Replies to the watches that have changes to report or have timed out. */
  notifyWatches(): void {
    const { environment } = this;
    for (const watch of [...this.watches]) {
      const matching = this.changes.filter(
        (change) => change.revision > watch.after && change.key.startsWith(watch.prefix),
      );
      if (matching.length === 0 && !watch.hasTimedOut) continue;
      this.watches.splice(this.watches.indexOf(watch), 1);
      if (!environment.isCurrent(watch.controller)) continue;
      const reply = this.changesReply([...new Set(matching.map((change) => change.key))]);
      environment.at(environment.now + WATCH_DELAY_MS, () =>
        environment.reply(watch.controller, watch.tag, reply),
      );
    }
    this.changes = this.changes.filter((change) => change.revision > this.revision - HISTORY_REVISIONS);
  }

  /** Serves a request other than a watch. */
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

  /** Deletes a key without a new revision, as on the expiry of its lease. */
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

/** The input that passes a reply of the store to a controller. */
export const storeInput = (tag: number, reply: StoreReply): Input => ({ kind: 'store', tag, reply });
