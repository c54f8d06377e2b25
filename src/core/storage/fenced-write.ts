// A write of the leader, and how it ends; see fenced-writer.ts, which carries writes out.
import type { Revision } from '../../types/index.ts';
import type { StoreCondition, StoreItem, StorePut } from '../base/model.ts';

/** The leader key and its revision under this term: a condition of all that the leader writes. */
export type FencingCondition = StoreCondition;

/** How a write has ended. */
export type WriteResult =
  | { kind: 'ok'; revision: Revision }
  /** The `verifyKey` holds something else than this write would have left. */
  | { kind: 'conflict'; item: StoreItem | null }
  /** The store does not take it, on its own or with others: too large, or malformed. */
  | { kind: 'rejected' }
  /** Another controller was elected; whether it was carried out is not known. */
  | { kind: 'lost' };

/**
 * What is known of a write that has not ended: nothing of it can be on record; a copy is on its way; or a
 * copy was never answered, and may have been carried out or be carried out later, until a newer copy is
 * answered.
 */
export type WriteProgress = 'waiting' | 'sent' | 'unanswered';

/** A write of the leader: carried out in whole, in one transaction with others. */
export interface FencedWrite {
  conditions: StoreCondition[];
  puts: StorePut[];
  deletes: string[];
  /** The key that tells whether a write without a reply was carried out; its value carries the `writeId`. */
  verifyKey: string;
  /**
   * Idempotency key, unique to the write; null if it leaves no value with one: then no value means that it
   * was carried out.
   */
  writeId: string | null;
  /** Smaller goes first; see {@link WritePriority}. */
  priority: number;
  /** Among writes of the same priority: smaller goes first, as if each team's writes took turns. */
  turn?: number;
  onResult: (result: WriteResult) => void;
  /**
   * Sent in a transaction of its own. Set by the writer when a transaction was rejected, so that it alone
   * fails.
   */
  alone?: boolean;
  /** Kept by the writer. */
  progress?: WriteProgress;
}

/**
 * The order of writes that wait. Users wait for cancellations and acceptances; tasks wait for final states
 * with dependents and for the machine registry. Machines go before acceptances: one change registers up to a
 * few hundred, and nothing starts on them before; behind the acceptances of a burst they would be idle until
 * the last job was accepted.
 */
export const WritePriority = {
  cancel: 0,
  machineRegistry: 1,
  accept: 2,
  finalWithDependents: 3,
  final: 4,
  sharedRecord: 5,
} as const;

/** The last copy was not carried out; an earlier one without a reply may have been. */
export function markNotCarriedOut(write: FencedWrite): void {
  if (write.progress === 'sent') write.progress = 'waiting';
}
