// A stand-in for the key-value store: revisions, compare-and-swap, leases, watches, and faults that tests
// inject.
import type { StoreItem, StoreReply, StoreRequest } from '../../../src/core/base/model.ts';
import { stringifyJson } from '../../../src/types/exact-json.ts';
import { NO_REVISION, type Revision, type StoreLeaseId } from '../../../src/types/index.ts';
import { largerOf, successor } from '../../../src/types/uint64.ts';
import type { SimulationClock } from './clock.ts';
import { StoreWatches, type Watch, type WatchedStore, type WatchRequest } from './store-watches.ts';

/** A value in the store; the local cluster also stores it on disk in this form. */
export interface StoredEntry {
  value: unknown;
  /** Revision of the change that wrote it. */
  revision: Revision;
  /** Id of the lease at whose end it is deleted; null without one. */
  hold: StoreLeaseId | null;
}

/**
 * A change of the entry of a key (null if it was deleted), or of the lease with id `lease` (`ttlMs` is null
 * if it has ended).
 */
export type StoreChange =
  | { key: string; entry: StoredEntry | null; revision: Revision }
  | { lease: StoreLeaseId; ttlMs: number | null };

type CompareAndSwap = Extract<StoreRequest, { kind: 'compare-and-swap' }>;
type Respond = (reply: StoreReply) => void;

interface Lease {
  expiresAt: number;
  readonly ttlMs: number;
}

/** Delay from the expiry of a lease to the check that ends it. */
const EXPIRY_CHECK_MS = 50;
/** Interval at which a delayed transaction checks whether an outage is over. */
const OUTAGE_POLL_MS = 1000;
const REFUSED: StoreReply = { kind: 'refused', busy: false };
const BUSY: StoreReply = { kind: 'refused', busy: true };

/** A simulated key-value store. Its writable public fields inject faults. */
export class FakeStore implements WatchedStore {
  /** All entries, by key. */
  readonly entries = new Map<string, StoredEntry>();
  /** Revision of the newest change. */
  revision = NO_REVISION;
  /** Whether the store is in an outage: every request is refused. */
  down = false;
  /** Nodes whose requests are refused while the store serves the others. */
  readonly refusedNodes = new Set<string>();
  /** All requests that were executed, in order. */
  readonly executedRequests: StoreRequest[] = [];
  /** List requests for exactly this prefix are refused. */
  refusedListPrefix: string | null = null;
  /** Reads of single keys that begin with this prefix are refused. */
  refusedReadPrefix: string | null = null;
  /** Limits of a transaction; null for none. */
  limits: { valueBytes: number; txnOps: number } | null = null;
  /** Refuses every second request as over the rate limit; requests for leases and watches are exempt. */
  refusesEverySecond = false;
  /** Number of requests counted for refusing every second one. */
  refusalCandidateCount = 0;
  /** Set to lose the reply to the next transaction that writes a value. */
  loseNextAnswer = false;
  /**
   * Returns the delay in milliseconds after which a transaction of the node is executed, possibly after newer
   * ones and without a reply; null to execute it at once.
   */
  executionDelayMs: ((node: string) => number | null) | null = null;
  /** Delay of replies to watches, in milliseconds. */
  watchLagMs = 0;
  /** Returns whether the reply to an executed transaction or lease renewal is lost. */
  losesAnswer: ((node: string, request: StoreRequest) => boolean) | null = null;
  /** Number of replies that were lost. */
  answersLost = 0;
  /** Number of delayed transactions that were executed after a newer one of the same node. */
  executedAfterNewer = 0;
  /** Called with every change, in order, before the reply to its request. */
  onChange: ((change: StoreChange) => void) | null = null;
  /** Sequence number of the newest undelayed transaction, by node. */
  private readonly newestByNode = new Map<string, number>();
  private transactionCount = 0;
  private readonly leases = new Map<StoreLeaseId, Lease>();
  private nextLeaseId = 1 as StoreLeaseId;
  private readonly watches = new StoreWatches(this);

  constructor(private readonly clock: SimulationClock) {}

  /** Refuses all requests for `seconds`. */
  outage(seconds: number): void {
    this.down = true;
    this.clock.after(seconds * 1000, () => {
      this.down = false;
      // After an outage every lease gets its full time to live again.
      for (const lease of this.leases.values()) lease.expiresAt = this.clock.now + lease.ttlMs;
    });
  }

  /**
   * Restores the contents of an earlier store, as after an outage: leases get their full time to live, and
   * watches from older revisions get the reply `too-old`.
   */
  restore(
    revision: Revision,
    entries: Iterable<[string, StoredEntry]>,
    leases: Iterable<[StoreLeaseId, number]>,
  ): void {
    this.revision = revision;
    this.watches.beginAfter(revision);
    for (const [key, entry] of entries) this.entries.set(key, entry);
    for (const [id, ttlMs] of leases) {
      this.leases.set(id, { ttlMs, expiresAt: this.clock.now + ttlMs });
      this.nextLeaseId = largerOf(this.nextLeaseId, successor(id) as StoreLeaseId);
      this.checkExpiryAfter(ttlMs);
    }
  }

  /** Executes a request of a node; `respond` is called once, or never if a fault loses the reply. */
  serve(node: string, request: StoreRequest, respond: Respond): void {
    if (this.down || this.refusedNodes.has(node)) return respond(REFUSED);
    if (this.isReadRefused(request)) return respond(BUSY);
    if (request.kind === 'compare-and-swap' && this.scheduleIfDelayed(node, request)) return;
    this.expireLeases();
    if (this.isEverySecondRequest(request)) return respond(BUSY);
    this.executedRequests.push(request);
    if (request.kind === 'watch') return this.watch(node, request, respond);
    const reply = this.execute(request);
    if (this.isAnswerLost(node, request, reply)) this.answersLost++;
    else respond(reply);
    this.watches.notify();
  }

  // ---- faults

  private isReadRefused(request: StoreRequest): boolean {
    if (request.kind === 'list') return request.prefix === this.refusedListPrefix;
    return (
      request.kind === 'get' &&
      this.refusedReadPrefix !== null &&
      request.key.startsWith(this.refusedReadPrefix)
    );
  }

  /** Schedules a transaction for later execution if a delay is set for its node; returns whether one is. */
  private scheduleIfDelayed(node: string, request: CompareAndSwap): boolean {
    const number = ++this.transactionCount;
    const delayMs = this.executionDelayMs?.(node) ?? null;
    if (delayMs === null) {
      this.newestByNode.set(node, number);
      return false;
    }
    this.clock.after(delayMs, () => this.executeLate(node, number, request));
    return true;
  }

  /** Executes a delayed transaction; during an outage it is delayed further, until the outage is over. */
  private executeLate(node: string, number: number, request: CompareAndSwap): void {
    if (this.down) return this.clock.after(OUTAGE_POLL_MS, () => this.executeLate(node, number, request));
    this.expireLeases();
    const reply = this.execute(request);
    const isOvertaken = (this.newestByNode.get(node) ?? 0) > number;
    if (reply.kind === 'committed' && isOvertaken) this.executedAfterNewer++;
    this.watches.notify();
  }

  private isEverySecondRequest(request: StoreRequest): boolean {
    if (!this.refusesEverySecond) return false;
    switch (request.kind) {
      case 'grant-lease':
      case 'renew-lease':
      case 'revoke-lease':
      case 'watch':
        return false;
      default:
        return ++this.refusalCandidateCount % 2 === 0;
    }
  }

  private isAnswerLost(node: string, request: StoreRequest, reply: StoreReply): boolean {
    const hasWritten =
      request.kind === 'compare-and-swap' && reply.kind === 'committed' && request.puts.length > 0;
    if (hasWritten && this.loseNextAnswer) {
      this.loseNextAnswer = false;
      return true;
    }
    return (hasWritten || request.kind === 'renew-lease') && this.losesAnswer?.(node, request) === true;
  }

  // ---- requests

  private execute(request: Exclude<StoreRequest, { kind: 'watch' }>): StoreReply {
    switch (request.kind) {
      case 'get':
        return this.entries.has(request.key)
          ? { kind: 'item', item: this.item(request.key) }
          : { kind: 'missing' };
      case 'list':
        return this.list(request.prefix, request.after);
      case 'grant-lease':
        return this.grantLease(request.ttlMs);
      case 'renew-lease':
        return this.renewLease(request.lease);
      case 'revoke-lease':
        this.endLease(request.lease);
        return { kind: 'ok' };
      case 'compare-and-swap':
        return this.compareAndSwap(request);
    }
  }

  private item(key: string): StoreItem {
    const entry = this.entries.get(key)!;
    return { key, value: structuredClone(entry.value), revision: entry.revision };
  }

  private list(prefix: string, after: string | null): StoreReply {
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(prefix) && (after === null || key > after))
      .sort();
    return {
      kind: 'items',
      items: keys.map((key) => this.item(key)),
      more: false,
      revision: this.revision,
    };
  }

  private compareAndSwap(request: CompareAndSwap): StoreReply {
    const violation = this.limitViolation(request);
    if (violation !== null) return { kind: 'rejected', reason: violation };
    const failed = request.conditions
      .filter(({ key, revision }) => (this.entries.get(key)?.revision ?? 0) !== revision)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    if (request.puts.some(({ lease }) => lease !== undefined && !this.leases.has(lease)))
      return { kind: 'rejected', reason: 'no such lease' };
    this.apply(request);
    return { kind: 'committed', revision: this.revision };
  }

  private limitViolation({ puts, deletes }: CompareAndSwap): string | null {
    const { limits } = this;
    if (limits === null) return null;
    if (puts.length + deletes.length > limits.txnOps) return 'too many operations';
    const isTooLarge = puts.some(({ value }) => stringifyJson(value).length > limits.valueBytes);
    return isTooLarge ? 'the value is too large' : null;
  }

  /** Counts a change, and returns its revision. */
  advanceRevision(): Revision {
    this.revision = successor(this.revision) as Revision;
    return this.revision;
  }

  private apply({ puts, deletes }: CompareAndSwap): void {
    if (puts.length + deletes.length > 0) this.advanceRevision();
    for (const { key, value, lease } of puts) {
      this.entries.set(key, { value: structuredClone(value), revision: this.revision, hold: lease ?? null });
      this.recordChange(key, this.item(key));
    }
    for (const key of deletes) if (this.entries.delete(key)) this.recordChange(key, null);
  }

  private recordChange(key: string, item: StoreItem | null): void {
    const { revision } = this;
    this.watches.record({ key, item, revision });
    this.onChange?.({ key, entry: item === null ? null : this.entries.get(key)!, revision });
  }

  // ---- leases

  private grantLease(ttlMs: number): StoreReply {
    const id = this.nextLeaseId;
    this.nextLeaseId = successor(id) as StoreLeaseId;
    this.leases.set(id, { ttlMs, expiresAt: this.clock.now + ttlMs });
    this.onChange?.({ lease: id, ttlMs });
    this.checkExpiryAfter(ttlMs);
    return { kind: 'lease-granted', lease: id };
  }

  private renewLease(id: StoreLeaseId): StoreReply {
    const lease = this.leases.get(id);
    if (lease === undefined) return { kind: 'missing' };
    lease.expiresAt = this.clock.now + lease.ttlMs;
    this.checkExpiryAfter(lease.ttlMs);
    return { kind: 'ok' };
  }

  private endLease(id: StoreLeaseId): void {
    if (this.leases.delete(id)) this.onChange?.({ lease: id, ttlMs: null });
    for (const [key, { hold }] of this.entries) {
      if (hold !== id) continue;
      this.entries.delete(key);
      this.advanceRevision();
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

  /**
   * Whether watches of the node can be answered: they wait during an outage and while the node is refused.
   */
  canAnswer(node: string): boolean {
    return !this.down && !this.refusedNodes.has(node);
  }

  answerWatch({ respond }: Watch, reply: StoreReply): void {
    if (this.watchLagMs === 0) respond(reply);
    else this.clock.after(this.watchLagMs, () => respond(reply));
  }
}
