// Which jobs can never run, whatever happens: their users are told so at once, with the reason.
import type { TeamName, TypeName, WallTime } from '../../types/index.ts';
import type { JobSpec, MachineType, StoreLimits, Team } from '../base/model.ts';
import { canEverRun, isBoundToOneZone } from '../jobs/placement-constraints.ts';
import { jobRecordPuts } from '../storage/job-record.ts';
import { quotaViolation } from '../teams/quota.ts';

/** Why the job can never run with these machine types and teams; null if it can. */
export function infeasibilityReason(
  spec: JobSpec,
  types: ReadonlyMap<TypeName, MachineType>,
  teams: ReadonlyMap<TeamName, Team>,
): string | null {
  const team = teams.get(spec.team);
  if (team === undefined) return `team ${spec.team} is not known here`;
  if (team.closed === true) return `team ${spec.team} is closed to new work`;
  if (!canEverRun(types.values(), spec))
    return `no machine type that the job allows is large enough for ${spec.cpus} CPUs, ${spec.gpus} GPUs and ${spec.memoryGb} GB`;
  if (isBoundToOneZone(types.values(), spec))
    return `at most half of the tasks may be in one zone, all must run at once, and there is only one zone for them`;
  return quotaViolation(spec, team);
}

/** A write id and a time at least as long, as stored, as any real ones. */
const LONGEST_WRITE_ID = '-'.repeat(48);
const LONGEST_TIME = 1e13 as WallTime;

/**
 * Why the job's record would not fit one transaction of the store, even in several values; null if it does.
 */
export function oversizeReason(spec: JobSpec, limits: StoreLimits): string | null {
  const record = {
    spec,
    acceptedAt: LONGEST_TIME,
    cancelled: false,
    writeId: LONGEST_WRITE_ID,
    dependencyParts: 0,
  };
  if (jobRecordPuts(record, limits) !== null) return null;
  return `the job is too large for a record of ${limits.maxTransactionOps - 1} values of ${limits.maxValueKb} KiB: name fewer jobs or machine types`;
}
