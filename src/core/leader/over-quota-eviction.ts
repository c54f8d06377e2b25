// What a team has above a limit that was lowered while its tasks ran: nothing more of it is started, what is bound to machines
// and not started is taken back, and what runs ends by itself or is stopped, as the team's document says.
import { addMs, type Instant, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Team } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { TaskAssignment } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Quota, TeamUsage } from '../teams/quota.ts';

const LOOK_MS = 500;
const EPS = 1e-6;
/** What {@link OverQuotaEviction} depends on. */
export interface OverQuotaEvictionDependencies {
  io: ControllerIo;
  jobs: JobTable;
  machines: MachineTable;
  quota: Quota;
  configuration: Configuration;
}

export class OverQuotaEviction {
  private nextLook = 0 as Instant;
  /** When tasks of a team that are above its limit, and were told to stop, are ended without saving. */
  private readonly endBy = new Map<TeamName, Instant>();
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

  /** Another revision is applied: what is bound beyond a limit waits again. Work: the machines' queues, if any team is above. */
  onQuotaChanged(): void {
    const above = new Set<TeamName>();
    for (const t of this.configuration.effective.teams.values())
      if (this.quota.overQuota(t.name) !== null) above.add(t.name);
    if (above.size === 0) return;
    for (const m of this.machines.byId.values())
      for (const q of [...m.queue])
        if (above.has(q.job.spec.team) && this.quota.overQuota(q.job.spec.team) !== null)
          this.machines.dequeue(m, q);
  }

  /** `certain`: every machine has been heard, and may be commanded. */
  tick(certain: boolean): void {
    if (!certain || !this.configuration.hasDocuments || this.io.now < this.nextLook) return;
    this.nextLook = addMs(this.io.now, LOOK_MS);
    for (const team of this.configuration.effective.teams.values()) this.look(team);
  }

  private look(team: Team): void {
    if (team.stopAboveWithinS === undefined) return;
    const above = this.quota.overQuota(team.name);
    if (above === null) return void this.endBy.delete(team.name);
    const endBy = this.endBy.get(team.name) ?? addMs(this.io.now, team.stopAboveWithinS * 1000);
    this.endBy.set(team.name, endBy);
    this.stopSome(team.name, above, this.io.now >= endBy);
  }

  /** Tells tasks to stop until what is left is within the limit. `atOnce`: without the time to save. */
  private stopSome(team: TeamName, above: TeamUsage, atOnce: boolean): void {
    const left = { ...above };
    for (const group of this.groupsOf(team)) {
      if (left.cpus <= EPS && left.gpus <= EPS) return;
      const { spec } = group[0]!.job;
      // A group that brings down nothing that is above goes on.
      if (!(left.cpus > EPS && spec.cpus > 0) && !(left.gpus > EPS && spec.gpus > 0)) continue;
      left.cpus -= spec.cpus * group.length;
      left.gpus -= spec.gpus * group.length;
      for (const e of group) this.stop(e, atOnce);
    }
  }

  private stop(e: TaskAssignment, atOnce: boolean): void {
    if (atOnce) e.stopping = { graceS: 0 };
    if (e.stopping !== null) return;
    e.stopping = { graceS: e.job.spec.checkpointDurationS + 1 };
    this.io.log('info', "task stopped above its team's limit", {
      task: `${e.job.id}/${e.index}`,
      team: e.job.spec.team,
      machine: e.machine,
    });
  }

  /** The team's tasks on machines, those of a gang together: those that stop already, then the least urgent and the youngest. */
  private groupsOf(team: TeamName): TaskAssignment[][] {
    const groups: TaskAssignment[][] = [];
    for (const job of this.jobs.openJobs.values()) {
      if (job.spec.team !== team || job.assignedTasks === 0) continue;
      const entries = [...job.assignments.values()];
      if (job.spec.kind === 'gang') groups.push(entries);
      else for (const e of entries) groups.push([e]);
    }
    return groups.sort((a, b) => rankOf(a) - rankOf(b) || startOf(b) - startOf(a));
  }
}

const rankOf = (group: TaskAssignment[]): number =>
  group.some((e) => e.stopping !== null) ? -1 : group[0]!.job.priority;

const startOf = (group: TaskAssignment[]): number => Math.max(...group.map((e) => e.runningAt ?? e.sentAt));
