// The order of the queued writes, and the number of them that go into the next transaction.
import type { StoreLimits } from '../base/model.ts';
import type { FencedWrite } from './fenced-write.ts';
import { jsonBytes, TRANSACTION_MAX_BYTES } from './json-size.ts';

const MAX_CONDITIONS_PER_OP = 4;
/** Bytes that a change or condition takes in a request in addition to its key and value. */
const KEY_OVERHEAD_BYTES = 32;

/**
 * Inserts a write before all writes that are sent after it, and after those of the same order. The order is
 * by priority, then by the position that alternates between teams.
 */
export function insertByPriority(queue: FencedWrite[], write: FencedWrite): void {
  let position = queue.length;
  while (position > 0 && isSentAfter(queue[position - 1]!, write)) position--;
  queue.splice(position, 0, write);
}

function isSentAfter(first: FencedWrite, second: FencedWrite): boolean {
  if (first.priority !== second.priority) return first.priority > second.priority;
  return (first.teamQueuePosition ?? 0) > (second.teamQueuePosition ?? 0);
}

/**
 * Number of writes at the head of the queue that fit into one transaction; at least 1 if the queue is not
 * empty.
 */
export function batchSize(queue: readonly FencedWrite[], limits: StoreLimits): number {
  let changes = 0;
  let bytes = 0;
  let conditions = 1;
  let size = 0;
  for (const write of queue) {
    changes += changeCount(write);
    conditions += write.conditions.length;
    bytes += requestBytes(write);
    const fits =
      changes <= limits.maxTransactionOps &&
      conditions <= limits.maxTransactionOps * MAX_CONDITIONS_PER_OP &&
      bytes <= TRANSACTION_MAX_BYTES;
    if (size > 0 && (!fits || write.needsOwnTransaction)) break;
    size++;
    if (write.needsOwnTransaction) break;
  }
  return size;
}

/** Number of keys that the writes put or delete. */
export const countChanges = (batch: readonly FencedWrite[]): number =>
  batch.reduce((sum, write) => sum + changeCount(write), 0);

const changeCount = (write: FencedWrite): number => write.puts.length + write.deletes.length;

function requestBytes(write: FencedWrite): number {
  let bytes = 0;
  for (const put of write.puts) bytes += jsonBytes(put.value) + put.key.length + KEY_OVERHEAD_BYTES;
  for (const key of write.deletes) bytes += key.length + KEY_OVERHEAD_BYTES;
  for (const { key } of write.conditions) bytes += key.length + KEY_OVERHEAD_BYTES;
  return bytes;
}
