// Changes of the configuration as operators make them: what a change touches, the one transaction that carries it out, its
// place in a bounded history, and how it is undone. Pure; src/cli carries the transactions out.
import type { Revision } from '../../types/index.ts';
import type { StoreCondition, StoreItem, StoreLimits, StorePut } from '../base/model.ts';
import { jsonBytes } from '../storage/json-size.ts';
import {
  CONFIG_HEAD_KEY,
  CONFIG_HISTORY_PREFIX,
  CONFIG_NOTIFICATION_KEY,
  LEADER_KEY,
} from '../storage/keys.ts';
import {
  type ConfigDocument,
  type ConfigHead,
  type ConfigSnapshot,
  DOCUMENT_VERSION,
  documentKey,
  documentValue,
  headValue,
} from './documents.ts';

/** So many changes are kept, and can be undone. */
export const HISTORY_LENGTH = 50;
/** All documents are read in one page, which is atomic. */
export const MAX_DOCUMENTS = 400;
/** Beside the documents a change writes the head, its copy, its history, and drops the oldest of that. */
const OTHER_CHANGES = 4;
const NUMBER_DIGITS = 10;

/** A document before and after a change; null: there is none. */
export interface DocumentChange {
  key: string;
  before: ConfigDocument | null;
  after: ConfigDocument | null;
}

export interface HistoryEntry {
  number: number;
  id: string;
  /** Wall time, in milliseconds. */
  at: number;
  changes: DocumentChange[];
}

/** Too many documents or too much text for one transaction; the message says which, in one line. */
export class ChangeTooLargeError extends Error {
  override readonly name = 'ChangeTooLarge';
}

export const historyKey = (number: number): string =>
  CONFIG_HISTORY_PREFIX + String(number).padStart(NUMBER_DIGITS, '0');

export function readHistory(item: StoreItem): HistoryEntry | null {
  const record = item.value as ({ v?: unknown } & HistoryEntry) | null;
  if (record?.v !== DOCUMENT_VERSION) return null;
  const { number, id, at, changes } = record;
  return { number, id, at, changes };
}

/** What is different once the documents are as wanted; documents that are not named stay. */
export function changesTo(snapshot: ConfigSnapshot, wanted: readonly ConfigDocument[]): DocumentChange[] {
  const present = new Map(snapshot.documents.map((d) => [documentKey(d), d]));
  const out: DocumentChange[] = [];
  for (const after of wanted) {
    const key = documentKey(after);
    const before = present.get(key) ?? null;
    if (before === null || !sameDocument(before, after)) out.push({ key, before, after });
  }
  return out;
}

const sameDocument = (a: ConfigDocument, b: ConfigDocument): boolean =>
  JSON.stringify(sorted(documentValue(a))) === JSON.stringify(sorted(documentValue(b)));

/** The same fields in the same order, however they were written. */
function sorted(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted);
  if (value === null || typeof value !== 'object') return value;
  const fields = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(fields.map(([k, v]) => [k, sorted(v)]));
}

/** What brings the documents back to how they were after the change with this number; null if that is no longer known. */
export function changesBackTo(
  snapshot: ConfigSnapshot,
  history: readonly HistoryEntry[],
  number: number,
): DocumentChange[] | null {
  const newest = snapshot.head?.number ?? 0;
  const target = new Map<string, ConfigDocument | null>();
  for (let n = newest; n > number; n--) {
    const entry = history.find((h) => h.number === n);
    if (entry === undefined) return null;
    for (const c of entry.changes) target.set(c.key, c.before);
  }
  const present = new Map(snapshot.documents.map((d) => [documentKey(d), d]));
  const out: DocumentChange[] = [];
  for (const [key, after] of target) {
    const before = present.get(key) ?? null;
    const same = before === null || after === null ? before === after : sameDocument(before, after);
    if (!same) out.push({ key, before, after });
  }
  return out;
}

export interface StoreTransaction {
  conditions: StoreCondition[];
  puts: StorePut[];
  deletes: string[];
}

/** What tells the owner that documents are to come: the share moves before the first of them is written. */
export function preparation(id: string, at: number): StoreTransaction {
  const none = 0 as Revision;
  const value = headValue({ number: 0, id, at });
  return {
    conditions: [
      { key: CONFIG_HEAD_KEY, revision: none },
      { key: CONFIG_NOTIFICATION_KEY, revision: none },
    ],
    puts: [
      { key: CONFIG_HEAD_KEY, value },
      { key: CONFIG_NOTIFICATION_KEY, value },
    ],
    deletes: [],
  };
}

/**
 * The one transaction of a change: conditional on the newest change being the one that it was planned against, and on the
 * share having moved to the key that versions without documents don't know. `moved`: the revision of the record that
 * says so. Throws ChangeTooLarge.
 */
export function transactionOf(
  snapshot: ConfigSnapshot,
  changes: readonly DocumentChange[],
  id: string,
  at: number,
  moved: Revision,
  limits: StoreLimits,
): StoreTransaction {
  const number = (snapshot.head?.number ?? 0) + 1;
  const head: ConfigHead = { number, id, at };
  const entry: HistoryEntry = { number, id, at, changes: [...changes] };
  checkSize(snapshot, entry, limits);
  const puts: StorePut[] = [
    { key: CONFIG_HEAD_KEY, value: headValue(head) },
    { key: CONFIG_NOTIFICATION_KEY, value: headValue(head) },
    { key: historyKey(number), value: { v: DOCUMENT_VERSION, ...entry } },
  ];
  const deletes: string[] = [];
  for (const { key, after } of changes)
    if (after === null) deletes.push(key);
    else puts.push({ key, value: documentValue(after) });
  if (number > HISTORY_LENGTH) deletes.push(historyKey(number - HISTORY_LENGTH));
  return {
    conditions: [
      { key: CONFIG_HEAD_KEY, revision: snapshot.revision },
      { key: CONFIG_NOTIFICATION_KEY, revision: snapshot.revision },
      { key: LEADER_KEY, revision: moved },
    ],
    puts,
    deletes,
  };
}

function checkSize(snapshot: ConfigSnapshot, entry: HistoryEntry, limits: StoreLimits): void {
  const most = limits.maxTransactionOps - OTHER_CHANGES;
  if (entry.changes.length > most)
    throw new ChangeTooLargeError(`it touches ${entry.changes.length} documents, of ${most} in one change`);
  const added = entry.changes.filter((c) => c.before === null).length;
  if (snapshot.documents.length + added > MAX_DOCUMENTS)
    throw new ChangeTooLargeError(`there would be more than ${MAX_DOCUMENTS} documents`);
  const mostBytes = limits.maxValueKb * 1024;
  const sizes = [entry, ...entry.changes.map((c) => c.after)].map(jsonBytes);
  if (sizes.some((size) => size > mostBytes))
    throw new ChangeTooLargeError(
      `a record of it would be larger than ${limits.maxValueKb} KiB: make several changes`,
    );
}
