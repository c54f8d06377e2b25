// Names of what is on record, and what several parts of the core must agree on about it.
import type { Revision, WallTime } from '../../types/index.ts';

/** Who owns the share; see membership/leadership.ts. */
export const OWNER_KEY = 'share/0';
/** Which owner was the last to have read all records, and when; it stands beside the share and outlives its owner. */
export const READ_KEY = 'share/read';

export interface ReadRecord {
  term: Revision;
  at: WallTime;
}

/** Jobs that are not over, and further values of those. */
export const OPEN = 'o/';
export const MORE = 'a/';
/** Jobs that are over. */
export const FINAL = 'f/';

export interface FinalRecord {
  s: 'done' | 'cancelled';
  w: string;
  /** Wall time of the end; versions before 0.2 do not write it. */
  t?: WallTime;
}
