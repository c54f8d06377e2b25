// npm run experiment -- fleet: days of a whole fleet on a simulated clock, this revision beside an earlier
// one or one option beside another, on the same seeds: who is served, how long work waits, how fairly teams
// share, what is fetched and lost.
import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { Command } from 'commander';
import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import { bundle, bundleScript, checkout, runnerOf, WORK } from './bundle.ts';
import { DAYS, HEARTBEAT_INTERVAL_MS } from './fleet-days.ts';
import type { Outcome, Played, Setup } from './fleet-types.ts';
import { plot } from './plot.ts';

const run = promisify(execFile);

const RUNNER_SCRIPT = 'fleet-run.ts';
const RUNNER_HEAP_MB = 6000;
const OUTPUT_MAX_BYTES = 1 << 26;
/** A day goes on for this part of the time in which jobs arrive. */
const DRAIN_PART = 0.6;
/** A day fails on which a class or a team is served less than this. */
const LEAST_SERVED = 0.5;
const BROKEN_SHOWN = 5;

/** A version of the library with options, which is compared with others. */
interface Side {
  name: string;
  runner: string;
  lib: string;
  options: Setup['options'];
}

/** A day that is to be played. */
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

/** Options as this revision and earlier ones name them. */
const withEarlierNames = (options: Setup['options']): Setup['options'] & { takeBackMs: number } => ({
  ...options,
  takeBackMs: options.dequeueAfterMs,
});

/** An earlier revision, played by its own runner, which knows the names of that revision's messages. */
async function baseSide(revision: string, options: Setup['options']): Promise<Side> {
  const root = checkout(revision);
  return {
    name: 'base',
    runner: await bundleScript(runnerOf(root, RUNNER_SCRIPT), 'base-fleet-run'),
    lib: await bundle(root, 'base-lib'),
    options: withEarlierNames(options),
  };
}

/** This revision, and what it is compared with. */
async function sidesOf({ base, against }: Options): Promise<Side[]> {
  const options: Setup['options'] = schedulerOptions(defaults(), HEARTBEAT_INTERVAL_MS / 1000);
  const runner = await bundleScript(runnerOf('.', RUNNER_SCRIPT), 'fleet-run');
  const lib = await bundle('.', 'now-lib');
  const sides: Side[] = [{ name: 'now', runner, lib, options }];
  if (base !== undefined) sides.push(await baseSide(base, options));
  if (against !== undefined) {
    const changed = JSON.parse(against) as Partial<Setup['options']>;
    sides.push({ name: 'against', runner, lib, options: { ...options, ...changed } });
  }
  return sides;
}

async function play({ machines, day, seed, side }: PlannedDay, { teams, length }: Options): Promise<Played> {
  const setup: Setup = {
    machines: Number(machines),
    teams: Number(teams),
    seed: Number(seed),
    arriveS: Number(length),
    drainS: Number(length) * DRAIN_PART,
    options: side.options,
  };
  const heap = `--max-old-space-size=${RUNNER_HEAP_MB}`;
  const args = [heap, side.runner, side.lib, day, JSON.stringify(setup)];
  const { stdout } = await run(process.execPath, args, { maxBuffer: OUTPUT_MAX_BYTES });
  const out = JSON.parse(stdout) as Outcome;
  return { side: side.name, machines: setup.machines, day, seed: setup.seed, out };
}

// ---- figures

const leastOf = (parts: number[]): number => parts.reduce((least, part) => Math.min(least, part), 1);
const partDone = (served: { jobs: number; done: number }): number => served.done / served.jobs;
const leastClass = (outcome: Outcome): number => leastOf(Object.values(outcome.classes).map(partDone));
const leastTeam = (outcome: Outcome): number => leastOf(Object.values(outcome.teams).map(partDone));
const leastFairShare = (outcome: Outcome): number => leastOf(Object.values(outcome.fair));

function formatDay({ side, machines, day, seed, out }: Played): string {
  const classes = Object.entries(out.classes).map(([name, { jobs, done, wait }]) => {
    const waits = [wait.p50, wait.p90, wait.p99, wait.max].map((seconds) => seconds.toFixed(0));
    return `${name} ${done}/${jobs} wait ${waits.join('/')}`;
  });
  const shares = `least team ${leastTeam(out).toFixed(2)}, fair share ${leastFairShare(out).toFixed(2)}`;
  const fetched = `fetched ${out.fetchedGb.toFixed(0)} GB in ${out.fetches}`;
  const lost = `lost ${(out.lostWork * 100).toFixed(1)}%, killed by lease ${out.killedByLease}`;
  return `${side} ${machines} ${day} ${seed}: ${classes.join(', ')}; ${shares}, Jain ${out.jain.toFixed(2)}, ${fetched}, ${lost}, broken ${out.broken.length} (${out.cpuS.toFixed(0)} s)`;
}

function printDay(played: Played): void {
  process.stdout.write(`${formatDay(played)}\n`);
  for (const broken of played.out.broken.slice(0, BROKEN_SHOWN)) process.stdout.write(`    ${broken}\n`);
}

/** Prints the last line; returns whether a rule was broken, or a class or a team was served too little. */
function printSummary(machines: string[], days: Played[]): boolean {
  const outcomes = days.map((played) => played.out);
  const worst = (of: (outcome: Outcome) => number): string => leastOf(outcomes.map(of)).toFixed(2);
  const broken = outcomes.reduce((total, outcome) => total + outcome.broken.length, 0);
  const lost = Math.max(...outcomes.map((outcome) => outcome.lostWork));
  process.stdout.write(
    `fleet: machines=${machines.join('+')} days=${days.length} worst_class_served=${worst(leastClass)} worst_team_served=${worst(leastTeam)} worst_fair_share=${worst(leastFairShare)} lost_work=${lost.toFixed(3)} rules_broken=${broken}\n`,
  );
  const isServedLittle = Number(worst(leastClass)) < LEAST_SERVED || Number(worst(leastTeam)) < LEAST_SERVED;
  return broken > 0 || isServedLittle;
}

async function main(options: Options): Promise<void> {
  const sides = await sidesOf(options);
  const queue: PlannedDay[] = options.machines.flatMap((machines) =>
    options.days.flatMap((day) =>
      options.seeds.flatMap((seed) => sides.map((side) => ({ machines, day, seed, side }))),
    ),
  );
  const all: Played[] = [];
  const playNext = async (): Promise<void> => {
    for (let planned = queue.shift(); planned !== undefined; planned = queue.shift()) {
      const played = await play(planned, options);
      all.push(played);
      printDay(played);
    }
  };
  await Promise.all(Array.from({ length: Number(options.jobs) }, playNext));
  if (options.plot !== undefined) writeFileSync(options.plot, await plot(all));
  const ownDays = all.filter((played) => played.side === 'now');
  if (printSummary(options.machines, ownDays)) process.exitCode = 1;
}

const program = new Command('fleet')
  .option('--machines <n...>', 'sizes of the fleet', ['1000', '3000'])
  .option(
    '--days <names...>',
    DAYS.map((day) => `${day.name} (${day.about})`).join(', '),
    DAYS.map((day) => day.name),
  )
  .option('--seeds <n...>', 'seeds', ['1'])
  .option('--teams <n>', 'number of teams', '20')
  .option('--length <s>', 'seconds in which jobs arrive; the day goes on for 0.6 of that', '400')
  .option('--base <revision>', 'an earlier revision, side by side, played by its own runner')
  .option('--against <json>', 'other options side by side, such as {"teamFloor":0}')
  .option('--jobs <n>', 'days at once', `${Math.max(1, Math.floor(availableParallelism() / 2))}`)
  .option('--plot <file>', 'an SVG of waits and shares', join(WORK, 'fleet.svg'))
  .action(main);
await program.parseAsync();
