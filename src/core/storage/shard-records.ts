// Stored form of the shard's records: the leader, the marker that the leader key has moved, the last
// failover, and the reserved attempt numbers. No other module uses the field names of the stored form.
import { NO_REVISION, type NodeId, type Revision, type WallTime } from '../../types/index.ts';
import { parseDecimal } from '../../types/uint64.ts';
import type { StoreItem } from '../base/model.ts';
import { CONFIGURED_LEADER_KEY, LEADER_KEY } from './keys.ts';
import { SHARED_RECORD_VERSION } from './shared-record.ts';

/** The leader of the shard. */
export interface LeaderRecord {
  node: NodeId;
  /** The revision that created the leader key; it is this leader's term. */
  revision: Revision;
}

interface StoredLeader {
  node: NodeId;
}

/** The value of the leader key. */
export const encodeLeader = (node: NodeId): StoredLeader => ({ node });

/** The leader that a leader key names; null if it names none, as {@link LEADER_KEY} after the move. */
export function decodeLeader(item: StoreItem): LeaderRecord | null {
  const { node } = item.value as Partial<StoredLeader>;
  return node === undefined ? null : { node, revision: item.revision };
}

interface StoredMigrationMarker {
  moved: string;
}

/** Value of {@link LEADER_KEY} once the leader key has moved: it names no leader, and is never deleted. */
export const MIGRATION_MARKER: StoredMigrationMarker = { moved: CONFIGURED_LEADER_KEY };

/** Whether this item is the marker that the leader key has moved to {@link CONFIGURED_LEADER_KEY}. */
export function isMigrationMarker(item: StoreItem): boolean {
  if (item.key !== LEADER_KEY) return false;
  return (item.value as Partial<StoredMigrationMarker> | null)?.moved === CONFIGURED_LEADER_KEY;
}

/** The last completed failover: the leader of this term had read all records at this time. */
export interface RecoveryRecord {
  term: Revision;
  at: WallTime;
}

interface StoredRecoveryRecord extends RecoveryRecord {
  w: string;
}

/** The stored value; `writeId` is the idempotency key of the write that makes it. */
export const encodeRecoveryRecord = (record: RecoveryRecord, writeId: string): StoredRecoveryRecord => ({
  term: record.term,
  at: record.at,
  w: writeId,
});

/** Decodes a stored value. */
export function decodeRecoveryRecord(item: StoreItem): RecoveryRecord {
  const { term, at } = item.value as StoredRecoveryRecord;
  return { term, at };
}

/** Up to where terms have reserved attempt numbers. */
export interface AttemptReservationRecord {
  /** The numbers below are reserved. */
  end: bigint;
  /** Revision of the record; 0 if there is none. */
  revision: Revision;
}

/** The record as long as no term has reserved numbers. */
export const NO_ATTEMPTS_RESERVED: AttemptReservationRecord = { end: 0n, revision: NO_REVISION };

/** The stored value, of type SharedRecord: a text, since a store may keep JSON's numbers as doubles. */
export const encodeAttemptReservation = (end: bigint): { end: string } => ({ end: String(end) });

/** Decodes a stored value; null if its layout is unknown. */
export function decodeAttemptReservation(item: StoreItem): AttemptReservationRecord | null {
  const { v, end } = (item.value ?? {}) as { v?: unknown; end?: unknown };
  const reservedEnd = typeof end === 'string' ? parseDecimal(end) : null;
  if (v !== SHARED_RECORD_VERSION || reservedEnd === null) return null;
  return { end: reservedEnd, revision: item.revision };
}
