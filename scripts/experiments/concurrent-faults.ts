// npm run experiment -- concurrent-faults: runs generated histories of concurrent faults in the simulated
// world and checks them against the users' rules. A history that breaks a rule is shrunk and printed, and can
// be replayed from a file.
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
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
import { wholeNumber } from '../option-values.ts';

const USAGE_ERROR_EXIT_CODE = 2;

interface Options {
  histories: number;
  seed: number;
  replay?: string;
  log?: boolean;
}

/** Totals over all histories that were run, including those run while shrinking. */
interface Totals {
  /** Number of occurrences of each combination of faults. */
  combinationCounts: CombinationCounts;
  played: number;
  notPlayed: number;
  latestTaskEndMs: number;
  longestUnansweredMs: number;
  longestAvoidableWaitMs: number;
  latestStartMs: number;
}

const print = (line: string): boolean => process.stdout.write(`${line}\n`);

function isHistory(value: Partial<History> | null): value is History {
  const hasSeedAndNodes = Number.isInteger(value?.seed) && Number(value?.nodes) > 0;
  return hasSeedAndNodes && Array.isArray(value?.jobs) && Array.isArray(value?.troubles);
}

/** Reads a history from a file; if it is invalid, prints the reason in one line and exits. */
function readHistoryFile(file: string): History {
  try {
    const value = JSON.parse(readFileSync(file, 'utf8')) as Partial<History> | null;
    if (isHistory(value)) return value;
    throw new InvalidInputError('expected an object with the fields jobs, troubles, seed and nodes');
  } catch (error) {
    process.stderr.write(`meetings: ${file} is no history: ${(error as Error).message}\n`);
    process.exit(USAGE_ERROR_EXIT_CODE);
  }
}

function emptyTotals(): Totals {
  return {
    combinationCounts: Object.fromEntries(FAULT_COMBINATIONS.map((name) => [name, 0])) as CombinationCounts,
    played: 0,
    notPlayed: 0,
    latestTaskEndMs: 0,
    longestUnansweredMs: 0,
    longestAvoidableWaitMs: 0,
    latestStartMs: 0,
  };
}

function addVerdict(totals: Totals, verdict: Verdict): void {
  for (const name of FAULT_COMBINATIONS) totals.combinationCounts[name] += verdict.met[name];
  totals.latestTaskEndMs = Math.max(totals.latestTaskEndMs, verdict.latestGoneMs);
  totals.longestUnansweredMs = Math.max(totals.longestUnansweredMs, verdict.longestSilenceMs);
  totals.longestAvoidableWaitMs = Math.max(totals.longestAvoidableWaitMs, verdict.longestNeedlessMs);
  totals.latestStartMs = Math.max(totals.latestStartMs, verdict.latestStartMs);
  totals.played++;
  if (!verdict.played) totals.notPlayed++;
}

/** Runs generated histories until one breaks a rule; returns the shrunk history, or null if none does. */
function search(histories: number, seed: number, play: (history: History) => string[]): History | null {
  const property = fc.property(historyArbitrary, (history) => play(history).length === 0);
  const result = fc.check(property, { ...SAMPLING, numRuns: histories, seed });
  return result.failed && result.counterexample !== null ? result.counterexample[0] : null;
}

function printTotals(totals: Totals, broken: number): void {
  const seconds = (ms: number): string => (ms / 1000).toFixed(1);
  for (const name of FAULT_COMBINATIONS) print(`met ${name}: ${totals.combinationCounts[name]}`);
  print(
    `latest end of a cancelled task: ${seconds(totals.latestTaskEndMs)} s after the confirmation, limit 40 s`,
  );
  print(
    `longest time without responses: ${seconds(totals.longestUnansweredMs)} s after the last fault, limit 75 s`,
  );
  print(`longest avoidable wait: ${seconds(totals.longestAvoidableWaitMs)} s, limit 90 s`);
  print(
    `latest start of a cancelled job: ${seconds(totals.latestStartMs)} s after the confirmation, limit 4.1 s`,
  );
  const met = Object.values(totals.combinationCounts).reduce((sum, count) => sum + count, 0);
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
  .description(
    'runs generated histories of concurrent faults and checks the rules; exits with 1 if a rule is broken',
  )
  .option('--histories <n>', 'number of histories to run', wholeNumber(1), 300)
  .option('--seed <n>', 'seed of the history generator', wholeNumber(1), 1)
  .option('--replay <file>', 'run only the history in this file, in the form in which a failed run prints it')
  .option('--log', 'print the log of the controllers')
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : USAGE_ERROR_EXIT_CODE))
  .action(main);
program.parse();
