// Builds the transaction that makes a change of the configuration, and the one that precedes the first
// change. Pure functions; src/cli sends the transactions.
import { SwiftfordError } from '../../types/errors.ts';
import { NO_REVISION, type Revision } from '../../types/index.ts';
import type { StoreCondition, StoreLimits, StorePut } from '../base/model.ts';
import { jsonBytes, TRANSACTION_MAX_BYTES } from '../storage/json-size.ts';
import { CONFIG_HEAD_KEY, CONFIG_NOTIFICATION_KEY, LEADER_KEY } from '../storage/keys.ts';
import {
  type DocumentChange,
  encodeHistoryEntry,
  HISTORY_LENGTH,
  type HistoryEntry,
  historyKey,
} from './change-history.ts';
import { encodeDocument, encodeHead } from './document-codec.ts';
import type { ConfigSnapshot } from './document-types.ts';

/** Limits the documents to one page of a listing, as only a single page is read atomically. */
const MAX_DOCUMENTS = 400;
/**
 * Operations of a transaction other than those for documents: it writes the head, its copy and the history
 * entry, and deletes the oldest history entry.
 */
const OTHER_TRANSACTION_OPS = 4;

/** The change exceeds a limit of one transaction; the message is one line and names the limit. */
export class ChangeTooLargeError extends SwiftfordError {
  readonly code = 'CHANGE_TOO_LARGE';
}

/** A compare-and-swap: writes and deletions that are carried out if all conditions hold. */
export interface StoreTransaction {
  conditions: StoreCondition[];
  puts: StorePut[];
  deletes: string[];
}

/**
 * The transaction before the first change: it announces to the leader that documents will be written. The
 * leader key has to move before the first document is written.
 */
export function preparationTransaction(id: string, at: number): StoreTransaction {
  const value = encodeHead({ number: 0, id, at });
  return {
    conditions: [
      { key: CONFIG_HEAD_KEY, revision: NO_REVISION },
      { key: CONFIG_NOTIFICATION_KEY, revision: NO_REVISION },
    ],
    puts: [
      { key: CONFIG_HEAD_KEY, value },
      { key: CONFIG_NOTIFICATION_KEY, value },
    ],
    deletes: [],
  };
}

/**
 * The transaction of a change. Its conditions: the newest change is still that of the snapshot, and the
 * leader key has moved to the key that program versions without support for documents do not use. `at`: wall
 * time in milliseconds. `leaderKeyRevision`: the revision of the record under the first leader key, which
 * states that the key has moved. Throws {@link ChangeTooLargeError}.
 */
export function changeTransaction(
  snapshot: ConfigSnapshot,
  changes: readonly DocumentChange[],
  id: string,
  at: number,
  leaderKeyRevision: Revision,
  limits: StoreLimits,
): StoreTransaction {
  const number = (snapshot.head?.number ?? 0) + 1;
  const entry: HistoryEntry = { number, id, at, changes: [...changes] };
  checkSize(snapshot, entry, limits);
  const head = encodeHead({ number, id, at });
  const puts: StorePut[] = [
    { key: CONFIG_HEAD_KEY, value: head },
    { key: CONFIG_NOTIFICATION_KEY, value: head },
    { key: historyKey(number), value: encodeHistoryEntry(entry) },
  ];
  const deletes: string[] = [];
  for (const { key, after } of changes) {
    if (after === null) deletes.push(key);
    else puts.push({ key, value: encodeDocument(after) });
  }
  if (number > HISTORY_LENGTH) deletes.push(historyKey(number - HISTORY_LENGTH));
  const conditions = [
    { key: CONFIG_HEAD_KEY, revision: snapshot.revision },
    { key: CONFIG_NOTIFICATION_KEY, revision: snapshot.revision },
    { key: LEADER_KEY, revision: leaderKeyRevision },
  ];
  return { conditions, puts, deletes };
}

function checkSize(snapshot: ConfigSnapshot, entry: HistoryEntry, limits: StoreLimits): void {
  const { changes } = entry;
  const maxChanges = limits.maxTransactionOps - OTHER_TRANSACTION_OPS;
  if (changes.length > maxChanges)
    throw new ChangeTooLargeError(
      `the change affects ${changes.length} documents; one change may affect at most ${maxChanges}`,
    );
  const added = changes.filter((change) => change.before === null).length;
  const existing = snapshot.documents.length;
  if (existing + added > MAX_DOCUMENTS)
    throw new ChangeTooLargeError(
      `the change adds ${added} documents to the existing ${existing}; at most ${MAX_DOCUMENTS} are allowed`,
    );
  const sizes = [entry, ...changes.map((change) => change.after)].map(jsonBytes);
  const totalSize = sizes.reduce((sum, size) => sum + size, 0);
  if (totalSize > TRANSACTION_MAX_BYTES)
    throw new ChangeTooLargeError(
      `the change would be larger than ${TRANSACTION_MAX_BYTES / 1024} KiB; split it into several changes`,
    );
  const maxBytes = limits.maxValueKb * 1024;
  if (sizes.some((size) => size > maxBytes))
    throw new ChangeTooLargeError(
      `a record of the change would be larger than ${limits.maxValueKb} KiB; split it into several changes`,
    );
}
