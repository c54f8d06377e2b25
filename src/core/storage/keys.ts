// Keys in the store, and the key prefix of each kind of record.

/**
 * Prefix of the keys that every node watches: the leader keys, the record of the last failover, and the
 * notification of configuration changes.
 */
export const SHARD_PREFIX = 'share/';
/** Names the leader while there are no configuration documents; see membership/leader-election.ts. */
export const LEADER_KEY = 'share/0';
/**
 * Names the leader once there are configuration documents. {@link LEADER_KEY} then holds the marker that the
 * leader key has moved, and names no leader: to a version that does not support the documents, the shard
 * appears to be led by another controller.
 */
export const CONFIGURED_LEADER_KEY = 'share/1';
/**
 * The term of the last leader that has read all records, and when it had. The record is kept after that term;
 * see storage/shard-records.ts.
 */
export const LAST_RECOVERY_KEY = 'share/read';

/** Up to where attempt numbers are reserved; see storage/shard-records.ts. */
export const ATTEMPT_RESERVATION_KEY = 'attempts/reserved';

/** Prefix of the configuration documents and of their head; see configuration/documents.ts. */
export const CONFIG_PREFIX = 'config/';
/** The newest configuration change. */
export const CONFIG_HEAD_KEY = 'config/head';
/**
 * A copy of the head under {@link SHARD_PREFIX}, which every node watches. It is written in the same
 * transaction as the head and so has the same revision.
 */
export const CONFIG_NOTIFICATION_KEY = 'share/config';
/** Prefix of past configuration changes, by their number; see configuration/change.ts. */
export const CONFIG_HISTORY_PREFIX = 'config-history/';
/** The configuration revision that the leader has declared in force; see configuration/rollout.ts. */
export const CONFIG_IN_FORCE_KEY = 'config-status/in-force';

/** Prefix of jobs that have not ended. */
export const OPEN_JOB_PREFIX = 'o/';
/** Prefix of the dependency parts of jobs that have not ended; see storage/job-record.ts. */
export const DEPENDENCY_PART_PREFIX = 'a/';
/** Prefix of the final states of jobs that have ended. */
export const FINAL_STATE_PREFIX = 'f/';
