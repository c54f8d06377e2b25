// Teams' limits, enforced by the one owner of the team; what is in doubt counts as used. The sums are kept up
// to date by the machines' bookkeeping (machines.ts), which tells every task and every doubt that comes or goes.
import type { TeamName, TypeName } from '../../types/index.ts';
import type { JobSpec, Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { Usage } from './usage.ts';

export interface TeamUsage {
  cpus: number;
  gpus: number;
}
const EPS = 1e-6;
const NONE: TeamUsage = { cpus: 0, gpus: 0 };

export class Quota {
  /** The same by team and by class, for those who share out room. */
  readonly usage = new Usage();
  private teams: ReadonlyMap<TeamName, Team>;
  /** Tasks on machines and in their queues. */
  private readonly use = new Map<TeamName, TeamUsage>();
  /** Machines not yet heard under this term: any team may hold all of them. */
  private readonly doubt: TeamUsage = { cpus: 0, gpus: 0 };

  constructor(teams: ReadonlyMap<TeamName, Team>) {
    this.teams = teams;
  }

  /** Limits and guarantees from now on; what is in use stays as it is. */
  configure(teams: ReadonlyMap<TeamName, Team>): void {
    this.teams = teams;
  }

  team(name: TeamName): Team | undefined {
    return this.teams.get(name);
  }

  add(job: Job, tasks: number, type: TypeName): void {
    this.usage.add(job, tasks, type);
    let u = this.use.get(job.spec.team);
    if (u === undefined) {
      u = { cpus: 0, gpus: 0 };
      this.use.set(job.spec.team, u);
    }
    u.cpus += job.spec.cpus * tasks;
    u.gpus += job.spec.gpus * tasks;
  }

  addUncertain(type: TeamUsage, sign: 1 | -1): void {
    this.doubt.cpus += type.cpus * sign;
    this.doubt.gpus += type.gpus * sign;
  }

  used(team: TeamName): TeamUsage {
    const u = this.use.get(team) ?? NONE;
    return { cpus: u.cpus + this.doubt.cpus, gpus: u.gpus + this.doubt.gpus };
  }

  /** How far the team's own tasks, on machines and in queues, are above its limit; null if they are not. */
  overQuota(name: TeamName): TeamUsage | null {
    const t = this.teams.get(name);
    const u = this.use.get(name) ?? NONE;
    if (t === undefined) return u.cpus > EPS || u.gpus > EPS ? { ...u } : null;
    const cpus = t.cpusMax > 0 ? Math.max(0, u.cpus - t.cpusMax) : 0;
    const gpus = t.gpusMax > 0 ? Math.max(0, u.gpus - t.gpusMax) : 0;
    return cpus > EPS || gpus > EPS ? { cpus, gpus } : null;
  }

  /** Why the job can't run under its team's limit, whatever else the team runs; null if it can. */
  violation(spec: JobSpec): string | null {
    const t = this.teams.get(spec.team);
    return t === undefined ? `team ${spec.team} is not known here` : quotaViolation(spec, t);
  }

  /** How many more of the job's tasks the team's limit allows beside what it uses, and what else is counted as used. */
  allowedTasks(job: Job, beside: TeamUsage = NONE): number {
    const t = this.teams.get(job.spec.team);
    if (t === undefined) return 0;
    // All tasks of a gang run at once: one that is larger than its team's limit is not begun.
    if (job.spec.kind === 'gang' && quotaViolation(job.spec, t) !== null) return 0;
    const u = this.used(job.spec.team);
    return Math.min(
      fits(t.cpusMax, u.cpus + beside.cpus, job.spec.cpus),
      fits(t.gpusMax, u.gpus + beside.gpus, job.spec.gpus),
    );
  }

  /** Whether the team, with this job, would still be within what it is guaranteed. */
  withinGuarantee(job: Job): boolean {
    const t = this.teams.get(job.spec.team);
    if (t === undefined) return false;
    const { spec } = job;
    const u = this.used(spec.team);
    // What lacks nothing but accelerators is guaranteed by them alone where no CPUs are.
    if (t.cpus <= 0 && (t.gpus <= 0 || spec.gpus <= 0)) return false;
    const cpus = t.cpus <= 0 || u.cpus + spec.cpus <= t.cpus + EPS;
    const gpus = spec.gpus === 0 || (t.gpus > 0 && u.gpus + spec.gpus <= t.gpus + EPS);
    return cpus && gpus;
  }
}

/** Why a team's limit does not allow the job, even if nothing else of the team runs; null if it does. */
export function quotaViolation(spec: JobSpec, team: Team): string | null {
  const n = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.cpus * n > team.cpusMax)
    return `the job needs ${spec.cpus * n} CPUs at once and team ${spec.team} may use ${team.cpusMax}`;
  if (team.gpusMax > 0 && spec.gpus * n > team.gpusMax)
    return `the job needs ${spec.gpus * n} GPUs at once and team ${spec.team} may use ${team.gpusMax}`;
  return null;
}

/** A limit of 0 means none. */
function fits(limit: number, used: number, each: number): number {
  if (limit <= 0 || each <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used + EPS) / each));
}
