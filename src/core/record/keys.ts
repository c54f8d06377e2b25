// Names of what is on record, and what several parts of the core must agree on about it.
import type { Revision, WallTime } from '../../types/index.ts';

/** What every node watches: who owns the share, and that the configuration has changed. */
export const SHARE = 'share/';
/** Who owns the share, as long as there are no configuration documents; see membership/leadership.ts. */
export const OWNER_KEY = 'share/0';
/**
 * Who owns the share once there are. The other key then says that the share has moved, and names no owner: a version that
 * does not know the documents takes the share for owned by somebody else.
 */
export const CONFIGURED_OWNER_KEY = 'share/1';
/** Which owner was the last to have read all records, and when; it stands beside the share and outlives its owner. */
export const READ_KEY = 'share/read';

export interface ReadRecord {
  term: Revision;
  at: WallTime;
}

/** Configuration documents, and among them their head; see configuration/documents.ts. */
export const CONFIG = 'config/';
export const CONFIG_HEAD = 'config/head';
/** A copy of the head where every node watches, written in the same transaction and so of the same revision. */
export const CONFIG_NEWS = 'share/config';
/** Past changes, by their number; see configuration/change.ts. */
export const CONFIG_HISTORY = 'config-history/';
/** Which revision the owner says is in force; see configuration/rollout.ts. */
export const CONFIG_IN_FORCE = 'config-status/in-force';

/** Jobs that are not over, and further values of those. */
export const OPEN = 'o/';
export const MORE = 'a/';
/** Jobs that are over. */
export const FINAL = 'f/';
