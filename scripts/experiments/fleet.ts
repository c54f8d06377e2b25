// npm run drill -- fleet: days of a whole fleet on a simulated clock, this revision beside an earlier one or one option beside
// another, on the same seeds: who is served, how long work waits, how fairly teams share, what is fetched and lost.
import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { Command } from 'commander';
import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import { bundle, bundleScript, checkout, runnerOf, WORK } from './bundle.ts';
import { DAYS } from './fleet-days.ts';
import { type Outcome, type Played, REPORT_MS, type Setup } from './fleet-world.ts';
import { plot } from './plot.ts';

const run = promisify(execFile);

const RUNNER_SCRIPT = 'fleet-run.ts';

interface Side {
  name: string;
  runner: string;
  lib: string;
  options: Setup['options'];
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

const least = (all: number[]): number => all.reduce((a, b) => Math.min(a, b), 1);
const part = (s: { jobs: number; done: number }): number => s.done / s.jobs;
const leastClass = (o: Outcome): number => least(Object.values(o.classes).map(part));
const leastTeam = (o: Outcome): number => least(Object.values(o.teams).map(part));
const leastFair = (o: Outcome): number => least(Object.values(o.fair));

function line(p: Played): string {
  const { out: o } = p;
  const classes = Object.entries(o.classes).map(([name, c]) => {
    const { p50, p90, p99, max } = c.wait;
    return `${name} ${c.done}/${c.jobs} wait ${[p50, p90, p99, max].map((n) => n.toFixed(0)).join('/')}`;
  });
  return `${p.side} ${p.machines} ${p.day} ${p.seed}: ${classes.join(', ')}; least team ${leastTeam(o).toFixed(2)}, fair share ${leastFair(o).toFixed(2)}, Jain ${o.jain.toFixed(2)}, fetched ${o.fetchedGb.toFixed(0)} GB in ${o.fetches}, lost ${(o.lostWork * 100).toFixed(1)}%, killed by lease ${o.killedByLease}, broken ${o.broken.length} (${o.cpuS.toFixed(0)} s)`;
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

async function main(o: Options): Promise<void> {
  const usual: Setup['options'] = schedulerOptions(defaults(), REPORT_MS / 1000);
  const runner = await bundleScript(runnerOf('.', RUNNER_SCRIPT), 'fleet-run');
  const now = await bundle('.', 'now-lib');
  const sides: Side[] = [{ name: 'now', runner, lib: now, options: usual }];
  if (o.base !== undefined) sides.push(await baseSide(o.base, usual));
  if (o.against !== undefined)
    sides.push({
      name: 'against',
      runner,
      lib: now,
      options: { ...usual, ...(JSON.parse(o.against) as object) },
    });
  const todo = o.machines.flatMap((machines) =>
    o.days.flatMap((day) => o.seeds.flatMap((seed) => sides.map((side) => ({ machines, day, seed, side })))),
  );
  const played: Played[] = [];
  const next = async (): Promise<void> => {
    for (let t = todo.shift(); t !== undefined; t = todo.shift()) {
      const setup: Setup = {
        machines: Number(t.machines),
        teams: Number(o.teams),
        seed: Number(t.seed),
        arriveS: Number(o.length),
        drainS: Number(o.length) * 0.6,
        options: t.side.options,
      };
      const args = ['--max-old-space-size=6000', t.side.runner, t.side.lib, t.day, JSON.stringify(setup)];
      const { stdout } = await run(process.execPath, args, { maxBuffer: 1 << 26 });
      const p: Played = {
        side: t.side.name,
        machines: setup.machines,
        day: t.day,
        seed: setup.seed,
        out: JSON.parse(stdout),
      };
      played.push(p);
      process.stdout.write(`${line(p)}\n`);
      for (const b of p.out.broken.slice(0, 5)) process.stdout.write(`    ${b}\n`);
    }
  };
  await Promise.all(Array.from({ length: Number(o.jobs) }, next));
  if (o.plot !== undefined) writeFileSync(o.plot, await plot(played));
  const mine = played.filter((p) => p.side === 'now');
  const broken = mine.reduce((n, p) => n + p.out.broken.length, 0);
  const worst = (of: (o: Outcome) => number): string => least(mine.map((p) => of(p.out))).toFixed(2);
  const lost = Math.max(...mine.map((p) => p.out.lostWork));
  process.stdout.write(
    `fleet: machines=${o.machines.join('+')} days=${mine.length} worst_class_served=${worst(leastClass)} worst_team_served=${worst(leastTeam)} worst_fair_share=${worst(leastFair)} lost_work=${lost.toFixed(3)} rules_broken=${broken}\n`,
  );
  if (broken > 0 || Number(worst(leastClass)) < 0.5 || Number(worst(leastTeam)) < 0.5) process.exitCode = 1;
}

const program = new Command('fleet')
  .option('--machines <n...>', 'sizes of the fleet', ['1000', '3000'])
  .option(
    '--days <names...>',
    DAYS.map((d) => `${d.name} (${d.about})`).join(', '),
    DAYS.map((d) => d.name),
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
