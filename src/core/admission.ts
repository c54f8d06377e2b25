// Which jobs can never run, whatever happens: told to the user at once, with the reason.
import type { Instant, Revision, TypeName, WallTime } from '../types/index.ts';
import { canEverRun } from './fleet.ts';
import { Job, type StoredJob } from './jobs.ts';
import type { JobSpec, MachineType, StateLimits, Team } from './model.ts';
import { bytesOf } from './store.ts';

export function impossible(
  spec: JobSpec,
  types: ReadonlyMap<TypeName, MachineType>,
  teams: Iterable<Team>,
): string | null {
  const team = [...teams].find((t) => t.name === spec.team);
  if (team === undefined) return `team ${spec.team} is not known here`;
  const one = new Job({ ...spec, tasks: 1 }, 0 as Revision, 0 as WallTime, 0 as Instant, false);
  if (!canEverRun(types.values(), one))
    return `no machine type that the job allows is large enough for ${spec.cpus} CPUs, ${spec.gpus} GPUs and ${spec.memoryGb} GB`;
  const n = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.cpus * n > team.cpusMax)
    return `the job needs ${spec.cpus * n} CPUs at once and team ${spec.team} may use ${team.cpusMax}`;
  if (team.gpusMax > 0 && spec.gpus * n > team.gpusMax)
    return `the job needs ${spec.gpus * n} GPUs at once and team ${spec.team} may use ${team.gpusMax}`;
  return null;
}

/** The mark that tells writes apart, and what else may be added to a job's record. */
const RECORD_SPARE = 96;

/** A job's record is one value in the state service. */
export function tooLarge(spec: JobSpec, limits: StateLimits): string | null {
  const value: StoredJob = { s: spec, t: 0 as WallTime, c: 1, w: '' };
  const bytes = bytesOf(value) + RECORD_SPARE;
  const most = Math.floor(limits.valueKb * 1024);
  if (bytes <= most) return null;
  return `the job takes ${bytes} bytes on record, and a record may have ${most}: name fewer jobs or machine types`;
}
