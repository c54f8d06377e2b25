// Limits and guarantees of teams, enforced by the leader. Resources that may be in use count as used. The
// machine table keeps the sums up to date: it reports the tasks that are added and removed, and the machines
// whose tasks are not known.
import type { MachineTypeName, TeamName } from '../../types/index.ts';
import type { JobSpec, Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { Usage } from './usage.ts';

/** Amounts of the resources for which teams have limits. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}

/** Tolerance for rounding errors in sums of decimal fractions. */
const EPSILON = 1e-6;
const NO_USAGE: TeamUsage = { cpus: 0, gpus: 0 };

/** The teams of the configuration, and the resources they use. */
export class Quota {
  /** Resources in use by machine type, team and class, for fair shares. */
  readonly usage = new Usage();
  private teams: ReadonlyMap<TeamName, Team>;
  /** Resources of each team's tasks on machines and in machine queues. */
  private readonly usageByTeam = new Map<TeamName, TeamUsage>();
  /** Resources of machines that have not sent this leader a heartbeat yet: any team may use all of them. */
  private readonly uncertainUsage: TeamUsage = { cpus: 0, gpus: 0 };

  constructor(teams: ReadonlyMap<TeamName, Team>) {
    this.teams = teams;
  }

  /** Replaces limits and guarantees; the usage is kept. */
  configure(teams: ReadonlyMap<TeamName, Team>): void {
    this.teams = teams;
  }

  /** The team's limits and guarantees; undefined if the configuration does not contain the team. */
  team(name: TeamName): Team | undefined {
    return this.teams.get(name);
  }

  /**
   * Adds the usage of tasks of the job that were put on machines of the type or in their queues; a negative
   * number removes it.
   */
  add(job: Job, tasks: number, type: MachineTypeName): void {
    this.usage.add(job, tasks, type);
    let usage = this.usageByTeam.get(job.spec.team);
    if (usage === undefined) {
      usage = { cpus: 0, gpus: 0 };
      this.usageByTeam.set(job.spec.team, usage);
    }
    usage.cpus += job.spec.cpus * tasks;
    usage.gpus += job.spec.gpus * tasks;
  }

  /** Adds (1) or removes (-1) a machine of this size whose running tasks are not known. */
  addUncertain(machineSize: TeamUsage, sign: 1 | -1): void {
    this.uncertainUsage.cpus += machineSize.cpus * sign;
    this.uncertainUsage.gpus += machineSize.gpus * sign;
  }

  /** The usage of the team, plus all of the uncertain usage. */
  used(team: TeamName): TeamUsage {
    const usage = this.usageByTeam.get(team) ?? NO_USAGE;
    return { cpus: usage.cpus + this.uncertainUsage.cpus, gpus: usage.gpus + this.uncertainUsage.gpus };
  }

  /**
   * By how much the team's own tasks, on machines and in queues, exceed its limit; null if they do not. A
   * team that the configuration does not contain may use nothing.
   */
  overQuota(name: TeamName): TeamUsage | null {
    const team = this.teams.get(name);
    const usage = this.usageByTeam.get(name) ?? NO_USAGE;
    const cpus = team === undefined ? usage.cpus : amountAbove(team.cpusMax, usage.cpus);
    const gpus = team === undefined ? usage.gpus : amountAbove(team.gpusMax, usage.gpus);
    return cpus > EPSILON || gpus > EPSILON ? { cpus, gpus } : null;
  }

  /**
   * The reason why the job may not run under its team's limit even if it is the team's only job, or that the
   * configuration does not contain the team; null if the job may run.
   */
  violation(spec: JobSpec): string | null {
    const team = this.teams.get(spec.team);
    return team === undefined ? `team ${spec.team} is not known here` : quotaViolation(spec, team);
  }

  /** How many more of the job's tasks the team's limit allows if the team's usage grows by `extra` first. */
  allowedTasks(job: Job, extra: TeamUsage = NO_USAGE): number {
    const { spec } = job;
    const team = this.teams.get(spec.team);
    if (team === undefined) return 0;
    // All tasks of a gang run at once: a gang that exceeds its team's limit is not started.
    if (spec.kind === 'gang' && quotaViolation(spec, team) !== null) return 0;
    const used = this.used(spec.team);
    return Math.min(
      tasksWithinLimit(team.cpusMax, used.cpus + extra.cpus, spec.cpus),
      tasksWithinLimit(team.gpusMax, used.gpus + extra.gpus, spec.gpus),
    );
  }

  /** Whether the team's usage plus one more task of this job would still be within the team's guarantee. */
  withinGuarantee(job: Job): boolean {
    const { spec } = job;
    const team = this.teams.get(spec.team);
    if (team === undefined) return false;
    const used = this.used(spec.team);
    // A team without guaranteed CPUs has a guarantee only for jobs with GPUs, and only its GPUs are compared.
    if (team.cpus <= 0 && (team.gpus <= 0 || spec.gpus <= 0)) return false;
    const cpusWithin = team.cpus <= 0 || used.cpus + spec.cpus <= team.cpus + EPSILON;
    const gpusWithin = spec.gpus === 0 || (team.gpus > 0 && used.gpus + spec.gpus <= team.gpus + EPSILON);
    return cpusWithin && gpusWithin;
  }
}

/** The reason why the job alone exceeds the team's limit; null if it does not. */
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

/** By how much the usage exceeds the limit; a limit of 0 means that there is none. */
const amountAbove = (limit: number, used: number): number => (limit > 0 ? Math.max(0, used - limit) : 0);

/** How many more tasks fit within the limit; a limit of 0 means that there is none. */
function tasksWithinLimit(limit: number, used: number, perTask: number): number {
  if (limit <= 0 || perTask <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used + EPSILON) / perTask));
}
