// Teams' limits, enforced by the one owner of the team; what is in doubt counts as used.
import type { TeamName } from '../types/index.ts';
import type { Job } from './jobs.ts';
import type { Machine } from './machines.ts';
import type { Settings, Team } from './model.ts';

interface Use {
  cpus: number;
  gpus: number;
}
const EPS = 1e-6;

export class Quota {
  private readonly teams = new Map<TeamName, Team>();
  private use = new Map<TeamName, Use>();

  constructor(settings: Settings) {
    for (const t of settings.teams) this.teams.set(t.name, t);
  }

  team(name: TeamName): Team | undefined {
    return this.teams.get(name);
  }

  /** Counts anew what teams hold: tasks on machines, and all of any machine not yet heard under this term. */
  recount(machines: Iterable<Machine>): void {
    const use = new Map<TeamName, Use>();
    for (const name of this.teams.keys()) use.set(name, { cpus: 0, gpus: 0 });
    for (const m of machines) {
      for (const e of m.entries.values()) addTo(use.get(e.job.spec.team), e.job.spec.cpus, e.job.spec.gpus);
      if (!m.synced && m.recorded !== null) for (const u of use.values()) addTo(u, m.type.cpus, m.type.gpus);
      else for (const q of m.queue) addTo(use.get(q.job.spec.team), q.job.spec.cpus, q.job.spec.gpus);
    }
    this.use = use;
  }

  /** How many more of the job's tasks the team's limit allows. */
  allows(job: Job): number {
    const t = this.teams.get(job.spec.team);
    const u = this.use.get(job.spec.team);
    if (t === undefined || u === undefined) return 0;
    return Math.min(fits(t.cpusMax, u.cpus, job.spec.cpus), fits(t.gpusMax, u.gpus, job.spec.gpus));
  }

  add(job: Job, tasks: number): void {
    addTo(this.use.get(job.spec.team), job.spec.cpus * tasks, job.spec.gpus * tasks);
  }

  /** Whether the team, with this job, would still be within what it is guaranteed. */
  withinGuarantee(job: Job): boolean {
    const t = this.teams.get(job.spec.team);
    const u = this.use.get(job.spec.team);
    if (t === undefined || u === undefined) return false;
    const cpus = t.cpus > 0 && u.cpus + job.spec.cpus <= t.cpus + EPS;
    const gpus = job.spec.gpus === 0 || (t.gpus > 0 && u.gpus + job.spec.gpus <= t.gpus + EPS);
    return cpus && gpus;
  }
}

function addTo(u: Use | undefined, cpus: number, gpus: number): void {
  if (u === undefined) return;
  u.cpus += cpus;
  u.gpus += gpus;
}

/** A limit of 0 means none. */
function fits(limit: number, used: number, each: number): number {
  if (limit <= 0 || each <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used + EPS) / each));
}
