// Teams' limits, enforced by the one owner of the team; what is in doubt counts as used. The sums are kept up
// to date by the machines' bookkeeping (machines.ts), which tells every task and every doubt that comes or goes.
import type { TeamName, TypeName } from '../../types/index.ts';
import type { Settings, Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { Usage } from './usage.ts';

export interface TeamUse {
  cpus: number;
  gpus: number;
}
const EPS = 1e-6;
const NONE: TeamUse = { cpus: 0, gpus: 0 };

export class Quota {
  /** The same by team and by class, for those who share out room. */
  readonly usage = new Usage();
  private readonly teams = new Map<TeamName, Team>();
  /** Tasks on machines and in their queues. */
  private readonly use = new Map<TeamName, TeamUse>();
  /** Machines not yet heard under this term: any team may hold all of them. */
  private readonly doubt: TeamUse = { cpus: 0, gpus: 0 };

  constructor(settings: Settings) {
    for (const t of settings.teams) {
      this.teams.set(t.name, t);
      this.use.set(t.name, { cpus: 0, gpus: 0 });
    }
  }

  team(name: TeamName): Team | undefined {
    return this.teams.get(name);
  }

  add(job: Job, tasks: number, type: TypeName): void {
    this.usage.add(job, tasks, type);
    const u = this.use.get(job.spec.team);
    if (u === undefined) return;
    u.cpus += job.spec.cpus * tasks;
    u.gpus += job.spec.gpus * tasks;
  }

  doubtful(type: TeamUse, sign: 1 | -1): void {
    this.doubt.cpus += type.cpus * sign;
    this.doubt.gpus += type.gpus * sign;
  }

  used(team: TeamName): TeamUse {
    const u = this.use.get(team) ?? NONE;
    return { cpus: u.cpus + this.doubt.cpus, gpus: u.gpus + this.doubt.gpus };
  }

  /** How many more of the job's tasks the team's limit allows beside what it uses, and what else is counted as used. */
  allows(job: Job, beside: TeamUse = NONE): number {
    const t = this.teams.get(job.spec.team);
    if (t === undefined) return 0;
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

/** A limit of 0 means none. */
function fits(limit: number, used: number, each: number): number {
  if (limit <= 0 || each <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used + EPS) / each));
}
