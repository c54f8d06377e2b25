// The owner's writes: batched into one transaction at a time, each conditional on the term.
import { addMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreCondition, StoreItem, StorePut, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { TokenBucket } from '../base/token-bucket.ts';

/** The record that names the owner, and its revision under this term: the condition of all that the owner writes. */
export type FencingCondition = StoreCondition;

export type WriteResult =
  | { kind: 'ok'; revision: Revision }
  /** The key of `check` holds something else than what this write would have left. */
  | { kind: 'conflict'; item: StoreItem | null }
  /** The state service will not have it, on its own or with others: too large, or malformed. */
  | { kind: 'rejected' }
  | { kind: 'lost' };

export interface FencedWrite {
  conditions: StoreCondition[];
  puts: StorePut[];
  deletes: string[];
  /** The key that tells whether a write without an answer went through; its value carries `w`, unique to the write. */
  verifyKey: string;
  writeId: string | null;
  /** Smaller goes first; see Priorities. */
  priority: number;
  /** Among writes of the same priority: smaller goes first, as if each team's writes took turns. */
  turn?: number;
  onResult: (r: WriteResult) => void;
  /** Its transaction was rejected along with others: it is sent on its own, so that it alone fails. */
  alone?: boolean;
  /**
   * What is known of it: nothing of it can be on record; a copy is under way; or a copy was never answered, and may
   * have been carried out or be carried out later, until a newer copy is answered. Kept by the store.
   */
  progress?: 'waiting' | 'sent' | 'unanswered';
}

/**
 * Cancels and acceptances have users waiting; final states that others await and machines on record have tasks waiting.
 * Machines go before acceptances: one change puts up to a few hundred on record, and nothing starts on them before; behind
 * the acceptances of a burst they stood idle until the last job was accepted.
 */
export const WritePriority = {
  cancel: 0,
  machineRegistry: 1,
  accept: 2,
  finalWithDependents: 3,
  final: 4,
  sharedRecord: 5,
} as const;

const MAX_BYTES = 48 * 1024;
const RETRY_MS = 250;
/**
 * How long a transaction is waited for: answers take some milliseconds, now and then a few hundred; and longer while they do.
 * One that is repeated too soon is found on record.
 */
const PATIENCE_MS = 800;
const PATIENCE_MAX_MS = 2000;
const PATIENCE_TIMES = 4;
const PATIENCE_GROWS = 1.6;
/** Part of the region's write budget that the owner uses; others write only while they cannot reach it. */
const WRITE_SHARE = 0.92;
/** After a refusal for too many changes the lower rate is kept for this long. */
const SLOW_MS = 60_000;

export class FencedWriter {
  private queue: FencedWrite[] = [];
  private inFlight: FencedWrite[] | null = null;
  private notBefore: Instant = LONG_AGO;
  private nonces = 0;
  private patienceMs = PATIENCE_MS;
  /** Since when the state service has refused or not answered; null while it serves. */
  unavailableSince: Instant | null = null;
  private readonly writes: TokenBucket;
  private readonly io: ControllerIo;
  private readonly term: FencingCondition;
  readonly limits: Settings['store'];
  private readonly rateNow: number;
  private slowUntil: Instant | null = null;
  private readonly onLost: () => void;

  constructor(io: ControllerIo, settings: Settings, term: FencingCondition, onLost: () => void) {
    this.io = io;
    this.term = term;
    this.limits = settings.store;
    this.onLost = onLost;
    this.rateNow = settings.currentWritesPerS * WRITE_SHARE;
    this.writes = new TokenBucket(
      this.rateNow,
      Math.max(settings.store.writesPerS * WRITE_SHARE, settings.store.maxTransactionOps),
    );
  }

  /** Bytes that one value may have. */
  get maxValueBytes(): number {
    return this.limits.maxValueKb * 1024;
  }

  nextWriteId(): string {
    return `${this.term.revision}.${++this.nonces}`;
  }

  get backlog(): number {
    return this.queue.length + (this.inFlight?.length ?? 0);
  }

  write(w: FencedWrite): void {
    w.progress = 'waiting';
    let at = this.queue.length;
    while (at > 0 && after(this.queue[at - 1]!, w)) at--;
    this.queue.splice(at, 0, w);
    this.pump();
  }

  tick(): void {
    if (this.slowUntil !== null && this.io.now >= this.slowUntil) {
      this.slowUntil = null;
      this.writes.rate = this.rateNow;
    }
    this.pump();
  }

  /** The service grants fewer changes than were made: what waits is written at the rate announced for later. */
  private slowDown(): void {
    this.slowUntil = addMs(this.io.now, SLOW_MS);
    this.writes.rate = this.limits.writesPerS * WRITE_SHARE;
  }

  private pump(): void {
    const { io } = this;
    if (this.inFlight !== null || this.queue.length === 0 || io.now < this.notBefore) return;
    const n = this.batchSize();
    const batch = this.queue.slice(0, n);
    if (!this.writes.take(io.now, countChanges(batch))) return;
    this.queue = this.queue.slice(n);
    this.send(batch);
  }

  private batchSize(): number {
    let changes = 0;
    let bytes = 0;
    let conditions = 1;
    let n = 0;
    for (const w of this.queue) {
      changes += w.puts.length + w.deletes.length;
      conditions += w.conditions.length;
      bytes += sizeOf(w);
      const fits =
        changes <= this.limits.maxTransactionOps &&
        conditions <= this.limits.maxTransactionOps * 4 &&
        bytes <= MAX_BYTES;
      if (n > 0 && (!fits || w.alone)) break;
      n++;
      if (w.alone) break;
    }
    return n;
  }

  private send(batch: FencedWrite[]): void {
    this.inFlight = batch;
    const sentAt = this.io.now;
    for (const w of batch) if (w.progress === 'waiting') w.progress = 'sent';
    const conditions = [this.term, ...batch.flatMap((w) => w.conditions)];
    const puts = batch.flatMap((w) => w.puts);
    const deletes = batch.flatMap((w) => w.deletes);
    this.io.store(
      { kind: 'compare-and-swap', conditions, puts, deletes },
      StorePriority.leader,
      (r) => {
        this.heed(r, this.io.now - sentAt);
        this.onReply(batch, r);
      },
      this.patienceMs,
    );
  }

  /** Only one transaction is under way at a time: one that will never be answered must not hold up the rest for long. */
  private heed(r: StoreReply, tookMs: number): void {
    this.patienceMs =
      r.kind === 'no-answer'
        ? Math.min(PATIENCE_MAX_MS, this.patienceMs * PATIENCE_GROWS)
        : Math.min(PATIENCE_MAX_MS, Math.max(PATIENCE_MS, tookMs * PATIENCE_TIMES));
  }

  private onReply(batch: FencedWrite[], r: StoreReply): void {
    this.inFlight = null;
    if (r.kind === 'committed') {
      this.unavailableSince = null;
      for (const w of batch) w.onResult({ kind: 'ok', revision: r.revision });
    } else if (r.kind === 'conflict') this.onConflict(batch, r.failed);
    else if (r.kind === 'rejected') this.onRejected(batch, r.reason);
    else {
      if (r.kind === 'refused' && r.busy) this.slowDown();
      // Refused or unanswered: the same batch again. Its conditions let at most one of the copies through,
      // however late the first one is applied; a conflict is then resolved by reading.
      if (r.kind !== 'refused' || !r.busy) this.unavailableSince ??= this.io.now;
      for (const w of batch)
        if (r.kind === 'no-answer') w.progress = 'unanswered';
        else notDone(w);
      this.queue.unshift(...batch);
      this.notBefore = addMs(this.io.now, RETRY_MS);
    }
    this.pump();
  }

  /** One bad write must not fail the others of its transaction. */
  private onRejected(batch: FencedWrite[], reason: string): void {
    if (batch.length > 1) {
      for (const w of batch) {
        w.alone = true;
        notDone(w);
      }
      this.queue.unshift(...batch);
      return;
    }
    for (const w of batch) {
      this.io.log('error', 'state service rejected a write', { reason, key: w.verifyKey });
      w.onResult({ kind: 'rejected' });
    }
  }

  private onConflict(batch: FencedWrite[], failed: string[]): void {
    this.unavailableSince = null;
    if (failed.includes(this.term.key)) {
      for (const w of [...batch, ...this.queue.splice(0)]) w.onResult({ kind: 'lost' });
      this.onLost();
      return;
    }
    const bad = new Set(failed);
    const clean: FencedWrite[] = [];
    for (const w of batch) {
      if (w.conditions.some((c) => bad.has(c.key))) this.settle(w);
      else {
        notDone(w);
        clean.push(w);
      }
    }
    this.queue.unshift(...clean);
  }

  /** A write whose condition failed: either its own first copy went through, or something else is there. */
  private settle(w: FencedWrite): void {
    this.io.store({ kind: 'get', key: w.verifyKey }, StorePriority.leader, (r) => {
      if (r.kind === 'item') {
        const mine = w.writeId !== null && (r.item.value as { w?: string } | null)?.w === w.writeId;
        w.onResult(mine ? { kind: 'ok', revision: r.item.revision } : { kind: 'conflict', item: r.item });
      } else if (r.kind === 'missing') {
        if (w.writeId === null) w.onResult({ kind: 'ok', revision: 0 as Revision });
        else w.onResult({ kind: 'conflict', item: null });
      } else {
        this.notBefore = addMs(this.io.now, RETRY_MS);
        this.queue.unshift(w);
      }
    });
  }
}

/** The last copy was not carried out; an earlier one without an answer may have been. */
const notDone = (w: FencedWrite): void => {
  if (w.progress === 'sent') w.progress = 'waiting';
};

const after = (a: FencedWrite, b: FencedWrite): boolean =>
  a.priority > b.priority || (a.priority === b.priority && (a.turn ?? 0) > (b.turn ?? 0));

const countChanges = (batch: FencedWrite[]): number =>
  batch.reduce((n, w) => n + w.puts.length + w.deletes.length, 0);

/** What a value takes in the state service. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

const sizeOf = (w: FencedWrite): number =>
  w.puts.reduce((n, p) => n + jsonBytes(p.value) + p.key.length + 32, 0) +
  [...w.deletes, ...w.conditions.map((c) => c.key)].reduce((n, k) => n + k.length + 32, 0);
