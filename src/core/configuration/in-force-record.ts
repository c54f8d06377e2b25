// The record of the configuration revision in force. Operators' commands read it to wait until a change is in
// force.
import type { Revision } from '../../types/index.ts';

/** The revision that the leader has declared in force. */
export interface InForceRecord {
  revision: Revision;
  /** The term of the leader that declared it. */
  term: Revision;
  /** Wall time of the declaration, in milliseconds. */
  at: number;
  /** The nodes that lagged behind at that time, each with the revision that it applied. */
  lagging: Record<string, Revision>;
}

interface StoredInForceRecord {
  revision: Revision;
  term: Revision;
  at: number;
  lagging: Record<string, Revision>;
  w: string;
}

/** The stored value; `writeId` is the idempotency key of the write that stores it. */
export const encodeInForceRecord = (record: InForceRecord, writeId: string): StoredInForceRecord => ({
  revision: record.revision,
  term: record.term,
  at: record.at,
  lagging: record.lagging,
  w: writeId,
});
