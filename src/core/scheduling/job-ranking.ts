// Ranks waiting jobs by priority, then jobs of teams within their guarantee before others, then by the slack
// to the next deadline that can still be met. Within a group of equal priority and guarantee, deferred jobs
// (late-job-selection.ts) come last.
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import { ageS, type JobOrdering, type RuntimeEstimates, slackOf } from '../jobs/job-ordering.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { isGang } from '../jobs/placement-constraints.ts';
import type { Quota } from '../teams/quota.ts';
import type { FairShare } from './fair-share.ts';
import { type Candidate, type Supply, selectLateJobs } from './late-job-selection.ts';
import { amountOf, type MachineSet, type MachineSets } from './machine-sets.ts';

/** The waiting jobs in the order in which their tasks are placed. */
export interface RankedJobs {
  /** Jobs by priority and guarantee; all jobs of a group rank before those of the next group. */
  groups: Job[][];
  /** Machine sets of jobs for which capacity is short; fair-share floors (fair-share.ts) apply to them. */
  machineSets: ReadonlyMap<Job, MachineSet>;
  /** Jobs that cannot start by any of their deadlines. */
  deferred: ReadonlySet<Job>;
}

const MIN_DURATION_S = 1;
/** Services have no run time estimate; one that competes with jobs of its priority counts as a long job. */
const ASSUMED_SERVICE_RUN_S = 300;

/** A machine set whose free capacity is too small for its waiting tasks. */
interface Shortage {
  supply: Supply;
  /** The amount of the supply that the jobs of earlier groups use. */
  used: number;
}

interface WaitingJob {
  job: Job;
  /** Number of waiting tasks that the team's quota allows. */
  tasks: number;
  /** Jobs of a group with a lower number rank first, whatever their slack. */
  group: number;
  machineSet: MachineSet;
  ageS: number;
  /** Seconds until its tasks should start, for each deadline that can still be met, earliest first. */
  deadlinesS: number[];
  /** Seconds until the first of these; see `slackOf`. */
  slackS: number;
}

interface AgedCandidate extends Candidate {
  readonly ageS: number;
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

/** Ranks the waiting jobs for a scheduling cycle. */
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

  /** Ranks all waiting jobs that are not backing off, and updates the slack of each. */
  rank(): RankedJobs {
    this.machineSets.beginCycle();
    this.fairShare.beginCycle();
    const waiting = this.collectWaitingJobs();
    const shortages = new Map<MachineSet, Shortage>();
    const machineSets = this.findShortages(waiting, shortages);
    const deferred = new Set<Job>();
    const groups: Job[][] = [];
    for (let start = 0; start < waiting.length; ) {
      let end = start;
      while (end < waiting.length && waiting[end]!.group === waiting[start]!.group) end++;
      groups.push(this.rankGroup(waiting.slice(start, end), shortages, deferred));
      start = end;
    }
    return { groups, machineSets, deferred };
  }

  /** Returns the waiting jobs sorted by group and slack. */
  private collectWaitingJobs(): WaitingJob[] {
    const { now, wallTime } = this.io;
    const waiting: WaitingJob[] = [];
    for (const job of this.jobs.waitingJobs) {
      if (job.isCancelling || now < job.retryAt) continue;
      const age = ageS(job, now, wallTime);
      const deadlinesS = this.ordering.deadlinesS(job, now, wallTime);
      const slackS = slackOf(deadlinesS, age);
      job.slackS = slackS;
      const tasks = Math.min(job.waitingTasks, this.quota.allowedTasks(job));
      const group = -2 * job.priority + (this.quota.withinGuarantee(job) ? 0 : 1);
      const machineSet = this.machineSets.setFor(job);
      waiting.push({ job, tasks, group, machineSet, ageS: age, deadlinesS, slackS });
    }
    return waiting.sort((a, b) => a.group - b.group || a.slackS - b.slackS);
  }

  /** Adds the machine sets that are short of capacity to `shortages`; returns the jobs that wait for them. */
  private findShortages(
    waiting: readonly WaitingJob[],
    shortages: Map<MachineSet, Shortage>,
  ): Map<Job, MachineSet> {
    const bySet = new Map<MachineSet, WaitingJob[]>();
    for (const waitingJob of waiting) addToList(bySet, waitingJob.machineSet, waitingJob);
    const machineSets = new Map<Job, MachineSet>();
    for (const [machineSet, jobs] of bySet) {
      const needed = jobs.reduce((sum, waitingJob) => sum + neededAmount(waitingJob), 0);
      if (needed <= this.machineSets.freeAmount(machineSet)) continue;
      shortages.set(machineSet, { supply: this.machineSets.supply(machineSet), used: 0 });
      this.fairShare.recordShortage(machineSet, jobs);
      for (const { job } of jobs) machineSets.set(job, machineSet);
    }
    return machineSets;
  }

  /** Ranks the jobs of a group: those that can start in time by their deadlines, then the deferred ones. */
  private rankGroup(
    group: readonly WaitingJob[],
    shortages: ReadonlyMap<MachineSet, Shortage>,
    deferred: Set<Job>,
  ): Job[] {
    const inTime: { job: Job; dueS: number }[] = [];
    const byShortage = new Map<Shortage, AgedCandidate[]>();
    for (const waitingJob of group) {
      const shortage = shortages.get(waitingJob.machineSet);
      if (shortage === undefined) inTime.push({ job: waitingJob.job, dueS: waitingJob.slackS });
      else addToList(byShortage, shortage, this.toCandidate(waitingJob));
    }
    const late: AgedCandidate[] = [];
    for (const [shortage, candidates] of byShortage) {
      const selection = selectLateJobs(candidates, shortage.supply, shortage.used);
      for (const { candidate, dueS } of selection.inTime) inTime.push({ job: candidate.job, dueS });
      late.push(...selection.late);
      shortage.used += candidates.reduce((sum, candidate) => sum + candidate.amount, 0);
    }
    inTime.sort((a, b) => a.dueS - b.dueS);
    late.sort((a, b) => lateRank(a) - lateRank(b));
    for (const { job } of late) deferred.add(job);
    return [...inTime, ...late].map(({ job }) => job);
  }

  private toCandidate(waitingJob: WaitingJob): AgedCandidate {
    const { job, deadlinesS } = waitingJob;
    const amount = neededAmount(waitingJob);
    // A partly placed gang already uses its machines: it is due at once, and the last to be deferred.
    const isPartlyPlaced = isGang(job.spec) && job.assignedTasks > 0;
    const runS = job.spec.kind === 'service' ? ASSUMED_SERVICE_RUN_S : this.estimates.expectedRunS(job);
    const work = isPartlyPlaced ? 0 : amount * Math.max(MIN_DURATION_S, runS);
    return { job, ageS: waitingJob.ageS, deadlines: isPartlyPlaced ? [0] : deadlinesS, amount, work };
  }
}

/** The amount of the scarce resource that the job's waiting tasks need. */
const neededAmount = ({ job, tasks, machineSet }: WaitingJob): number =>
  amountOf(machineSet.resource, job.spec) * tasks;

/**
 * Sort key of late jobs, ascending: work per second of age. The job with the least work goes first, and jobs
 * move ahead as they wait.
 */
const lateRank = (candidate: AgedCandidate): number =>
  candidate.work / Math.max(MIN_DURATION_S, candidate.ageS);

function addToList<K, V>(lists: Map<K, V[]>, key: K, value: V): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [value]);
  else list.push(value);
}
