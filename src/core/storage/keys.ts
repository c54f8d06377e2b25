// Names of what is on record, and what several parts of the core must agree on about it.
import type { Revision, WallTime } from '../../types/index.ts';

/** What every node watches: who owns the share, and that the configuration has changed. */
export const SHARD_PREFIX = 'share/';
/** Who owns the share, as long as there are no configuration documents; see membership/leadership.ts. */
export const LEADER_KEY = 'share/0';
/**
 * Who owns the share once there are. The other key then says that the share has moved, and names no owner: a version that
 * does not know the documents takes the share for owned by somebody else.
 */
export const CONFIGURED_LEADER_KEY = 'share/1';
/** Which owner was the last to have read all records, and when; it stands beside the share and outlives its owner. */
export const LAST_RECOVERY_KEY = 'share/read';

export interface RecoveryRecord {
  term: Revision;
  at: WallTime;
}

/** Configuration documents, and among them their head; see configuration/documents.ts. */
export const CONFIG_PREFIX = 'config/';
export const CONFIG_HEAD_KEY = 'config/head';
/** A copy of the head where every node watches, written in the same transaction and so of the same revision. */
export const CONFIG_NOTIFICATION_KEY = 'share/config';
/** Past changes, by their number; see configuration/change.ts. */
export const CONFIG_HISTORY_PREFIX = 'config-history/';
/** Which revision the owner says is in force; see configuration/rollout.ts. */
export const CONFIG_IN_FORCE_KEY = 'config-status/in-force';

/** Jobs that are not over, and further values of those. */
export const OPEN_JOB_PREFIX = 'o/';
export const DEPENDENCY_PART_PREFIX = 'a/';
/** Jobs that are over. */
export const FINAL_STATE_PREFIX = 'f/';
