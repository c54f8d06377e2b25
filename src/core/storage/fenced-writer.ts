// Carries out the leader's writes: batched into one transaction at a time, each conditional on the term.
import { addMs, elapsedMs, type Instant, LONG_AGO, type Millis, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreLimits, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import {
  type FencedWrite,
  type FencingCondition,
  markNotCarriedOut,
  WritePriority,
  type WriteResult,
} from './fenced-write.ts';
import { jsonBytes } from './json-size.ts';
import { ReplyTimeout } from './reply-timeout.ts';
import { batchSize, countChanges, insertByPriority } from './write-batch.ts';
import { writeIdOf } from './write-id.ts';
import { WriteRate } from './write-rate.ts';

export { type FencedWrite, type FencingCondition, jsonBytes, WritePriority, type WriteResult };

const RETRY_DELAY_MS = 250;

/** The writes of one term. A write ends only when it is known what became of it, or with the term. */
export class FencedWriter {
  /** Since when the store has refused or not answered; null while it serves. */
  unavailableSince: Instant | null = null;
  readonly limits: StoreLimits;
  private queue: FencedWrite[] = [];
  private inFlight: FencedWrite[] | null = null;
  private notBefore: Instant = LONG_AGO;
  private writeIds = 0;
  private readonly replyTimeout = new ReplyTimeout();
  private readonly rate: WriteRate;

  /** `onLost` is called when a write finds that the term is over. */
  constructor(
    private readonly io: ControllerIo,
    settings: Settings,
    private readonly fencingCondition: FencingCondition,
    private readonly onLost: () => void,
  ) {
    this.limits = settings.store;
    this.rate = new WriteRate(settings);
  }

  /** Bytes that one value may have. */
  get maxValueBytes(): number {
    return this.limits.maxValueKb * 1024;
  }

  /** Number of writes that have not ended. */
  get backlog(): number {
    return this.queue.length + (this.inFlight?.length ?? 0);
  }

  /** A new idempotency key, unique across terms. */
  nextWriteId(): string {
    return `${this.fencingCondition.revision}.${++this.writeIds}`;
  }

  /** Queues a write; its `onResult` is called once. */
  write(write: FencedWrite): void {
    write.progress = 'waiting';
    insertByPriority(this.queue, write);
    this.sendNext();
  }

  /** Sends what waits for its turn, for the rate or for a retry. */
  tick(): void {
    this.rate.tick(this.io.now);
    this.sendNext();
  }

  private sendNext(): void {
    const { io } = this;
    if (this.inFlight !== null || this.queue.length === 0 || io.now < this.notBefore) return;
    const size = batchSize(this.queue, this.limits);
    const batch = this.queue.slice(0, size);
    if (!this.rate.take(io.now, countChanges(batch))) return;
    this.queue = this.queue.slice(size);
    this.send(batch);
  }

  private send(batch: FencedWrite[]): void {
    this.inFlight = batch;
    const sentAt = this.io.now;
    for (const write of batch) if (write.progress === 'waiting') write.progress = 'sent';
    const conditions = [this.fencingCondition, ...batch.flatMap((write) => write.conditions)];
    const puts = batch.flatMap((write) => write.puts);
    const deletes = batch.flatMap((write) => write.deletes);
    this.io.store(
      { kind: 'compare-and-swap', conditions, puts, deletes },
      StorePriority.leader,
      (reply) => this.onReply(batch, reply, elapsedMs(this.io.now, sentAt)),
      this.replyTimeout.ms,
    );
  }

  private onReply(batch: FencedWrite[], reply: StoreReply, tookMs: Millis): void {
    if (reply.kind === 'no-answer') this.replyTimeout.onNoReply();
    else this.replyTimeout.onReply(tookMs);
    this.inFlight = null;
    if (reply.kind === 'committed') this.onCommitted(batch, reply.revision);
    else if (reply.kind === 'conflict') this.onConflict(batch, reply.failed);
    else if (reply.kind === 'rejected') this.onRejected(batch, reply.reason);
    else this.retry(batch, reply);
    this.sendNext();
  }

  private onCommitted(batch: FencedWrite[], revision: Revision): void {
    this.unavailableSince = null;
    for (const write of batch) write.onResult({ kind: 'ok', revision });
  }

  /**
   * Refused or unanswered: the same batch again. Its conditions let at most one of the copies through,
   * however late the first one is carried out; a conflict is then resolved by reading.
   */
  private retry(batch: FencedWrite[], reply: StoreReply): void {
    const isOverRate = reply.kind === 'refused' && reply.busy;
    if (isOverRate) this.rate.reduce(this.io.now);
    else this.unavailableSince ??= this.io.now;
    for (const write of batch) {
      if (reply.kind === 'no-answer') write.progress = 'unanswered';
      else markNotCarriedOut(write);
    }
    this.queue.unshift(...batch);
    this.notBefore = addMs(this.io.now, RETRY_DELAY_MS);
  }

  /** One bad write must not fail the others of its transaction: each is sent again in one of its own. */
  private onRejected(batch: FencedWrite[], reason: string): void {
    if (batch.length > 1) {
      for (const write of batch) {
        write.alone = true;
        markNotCarriedOut(write);
      }
      this.queue.unshift(...batch);
      return;
    }
    for (const write of batch) {
      this.io.log('error', 'state service rejected a write', { reason, key: write.verifyKey });
      write.onResult({ kind: 'rejected' });
    }
  }

  private onConflict(batch: FencedWrite[], failedKeys: string[]): void {
    this.unavailableSince = null;
    if (failedKeys.includes(this.fencingCondition.key)) {
      for (const write of [...batch, ...this.queue.splice(0)]) write.onResult({ kind: 'lost' });
      this.onLost();
      return;
    }
    const failed = new Set(failedKeys);
    const unaffected: FencedWrite[] = [];
    for (const write of batch) {
      if (write.conditions.some((condition) => failed.has(condition.key))) this.settleConflict(write);
      else {
        markNotCarriedOut(write);
        unaffected.push(write);
      }
    }
    this.queue.unshift(...unaffected);
  }

  /**
   * A condition of the write failed: either an earlier copy of it was carried out, or something else is on
   * record.
   */
  private settleConflict(write: FencedWrite): void {
    this.io.store({ kind: 'get', key: write.verifyKey }, StorePriority.leader, (reply) => {
      const result = conflictResult(write, reply);
      if (result !== null) {
        write.onResult(result);
        return;
      }
      this.notBefore = addMs(this.io.now, RETRY_DELAY_MS);
      this.queue.unshift(write);
    });
  }
}

/**
 * What became of a write whose condition failed, by what its `verifyKey` holds; null if that could not be
 * read.
 */
function conflictResult(write: FencedWrite, reply: StoreReply): WriteResult | null {
  const { writeId } = write;
  if (reply.kind === 'item') {
    const { item } = reply;
    const wasCarriedOut = writeId !== null && writeIdOf(item) === writeId;
    return wasCarriedOut ? { kind: 'ok', revision: item.revision } : { kind: 'conflict', item };
  }
  if (reply.kind !== 'missing') return null;
  return writeId === null ? { kind: 'ok', revision: 0 as Revision } : { kind: 'conflict', item: null };
}
