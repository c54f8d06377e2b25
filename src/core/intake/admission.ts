// Which jobs can never run, whatever happens: told to the user at once, with the reason.
import type { TeamName, TypeName, WallTime } from '../../types/index.ts';
import type { JobSpec, MachineType, StateLimits, Team } from '../base/model.ts';
import { boundToOneZone, canEverRun } from '../jobs/shape.ts';
import { recordPuts } from '../record/record.ts';
import { beyondLimit } from '../teams/quota.ts';

export function impossible(
  spec: JobSpec,
  types: ReadonlyMap<TypeName, MachineType>,
  teams: ReadonlyMap<TeamName, Team>,
): string | null {
  const team = teams.get(spec.team);
  if (team === undefined) return `team ${spec.team} is not known here`;
  if (team.closed === true) return `team ${spec.team} is closed to new work`;
  if (!canEverRun(types.values(), spec))
    return `no machine type that the job allows is large enough for ${spec.cpus} CPUs, ${spec.gpus} GPUs and ${spec.memoryGb} GB`;
  if (boundToOneZone(types.values(), spec))
    return `at most half of the tasks may be in one zone, all must run at once, and there is only one zone for them`;
  return beyondLimit(spec, team);
}

/** As long as the mark that tells writes apart, and the time, may get. */
const NONCE = '-'.repeat(48);
const TIME = 1e13 as WallTime;

/** Even with its list of awaited jobs in several values, a job must fit one transaction of the state service. */
export function tooLarge(spec: JobSpec, limits: StateLimits): string | null {
  if (
    recordPuts({ spec, acceptedAt: TIME, cancelled: false, writeId: NONCE, dependencyParts: 0 }, limits) !==
    null
  )
    return null;
  return `the job is too large for a record of ${limits.txnOps - 1} values of ${limits.valueKb} KiB: name fewer jobs or machine types`;
}
