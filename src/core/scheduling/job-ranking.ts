// In which order waiting jobs are served: priority, then teams within their guarantee, then the time left until the next
// aim that can still be met; while there is not room for all, less those that are put off (triage.ts), which come last.
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import { ageS, type JobOrdering, type RuntimeEstimates, slackOf } from '../jobs/job-ordering.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { isGang } from '../jobs/placement-constraints.ts';
import type { Quota } from '../teams/quota.ts';
import type { FairShare } from './fair-share.ts';
import { type Candidate, type Supply, selectLateJobs } from './late-job-selection.ts';
import type { MachineSet, MachineSets } from './machine-sets.ts';

export interface RankedJobs {
  /** By priority and guarantee; the jobs of one go before all of the next. */
  groups: Job[][];
  /** For jobs in whose machine set there is not room for all: what goes first for the sake of shares (shares.ts). */
  machineSets: ReadonlyMap<Job, MachineSet>;
  deferred: ReadonlySet<Job>;
}

const LEAST_S = 1;
/** Services have no estimate; where one competes with jobs of its priority it is taken for a long one, not for none. */
const SERVICE_S = 300;

interface Triage {
  supply: Supply;
  /** Asked for by groups that go before. */
  taken: number;
}

interface RowCandidate extends Candidate {
  readonly age: number;
}

interface Row {
  job: Job;
  tasks: number;
  /** Lower goes first, whatever the time left. */
  group: number;
  machineSet: MachineSet;
  age: number;
  /** Seconds until its aims, and until the next of them. */
  dues: number[];
  slack: number;
}

/** What {@link JobRanking} depends on. */
export interface JobRankingDependencies {
  io: ControllerIo;
  jobs: JobTable;
  quota: Quota;
  ordering: JobOrdering;
  estimates: RuntimeEstimates;
  fairShare: FairShare;
  machineSets: MachineSets;
}

export class JobRanking {
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly quota: Quota;
  private readonly ordering: JobOrdering;
  private readonly estimates: RuntimeEstimates;
  private readonly fairShare: FairShare;
  private readonly machineSets: MachineSets;

  constructor(dependencies: JobRankingDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.quota = dependencies.quota;
    this.ordering = dependencies.ordering;
    this.estimates = dependencies.estimates;
    this.fairShare = dependencies.fairShare;
    this.machineSets = dependencies.machineSets;
  }

  rank(): RankedJobs {
    this.machineSets.beginCycle();
    this.fairShare.beginCycle();
    const { now, wallTime } = this.io;
    const rows: Row[] = [];
    for (const job of this.jobs.waitingJobs) {
      if (job.isCancelling || now < job.retryAt) continue;
      const age = ageS(job, now, wallTime);
      const dues = this.ordering.deadlinesS(job, now, wallTime);
      const slack = slackOf(dues, age);
      job.slackS = slack;
      const tasks = Math.min(job.waitingTasks, this.quota.allowedTasks(job));
      const group = -2 * job.priority + (this.quota.withinGuarantee(job) ? 0 : 1);
      rows.push({ job, tasks, group, machineSet: this.machineSets.of(job), age, dues, slack });
    }
    rows.sort((a, b) => a.group - b.group || a.slack - b.slack);
    return this.sorted(rows);
  }

  private sorted(rows: Row[]): RankedJobs {
    const bySet = new Map<MachineSet, Row[]>();
    for (const r of rows) {
      const list = bySet.get(r.machineSet);
      if (list === undefined) bySet.set(r.machineSet, [r]);
      else list.push(r);
    }
    const out = { groups: [] as Job[][], machineSets: new Map<Job, MachineSet>(), deferred: new Set<Job>() };
    const triages = new Map<MachineSet, Triage>();
    for (const [machineSet, here] of bySet) {
      if (here.reduce((n, r) => n + takesOf(r), 0) <= this.machineSets.free(machineSet)) continue;
      triages.set(machineSet, { supply: this.machineSets.supply(machineSet), taken: 0 });
      this.fairShare.isShort(machineSet, here);
      for (const r of here) out.machineSets.set(r.job, machineSet);
    }
    for (let from = 0; from < rows.length; ) {
      let to = from;
      while (to < rows.length && rows[to]!.group === rows[from]!.group) to++;
      out.groups.push(this.sortGroup(rows.slice(from, to), triages, out.deferred));
      from = to;
    }
    return out;
  }

  /** Jobs of one group: those kept in the order of the aims that they are kept for, then those put off. */
  private sortGroup(rows: Row[], triages: Map<MachineSet, Triage>, deferred: Set<Job>): Job[] {
    const inTime: { job: Job; due: number }[] = [];
    const late: RowCandidate[] = [];
    const bySet = new Map<Triage, RowCandidate[]>();
    for (const r of rows) {
      const t = triages.get(r.machineSet);
      if (t === undefined) inTime.push({ job: r.job, due: r.slack });
      else {
        const list = bySet.get(t) ?? [];
        list.push(this.candidate(r));
        bySet.set(t, list);
      }
    }
    for (const [t, here] of bySet) {
      const sorted = selectLateJobs(here, t.supply, t.taken);
      for (const { c, due } of sorted.inTime) inTime.push({ job: c.job, due });
      late.push(...sorted.late);
      t.taken += here.reduce((n, c) => n + c.takes, 0);
    }
    inTime.sort((a, b) => a.due - b.due);
    // The least work first, and what has waited for long counts for less.
    const rank = (c: RowCandidate): number => c.work / Math.max(LEAST_S, c.age);
    late.sort((a, b) => rank(a) - rank(b));
    for (const c of late) deferred.add(c.job);
    return [...inTime, ...late].map((x) => x.job);
  }

  private candidate(r: Row): RowCandidate {
    const { job, age } = r;
    const takes = takesOf(r);
    // A gang of which only a part is missing has been paid for already.
    const begun = isGang(job.spec) && job.assignedTasks > 0;
    const runS = job.spec.kind === 'service' ? SERVICE_S : this.estimates.runS(job);
    const work = begun ? 0 : takes * Math.max(LEAST_S, runS);
    return { job, age, deadlines: begun ? [0] : r.dues, takes, work };
  }
}

const takesOf = ({ job, tasks, machineSet }: Row): number =>
  (machineSet.resource === 0 ? job.spec.cpus : job.spec.gpus) * tasks;
