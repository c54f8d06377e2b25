// Changes of the configuration as operators make them: what a change touches, and what undoes it; with what
// other modules use of the transactions and the history. Pure; src/cli carries changes out.
import type { DocumentChange, HistoryEntry } from './change-history.ts';
import { documentKey, documentValue } from './document-codec.ts';
import type { ConfigDocument, ConfigSnapshot } from './document-types.ts';

export { type DocumentChange, HISTORY_LENGTH, type HistoryEntry, readHistory } from './change-history.ts';
export {
  ChangeTooLargeError,
  preparation,
  type StoreTransaction,
  transactionOf,
} from './change-transaction.ts';

/** What is different once the documents are as wanted; documents that are not named stay. */
export function changesTo(snapshot: ConfigSnapshot, wanted: readonly ConfigDocument[]): DocumentChange[] {
  return changedOnly(
    snapshot,
    wanted.map((document) => [documentKey(document), document]),
  );
}

/**
 * What brings the documents back to how they were after the change with this number; null if that is no
 * longer known.
 */
export function changesBackTo(
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
  return changedOnly(snapshot, target);
}

/** The documents that are not as they are to be under their keys; null: none is to be there. */
function changedOnly(
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
  return canonicalJson(documentValue(first)) === canonicalJson(documentValue(second));
}

/** The same text for the same fields, in whatever order they were written. */
const canonicalJson = (value: unknown): string => JSON.stringify(sortFields(value));

function sortFields(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortFields);
  if (value === null || typeof value !== 'object') return value;
  const fields = Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1));
  return Object.fromEntries(fields.map(([name, field]) => [name, sortFields(field)]));
}
