// Builds the compare-and-swap operations that claim leadership of the shard and that move the leader key.
import { NO_REVISION, type NodeId, type Revision, type StoreLeaseId } from '../../types/index.ts';
import type { StoreCondition, StorePut } from '../base/model.ts';
import { CONFIG_NOTIFICATION_KEY, CONFIGURED_LEADER_KEY, LEADER_KEY } from '../storage/keys.ts';
import { encodeLeader, MIGRATION_MARKER } from '../storage/shard-records.ts';

/** Conditions and puts of a compare-and-swap operation on the leader keys. */
export interface LeaderKeyWrite {
  conditions: StoreCondition[];
  puts: StorePut[];
}

/** The state of the shard that a candidate has read from the store. */
export interface KnownShardState {
  /** Revision of the newest configuration change; 0 if there is none. */
  configRevision: Revision;
  /** The leader key is the one that versions without configuration documents do not read. */
  isLeaderKeyMigrated: boolean;
}

/**
 * Builds a claim to leadership. It is conditional on there being no leader under either key, and on the
 * configuration being at the revision that the candidate has read, so that a new leader knows from the start
 * of its term which revision of the configuration it must read.
 */
export function buildLeadershipClaim(
  self: NodeId,
  lease: StoreLeaseId,
  shard: KnownShardState,
): LeaderKeyWrite {
  const { configRevision, isLeaderKeyMigrated } = shard;
  const value = encodeLeader(self);
  const conditions = [{ key: CONFIG_NOTIFICATION_KEY, revision: configRevision }];
  if (!isLeaderKeyMigrated) conditions.push({ key: LEADER_KEY, revision: NO_REVISION });
  if (configRevision === 0) return { conditions, puts: [{ key: LEADER_KEY, value, lease }] };
  conditions.push({ key: CONFIGURED_LEADER_KEY, revision: NO_REVISION });
  const puts: StorePut[] = [{ key: CONFIGURED_LEADER_KEY, value, lease }];
  if (!isLeaderKeyMigrated) puts.push({ key: LEADER_KEY, value: MIGRATION_MARKER });
  return { conditions, puts };
}

/**
 * Builds the write that moves the present leader from {@link LEADER_KEY} to {@link CONFIGURED_LEADER_KEY},
 * which versions without configuration documents do not read.
 */
export const buildLeaderKeyMigration = (self: NodeId, lease: StoreLeaseId): LeaderKeyWrite => ({
  conditions: [{ key: CONFIGURED_LEADER_KEY, revision: NO_REVISION }],
  puts: [
    { key: CONFIGURED_LEADER_KEY, value: encodeLeader(self), lease },
    { key: LEADER_KEY, value: MIGRATION_MARKER },
  ],
});
