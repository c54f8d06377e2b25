// What one run of a scenario came to, by the bench's report and the service's log, and what makes it fail by
// itself. Pure, so that it is tested without the bench.
import type { BenchReport, TargetReport } from './bench.ts';
import {
  type FirstStart,
  type LeastServed,
  leastServed,
  leastServedClass,
  leastServedTeam,
  leastStarted,
  longestStart,
  longestStartsByClass,
} from './least-served.ts';
import type { RefusedLeader } from './refused-leader.ts';

/** The result of one day on one seed. */
export interface ScenarioResult {
  /** What the day is worth; null if the bench did not say. */
  mark: number | null;
  /** Rules that were broken. */
  broken: number;
  leastClass: LeastServed | null;
  leastTeam: LeastServed | null;
  /** Of any class's largest jobs; null if the report does not say. */
  leastLargest: LeastServed | null;
  /** Of any class: the longest time to a first start; null if the report does not say. */
  longestStart: FirstStart | null;
  killedByLease: number;
  lost: number;
  /** Processor time that the day took to play. */
  cpuS: number;
  /** Processes that ended by themselves. */
  ended: number;
  /** The most memory and sockets of one process. */
  memoryMb: number;
  sockets: number;
  /** Aims of the site by name, and how far each was met. */
  aims: Record<string, number>;
  /** Of a scenario with a refused leader; see refused-leader.ts. */
  refused?: RefusedLeader & { cancelS: number };
}

/** A day fails on which a class or a team is served less than this. */
export const LEAST_SERVED = 0.5;
/** Every job that starts at all is to start within this. */
export const START_MAX_S = 240;
/** A day that takes longer to play has failed too. */
export const CPU_MAX_S = 400;

/** The bench's line of a day: its name, the number of rules, and its mark. */
const MARK_LINE = /^\S+ +\d+ +([\d.]+) /m;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

function aimsOf(targets: readonly TargetReport[]): Record<string, number> {
  const aims: Record<string, number> = {};
  for (const target of targets) {
    const words = [target.kind, target.class, target.within_s ?? target.times];
    const name = words.filter((word) => word !== undefined && word !== null).join(' ');
    if (target.value !== null) aims[name] = target.value;
  }
  return aims;
}

/** Reads the result of a day from its report and from all that was printed. */
export function readResult(report: BenchReport, log: string): ScenarioResult {
  const mark = MARK_LINE.exec(log);
  const { node_stats: nodes, spent, fleet } = report;
  const leastTeams = [leastServedTeam(log), leastStarted(report.teams)].filter((least) => least !== null);
  const endedByThemselves = nodes.map(
    ({ restarts }) => restarts.filter((restart) => restart.why !== 'fault').length,
  );
  return {
    mark: mark === null ? null : Number(mark[1]),
    broken: report.rules_broken.total,
    leastClass: leastServedClass(report),
    leastTeam: leastServed(leastTeams),
    leastLargest: leastStarted(report.largest ?? {}),
    longestStart: longestStart(longestStartsByClass(report)),
    killedByLease: fleet.tasks_killed_by_lease,
    lost: fleet.tasks_lost,
    cpuS: sum([...spent.world, ...spent.processes]),
    ended: sum(endedByThemselves),
    memoryMb: Math.max(...nodes.map((node) => node.memory_peak_mb)),
    sockets: Math.max(...nodes.map((node) => node.connections_peak)),
    aims: aimsOf(report.targets),
  };
}

/** What makes a run fail by itself. */
export function failuresOf(result: ScenarioResult): string[] {
  const failures: string[] = [];
  if (result.broken > 0) failures.push(`${result.broken} broken rules`);
  if (result.ended > 0) failures.push(`${result.ended} processes ended by themselves`);
  if (result.cpuS > CPU_MAX_S) failures.push(`${Math.round(result.cpuS)} s of processor time`);
  if (result.mark === null || result.mark <= 0) failures.push('the day is worth nothing');
  return [...failures, ...serviceFailures(result), ...refusedLeaderFailures(result)];
}

function serviceFailures(result: ScenarioResult): string[] {
  const failures: string[] = [];
  const served = [
    ['class', result.leastClass],
    ['team', result.leastTeam],
    ['the largest of', result.leastLargest],
  ] as const;
  for (const [what, least] of served)
    if (least !== null && least.jobs < LEAST_SERVED)
      failures.push(`${what} ${least.name} served ${least.jobs.toFixed(2)}`);
  const start = result.longestStart;
  if (start !== null && start.s > START_MAX_S)
    failures.push(`${start.name} waited ${Math.round(start.s)} s for a first start`);
  return failures;
}

function refusedLeaderFailures({ refused }: ScenarioResult): string[] {
  if (refused === undefined) return [];
  const { met, latestGoneS, cancelS } = refused;
  const failures: string[] = [];
  if (met === 0) failures.push('no job was cancelled past a refused leader: the play proves nothing');
  if (latestGoneS !== null && latestGoneS > cancelS)
    failures.push(`cancelled tasks may have lasted ${latestGoneS.toFixed(1)} s of ${cancelS}`);
  return failures;
}
