// A day of a scenario over several seeds, on this revision and perhaps an earlier one: how it is printed, and
// what fails it.
import {
  type FirstStart,
  formatLeastServed,
  type LeastServed,
  leastServed,
  longestStart,
} from './least-served.ts';
import { NOISE } from './regression-levels.ts';
import { failuresOf, type ScenarioResult } from './scenario-result.ts';

/** The results of a day, one for each seed. */
export interface ScenarioRow {
  name: string;
  day: string;
  now: ScenarioResult[];
  /** Of the earlier revision; empty if there is none. */
  base: ScenarioResult[];
}

const sumOf = (results: readonly ScenarioResult[], of: (result: ScenarioResult) => number): number =>
  results.reduce((sum, result) => sum + of(result), 0);

const meanOf = (results: readonly ScenarioResult[], of: (result: ScenarioResult) => number): number =>
  sumOf(results, of) / Math.max(1, results.length);

const mostOf = (results: readonly ScenarioResult[], of: (result: ScenarioResult) => number): number =>
  Math.max(...results.map(of));

const meanMark = (results: readonly ScenarioResult[]): number =>
  meanOf(results, (result) => result.mark ?? 0);

function formatLeast(
  results: readonly ScenarioResult[],
  of: (result: ScenarioResult) => LeastServed | null,
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
  return `, cancelled past the leader ${met}, latest gone ${latestGoneS ?? 'none'} of ${cancelS} s`;
}

function formatResults(results: readonly ScenarioResult[]): string {
  const figures = [
    `mark ${meanMark(results).toFixed(3)}`,
    `least class ${formatLeast(results, (result) => result.leastClass)}`,
    `least team ${formatLeast(results, (result) => result.leastTeam)}`,
    `least of the largest ${formatLeast(results, (result) => result.leastLargest)}`,
    `longest first start ${formatLongestStart(results)}`,
    `killed by lease ${sumOf(results, (result) => result.killedByLease)}`,
    `lost ${sumOf(results, (result) => result.lost)}`,
    `processor ${Math.round(mostOf(results, (result) => result.cpuS))} s`,
    `memory ${Math.round(mostOf(results, (result) => result.memoryMb))} MB`,
    `sockets ${mostOf(results, (result) => result.sockets)}`,
    `ended ${sumOf(results, (result) => result.ended)}`,
    `broken ${sumOf(results, (result) => result.broken)}`,
  ];
  return `${figures.join(', ')}${results.map(formatRefusedLeader).join('')}`;
}

/** The figures of a row, with those of the earlier revision on a line of their own. */
export function formatRow({ name, day, now, base }: ScenarioRow): string {
  const before = base.length === 0 ? '' : `\n    before: ${formatResults(base)}`;
  return `${name} ${day}: ${formatResults(now)}${before}`;
}

/** Aims of a row, mean over its seeds, beside those before: a line for each. */
export function formatAims({ now, base }: ScenarioRow): string[] {
  return Object.keys(now[0]?.aims ?? {}).map((aim) => {
    const mean = (results: readonly ScenarioResult[]): string =>
      meanOf(results, (result) => result.aims[aim] ?? 0).toFixed(3);
    return `    ${aim}: ${mean(now)}${base.length === 0 ? '' : ` (before ${mean(base)})`}`;
  });
}

/** What is wrong with a row: runs that fail by themselves, and a mean that has fallen. */
export function rowFailures({ name, day, now, base }: ScenarioRow): string[] {
  const failures = now.flatMap((result) => failuresOf(result).map((text) => `${name} ${day}: ${text}`));
  if (base.length > 0 && meanMark(now) < meanMark(base) - NOISE)
    failures.push(`${name} ${day}: ${meanMark(now).toFixed(3)} for ${meanMark(base).toFixed(3)} before`);
  return failures;
}
