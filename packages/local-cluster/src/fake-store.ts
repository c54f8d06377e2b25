// The state service's protocol: versions, transactions, leases, watches, outages.
import type { StoreItem, StoreReply, StoreRequest } from '../../../src/core/base/model.ts';
import type { Revision, StoreLeaseId } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';

export interface StoredEntry {
  value: unknown;
  revision: number;
  hold: number | null;
}
/** `kept` or `ttlMs` null: it is gone. */
export type StoreChange =
  | { key: string; kept: StoredEntry | null; revision: number }
  | { hold: number; ttlMs: number | null };

const KEPT_CHANGES = 10_000;

export class FakeStore {
  readonly keys = new Map<string, StoredEntry>();
  revision = 0;
  down = false;
  /** Nodes that alone get 503. */
  readonly refused = new Set<string>();
  readonly served: StoreRequest[] = [];
  /** A prefix whose lists are refused. */
  unreadable: string | null = null;
  /** Keys whose reads are refused, by their beginning. */
  unread: string | null = null;
  /** Limits in force; null for none. */
  limits: { valueBytes: number; txnOps: number } | null = null;
  /** Every second request but those for holds is refused as one too many. */
  halfRefused = false;
  refusals = 0;
  /** Set to lose the answer to the next commit that is executed. */
  loseNextAnswer = false;
  /**
   * Which transactions get no answer and are carried out late, after newer ones: milliseconds from now, or null for one
   * that is served at once.
   */
  lateMs: ((node: string) => number | null) | null = null;
  /** How long news takes to those that watch. */
  watchLagMs = 0;
  /** Which changes and renewals are carried out at once while their answer is lost. */
  losesAnswer: ((node: string, op: StoreRequest) => boolean) | null = null;
  /** How many were. */
  answersLost = 0;
  /** Transactions carried out after newer ones of the same node. */
  lateAfterNewer = 0;
  private readonly newest = new Map<string, number>();
  private sent = 0;
  private holds = new Map<number, { ends: number; ttl: number }>();
  private nextHold = 1;
  private log: { key: string; item: StoreItem | null; revision: number }[] = [];
  private watches: (() => boolean)[] = [];
  /** Hears of every change, in order, before it is answered. */
  onChange: ((c: StoreChange) => void) | null = null;
  /** Changes up to here are no longer kept. */
  private forgotten = 0;

  constructor(private readonly place: SimulationClock) {}

  outage(seconds: number): void {
    this.down = true;
    this.place.after(seconds * 1000, () => {
      this.down = false;
      // Once an outage is over, every lease has its full time again.
      for (const h of this.holds.values()) h.ends = this.place.now + h.ttl;
    });
  }

  serve(node: string, op: StoreRequest, reply: (r: StoreReply) => void): void {
    if (this.down || this.refused.has(node)) return reply({ kind: 'refused', busy: false });
    if (op.kind === 'list' && op.prefix === this.unreadable) return reply({ kind: 'refused', busy: true });
    if (op.kind === 'get' && this.unread !== null && op.key.startsWith(this.unread))
      return reply({ kind: 'refused', busy: true });
    if (op.kind === 'compare-and-swap') {
      const no = ++this.sent;
      const ms = this.lateMs?.(node) ?? null;
      if (ms !== null) return this.place.after(ms, () => this.carryOutLate(node, no, op));
      this.newest.set(node, no);
    }
    this.expire();
    const forHold = op.kind === 'grant-lease' || op.kind === 'renew-lease' || op.kind === 'revoke-lease';
    if (this.halfRefused && !forHold && op.kind !== 'watch' && ++this.refusals % 2 === 0)
      return reply({ kind: 'refused', busy: true });
    this.served.push(op);
    if (op.kind === 'watch') return this.watch(node, op, reply);
    const r = this.execute(op);
    const changed = op.kind === 'compare-and-swap' && r.kind === 'committed' && op.puts.length > 0;
    const once = changed && this.loseNextAnswer;
    if (once) this.loseNextAnswer = false;
    if (once || ((changed || op.kind === 'renew-lease') && this.losesAnswer?.(node, op) === true)) {
      this.answersLost++;
    } else reply(r);
    this.wake();
  }

  /** During an outage it waits on: nothing is carried out before the end. */
  private carryOutLate(
    node: string,
    no: number,
    op: Extract<StoreRequest, { kind: 'compare-and-swap' }>,
  ): void {
    if (this.down) return this.place.after(1000, () => this.carryOutLate(node, no, op));
    this.expire();
    const r = this.execute(op);
    if (r.kind === 'committed' && (this.newest.get(node) ?? 0) > no) this.lateAfterNewer++;
    this.wake();
  }

  private expire(): void {
    if (this.down) return;
    for (const [id, h] of this.holds) if (h.ends < this.place.now) this.endHold(id);
  }

  private endHold(id: number): void {
    if (this.holds.delete(id)) this.onChange?.({ hold: id, ttlMs: null });
    for (const [key, v] of this.keys) {
      if (v.hold !== id) continue;
      this.keys.delete(key);
      this.changed(key, null, ++this.revision);
    }
  }

  private changed(key: string, item: StoreItem | null, revision: number): void {
    this.log.push({ key, item, revision });
    this.onChange?.({ key, kept: item === null ? null : this.keys.get(key)!, revision });
  }

  /** Begins with what an earlier one held, as after an outage: holds have their full time, older watches read again. */
  restore(revision: number, keys: Iterable<[string, StoredEntry]>, holds: Iterable<[number, number]>): void {
    this.revision = revision;
    this.forgotten = revision;
    for (const [key, kept] of keys) this.keys.set(key, kept);
    for (const [id, ttl] of holds) {
      this.holds.set(id, { ttl, ends: this.place.now + ttl });
      this.nextHold = Math.max(this.nextHold, id + 1);
      this.place.after(ttl + 50, () => this.poll());
    }
  }

  private wake(): void {
    const over = this.log.length - KEPT_CHANGES;
    if (over > KEPT_CHANGES) this.forgotten = this.log.splice(0, over).at(-1)!.revision;
    this.watches = this.watches.filter((w) => !w());
  }

  private item(key: string): StoreItem {
    const v = this.keys.get(key)!;
    return { key, value: structuredClone(v.value), revision: v.revision as Revision };
  }

  private execute(op: Exclude<StoreRequest, { kind: 'watch' }>): StoreReply {
    switch (op.kind) {
      case 'get':
        return this.keys.has(op.key) ? { kind: 'item', item: this.item(op.key) } : { kind: 'missing' };
      case 'list': {
        const names = [...this.keys.keys()]
          .filter((k) => k.startsWith(op.prefix) && (op.after === null || k > op.after))
          .sort();
        return {
          kind: 'items',
          items: names.map((k) => this.item(k)),
          more: false,
          revision: this.revision as Revision,
        };
      }
      case 'grant-lease': {
        const id = this.nextHold++;
        this.holds.set(id, { ttl: op.ttlMs, ends: this.place.now + op.ttlMs });
        this.onChange?.({ hold: id, ttlMs: op.ttlMs });
        this.place.after(op.ttlMs + 50, () => this.poll());
        return { kind: 'lease-granted', lease: id as StoreLeaseId };
      }
      case 'renew-lease': {
        const h = this.holds.get(op.lease);
        if (h === undefined) return { kind: 'missing' };
        h.ends = this.place.now + h.ttl;
        this.place.after(h.ttl + 50, () => this.poll());
        return { kind: 'ok' };
      }
      case 'revoke-lease':
        this.endHold(op.lease);
        return { kind: 'ok' };
      case 'compare-and-swap':
        return this.commit(op);
    }
  }

  private poll(): void {
    this.expire();
    this.wake();
  }

  private commit(op: Extract<StoreRequest, { kind: 'compare-and-swap' }>): StoreReply {
    const { limits } = this;
    if (limits !== null && op.puts.length + op.deletes.length > limits.txnOps)
      return { kind: 'rejected', reason: 'too many operations' };
    if (limits !== null && op.puts.some((p) => JSON.stringify(p.value).length > limits.valueBytes))
      return { kind: 'rejected', reason: 'the value is too large' };
    const failed = op.conditions
      .filter((c) => (this.keys.get(c.key)?.revision ?? 0) !== c.revision)
      .map((c) => c.key);
    if (failed.length > 0) return { kind: 'conflict', failed };
    if (op.puts.some((p) => p.lease !== undefined && !this.holds.has(p.lease)))
      return { kind: 'rejected', reason: 'no such lease' };
    if (op.puts.length + op.deletes.length > 0) this.revision++;
    for (const p of op.puts) {
      this.keys.set(p.key, {
        value: structuredClone(p.value),
        revision: this.revision,
        hold: p.lease ?? null,
      });
      this.changed(p.key, this.item(p.key), this.revision);
    }
    for (const key of op.deletes) if (this.keys.delete(key)) this.changed(key, null, this.revision);
    return { kind: 'committed', revision: this.revision as Revision };
  }

  private watch(
    node: string,
    op: Extract<StoreRequest, { kind: 'watch' }>,
    reply: (r: StoreReply) => void,
  ): void {
    if (op.after < this.forgotten) return reply({ kind: 'too-old' });
    const ends = this.place.now + op.waitMs;
    const look = (): boolean => {
      // The newest are last, and most watches are up to date.
      let from = this.log.length;
      while (from > 0 && this.log[from - 1]!.revision > op.after) from--;
      const fresh = this.log.slice(from).filter((l) => l.key.startsWith(op.prefix));
      // A node that is refused alone waits as in an outage.
      if (this.down || this.refused.has(node) || (fresh.length === 0 && this.place.now < ends)) return false;
      const last = new Map(fresh.map((l) => [l.key, l.item]));
      const puts = [...last.values()].filter((i): i is StoreItem => i !== null);
      const deletes = [...last].filter(([, i]) => i === null).map(([k]) => k);
      const news: StoreReply = { kind: 'changes', revision: this.revision as Revision, puts, deletes };
      if (this.watchLagMs === 0) reply(news);
      else this.place.after(this.watchLagMs, () => reply(news));
      return true;
    };
    if (!look()) this.watches.push(look);
    this.place.after(op.waitMs + 1, () => this.wake());
  }
}
