// Formats the results of a scenario's day over several seeds, for this revision and optionally an earlier
// one, and decides whether the day has failed.
import {
  type FirstStart,
  formatLeastServed,
  leastServed,
  longestStart,
  type ServedFractions,
} from './least-served.ts';
import { SCORE_NOISE } from './regression-levels.ts';
import { failuresOf, type ScenarioResult } from './scenario-result.ts';

/** The results of a scenario's day, one for each seed. */
export interface ScenarioRow {
  name: string;
  day: string;
  /** Results of this revision. */
  now: ScenarioResult[];
  /** Results of the earlier revision; empty if there is none. */
  base: ScenarioResult[];
}

const sumOf = (results: readonly ScenarioResult[], of: (result: ScenarioResult) => number): number =>
  results.reduce((sum, result) => sum + of(result), 0);

const meanOf = (results: readonly ScenarioResult[], of: (result: ScenarioResult) => number): number =>
  sumOf(results, of) / Math.max(1, results.length);

const maxOf = (results: readonly ScenarioResult[], of: (result: ScenarioResult) => number): number =>
  Math.max(...results.map(of));

const meanScore = (results: readonly ScenarioResult[]): number =>
  meanOf(results, (result) => result.score ?? 0);

function formatLeast(
  results: readonly ScenarioResult[],
  of: (result: ScenarioResult) => ServedFractions | null,
): string {
  return formatLeastServed(leastServed(results.map(of).filter((least) => least !== null)));
}

function formatLongestStart(results: readonly ScenarioResult[]): string {
  const starts = results.map((result) => result.longestStart);
  const longest = longestStart(starts.filter((start): start is FirstStart => start !== null));
  return longest === null ? 'unknown' : `${longest.name} ${Math.round(longest.s)} s`;
}

function formatRefusedLeader({ refused }: ScenarioResult): string {
  if (refused === undefined) return '';
  const { met, latestGoneS, cancelS } = refused;
  return `, cancelled jobs on machines of a refused leader ${met}, latest lease end ${latestGoneS ?? 'none'} s of ${cancelS} s`;
}

function formatResults(results: readonly ScenarioResult[]): string {
  const figures = [
    `score ${meanScore(results).toFixed(3)}`,
    `least served class ${formatLeast(results, (result) => result.leastClass)}`,
    `least served team ${formatLeast(results, (result) => result.leastTeam)}`,
    `least started largest jobs ${formatLeast(results, (result) => result.leastLargest)}`,
    `longest first start ${formatLongestStart(results)}`,
    `killed by lease ${sumOf(results, (result) => result.killedByLease)}`,
    `lost ${sumOf(results, (result) => result.lost)}`,
    `processor time ${Math.round(maxOf(results, (result) => result.cpuS))} s`,
    `memory ${Math.round(maxOf(results, (result) => result.memoryMb))} MB`,
    `sockets ${maxOf(results, (result) => result.sockets)}`,
    `unexpected exits ${sumOf(results, (result) => result.unexpectedExits)}`,
    `rules broken ${sumOf(results, (result) => result.broken)}`,
  ];
  return `${figures.join(', ')}${results.map(formatRefusedLeader).join('')}`;
}

/** Formats the figures of a row; those of the earlier revision are on a separate line. */
export function formatRow({ name, day, now, base }: ScenarioRow): string {
  const baseLine = base.length === 0 ? '' : `\n    before: ${formatResults(base)}`;
  return `${name} ${day}: ${formatResults(now)}${baseLine}`;
}

/** Formats the objectives of a row, one a line: the mean over the seeds, and that of the earlier revision. */
export function formatObjectives({ now, base }: ScenarioRow): string[] {
  return Object.keys(now[0]?.objectives ?? {}).map((objective) => {
    const mean = (results: readonly ScenarioResult[]): string =>
      meanOf(results, (result) => result.objectives[objective] ?? 0).toFixed(3);
    return `    ${objective}: ${mean(now)}${base.length === 0 ? '' : ` (before ${mean(base)})`}`;
  });
}

/**
 * The failures of a row: failed runs, and a mean score below that of the earlier revision by more than noise.
 */
export function rowFailures({ name, day, now, base }: ScenarioRow): string[] {
  const failures = now.flatMap((result) => failuresOf(result).map((text) => `${name} ${day}: ${text}`));
  if (base.length > 0 && meanScore(now) < meanScore(base) - SCORE_NOISE)
    failures.push(`${name} ${day}: ${meanScore(now).toFixed(3)} for ${meanScore(base).toFixed(3)} before`);
  return failures;
}
