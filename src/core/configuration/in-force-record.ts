// The record that says which revision of the configuration is in force, for operators who wait for theirs.
import type { Revision } from '../../types/index.ts';

/** What the leader has declared in force. */
export interface InForceRecord {
  revision: Revision;
  /** The term of the leader that declared it. */
  term: Revision;
  /** Wall time, in milliseconds. */
  at: number;
  /** The nodes that lagged then, each with the revision that it applied. */
  lagging: Record<string, Revision>;
}

interface StoredInForceRecord {
  revision: Revision;
  term: Revision;
  at: number;
  lagging: Record<string, Revision>;
  w: string;
}

/** The value on record; `writeId` is the idempotency key of the write that makes it. */
export const encodeInForceRecord = (record: InForceRecord, writeId: string): StoredInForceRecord => ({
  revision: record.revision,
  term: record.term,
  at: record.at,
  lagging: record.lagging,
  w: writeId,
});
