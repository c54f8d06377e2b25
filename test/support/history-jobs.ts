// The jobs of a history as users submit them, and how long a history must go on for all of them to end.
import type { JobSpec } from '../../src/core/base/model.ts';
import type { JobId, TeamName, ZoneName } from '../../src/types/index.ts';
import { FAULTS_S, type History, type HistoryJob } from './history-model.ts';
import { job, LIMITED_TEAM } from './simulated-settings.ts';

/** How many tasks the limited team may run at once. */
export const LIMITED_AT_ONCE = 3;
/** What is accepted must be over this long after the last fault, if it depends on nothing. */
const CALM_S = 240;
/** The longest run that `CALM_S` allows for. */
const LONGEST_RUN_S = 100;
/** From the end of a job to the start of one that depends on it, at the most. */
const CHAIN_LINK_S = 30;
/** Jobs with longer runs are not the limited team's: what has a limit must be able to end within the calm. */
const LONGEST_LIMITED_S = 30;

const idOf = (index: number): JobId => `run-${String(index + 1).padStart(3, '0')}` as JobId;

const isLimited = (historyJob: HistoryJob): boolean =>
  historyJob.limited && historyJob.kind !== 'service' && historyJob.runS <= LONGEST_LIMITED_S;

/** Whether a job depends on the one before it. */
function dependsOnPrevious(jobs: readonly HistoryJob[], index: number): boolean {
  const previous = jobs[index - 1];
  return jobs[index]!.chained && previous !== undefined && previous.kind !== 'service';
}

/** The job as its user submits it. */
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

/** When the last fault is over, in seconds from the first job. */
export const faultsEndS = (history: History): number =>
  history.troubles.reduce((end, fault) => Math.max(end, fault.atS + fault.forS), FAULTS_S);

/** Seconds for which the jobs of the longest chain run one after the other. */
function longestChainS(jobs: readonly HistoryJob[]): number {
  let longest = 0;
  let chain = 0;
  jobs.forEach((historyJob, index) => {
    chain = (dependsOnPrevious(jobs, index) ? chain + CHAIN_LINK_S : 0) + historyJob.runS;
    longest = Math.max(longest, chain);
  });
  return longest;
}

/** Seconds that the limited team's tasks take, as many at a time as its limit allows. */
const limitedS = (jobs: readonly HistoryJob[]): number =>
  jobs.filter(isLimited).reduce((seconds, { tasks, runS }) => seconds + (tasks * runS) / LIMITED_AT_ONCE, 0);

/** Seconds after the last fault within which the longest chain and the limited team's work can be over. */
export const calmS = ({ jobs }: History): number =>
  CALM_S + Math.max(0, longestChainS(jobs) + limitedS(jobs) - LONGEST_RUN_S);
