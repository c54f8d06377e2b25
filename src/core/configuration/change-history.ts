// Past changes of the configuration, as they are stored for operators who look at them or undo them.
import type { StoreItem } from '../base/model.ts';
import { CONFIG_HISTORY_PREFIX } from '../storage/keys.ts';
import {
  DOCUMENT_VERSION,
  decodeDocumentOfChange,
  encodeDocumentOfChange,
  hasVersion,
  type StoredDocumentOfChange,
} from './document-codec.ts';
import type { ConfigDocument } from './document-types.ts';

/** So many changes are kept, and can be undone. */
export const HISTORY_LENGTH = 50;
const NUMBER_DIGITS = 10;

/** A document before and after a change; null: there is none. */
export interface DocumentChange {
  key: string;
  before: ConfigDocument | null;
  after: ConfigDocument | null;
}

/** One change. */
export interface HistoryEntry {
  number: number;
  id: string;
  /** Wall time, in milliseconds. */
  at: number;
  changes: DocumentChange[];
}

interface StoredChange {
  key: string;
  before: StoredDocumentOfChange | null;
  after: StoredDocumentOfChange | null;
}

interface StoredEntry {
  v: typeof DOCUMENT_VERSION;
  number: number;
  id: string;
  at: number;
  changes: StoredChange[];
}

/** The key under which the change with this number is kept. */
export const historyKey = (number: number): string =>
  CONFIG_HISTORY_PREFIX + String(number).padStart(NUMBER_DIGITS, '0');

/** The value that is stored under that key. */
export const historyValue = (entry: HistoryEntry): StoredEntry => ({
  v: DOCUMENT_VERSION,
  number: entry.number,
  id: entry.id,
  at: entry.at,
  changes: entry.changes.map(({ key, before, after }) => ({
    key,
    before: before === null ? null : encodeDocumentOfChange(before),
    after: after === null ? null : encodeDocumentOfChange(after),
  })),
});

/** The change that is stored; null if its layout is of another version. */
export function readHistory(item: StoreItem): HistoryEntry | null {
  if (!hasVersion(item.value)) return null;
  const { number, id, at, changes } = item.value as StoredEntry;
  return { number, id, at, changes: changes.map(decodeChange) };
}

const decodeChange = ({ key, before, after }: StoredChange): DocumentChange => ({
  key,
  before: before === null ? null : decodeDocumentOfChange(before),
  after: after === null ? null : decodeDocumentOfChange(after),
});
