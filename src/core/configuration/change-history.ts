// Stored history of configuration changes, which operators can list and roll back.
import type { StoreItem } from '../base/model.ts';
import { CONFIG_HISTORY_PREFIX } from '../storage/keys.ts';
import {
  DOCUMENT_VERSION,
  decodeDocumentOfChange,
  encodeDocumentOfChange,
  hasSupportedVersion,
  type StoredDocumentOfChange,
} from './document-codec.ts';
import type { ConfigDocument } from './document-types.ts';

/** Number of changes that are kept and can be undone. */
export const HISTORY_LENGTH = 50;
const CHANGE_NUMBER_DIGITS = 10;

/** A document before and after a change; null if the document does not exist. */
export interface DocumentChange {
  key: string;
  before: ConfigDocument | null;
  after: ConfigDocument | null;
}

/** One change, as it is kept in the history. */
export interface HistoryEntry {
  /** Changes are numbered from 1. */
  number: number;
  id: string;
  /** Wall time of the change, in milliseconds. */
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

/** The key under which the change with this number is stored. */
export const historyKey = (number: number): string =>
  CONFIG_HISTORY_PREFIX + String(number).padStart(CHANGE_NUMBER_DIGITS, '0');

/** The stored value of a change. */
export const encodeHistoryEntry = (entry: HistoryEntry): StoredEntry => ({
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

/** Decodes a stored change; null if its layout has an unsupported version. */
export function decodeHistoryEntry(item: StoreItem): HistoryEntry | null {
  if (!hasSupportedVersion(item.value)) return null;
  const { number, id, at, changes } = item.value as StoredEntry;
  return { number, id, at, changes: changes.map(decodeChange) };
}

const decodeChange = ({ key, before, after }: StoredChange): DocumentChange => ({
  key,
  before: before === null ? null : decodeDocumentOfChange(before),
  after: after === null ? null : decodeDocumentOfChange(after),
});
