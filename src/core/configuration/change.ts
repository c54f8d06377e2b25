// Computes the document changes that lead to a wanted configuration or back to an earlier one. Re-exports the
// transactions and the history for other modules. Pure functions; src/cli carries changes out.
import type { DocumentChange, HistoryEntry } from './change-history.ts';
import { documentKey, encodeDocument } from './document-codec.ts';
import type { ConfigDocument, ConfigSnapshot } from './document-types.ts';

export {
  type DocumentChange,
  decodeHistoryEntry,
  HISTORY_LENGTH,
  type HistoryEntry,
} from './change-history.ts';
export {
  ChangeTooLargeError,
  changeTransaction,
  preparationTransaction,
  type StoreTransaction,
} from './change-transaction.ts';

/** The changes that lead from the snapshot to the wanted documents; all other documents stay as they are. */
export function planChanges(snapshot: ConfigSnapshot, wanted: readonly ConfigDocument[]): DocumentChange[] {
  return diffDocuments(
    snapshot,
    wanted.map((document) => [documentKey(document), document]),
  );
}

/**
 * The changes that lead from the snapshot back to the documents as of the change with this number; null if
 * the history does not reach back that far.
 */
export function planRollback(
  snapshot: ConfigSnapshot,
  history: readonly HistoryEntry[],
  number: number,
): DocumentChange[] | null {
  const newest = snapshot.head?.number ?? 0;
  const target = new Map<string, ConfigDocument | null>();
  for (let undone = newest; undone > number; undone--) {
    const entry = history.find((candidate) => candidate.number === undone);
    if (entry === undefined) return null;
    for (const change of entry.changes) target.set(change.key, change.before);
  }
  return diffDocuments(snapshot, target);
}

/**
 * The changes for the keys whose document differs from the target; null in `target`: the document is deleted.
 */
function diffDocuments(
  snapshot: ConfigSnapshot,
  target: Iterable<readonly [string, ConfigDocument | null]>,
): DocumentChange[] {
  const present = new Map(snapshot.documents.map((document) => [documentKey(document), document]));
  const changes: DocumentChange[] = [];
  for (const [key, after] of target) {
    const before = present.get(key) ?? null;
    if (!isSame(before, after)) changes.push({ key, before, after });
  }
  return changes;
}

function isSame(first: ConfigDocument | null, second: ConfigDocument | null): boolean {
  if (first === null || second === null) return first === second;
  return canonicalJson(encodeDocument(first)) === canonicalJson(encodeDocument(second));
}

/** JSON with sorted fields, so that equal values give equal text. */
const canonicalJson = (value: unknown): string => JSON.stringify(sortFields(value));

function sortFields(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortFields);
  if (value === null || typeof value !== 'object') return value;
  const fields = Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1));
  return Object.fromEntries(fields.map(([name, field]) => [name, sortFields(field)]));
}
