// npm run experiment -- concurrent-faults: many histories of faults that coincide, in the simulated world,
// checked by the users' rules. A history that breaks one is shrunk and printed, and can be played again from
// a file.
import { readFileSync } from 'node:fs';
import { Command, InvalidArgumentError } from 'commander';
import fc from 'fast-check';
import {
  type CombinationCounts,
  FAULT_COMBINATIONS,
  type History,
  historyArbitrary,
  playHistory,
  SAMPLING,
  type Verdict,
} from '../../test/support/fault-history.ts';
import { InvalidInputError } from '../errors.ts';

const USAGE_ERROR = 2;

interface Options {
  histories: number;
  seed: number;
  replay?: string;
  log?: boolean;
}

/** What came of all histories that were played, shrunk ones among them. */
interface Totals {
  met: CombinationCounts;
  played: number;
  notPlayed: number;
  latestGoneMs: number;
  longestSilenceMs: number;
  longestNeedlessMs: number;
  latestStartMs: number;
}

function parseWhole(text: string): number {
  const number = Number(text);
  if (!Number.isInteger(number) || number < 1)
    throw new InvalidArgumentError('a whole number from 1 on is expected');
  return number;
}

const print = (line: string): boolean => process.stdout.write(`${line}\n`);

function isHistory(value: Partial<History> | null): value is History {
  const isDrawn = Number.isInteger(value?.seed) && Number(value?.nodes) > 0;
  return isDrawn && Array.isArray(value?.jobs) && Array.isArray(value?.troubles);
}

/** A history from a file; says in one line what is wrong with it. */
function readHistoryFile(file: string): History {
  try {
    const value = JSON.parse(readFileSync(file, 'utf8')) as Partial<History> | null;
    if (isHistory(value)) return value;
    throw new InvalidInputError('it has no jobs, troubles, seed and nodes');
  } catch (error) {
    process.stderr.write(`meetings: ${file} is no history: ${(error as Error).message}\n`);
    process.exit(USAGE_ERROR);
  }
}

function emptyTotals(): Totals {
  return {
    met: Object.fromEntries(FAULT_COMBINATIONS.map((name) => [name, 0])) as CombinationCounts,
    played: 0,
    notPlayed: 0,
    latestGoneMs: 0,
    longestSilenceMs: 0,
    longestNeedlessMs: 0,
    latestStartMs: 0,
  };
}

function addVerdict(totals: Totals, verdict: Verdict): void {
  for (const name of FAULT_COMBINATIONS) totals.met[name] += verdict.met[name];
  for (const figure of ['latestGoneMs', 'longestSilenceMs', 'longestNeedlessMs', 'latestStartMs'] as const)
    totals[figure] = Math.max(totals[figure], verdict[figure]);
  totals.played++;
  if (!verdict.played) totals.notPlayed++;
}

/** Plays drawn histories until one breaks a rule; returns the shrunk one, or null. */
function search(histories: number, seed: number, play: (history: History) => string[]): History | null {
  const property = fc.property(historyArbitrary, (history) => play(history).length === 0);
  const result = fc.check(property, { ...SAMPLING, numRuns: histories, seed });
  return result.failed && result.counterexample !== null ? result.counterexample[0] : null;
}

function printTotals(totals: Totals, broken: number): void {
  const seconds = (ms: number): string => (ms / 1000).toFixed(1);
  for (const name of FAULT_COMBINATIONS) print(`met ${name}: ${totals.met[name]}`);
  print(`latest gone ${seconds(totals.latestGoneMs)} s after the confirmation, of 40 s`);
  print(`longest silence ${seconds(totals.longestSilenceMs)} s after the last trouble, of 75 s`);
  print(`longest needless wait ${seconds(totals.longestNeedlessMs)} s, of 90 s`);
  print(
    `latest start of a cancelled job ${seconds(totals.latestStartMs)} s after the confirmation, of 4.1 s`,
  );
  const met = Object.values(totals.met).reduce((sum, count) => sum + count, 0);
  print(
    `meetings: histories=${totals.played} met=${met} rules_broken=${broken} not_played=${totals.notPlayed}`,
  );
}

function main({ histories, seed, replay, log }: Options): void {
  const totals = emptyTotals();
  const onLogs = log ? (lines: string[]) => print(lines.join('\n')) : undefined;
  const play = (history: History): string[] => {
    const verdict = playHistory(history, onLogs);
    addVerdict(totals, verdict);
    return verdict.broken;
  };
  let broken = 0;
  if (replay !== undefined) {
    const rules = play(readHistoryFile(replay));
    broken = rules.length;
    for (const rule of rules) print(rule);
  } else {
    const counterexample = search(histories, seed, play);
    if (counterexample !== null) {
      const rules = playHistory(counterexample).broken;
      broken = Math.max(1, rules.length);
      for (const rule of rules) print(rule);
      print(JSON.stringify(counterexample));
    }
  }
  printTotals(totals, broken);
  process.exitCode = broken > 0 ? 1 : 0;
}

const program = new Command('meetings')
  .description('histories of faults that coincide, checked by the rules; exits with 1 when one is broken')
  .option('--histories <n>', 'how many', parseWhole, 300)
  .option('--seed <n>', 'of the first', parseWhole, 1)
  .option('--replay <file>', 'one history, as a failed run printed it')
  .option('--log', 'print what the controllers log')
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : USAGE_ERROR))
  .action(main);
program.parse();
