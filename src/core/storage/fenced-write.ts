// The model of a leader's write and of its result; fenced-writer.ts executes these writes.
import type { Revision } from '../../types/index.ts';
import type { StoreCondition, StoreItem, StorePut } from '../base/model.ts';

/** The leader key and its revision under this term: a condition of every write of the leader. */
export type FencingCondition = StoreCondition;

/** The result of a write. */
export type WriteResult =
  | { kind: 'ok'; revision: Revision }
  /** The value of `verifyKey` is not the one that this write would have left. */
  | { kind: 'conflict'; item: StoreItem | null }
  /** The store does not accept the write, not even in a transaction of its own: too large, or malformed. */
  | { kind: 'rejected' }
  /** Another controller was elected; it is not known whether the write was carried out. */
  | { kind: 'lost' };

/**
 * State of a write that has no result yet. `waiting`: no copy of it can have been stored. `sent`: a copy is
 * in flight. `unanswered`: a copy got no reply; until a newer copy is answered, it may have been carried out
 * or may still be carried out.
 */
export type WriteProgress = 'waiting' | 'sent' | 'unanswered';

/** A write of the leader. It is carried out as a whole, in one transaction that may contain other writes. */
export interface FencedWrite {
  conditions: StoreCondition[];
  puts: StorePut[];
  deletes: string[];
  /** The key that shows whether a write without a reply was carried out; its value contains the `writeId`. */
  verifyKey: string;
  /**
   * Idempotency key, unique to the write. Null if the write leaves no value that contains one; the absence of
   * `verifyKey` then means that the write was carried out.
   */
  writeId: string | null;
  /** Writes with a smaller number are sent first; see {@link WritePriority}. */
  priority: number;
  /**
   * Order among writes of the same priority: those with a smaller number are sent first, so that the writes
   * of the teams alternate.
   */
  teamQueuePosition?: number;
  onResult: (result: WriteResult) => void;
  /**
   * Sent in a transaction of its own. The writer sets it for the writes of a rejected transaction, so that
   * only the faulty one of them fails.
   */
  needsOwnTransaction?: boolean;
  /** Maintained by the writer. */
  progress?: WriteProgress;
}

/**
 * The order of queued writes. Users wait for cancellations and acceptances; tasks wait for the final states
 * of jobs with dependents and for the machine registry. The machine registry precedes acceptances: one change
 * registers up to a few hundred machines, and no task starts on them before that. After the acceptances of a
 * burst, the machines would be idle until its last job was accepted.
 */
export const WritePriority = {
  cancel: 0,
  machineRegistry: 1,
  accept: 2,
  finalWithDependents: 3,
  final: 4,
  sharedRecord: 5,
} as const;

/** Records that the last copy was not carried out; an earlier copy without a reply may have been. */
export function markNotCarriedOut(write: FencedWrite): void {
  if (write.progress === 'sent') write.progress = 'waiting';
}
