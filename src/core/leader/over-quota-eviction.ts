// Handles teams whose usage is above a limit that was lowered while their tasks ran: no more of their tasks
// are started, tasks queued at machines are dequeued to wait for placement again, and running tasks end by
// themselves or are stopped, as the team's configuration document specifies.
import { addMs, type Instant, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Team } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { TaskAssignment } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Quota, TeamUsage } from '../teams/quota.ts';

const CHECK_INTERVAL_MS = 500;
const EPSILON = 1e-6;
/** Added to the time that a task needs for its checkpoint. */
const GRACE_MARGIN_S = 1;
/** Rank of tasks that are being stopped already: below all priorities, so that they are counted first. */
const RANK_STOPPING = -1;

/** Tasks that are stopped together: all tasks of a gang, or a single task of any other job. */
type TaskGroup = readonly TaskAssignment[];

/** Dependencies of {@link OverQuotaEviction}. */
export interface OverQuotaEvictionDependencies {
  io: ControllerIo;
  jobs: JobTable;
  machines: MachineTable;
  quota: Quota;
  configuration: Configuration;
}

/** Brings the usage of teams back within limits that were lowered. */
export class OverQuotaEviction {
  private nextCheckAt = 0 as Instant;
  /** Time from which the tasks of a team above its limit are stopped without time for a checkpoint. */
  private readonly evictBy = new Map<TeamName, Instant>();
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly quota: Quota;
  private readonly configuration: Configuration;

  constructor(dependencies: OverQuotaEvictionDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.machines = dependencies.machines;
    this.quota = dependencies.quota;
    this.configuration = dependencies.configuration;
  }

  /**
   * Another configuration revision has been applied: dequeues the tasks of teams above their limits from
   * machines. Cost: scans the queues of all machines if any team is above its limit.
   */
  onQuotaChanged(): void {
    const teamsOverQuota = new Set<TeamName>();
    for (const team of this.configuration.effective.teams.values())
      if (this.isOverQuota(team.name)) teamsOverQuota.add(team.name);
    if (teamsOverQuota.size === 0) return;
    for (const machine of this.machines.byId.values()) this.dequeueOverQuota(machine, teamsOverQuota);
  }

  /** `canCommandFleet`: every machine has sent a heartbeat under this term, and machines may be commanded. */
  tick(canCommandFleet: boolean): void {
    if (!canCommandFleet || !this.configuration.hasDocuments || this.io.now < this.nextCheckAt) return;
    this.nextCheckAt = addMs(this.io.now, CHECK_INTERVAL_MS);
    for (const team of this.configuration.effective.teams.values()) this.checkTeam(team);
  }

  private isOverQuota(team: TeamName): boolean {
    return this.quota.overQuota(team) !== null;
  }

  private dequeueOverQuota(machine: Machine, teamsOverQuota: ReadonlySet<TeamName>): void {
    for (const queued of [...machine.queue]) {
      const { team } = queued.job.spec;
      // Each task removed from a queue may bring its team within the limit.
      if (teamsOverQuota.has(team) && this.isOverQuota(team)) this.machines.dequeue(machine, queued);
    }
  }

  private checkTeam(team: Team): void {
    if (team.stopAboveWithinS === undefined) return;
    const excess = this.quota.overQuota(team.name);
    if (excess === null) {
      this.evictBy.delete(team.name);
      return;
    }
    const evictBy = this.evictBy.get(team.name) ?? addMs(this.io.now, team.stopAboveWithinS * 1000);
    this.evictBy.set(team.name, evictBy);
    this.stopExcess(team.name, excess, this.io.now >= evictBy);
  }

  /** Stops tasks until usage is within the limit. `immediately`: without time for a checkpoint. */
  private stopExcess(team: TeamName, excess: TeamUsage, immediately: boolean): void {
    const remaining = { ...excess };
    for (const group of this.groupsOf(team)) {
      if (remaining.cpus <= EPSILON && remaining.gpus <= EPSILON) return;
      const { spec } = group[0]!.job;
      const reducesCpus = remaining.cpus > EPSILON && spec.cpus > 0;
      const reducesGpus = remaining.gpus > EPSILON && spec.gpus > 0;
      if (!reducesCpus && !reducesGpus) continue;
      remaining.cpus -= spec.cpus * group.length;
      remaining.gpus -= spec.gpus * group.length;
      for (const assignment of group) this.stop(assignment, immediately);
    }
  }

  private stop(assignment: TaskAssignment, immediately: boolean): void {
    if (immediately) assignment.stopping = { graceS: 0 };
    if (assignment.stopping !== null) return;
    const { job, index, machine } = assignment;
    assignment.stopping = { graceS: job.spec.checkpointDurationS + GRACE_MARGIN_S };
    this.io.log('info', 'stopping task because its team is above its limit', {
      task: `${job.id}/${index}`,
      team: job.spec.team,
      machine,
    });
  }

  /**
   * The team's tasks on machines: those being stopped first, then by ascending priority, the latest started
   * first.
   */
  private groupsOf(team: TeamName): TaskGroup[] {
    const groups: TaskGroup[] = [];
    for (const job of this.jobs.openJobs.values()) {
      if (job.spec.team !== team || job.assignedTasks === 0) continue;
      const assignments = [...job.assignments.values()];
      if (job.spec.kind === 'gang') groups.push(assignments);
      else for (const assignment of assignments) groups.push([assignment]);
    }
    return groups.sort((a, b) => rankOf(a) - rankOf(b) || latestStartOf(b) - latestStartOf(a));
  }
}

function rankOf(group: TaskGroup): number {
  const isStopping = group.some((assignment) => assignment.stopping !== null);
  return isStopping ? RANK_STOPPING : group[0]!.job.priority;
}

function latestStartOf(group: TaskGroup): number {
  return Math.max(...group.map((assignment) => assignment.runningAt ?? assignment.sentAt));
}
