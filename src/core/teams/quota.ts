// Teams' limits and guarantees, enforced by the leader. What may be in use counts as used. The machine table
// keeps the sums up to date: it says which tasks come and go, and on which machines anything may run.
import type { TeamName, TypeName } from '../../types/index.ts';
import type { JobSpec, Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { Usage } from './usage.ts';

/** The resources of which teams have limits. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}

/** Guards comparisons of sums of decimal fractions. */
const EPSILON = 1e-6;
const NOTHING: TeamUsage = { cpus: 0, gpus: 0 };

/** The teams of the configuration, and what they use. */
export class Quota {
  /** What is in use by machine type, team and class, for fair shares. */
  readonly usage = new Usage();
  private teams: ReadonlyMap<TeamName, Team>;
  /** By tasks on machines and in their queues. */
  private readonly usageByTeam = new Map<TeamName, TeamUsage>();
  /** Of machines that have not sent a heartbeat to this leader yet: any team may use all of it. */
  private readonly uncertain: TeamUsage = { cpus: 0, gpus: 0 };

  constructor(teams: ReadonlyMap<TeamName, Team>) {
    this.teams = teams;
  }

  /** Replaces limits and guarantees; what is in use stays as it is. */
  configure(teams: ReadonlyMap<TeamName, Team>): void {
    this.teams = teams;
  }

  /** The team's limits and guarantees; undefined if the configuration does not name it. */
  team(name: TeamName): Team | undefined {
    return this.teams.get(name);
  }

  /** Tasks of the job have come to machines of the type or their queues; a negative number has left. */
  add(job: Job, tasks: number, type: TypeName): void {
    this.usage.add(job, tasks, type);
    let usage = this.usageByTeam.get(job.spec.team);
    if (usage === undefined) {
      usage = { cpus: 0, gpus: 0 };
      this.usageByTeam.set(job.spec.team, usage);
    }
    usage.cpus += job.spec.cpus * tasks;
    usage.gpus += job.spec.gpus * tasks;
  }

  /** What runs on a machine of this size has become uncertain (1), or known (-1). */
  addUncertain(type: TeamUsage, sign: 1 | -1): void {
    this.uncertain.cpus += type.cpus * sign;
    this.uncertain.gpus += type.gpus * sign;
  }

  /** What the team uses, with all that is uncertain. */
  used(team: TeamName): TeamUsage {
    const usage = this.usageByTeam.get(team) ?? NOTHING;
    return { cpus: usage.cpus + this.uncertain.cpus, gpus: usage.gpus + this.uncertain.gpus };
  }

  /** How far the team's own tasks, on machines and in queues, are above its limit; null if they are not. */
  overQuota(name: TeamName): TeamUsage | null {
    const team = this.teams.get(name);
    const usage = this.usageByTeam.get(name) ?? NOTHING;
    const cpus = team === undefined ? usage.cpus : amountAbove(team.cpusMax, usage.cpus);
    const gpus = team === undefined ? usage.gpus : amountAbove(team.gpusMax, usage.gpus);
    return cpus > EPSILON || gpus > EPSILON ? { cpus, gpus } : null;
  }

  /** Why the job can't run under its team's limit, whatever else the team runs; null if it can. */
  violation(spec: JobSpec): string | null {
    const team = this.teams.get(spec.team);
    return team === undefined ? `team ${spec.team} is not known here` : quotaViolation(spec, team);
  }

  /** How many more of the job's tasks the team's limit allows, if the team also uses `extra`. */
  allowedTasks(job: Job, extra: TeamUsage = NOTHING): number {
    const { spec } = job;
    const team = this.teams.get(spec.team);
    if (team === undefined) return 0;
    // All tasks of a gang run at once: one that is larger than its team's limit is not begun.
    if (spec.kind === 'gang' && quotaViolation(spec, team) !== null) return 0;
    const used = this.used(spec.team);
    return Math.min(
      tasksWithinLimit(team.cpusMax, used.cpus + extra.cpus, spec.cpus),
      tasksWithinLimit(team.gpusMax, used.gpus + extra.gpus, spec.gpus),
    );
  }

  /** Whether the team, with one more task of this job, would still be within what it is guaranteed. */
  withinGuarantee(job: Job): boolean {
    const { spec } = job;
    const team = this.teams.get(spec.team);
    if (team === undefined) return false;
    const used = this.used(spec.team);
    // A team that is guaranteed no CPUs has a guarantee for jobs with GPUs only, and by its GPUs alone.
    if (team.cpus <= 0 && (team.gpus <= 0 || spec.gpus <= 0)) return false;
    const cpusWithin = team.cpus <= 0 || used.cpus + spec.cpus <= team.cpus + EPSILON;
    const gpusWithin = spec.gpus === 0 || (team.gpus > 0 && used.gpus + spec.gpus <= team.gpus + EPSILON);
    return cpusWithin && gpusWithin;
  }
}

/** Why a team's limit does not allow the job, even if nothing else of the team runs; null if it does. */
export function quotaViolation(spec: JobSpec, team: Team): string | null {
  const tasksAtOnce = spec.kind === 'array' ? 1 : spec.tasks;
  const cpus = spec.cpus * tasksAtOnce;
  const gpus = spec.gpus * tasksAtOnce;
  if (team.cpusMax > 0 && cpus > team.cpusMax)
    return `the job needs ${cpus} CPUs at once and team ${spec.team} may use ${team.cpusMax}`;
  if (team.gpusMax > 0 && gpus > team.gpusMax)
    return `the job needs ${gpus} GPUs at once and team ${spec.team} may use ${team.gpusMax}`;
  return null;
}

/** A limit of 0 means none. */
const amountAbove = (limit: number, used: number): number => (limit > 0 ? Math.max(0, used - limit) : 0);

/** How many tasks fit below the limit; a limit of 0 means none. */
function tasksWithinLimit(limit: number, used: number, perTask: number): number {
  if (limit <= 0 || perTask <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used + EPSILON) / perTask));
}
