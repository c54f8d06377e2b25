// A stand-in of the key-value store: revisions, compare-and-swap, leases, watches, and faults that tests turn
// on.
import type { StoreItem, StoreReply, StoreRequest } from '../../../src/core/base/model.ts';
import type { Revision, StoreLeaseId } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';
import { StoreWatches, type Watch, type WatchedStore, type WatchRequest } from './store-watches.ts';

/** A value of the store, in the form in which the local cluster keeps it on disk. */
export interface StoredEntry {
  value: unknown;
  /** Of the change that wrote it. */
  revision: number;
  /** The lease that it ends with; null without one. */
  hold: number | null;
}

/** A change of an entry (`kept` null: it was deleted) or of the lease `hold` (`ttlMs` null: it has ended). */
export type StoreChange =
  | { key: string; kept: StoredEntry | null; revision: number }
  | { hold: number; ttlMs: number | null };

type CompareAndSwap = Extract<StoreRequest, { kind: 'compare-and-swap' }>;
type Respond = (reply: StoreReply) => void;

interface Lease {
  expiresAt: number;
  readonly ttlMs: number;
}

/** How long after its expiry a lease is looked at. */
const EXPIRY_CHECK_MS = 50;
/** How often a late transaction looks whether the outage is over. */
const OUTAGE_POLL_MS = 1000;
const REFUSED: StoreReply = { kind: 'refused', busy: false };
const BUSY: StoreReply = { kind: 'refused', busy: true };

/** The key-value store. Public fields that are not read-only turn faults on. */
export class FakeStore implements WatchedStore {
  /** All entries. */
  readonly keys = new Map<string, StoredEntry>();
  /** Of the newest change. */
  revision = 0;
  /** During an outage every request is refused. */
  down = false;
  /** Nodes that alone are refused. */
  readonly refused = new Set<string>();
  /** Requests that were executed. */
  readonly served: StoreRequest[] = [];
  /** A prefix whose lists are refused. */
  unreadable: string | null = null;
  /** Keys whose reads are refused, by their beginning. */
  unread: string | null = null;
  /** Limits in force; null for none. */
  limits: { valueBytes: number; txnOps: number } | null = null;
  /** Every second request but those for leases and watches is refused as one too many. */
  halfRefused = false;
  /** Requests that were counted for `halfRefused`. */
  refusals = 0;
  /** Set to lose the answer to the next transaction that is executed. */
  loseNextAnswer = false;
  /**
   * Which transactions get no answer and are executed late, after newer ones: milliseconds from now, or null
   * for one that is executed at once.
   */
  lateMs: ((node: string) => number | null) | null = null;
  /** How long changes take to those that watch, in milliseconds. */
  watchLagMs = 0;
  /** Which transactions and renewals are executed at once while their answer is lost. */
  losesAnswer: ((node: string, op: StoreRequest) => boolean) | null = null;
  /** How many answers were lost. */
  answersLost = 0;
  /** Transactions executed after newer ones of the same node. */
  lateAfterNewer = 0;
  /** Called with every change, in order, before it is answered. */
  onChange: ((change: StoreChange) => void) | null = null;
  /** Number of the newest transaction of each node that was executed at once. */
  private readonly newestByNode = new Map<string, number>();
  private transactions = 0;
  private readonly leases = new Map<number, Lease>();
  private nextLeaseId = 1;
  private readonly watches = new StoreWatches(this);

  /** `clock`: the time that leases and watches go by. */
  constructor(private readonly clock: SimulationClock) {}

  /** Takes the store down for so many seconds. */
  outage(seconds: number): void {
    this.down = true;
    this.clock.after(seconds * 1000, () => {
      this.down = false;
      // Once an outage is over, every lease has its full time again.
      for (const lease of this.leases.values()) lease.expiresAt = this.clock.now + lease.ttlMs;
    });
  }

  /**
   * Begins with what an earlier store had, as after an outage: leases have their full time, older watches
   * read again.
   */
  restore(
    revision: number,
    entries: Iterable<[string, StoredEntry]>,
    leases: Iterable<[number, number]>,
  ): void {
    this.revision = revision;
    this.watches.beginAfter(revision);
    for (const [key, entry] of entries) this.keys.set(key, entry);
    for (const [id, ttlMs] of leases) {
      this.leases.set(id, { ttlMs, expiresAt: this.clock.now + ttlMs });
      this.nextLeaseId = Math.max(this.nextLeaseId, id + 1);
      this.checkExpiryAfter(ttlMs);
    }
  }

  /** Executes a request of a node; `respond` is called once, or never if a fault loses the answer. */
  serve(node: string, op: StoreRequest, respond: Respond): void {
    if (this.down || this.refused.has(node)) return respond(REFUSED);
    if (this.isUnreadable(op)) return respond(BUSY);
    if (op.kind === 'compare-and-swap' && this.isDelayed(node, op)) return;
    this.expireLeases();
    if (this.isOneTooMany(op)) return respond(BUSY);
    this.served.push(op);
    if (op.kind === 'watch') return this.watch(node, op, respond);
    const reply = this.execute(op);
    if (this.isAnswerLost(node, op, reply)) this.answersLost++;
    else respond(reply);
    this.watches.notify();
  }

  // ---- faults

  private isUnreadable(op: StoreRequest): boolean {
    if (op.kind === 'list') return op.prefix === this.unreadable;
    return op.kind === 'get' && this.unread !== null && op.key.startsWith(this.unread);
  }

  /** Whether a transaction is executed late; it is scheduled then. */
  private isDelayed(node: string, op: CompareAndSwap): boolean {
    const number = ++this.transactions;
    const delayMs = this.lateMs?.(node) ?? null;
    if (delayMs === null) {
      this.newestByNode.set(node, number);
      return false;
    }
    this.clock.after(delayMs, () => this.executeLate(node, number, op));
    return true;
  }

  /** During an outage it waits on: nothing is executed before the end. */
  private executeLate(node: string, number: number, op: CompareAndSwap): void {
    if (this.down) return this.clock.after(OUTAGE_POLL_MS, () => this.executeLate(node, number, op));
    this.expireLeases();
    const reply = this.execute(op);
    const isOvertaken = (this.newestByNode.get(node) ?? 0) > number;
    if (reply.kind === 'committed' && isOvertaken) this.lateAfterNewer++;
    this.watches.notify();
  }

  private isOneTooMany(op: StoreRequest): boolean {
    if (!this.halfRefused) return false;
    switch (op.kind) {
      case 'grant-lease':
      case 'renew-lease':
      case 'revoke-lease':
      case 'watch':
        return false;
      default:
        return ++this.refusals % 2 === 0;
    }
  }

  private isAnswerLost(node: string, op: StoreRequest, reply: StoreReply): boolean {
    const changed = op.kind === 'compare-and-swap' && reply.kind === 'committed' && op.puts.length > 0;
    if (changed && this.loseNextAnswer) {
      this.loseNextAnswer = false;
      return true;
    }
    return (changed || op.kind === 'renew-lease') && this.losesAnswer?.(node, op) === true;
  }

  // ---- requests

  private execute(op: Exclude<StoreRequest, { kind: 'watch' }>): StoreReply {
    switch (op.kind) {
      case 'get':
        return this.keys.has(op.key) ? { kind: 'item', item: this.item(op.key) } : { kind: 'missing' };
      case 'list':
        return this.list(op.prefix, op.after);
      case 'grant-lease':
        return this.grantLease(op.ttlMs);
      case 'renew-lease':
        return this.renewLease(op.lease);
      case 'revoke-lease':
        this.endLease(op.lease);
        return { kind: 'ok' };
      case 'compare-and-swap':
        return this.compareAndSwap(op);
    }
  }

  private item(key: string): StoreItem {
    const entry = this.keys.get(key)!;
    return { key, value: structuredClone(entry.value), revision: entry.revision as Revision };
  }

  private list(prefix: string, after: string | null): StoreReply {
    const keys = [...this.keys.keys()]
      .filter((key) => key.startsWith(prefix) && (after === null || key > after))
      .sort();
    return {
      kind: 'items',
      items: keys.map((key) => this.item(key)),
      more: false,
      revision: this.revision as Revision,
    };
  }

  private compareAndSwap(op: CompareAndSwap): StoreReply {
    const violation = this.limitViolation(op);
    if (violation !== null) return { kind: 'rejected', reason: violation };
    const failed = op.conditions
      .filter(({ key, revision }) => (this.keys.get(key)?.revision ?? 0) !== revision)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    if (op.puts.some(({ lease }) => lease !== undefined && !this.leases.has(lease)))
      return { kind: 'rejected', reason: 'no such lease' };
    this.apply(op);
    return { kind: 'committed', revision: this.revision as Revision };
  }

  private limitViolation({ puts, deletes }: CompareAndSwap): string | null {
    const { limits } = this;
    if (limits === null) return null;
    if (puts.length + deletes.length > limits.txnOps) return 'too many operations';
    const isTooLarge = puts.some(({ value }) => JSON.stringify(value).length > limits.valueBytes);
    return isTooLarge ? 'the value is too large' : null;
  }

  private apply({ puts, deletes }: CompareAndSwap): void {
    if (puts.length + deletes.length > 0) this.revision++;
    for (const { key, value, lease } of puts) {
      this.keys.set(key, { value: structuredClone(value), revision: this.revision, hold: lease ?? null });
      this.recordChange(key, this.item(key));
    }
    for (const key of deletes) if (this.keys.delete(key)) this.recordChange(key, null);
  }

  private recordChange(key: string, item: StoreItem | null): void {
    const { revision } = this;
    this.watches.record({ key, item, revision });
    this.onChange?.({ key, kept: item === null ? null : this.keys.get(key)!, revision });
  }

  // ---- leases

  private grantLease(ttlMs: number): StoreReply {
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttlMs, expiresAt: this.clock.now + ttlMs });
    this.onChange?.({ hold: id, ttlMs });
    this.checkExpiryAfter(ttlMs);
    return { kind: 'lease-granted', lease: id as StoreLeaseId };
  }

  private renewLease(id: number): StoreReply {
    const lease = this.leases.get(id);
    if (lease === undefined) return { kind: 'missing' };
    lease.expiresAt = this.clock.now + lease.ttlMs;
    this.checkExpiryAfter(lease.ttlMs);
    return { kind: 'ok' };
  }

  private endLease(id: number): void {
    if (this.leases.delete(id)) this.onChange?.({ hold: id, ttlMs: null });
    for (const [key, { hold }] of this.keys) {
      if (hold !== id) continue;
      this.keys.delete(key);
      this.revision++;
      this.recordChange(key, null);
    }
  }

  private expireLeases(): void {
    if (this.down) return;
    for (const [id, lease] of this.leases) if (lease.expiresAt < this.clock.now) this.endLease(id);
  }

  private checkExpiryAfter(ttlMs: number): void {
    this.clock.after(ttlMs + EXPIRY_CHECK_MS, () => {
      this.expireLeases();
      this.watches.notify();
    });
  }

  // ---- watches

  private watch(node: string, request: WatchRequest, respond: Respond): void {
    if (this.watches.isCompacted(request.after)) return respond({ kind: 'too-old' });
    this.watches.add({ node, request, expiresAt: this.now + request.waitMs, respond });
    this.clock.after(request.waitMs + 1, () => this.watches.notify());
  }

  get now(): number {
    return this.clock.now;
  }

  /** A node that is refused alone waits as in an outage. */
  canAnswer(node: string): boolean {
    return !this.down && !this.refused.has(node);
  }

  answerWatch({ respond }: Watch, reply: StoreReply): void {
    if (this.watchLagMs === 0) respond(reply);
    else this.clock.after(this.watchLagMs, () => respond(reply));
  }
}
