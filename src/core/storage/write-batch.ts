// Which of the waiting writes go into the next transaction, and in what order they wait.
import type { StoreLimits } from '../base/model.ts';
import type { FencedWrite } from './fenced-write.ts';
import { jsonBytes, TRANSACTION_MAX_BYTES } from './json-size.ts';

const MAX_CONDITIONS_PER_OP = 4;
/** What a change or condition takes in a request beside its key and value. */
const OVERHEAD_BYTES = 32;

/** Puts a write before all that wait for less, and behind those that wait for as much. */
export function insertByPriority(queue: FencedWrite[], write: FencedWrite): void {
  let position = queue.length;
  while (position > 0 && goesAfter(queue[position - 1]!, write)) position--;
  queue.splice(position, 0, write);
}

function goesAfter(first: FencedWrite, second: FencedWrite): boolean {
  if (first.priority !== second.priority) return first.priority > second.priority;
  return (first.turn ?? 0) > (second.turn ?? 0);
}

/**
 * How many writes at the head of the queue fit one transaction; at least one of a queue that is not empty.
 */
export function batchSize(queue: readonly FencedWrite[], limits: StoreLimits): number {
  let changes = 0;
  let bytes = 0;
  let conditions = 1;
  let size = 0;
  for (const write of queue) {
    changes += changesOf(write);
    conditions += write.conditions.length;
    bytes += bytesOf(write);
    const fits =
      changes <= limits.maxTransactionOps &&
      conditions <= limits.maxTransactionOps * MAX_CONDITIONS_PER_OP &&
      bytes <= TRANSACTION_MAX_BYTES;
    if (size > 0 && (!fits || write.alone)) break;
    size++;
    if (write.alone) break;
  }
  return size;
}

/** Number of keys that the writes put or delete. */
export const countChanges = (batch: readonly FencedWrite[]): number =>
  batch.reduce((sum, write) => sum + changesOf(write), 0);

const changesOf = (write: FencedWrite): number => write.puts.length + write.deletes.length;

function bytesOf(write: FencedWrite): number {
  let bytes = 0;
  for (const put of write.puts) bytes += jsonBytes(put.value) + put.key.length + OVERHEAD_BYTES;
  for (const key of write.deletes) bytes += key.length + OVERHEAD_BYTES;
  for (const { key } of write.conditions) bytes += key.length + OVERHEAD_BYTES;
  return bytes;
}
