// Reads the result of one run of a scenario from the bench's report and the service's log, and decides
// whether the run has failed. Free of I/O, so that it can be tested without the bench.
import type { BenchReport, TargetReport } from './bench.ts';
import {
  type FirstStart,
  leastServed,
  leastServedClass,
  leastServedTeam,
  leastStarted,
  longestStart,
  longestStartsByClass,
  type ServedFractions,
} from './least-served.ts';
import type { RefusedLeader } from './refused-leader.ts';

/** The result of one day with one seed. */
export interface ScenarioResult {
  /** The bench's score of the day; null if the bench printed none. */
  score: number | null;
  /** Number of violations of the users' rules. */
  broken: number;
  leastClass: ServedFractions | null;
  leastTeam: ServedFractions | null;
  /** The class whose largest jobs were started least; null if the report has no such figures. */
  leastLargest: ServedFractions | null;
  /** The longest time to a first start in any class; null if the report has none. */
  longestStart: FirstStart | null;
  /** Tasks that machines killed because their lease ended, and tasks that were lost. */
  killedByLease: number;
  lost: number;
  /** Processor time of the run in seconds. */
  cpuS: number;
  /** Number of process exits that were not caused by an injected fault. */
  unexpectedExits: number;
  /** Peak memory and peak number of sockets of one process. */
  memoryMb: number;
  sockets: number;
  /** Degree to which each objective of the site was met, by name. */
  objectives: Record<string, number>;
  /** Only in scenarios with a refused leader; see refused-leader.ts. */
  refused?: RefusedLeader & { cancelS: number };
}

/** A run fails if a smaller fraction of the jobs of a class or a team is served. */
export const MIN_SERVED_FRACTION = 0.5;
/** A run fails if the first start of a job that started took longer than this. */
export const START_MAX_S = 240;
/** A run fails if it takes more processor time than this. */
export const CPU_MAX_S = 400;

/** The line that the bench prints for a day: its name, the number of rules, and its score. */
const SCORE_LINE = /^\S+ +\d+ +([\d.]+) /m;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

function objectivesOf(targets: readonly TargetReport[]): Record<string, number> {
  const objectives: Record<string, number> = {};
  for (const target of targets) {
    const words = [target.kind, target.class, target.within_s ?? target.times];
    const name = words.filter((word) => word !== undefined && word !== null).join(' ');
    if (target.value !== null) objectives[name] = target.value;
  }
  return objectives;
}

/** Reads the result of a run from its report and from the output of the bench and the processes. */
export function readResult(report: BenchReport, log: string): ScenarioResult {
  const scoreLine = SCORE_LINE.exec(log);
  const { node_stats: nodes, spent, fleet } = report;
  const leastTeams = [leastServedTeam(log), leastStarted(report.teams)].filter((least) => least !== null);
  const unexpectedExits = nodes.map(
    ({ restarts }) => restarts.filter((restart) => restart.why !== 'fault').length,
  );
  return {
    score: scoreLine === null ? null : Number(scoreLine[1]),
    broken: report.rules_broken.total,
    leastClass: leastServedClass(report),
    leastTeam: leastServed(leastTeams),
    leastLargest: leastStarted(report.largest ?? {}),
    longestStart: longestStart(longestStartsByClass(report)),
    killedByLease: fleet.tasks_killed_by_lease,
    lost: fleet.tasks_lost,
    cpuS: sum([...spent.world, ...spent.processes]),
    unexpectedExits: sum(unexpectedExits),
    memoryMb: Math.max(...nodes.map((node) => node.memory_peak_mb)),
    sockets: Math.max(...nodes.map((node) => node.connections_peak)),
    objectives: objectivesOf(report.targets),
  };
}

/** The reasons for which a run fails, without comparison with another run. */
export function failuresOf(result: ScenarioResult): string[] {
  const failures: string[] = [];
  if (result.broken > 0) failures.push(`${result.broken} broken rules`);
  if (result.unexpectedExits > 0) failures.push(`${result.unexpectedExits} processes ended by themselves`);
  if (result.cpuS > CPU_MAX_S) failures.push(`${Math.round(result.cpuS)} s of processor time`);
  if (result.score === null || result.score <= 0) failures.push('the day is worth nothing');
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
    if (least !== null && least.jobs < MIN_SERVED_FRACTION)
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
