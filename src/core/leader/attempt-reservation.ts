// Reserves attempt numbers for a term in the store, before the term runs out of them.
import { addMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import type { AttemptNumbers, AttemptRange } from '../scheduling/attempt-numbers.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { ATTEMPT_RESERVATION_KEY } from '../storage/keys.ts';
import {
  type AttemptReservationRecord,
  decodeAttemptReservation,
  encodeAttemptReservation,
  NO_ATTEMPTS_RESERVED,
} from '../storage/shard-records.ts';
import { SharedRecord } from '../storage/shared-record.ts';

/** A range is reserved when fewer numbers remain: enough for several scheduling cycles. */
const LOW_REMAINING = 1000;
const RETRY_DELAY_MS = 250;
/** Delay after a record that an operator has to restore. */
const INVALID_RECORD_DELAY_MS = 10_000;

/** Dependencies of {@link AttemptReservation}. */
export interface AttemptReservationDependencies {
  io: ControllerIo;
  writer: FencedWriter;
  attempts: AttemptNumbers;
}

/**
 * Reserves ranges one after the other. The record of what is reserved is written under the term and on
 * condition that it is the one that was read, so no two terms get the same numbers, however late a write is
 * carried out.
 */
export class AttemptReservation {
  private isReserving = false;
  private retryAt: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly attempts: AttemptNumbers;

  constructor(dependencies: AttemptReservationDependencies) {
    this.io = dependencies.io;
    this.writer = dependencies.writer;
    this.attempts = dependencies.attempts;
  }

  /** Reserves a range if few numbers remain. */
  tick(): void {
    if (this.isReserving || this.io.now < this.retryAt || this.attempts.remaining >= LOW_REMAINING) return;
    this.isReserving = true;
    this.io.sendStoreRequest({ kind: 'get', key: ATTEMPT_RESERVATION_KEY }, StorePriority.leader, (reply) =>
      this.onRead(reply),
    );
  }

  private onRead(reply: StoreReply): void {
    if (reply.kind === 'item') this.reserveAfter(decodeAttemptReservation(reply.item));
    else if (reply.kind === 'missing') this.reserveAfter(NO_ATTEMPTS_RESERVED);
    else this.end();
  }

  /** Reserves the range after the reserved ones. Without a valid record, or numbers left, none is. */
  private reserveAfter(reserved: AttemptReservationRecord | null): void {
    const range = reserved === null ? null : this.attempts.nextRange(reserved.end);
    if (reserved === null || range === null) {
      const key = ATTEMPT_RESERVATION_KEY;
      this.io.log('error', 'no attempt numbers can be reserved; nothing is started', { key });
      this.end(INVALID_RECORD_DELAY_MS);
      return;
    }
    this.record(range, reserved.revision);
  }

  private record(range: AttemptRange, revision: Revision): void {
    const record = new SharedRecord(this.writer, ATTEMPT_RESERVATION_KEY, revision);
    record.write(encodeAttemptReservation(range.end), WritePriority.machineRegistry, (isOnRecord) => {
      if (isOnRecord) this.onRecorded(range);
      this.end();
    });
  }

  private onRecorded(range: AttemptRange): void {
    this.attempts.add(range);
    this.io.log('info', 'attempt numbers reserved', { from: String(range.start), to: String(range.end) });
  }

  private end(retryDelayMs = RETRY_DELAY_MS): void {
    this.isReserving = false;
    this.retryAt = addMs(this.io.now, retryDelayMs);
  }
}
