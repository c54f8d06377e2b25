// Feasibility checks: finds jobs that can never run, so that their submission is refused at once with the
// reason.
import type { MachineTypeName, TeamName, WallTime } from '../../types/index.ts';
import type { JobSpec, MachineType, StoreLimits, Team } from '../base/model.ts';
import { canEverRun, isBoundToOneZone } from '../jobs/placement-constraints.ts';
import { jobRecordPuts } from '../storage/job-record.ts';
import { quotaViolation } from '../teams/quota.ts';

/** The reason why the job can never run with these machine types and teams; null if it can run. */
export function infeasibilityReason(
  spec: JobSpec,
  types: ReadonlyMap<MachineTypeName, MachineType>,
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

/** A write id and a time that take at least as many bytes in a stored record as any real ones. */
const LONGEST_WRITE_ID = '-'.repeat(48);
const LONGEST_WALL_TIME = 1e13 as WallTime;

/**
 * The reason why the job's record would not fit in one transaction of the store, even if split into several
 * values; null if it fits.
 */
export function oversizeReason(spec: JobSpec, limits: StoreLimits): string | null {
  const record = {
    spec,
    acceptedAt: LONGEST_WALL_TIME,
    cancelled: false,
    writeId: LONGEST_WRITE_ID,
    dependencyParts: 0,
  };
  if (jobRecordPuts(record, limits) !== null) return null;
  return `the job is too large for a record of ${limits.maxTransactionOps - 1} values of ${limits.maxValueKb} KiB: name fewer jobs or machine types`;
}
