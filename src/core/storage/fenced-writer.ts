// Executes the leader's writes in batches: one transaction at a time, each conditional on the term.
import {
  addMs,
  elapsedMs,
  type Instant,
  LONG_AGO,
  type Millis,
  NO_REVISION,
  type Revision,
} from '../../types/index.ts';
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
import { jsonBytes, maxValueBytes } from './json-size.ts';
import { ReplyTimeout } from './reply-timeout.ts';
import { batchSize, countChanges, insertByPriority } from './write-batch.ts';
import { writeIdOf } from './write-id.ts';
import { WriteRate } from './write-rate.ts';

export { type FencedWrite, type FencingCondition, jsonBytes, WritePriority, type WriteResult };

const RETRY_DELAY_MS = 250;

/** Executes the writes of one term. A write gets its result once its outcome is known or the term is over. */
export class FencedWriter {
  /** Since when the store has refused requests or not replied; null while it serves them. */
  unavailableSince: Instant | null = null;
  readonly limits: StoreLimits;
  private queue: FencedWrite[] = [];
  private inFlight: FencedWrite[] | null = null;
  private nextSendAt: Instant = LONG_AGO;
  private lastWriteNumber = 0;
  private readonly replyTimeout = new ReplyTimeout();
  private readonly rate: WriteRate;

  /** `onSuperseded` is called when a write fails because the term is over. */
  constructor(
    private readonly io: ControllerIo,
    settings: Settings,
    private readonly fencingCondition: FencingCondition,
    private readonly onSuperseded: () => void,
  ) {
    this.limits = settings.store;
    this.rate = new WriteRate(settings);
  }

  /** Largest size of a value, in bytes. */
  get maxValueBytes(): number {
    return maxValueBytes(this.limits);
  }

  /** Number of writes that are queued or in flight. */
  get backlog(): number {
    return this.queue.length + (this.inFlight?.length ?? 0);
  }

  /** A new idempotency key, unique across terms. */
  nextWriteId(): string {
    return `${this.fencingCondition.revision}.${++this.lastWriteNumber}`;
  }

  /** Queues a write; its `onResult` is called once. */
  write(write: FencedWrite): void {
    write.progress = 'waiting';
    insertByPriority(this.queue, write);
    this.sendNext();
  }

  /** Sends queued writes that waited for the rate limit or for the retry delay. */
  tick(): void {
    this.rate.tick(this.io.now);
    this.sendNext();
  }

  private sendNext(): void {
    const { io } = this;
    if (this.inFlight !== null || this.queue.length === 0 || io.now < this.nextSendAt) return;
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
    this.io.sendStoreRequest(
      { kind: 'compare-and-swap', conditions, puts, deletes },
      StorePriority.leader,
      (reply) => this.onReply(batch, reply, elapsedMs(this.io.now, sentAt)),
      this.replyTimeout.ms,
    );
  }

  private onReply(batch: FencedWrite[], reply: StoreReply, replyTimeMs: Millis): void {
    if (reply.kind === 'no-answer') this.replyTimeout.onNoReply();
    else this.replyTimeout.onReply(replyTimeMs);
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
   * Queues a batch again that was refused or got no reply. Its conditions allow only one of the copies to be
   * carried out, however late the first one is; the conflict of another copy is resolved by reading.
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
    this.nextSendAt = addMs(this.io.now, RETRY_DELAY_MS);
  }

  /**
   * Sends each write of a rejected transaction again in a transaction of its own, so that one faulty write
   * does not fail the others.
   */
  private onRejected(batch: FencedWrite[], reason: string): void {
    if (batch.length > 1) {
      for (const write of batch) {
        write.needsOwnTransaction = true;
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
      this.onSuperseded();
      return;
    }
    const failed = new Set(failedKeys);
    const unaffected: FencedWrite[] = [];
    for (const write of batch) {
      if (write.conditions.some((condition) => failed.has(condition.key))) this.resolveConflict(write);
      else {
        markNotCarriedOut(write);
        unaffected.push(write);
      }
    }
    this.queue.unshift(...unaffected);
  }

  /**
   * Resolves a failed condition of the write by reading: either an earlier copy of the write was carried out,
   * or another value is stored.
   */
  private resolveConflict(write: FencedWrite): void {
    this.io.sendStoreRequest({ kind: 'get', key: write.verifyKey }, StorePriority.leader, (reply) => {
      const result = conflictResult(write, reply);
      if (result !== null) {
        write.onResult(result);
        return;
      }
      this.nextSendAt = addMs(this.io.now, RETRY_DELAY_MS);
      this.queue.unshift(write);
    });
  }
}

/**
 * The result of a write whose condition failed, by the value of its `verifyKey`; null if that could not be
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
  return writeId === null ? { kind: 'ok', revision: NO_REVISION } : { kind: 'conflict', item: null };
}
