// The keys of the store, and the prefixes under which records of a kind stand.

/** Prefix of what every node watches: which controller leads, and that the configuration has changed. */
export const SHARD_PREFIX = 'share/';
/** Names the leader as long as there are no configuration documents; see membership/leader-election.ts. */
export const LEADER_KEY = 'share/0';
/**
 * Names the leader once there are configuration documents. The first key then says that the leader key has
 * moved, and names no leader: to a version that does not know the documents, the shard is led by another
 * controller.
 */
export const CONFIGURED_LEADER_KEY = 'share/1';
/**
 * The last leader that has read all records, and when; it outlives that leader. See storage/shard-records.ts.
 */
export const LAST_RECOVERY_KEY = 'share/read';

/** Prefix of the configuration documents, and among them their head; see configuration/documents.ts. */
export const CONFIG_PREFIX = 'config/';
/** The newest change of the configuration. */
export const CONFIG_HEAD_KEY = 'config/head';
/**
 * A copy of the head where every node watches, written in the same transaction and so of the same revision.
 */
export const CONFIG_NOTIFICATION_KEY = 'share/config';
/** Prefix of past changes, by their number; see configuration/change.ts. */
export const CONFIG_HISTORY_PREFIX = 'config-history/';
/** The revision that the leader declares in force; see configuration/rollout.ts. */
export const CONFIG_IN_FORCE_KEY = 'config-status/in-force';

/** Prefix of jobs that have not ended. */
export const OPEN_JOB_PREFIX = 'o/';
/** Prefix of the further values of jobs that have not ended. */
export const DEPENDENCY_PART_PREFIX = 'a/';
/** Prefix of the final states of jobs that have ended. */
export const FINAL_STATE_PREFIX = 'f/';
