// Which jobs can never run, whatever happens: told to the user at once, with the reason.
import type { TeamName, TypeName, WallTime } from '../../types/index.ts';
import type { JobSpec, MachineType, StoreLimits, Team } from '../base/model.ts';
import { canEverRun, isBoundToOneZone } from '../jobs/placement-constraints.ts';
import { jobRecordPuts } from '../storage/job-record.ts';
import { quotaViolation } from '../teams/quota.ts';

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

/** As long as the mark that tells writes apart, and the time, may get. */
const NONCE = '-'.repeat(48);
const TIME = 1e13 as WallTime;

/** Even with its list of awaited jobs in several values, a job must fit one transaction of the state service. */
export function oversizeReason(spec: JobSpec, limits: StoreLimits): string | null {
  if (
    jobRecordPuts(
      { spec, acceptedAt: TIME, cancelled: false, writeId: NONCE, dependencyParts: 0 },
      limits,
    ) !== null
  )
    return null;
  return `the job is too large for a record of ${limits.maxTransactionOps - 1} values of ${limits.maxValueKb} KiB: name fewer jobs or machine types`;
}
