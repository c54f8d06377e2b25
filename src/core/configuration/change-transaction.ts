// The one transaction that carries out a change of the configuration, and the one before the first change.
// Pure; src/cli sends them.
import { SwiftfordError } from '../../types/errors.ts';
import type { Revision } from '../../types/index.ts';
import type { StoreCondition, StoreLimits, StorePut } from '../base/model.ts';
import { jsonBytes } from '../storage/json-size.ts';
import { CONFIG_HEAD_KEY, CONFIG_NOTIFICATION_KEY, LEADER_KEY } from '../storage/keys.ts';
import {
  type DocumentChange,
  HISTORY_LENGTH,
  type HistoryEntry,
  historyKey,
  historyValue,
} from './change-history.ts';
import { documentValue, headValue } from './document-codec.ts';
import type { ConfigSnapshot } from './document-types.ts';

/** All documents are read in one page, which is atomic. */
const MAX_DOCUMENTS = 400;
/**
 * Beside the documents a change writes the head, its copy and its history, and deletes the oldest of that.
 */
const OTHER_CHANGES = 4;

/** Too many documents or too much text for one transaction; the message says which, in one line. */
export class ChangeTooLargeError extends SwiftfordError {
  readonly code = 'CHANGE_TOO_LARGE';
}

/** What a compare-and-swap does on its conditions. */
export interface StoreTransaction {
  conditions: StoreCondition[];
  puts: StorePut[];
  deletes: string[];
}

/** Tells the leader that documents are to come: the leader key moves before the first of them is written. */
export function preparation(id: string, at: number): StoreTransaction {
  const absent = 0 as Revision;
  const value = headValue({ number: 0, id, at });
  return {
    conditions: [
      { key: CONFIG_HEAD_KEY, revision: absent },
      { key: CONFIG_NOTIFICATION_KEY, revision: absent },
    ],
    puts: [
      { key: CONFIG_HEAD_KEY, value },
      { key: CONFIG_NOTIFICATION_KEY, value },
    ],
    deletes: [],
  };
}

/**
 * The one transaction of a change: conditional on the newest change being the one that it was planned
 * against, and on the leader key having moved to the one that versions without documents don't know. `at`:
 * wall time in milliseconds; `migratedAt`: the revision of the record that says that the key has moved.
 * Throws {@link ChangeTooLargeError}.
 */
export function transactionOf(
  snapshot: ConfigSnapshot,
  changes: readonly DocumentChange[],
  id: string,
  at: number,
  migratedAt: Revision,
  limits: StoreLimits,
): StoreTransaction {
  const number = (snapshot.head?.number ?? 0) + 1;
  const entry: HistoryEntry = { number, id, at, changes: [...changes] };
  checkSize(snapshot, entry, limits);
  const head = headValue({ number, id, at });
  const puts: StorePut[] = [
    { key: CONFIG_HEAD_KEY, value: head },
    { key: CONFIG_NOTIFICATION_KEY, value: head },
    { key: historyKey(number), value: historyValue(entry) },
  ];
  const deletes: string[] = [];
  for (const { key, after } of changes) {
    if (after === null) deletes.push(key);
    else puts.push({ key, value: documentValue(after) });
  }
  if (number > HISTORY_LENGTH) deletes.push(historyKey(number - HISTORY_LENGTH));
  const conditions = [
    { key: CONFIG_HEAD_KEY, revision: snapshot.revision },
    { key: CONFIG_NOTIFICATION_KEY, revision: snapshot.revision },
    { key: LEADER_KEY, revision: migratedAt },
  ];
  return { conditions, puts, deletes };
}

function checkSize(snapshot: ConfigSnapshot, entry: HistoryEntry, limits: StoreLimits): void {
  const { changes } = entry;
  const maxChanges = limits.maxTransactionOps - OTHER_CHANGES;
  if (changes.length > maxChanges)
    throw new ChangeTooLargeError(`it touches ${changes.length} documents, of ${maxChanges} in one change`);
  const added = changes.filter((change) => change.before === null).length;
  if (snapshot.documents.length + added > MAX_DOCUMENTS)
    throw new ChangeTooLargeError(`there would be more than ${MAX_DOCUMENTS} documents`);
  const maxBytes = limits.maxValueKb * 1024;
  const sizes = [entry, ...changes.map((change) => change.after)].map(jsonBytes);
  if (sizes.some((size) => size > maxBytes))
    throw new ChangeTooLargeError(
      `a record of it would be larger than ${limits.maxValueKb} KiB: make several changes`,
    );
}
