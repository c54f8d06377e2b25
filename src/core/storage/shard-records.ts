// How the records of the shard are stored: which controller leads, the marker that the leader key has moved,
// and the last failover. The field names of the stored form belong to this module alone.
import type { NodeId, Revision, WallTime } from '../../types/index.ts';
import type { StoreItem } from '../base/model.ts';
import { CONFIGURED_LEADER_KEY, LEADER_KEY } from './keys.ts';

/** Which controller leads the shard. */
export interface LeaderRecord {
  node: NodeId;
  /** The revision that created the leader key; it is the term of this leader. */
  revision: Revision;
}

interface StoredLeader {
  node: NodeId;
}

/** The value of the leader key. */
export const encodeLeader = (node: NodeId): StoredLeader => ({ node });

/** The leader that a leader key names; null if it names none, as after it has moved. */
export function decodeLeader(item: StoreItem): LeaderRecord | null {
  const { node } = item.value as Partial<StoredLeader>;
  return node === undefined ? null : { node, revision: item.revision };
}

interface StoredMigrationMarker {
  moved: string;
}

/** Left under the first leader key once it has moved: it names no leader, and is never deleted. */
export const LEADER_KEY_MIGRATED: StoredMigrationMarker = { moved: CONFIGURED_LEADER_KEY };

/** Whether this record says that the leader key has moved to that of shards with configuration documents. */
export function isMigrationMarker(item: StoreItem): boolean {
  if (item.key !== LEADER_KEY) return false;
  return (item.value as Partial<StoredMigrationMarker> | null)?.moved === CONFIGURED_LEADER_KEY;
}

/** The last failover that was completed: a leader of this term had read all records at this time. */
export interface RecoveryRecord {
  term: Revision;
  at: WallTime;
}

interface StoredRecoveryRecord extends RecoveryRecord {
  w: string;
}

/** The value on record; `writeId` is the idempotency key of the write that makes it. */
export const encodeRecoveryRecord = (record: RecoveryRecord, writeId: string): StoredRecoveryRecord => ({
  term: record.term,
  at: record.at,
  w: writeId,
});

/** The record as it was written. */
export function decodeRecoveryRecord(item: StoreItem): RecoveryRecord {
  const { term, at } = item.value as StoredRecoveryRecord;
  return { term, at };
}
