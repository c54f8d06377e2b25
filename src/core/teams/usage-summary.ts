// What became of the work of each team by class, for operators: totals of ended jobs, together with the open
// jobs.
import type { WallTime } from '../../types/index.ts';
import type { Job } from '../jobs/job.ts';
import { type AccountName, splitAccountName, type WorkTotals } from './usage-record.ts';

/** The work of a team in a class. Its fields are logged in this order, and read by scripts/least-served.ts. */
export interface UsageSummary {
  team: string;
  class: string;
  /** Open services, which are in none of the figures below but `started` and those about waiting. */
  services: number;
  replicas: number;
  replicasUp: number;
  /** Other jobs not cancelled, open or done. */
  jobs: number;
  tasks: number;
  /** Jobs of which a task has ever run. */
  started: number;
  done: number;
  tasksDone: number;
  waitingTasks: number;
  oldestWaitS: number;
  /** CPU seconds of tasks that completed. */
  cpuS: number;
}

/** Adds up the summaries of accounts, in the order in which the accounts come up. */
export class UsageSummaryBuilder {
  private readonly summaries = new Map<AccountName, UsageSummary>();

  /** Adds the ended jobs of an account. */
  addEnded(name: AccountName, totals: WorkTotals): void {
    const summary = this.summaryOf(name);
    summary.jobs += totals.jobsDone;
    summary.started += totals.jobsDone;
    summary.done += totals.jobsDone;
    summary.tasks += totals.tasksDone;
    summary.tasksDone += totals.tasksDone;
    summary.cpuS += totals.cpuS;
  }

  /** Adds an open job. */
  addOpen(name: AccountName, job: Job, wallTime: WallTime): void {
    const summary = this.summaryOf(name);
    // A service is never done: it is served as far as its replicas are up.
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

  /** The summaries so far. */
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

/** Orders summaries so that those least served come first, and of these the ones that wait longest. */
export const byServed = (a: UsageSummary, b: UsageSummary): number =>
  servedFraction(a) - servedFraction(b) || b.oldestWaitS - a.oldestWaitS;

/** Jobs done and, of services, replicas up, as a fraction of those asked for; 1 if none are. */
function servedFraction(summary: UsageSummary): number {
  const asked = summary.jobs + summary.services;
  if (asked === 0) return 1;
  const { services, replicas, replicasUp } = summary;
  const servicesUp = replicas === 0 ? 0 : (services * replicasUp) / replicas;
  return (summary.done + servicesUp) / asked;
}

const waitS = (job: Job, wallTime: WallTime): number => Math.max(0, (wallTime - job.readyWall) / 1000);
