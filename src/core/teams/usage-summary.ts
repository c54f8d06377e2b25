// Summaries of the work of each team by class, for operators: the totals of ended jobs combined with the open
// jobs.
import type { WallTime } from '../../types/index.ts';
import type { Job } from '../jobs/job.ts';
import { type AccountName, splitAccountName, type WorkTotals } from './usage-record.ts';

/** The work of a team in a class. The fields are logged in this order; scripts/least-served.ts reads them. */
export interface UsageSummary {
  team: string;
  class: string;
  /**
   * Open services. They also count in `started`, `waitingTasks` and `oldestWaitS`, but not in `jobs`, `tasks`
   * or `done`.
   */
  services: number;
  replicas: number;
  replicasUp: number;
  /** Jobs other than services that are open and not cancelled, or done. */
  jobs: number;
  tasks: number;
  /** Jobs and services of which a task is running or has completed. */
  started: number;
  done: number;
  tasksDone: number;
  waitingTasks: number;
  oldestWaitS: number;
  /** CPU seconds of tasks that completed. */
  cpuS: number;
}

/** Sums up the work of each account; the summaries are in the order in which the accounts are first added. */
export class UsageSummaryBuilder {
  private readonly summaries = new Map<AccountName, UsageSummary>();

  /** Adds the totals of the ended jobs of an account. */
  addEnded(name: AccountName, totals: WorkTotals): void {
    const summary = this.summaryOf(name);
    summary.jobs += totals.jobsDone;
    summary.started += totals.jobsDone;
    summary.done += totals.jobsDone;
    summary.tasks += totals.tasksDone;
    summary.tasksDone += totals.tasksDone;
    summary.cpuS += totals.cpuS;
  }

  /** Adds an open job to the summary of its account. */
  addOpen(name: AccountName, job: Job, wallTime: WallTime): void {
    const summary = this.summaryOf(name);
    // A service never completes: it counts as served to the extent that its replicas are running.
    if (job.spec.kind === 'service') {
      summary.services++;
      summary.replicas += job.spec.tasks;
      summary.replicasUp += job.runningTasks;
    } else {
      summary.jobs++;
      summary.tasks += job.spec.tasks;
    }
    summary.tasksDone += job.doneCount;
    if (job.doneCount > 0 || job.runningTasks > 0) summary.started++;
    summary.waitingTasks += job.unplacedTasks;
    if (job.unplacedTasks > 0) summary.oldestWaitS = Math.max(summary.oldestWaitS, waitS(job, wallTime));
  }

  /** The summaries of all accounts added so far. */
  build(): UsageSummary[] {
    return [...this.summaries.values()];
  }

  private summaryOf(name: AccountName): UsageSummary {
    let summary = this.summaries.get(name);
    if (summary === undefined) {
      summary = emptySummary(name);
      this.summaries.set(name, summary);
    }
    return summary;
  }
}

function emptySummary(name: AccountName): UsageSummary {
  const { team, className } = splitAccountName(name);
  return {
    team,
    class: className,
    services: 0,
    replicas: 0,
    replicasUp: 0,
    jobs: 0,
    tasks: 0,
    started: 0,
    done: 0,
    tasksDone: 0,
    waitingTasks: 0,
    oldestWaitS: 0,
    cpuS: 0,
  };
}

/** Sorts the least served summaries first, and equally served ones by the longest waiting time. */
export const byServedFraction = (a: UsageSummary, b: UsageSummary): number =>
  servedFraction(a) - servedFraction(b) || b.oldestWaitS - a.oldestWaitS;

/**
 * The fraction of the jobs and services that is served: jobs that are done, and services in proportion to
 * their running replicas; 1 if there are neither jobs nor services.
 */
function servedFraction(summary: UsageSummary): number {
  const requested = summary.jobs + summary.services;
  if (requested === 0) return 1;
  const { services, replicas, replicasUp } = summary;
  const servicesUp = replicas === 0 ? 0 : (services * replicasUp) / replicas;
  return (summary.done + servicesUp) / requested;
}

const waitS = (job: Job, wallTime: WallTime): number => Math.max(0, (wallTime - job.readyWallTime) / 1000);
