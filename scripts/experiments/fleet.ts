// npm run experiment -- fleet: runs days of a whole fleet on a simulated clock, and optionally compares this
// revision with an earlier one, or two sets of options, on the same seeds. Reports jobs served, waiting
// times, fairness between teams, images fetched and work lost.
import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { Command } from 'commander';
import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import { bundle, bundleScript, checkout, runnerOf, WORK_FOLDER } from './bundle.ts';
import { DAYS, HEARTBEAT_INTERVAL_MS } from './fleet-days.ts';
import type { DayResult, Outcome, Setup } from './fleet-types.ts';
import { plot } from './plot.ts';

const run = promisify(execFile);

const RUNNER_SCRIPT = 'fleet-run.ts';
const RUNNER_HEAP_MB = 6000;
const OUTPUT_MAX_BYTES = 1 << 26;
/** Time from the last arrival to the end of the day, as a fraction of the time in which jobs arrive. */
const DRAIN_FRACTION = 0.6;
/** A day fails if a smaller fraction of the jobs of a class or a team is served. */
const MIN_SERVED_FRACTION = 0.5;
const MAX_VIOLATIONS_SHOWN = 5;

/** One side of a comparison: a version of the library with options. */
interface Side {
  name: string;
  runnerPath: string;
  libraryPath: string;
  options: Setup['options'];
}

/** A day that is to be run. */
interface PlannedDay {
  machines: string;
  day: string;
  seed: string;
  side: Side;
}

interface Options {
  machines: string[];
  days: string[];
  seeds: string[];
  teams: string;
  base?: string;
  against?: string;
  jobs: string;
  length: string;
  plot?: string;
}

/** The options under the names of this revision and of earlier ones. */
const withEarlierNames = (options: Setup['options']): Setup['options'] & { takeBackMs: number } => ({
  ...options,
  takeBackMs: options.dequeueAfterMs,
});

/** An earlier revision, run by its own runner, because the names of messages differ between revisions. */
async function baseSide(revision: string, options: Setup['options']): Promise<Side> {
  const root = checkout(revision);
  return {
    name: 'base',
    runnerPath: await bundleScript(runnerOf(root, RUNNER_SCRIPT), 'base-fleet-run'),
    libraryPath: await bundle(root, 'base-lib'),
    options: withEarlierNames(options),
  };
}

/** This revision and the sides that it is compared with. */
async function sidesOf({ base, against }: Options): Promise<Side[]> {
  const options: Setup['options'] = schedulerOptions(defaults(), HEARTBEAT_INTERVAL_MS / 1000);
  const runnerPath = await bundleScript(runnerOf('.', RUNNER_SCRIPT), 'fleet-run');
  const libraryPath = await bundle('.', 'now-lib');
  const sides: Side[] = [{ name: 'now', runnerPath, libraryPath, options }];
  if (base !== undefined) sides.push(await baseSide(base, options));
  if (against !== undefined) {
    const changed = JSON.parse(against) as Partial<Setup['options']>;
    sides.push({ name: 'against', runnerPath, libraryPath, options: { ...options, ...changed } });
  }
  return sides;
}

async function runDay(
  { machines, day, seed, side }: PlannedDay,
  { teams, length }: Options,
): Promise<DayResult> {
  const setup: Setup = {
    machines: Number(machines),
    teams: Number(teams),
    seed: Number(seed),
    arriveS: Number(length),
    drainS: Number(length) * DRAIN_FRACTION,
    options: side.options,
  };
  const heap = `--max-old-space-size=${RUNNER_HEAP_MB}`;
  const args = [heap, side.runnerPath, side.libraryPath, day, JSON.stringify(setup)];
  const { stdout } = await run(process.execPath, args, { maxBuffer: OUTPUT_MAX_BYTES });
  const outcome = JSON.parse(stdout) as Outcome;
  return { side: side.name, machines: setup.machines, day, seed: setup.seed, outcome };
}

// ---- figures

/** The lowest of several fractions; 1 if there are none. */
const minimumOf = (fractions: number[]): number =>
  fractions.reduce((lowest, fraction) => Math.min(lowest, fraction), 1);
const doneFraction = (served: { jobs: number; done: number }): number => served.done / served.jobs;
const leastClass = (outcome: Outcome): number => minimumOf(Object.values(outcome.classes).map(doneFraction));
const leastTeam = (outcome: Outcome): number => minimumOf(Object.values(outcome.teams).map(doneFraction));
const leastFairShare = (outcome: Outcome): number => minimumOf(Object.values(outcome.fair));

function formatDay({ side, machines, day, seed, outcome }: DayResult): string {
  const classes = Object.entries(outcome.classes).map(([name, { jobs, done, wait }]) => {
    const waits = [wait.p50, wait.p90, wait.p99, wait.max].map((seconds) => seconds.toFixed(0));
    return `${name} ${done}/${jobs} wait ${waits.join('/')}`;
  });
  const shares = `least team ${leastTeam(outcome).toFixed(2)}, fair share ${leastFairShare(outcome).toFixed(2)}`;
  const fetched = `fetched ${outcome.fetchedGb.toFixed(0)} GB in ${outcome.fetches}`;
  const lost = `lost ${(outcome.lostWork * 100).toFixed(1)}%, killed by lease ${outcome.killedByLease}`;
  return `${side} ${machines} ${day} ${seed}: ${classes.join(', ')}; ${shares}, Jain ${outcome.jain.toFixed(2)}, ${fetched}, ${lost}, broken ${outcome.broken.length} (${outcome.cpuS.toFixed(0)} s)`;
}

function printDay(result: DayResult): void {
  process.stdout.write(`${formatDay(result)}\n`);
  for (const violation of result.outcome.broken.slice(0, MAX_VIOLATIONS_SHOWN))
    process.stdout.write(`    ${violation}\n`);
}

/** Prints the summary line; returns whether a rule was broken or a class or a team was not served enough. */
function printSummary(machines: string[], days: DayResult[]): boolean {
  const outcomes = days.map((result) => result.outcome);
  const worst = (of: (outcome: Outcome) => number): string => minimumOf(outcomes.map(of)).toFixed(2);
  const broken = outcomes.reduce((total, outcome) => total + outcome.broken.length, 0);
  const lost = Math.max(...outcomes.map((outcome) => outcome.lostWork));
  process.stdout.write(
    `fleet: machines=${machines.join('+')} days=${days.length} worst_class_served=${worst(leastClass)} worst_team_served=${worst(leastTeam)} worst_fair_share=${worst(leastFairShare)} lost_work=${lost.toFixed(3)} rules_broken=${broken}\n`,
  );
  const isUnderserved =
    Number(worst(leastClass)) < MIN_SERVED_FRACTION || Number(worst(leastTeam)) < MIN_SERVED_FRACTION;
  return broken > 0 || isUnderserved;
}

async function main(options: Options): Promise<void> {
  const sides = await sidesOf(options);
  const queue: PlannedDay[] = options.machines.flatMap((machines) =>
    options.days.flatMap((day) =>
      options.seeds.flatMap((seed) => sides.map((side) => ({ machines, day, seed, side }))),
    ),
  );
  const results: DayResult[] = [];
  const runNext = async (): Promise<void> => {
    for (let planned = queue.shift(); planned !== undefined; planned = queue.shift()) {
      const result = await runDay(planned, options);
      results.push(result);
      printDay(result);
    }
  };
  await Promise.all(Array.from({ length: Number(options.jobs) }, runNext));
  if (options.plot !== undefined) writeFileSync(options.plot, await plot(results));
  const ownResults = results.filter((result) => result.side === 'now');
  if (printSummary(options.machines, ownResults)) process.exitCode = 1;
}

const program = new Command('fleet')
  .option('--machines <n...>', 'sizes of the fleet, in machines', ['1000', '3000'])
  .option(
    '--days <names...>',
    DAYS.map((day) => `${day.name} (${day.about})`).join(', '),
    DAYS.map((day) => day.name),
  )
  .option('--seeds <n...>', 'seeds', ['1'])
  .option('--teams <n>', 'number of teams', '20')
  .option('--length <s>', 'seconds in which jobs arrive; the day ends after a further 0.6 times this', '400')
  .option('--base <revision>', 'an earlier revision to compare with, run by its own runner')
  .option('--against <json>', 'options to compare with, such as {"teamFloor":0}')
  .option(
    '--jobs <n>',
    'number of days run in parallel',
    `${Math.max(1, Math.floor(availableParallelism() / 2))}`,
  )
  .option('--plot <file>', 'SVG file to write, with waits and shares', join(WORK_FOLDER, 'fleet.svg'))
  .action(main);
await program.parseAsync();
