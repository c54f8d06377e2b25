// Job descriptions of a history, and how long it must continue after the faults for all jobs to end.
import type { JobSpec } from '../../src/core/base/model.ts';
import type { JobId, TeamName, ZoneName } from '../../src/types/index.ts';
import { FAULT_PERIOD_S, type History, type HistoryJob } from './history-model.ts';
import { job, LIMITED_TEAM } from './simulated-settings.ts';

/** Number of tasks that the limited team may run at the same time. */
export const LIMITED_TEAM_MAX_TASKS = 3;
/** Accepted jobs without dependencies must have ended this long after the last fault. */
const FAULT_FREE_S = 240;
/** The longest task run time that `FAULT_FREE_S` allows for. */
const LONGEST_RUN_S = 100;
/** Maximum delay from the end of a job to the start of a job that depends on it. */
const DEPENDENT_START_DELAY_S = 30;
/** Longer jobs are not given to the limited team, whose jobs must end within the fault-free period. */
const LONGEST_LIMITED_RUN_S = 30;

const idOf = (index: number): JobId => `run-${String(index + 1).padStart(3, '0')}` as JobId;

const isLimited = (historyJob: HistoryJob): boolean =>
  historyJob.limited && historyJob.kind !== 'service' && historyJob.runS <= LONGEST_LIMITED_RUN_S;

/** Whether a job depends on the one before it. */
function dependsOnPrevious(jobs: readonly HistoryJob[], index: number): boolean {
  const previous = jobs[index - 1];
  return jobs[index]!.chained && previous !== undefined && previous.kind !== 'service';
}

/** The job description that the user submits. */
export function specOf(history: History, index: number): JobSpec {
  const historyJob = history.jobs[index]!;
  const { kind, tasks, runS } = historyJob;
  return job(idOf(index), {
    kind,
    tasks,
    team: (isLimited(historyJob) ? LIMITED_TEAM : 'open') as TeamName,
    oneZone: kind === 'gang' || (kind === 'array' && index % 3 === 2),
    zone: kind === 'array' && index % 4 === 3 ? ('north' as ZoneName) : null,
    spread: kind === 'service',
    spot: index % 2 === 0,
    estimatedRunS: kind === 'service' ? 0 : runS,
    ...(dependsOnPrevious(history.jobs, index) ? { dependsOn: [idOf(index - 1)] } : {}),
  });
}

/** When the last fault ends, in seconds from the start of the history; at least `FAULT_PERIOD_S`. */
export const faultsEndS = (history: History): number =>
  history.troubles.reduce((end, fault) => Math.max(end, fault.atS + fault.forS), FAULT_PERIOD_S);

/** Total run time of the longest chain of dependent jobs, with the delays between them, in seconds. */
function longestChainS(jobs: readonly HistoryJob[]): number {
  let longest = 0;
  let chain = 0;
  jobs.forEach((historyJob, index) => {
    chain = (dependsOnPrevious(jobs, index) ? chain + DEPENDENT_START_DELAY_S : 0) + historyJob.runS;
    longest = Math.max(longest, chain);
  });
  return longest;
}

/** Total run time of the limited team's tasks in seconds, with as many in parallel as its quota allows. */
const limitedTeamRunS = (jobs: readonly HistoryJob[]): number =>
  jobs
    .filter(isLimited)
    .reduce((seconds, { tasks, runS }) => seconds + (tasks * runS) / LIMITED_TEAM_MAX_TASKS, 0);

/** Seconds after the last fault within which the longest chain and the limited team's jobs can end. */
export const faultFreeS = ({ jobs }: History): number =>
  FAULT_FREE_S + Math.max(0, longestChainS(jobs) + limitedTeamRunS(jobs) - LONGEST_RUN_S);
