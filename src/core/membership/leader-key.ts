// The writes that claim leadership of the shard and that move the leader key, as compare-and-swap operations.
import type { NodeId, Revision, StoreLeaseId } from '../../types/index.ts';
import type { StoreCondition, StorePut } from '../base/model.ts';
import { CONFIG_NOTIFICATION_KEY, CONFIGURED_LEADER_KEY, LEADER_KEY } from '../storage/keys.ts';
import { encodeLeader, LEADER_KEY_MIGRATED } from '../storage/shard-records.ts';

/** The condition that a key is absent. */
const ABSENT = 0 as Revision;

/** What is put on which conditions. */
export interface LeaderKeyWrite {
  conditions: StoreCondition[];
  puts: StorePut[];
}

/** What a candidate knows of the shard. */
export interface KnownShard {
  /** Revision of the newest change of the configuration; 0 without any. */
  configRevision: Revision;
  /** The leader key is the one that versions without configuration documents don't know. */
  isLeaderKeyMigrated: boolean;
}

/**
 * Claims leadership: on the condition that there is no leader, under either key, and that the configuration is
 * the one that the candidate knows of, so that the new leader knows at its term what it has to read.
 */
export function claimLeadership(self: NodeId, lease: StoreLeaseId, shard: KnownShard): LeaderKeyWrite {
  const { configRevision, isLeaderKeyMigrated } = shard;
  const value = encodeLeader(self);
  const conditions = [{ key: CONFIG_NOTIFICATION_KEY, revision: configRevision }];
  if (!isLeaderKeyMigrated) conditions.push({ key: LEADER_KEY, revision: ABSENT });
  if (configRevision === 0) return { conditions, puts: [{ key: LEADER_KEY, value, lease }] };
  conditions.push({ key: CONFIGURED_LEADER_KEY, revision: ABSENT });
  const puts: StorePut[] = [{ key: CONFIGURED_LEADER_KEY, value, lease }];
  if (!isLeaderKeyMigrated) puts.push({ key: LEADER_KEY, value: LEADER_KEY_MIGRATED });
  return { conditions, puts };
}

/** Moves the key of the present leader to the one that versions without configuration documents don't know. */
export const moveLeaderKey = (self: NodeId, lease: StoreLeaseId): LeaderKeyWrite => ({
  conditions: [{ key: CONFIGURED_LEADER_KEY, revision: ABSENT }],
  puts: [
    { key: CONFIGURED_LEADER_KEY, value: encodeLeader(self), lease },
    { key: LEADER_KEY, value: LEADER_KEY_MIGRATED },
  ],
});
