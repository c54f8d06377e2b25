// Plays the users' bench against the levels in scripts/levels.json; see CONTRIBUTING.md for when to run what.
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { Command } from 'commander';
import { BENCH } from './bench.ts';
import {
  type Finding,
  findingsOf,
  fixedFall,
  type Level,
  type Levels,
  NOISE,
  type PlayedDay,
  type PlayedSite,
} from './regression-levels.ts';
import { formatRow, rowFailures } from './scenario-row.ts';
import { readScenarios, runScenarios } from './scenario-runner.ts';

const LEVELS = 'scripts/levels.json';
const JOURNAL = 'journal';
const SCENARIO_SEEDS = [31, 32, 33];
const SCENARIOS_AT_ONCE = 4;

/** What is read of an entry of the bench's journal. */
interface JournalEntry {
  site: string | null;
  score: number | null;
  error: string | null;
  why?: string;
  days?: PlayedDay[];
}

interface Options {
  kit: string;
  full?: boolean;
  hunt?: string;
  site?: string[];
  why: string;
  set?: boolean;
  dir: string;
  base?: string;
  served: boolean;
}

const print = (line: string): boolean => process.stdout.write(`${line}\n`);

/** Runs the bench and returns the journal entries that it left; they are its only output that is read. */
async function play(kit: string, args: string[], why: string): Promise<PlayedSite[]> {
  const before = new Set(readdirSync(JOURNAL));
  await new Promise<void>((onDone, onError) => {
    const child = spawn(join(kit, BENCH), [...args, '--why', why], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    child.on('error', onError);
    child.on('close', () => onDone());
  });
  return readdirSync(JOURNAL)
    .filter((file) => file.endsWith('.json') && !before.has(file))
    .map((file) => JSON.parse(readFileSync(join(JOURNAL, file), 'utf8')) as JournalEntry)
    .filter((entry) => entry.why === why)
    .map(({ site, score, error, days }) => ({ site: site ?? '?', score, error, days: days ?? [] }));
}

/** The fixed days of a site, one after the other: each uses most of the machine by itself. */
async function playFixed(kit: string, level: Level, why: string): Promise<PlayedDay[]> {
  const days: PlayedDay[] = [];
  for (const { day, seed } of level.fixed) {
    const args = ['run', join(kit, level.file), day, '--seed', String(seed), '--no-cpu'];
    const played = await play(kit, args, `${why}: ${day} seed ${seed}, no processor time`);
    const result = played[0]?.days[0];
    if (result !== undefined) days.push({ ...result, name: day, seed });
  }
  return days;
}

function printSite({ site, score, days }: PlayedSite, level: number | null): void {
  const scores = days.map((day) => `${day.name} ${day.score?.toFixed(3) ?? 'none'}`).join(', ');
  const against = level === null ? '' : ` (level ${level.toFixed(3)})`;
  print(`${site}: ${score?.toFixed(3) ?? 'no score'}${against}: ${scores}`);
}

/** Plays the standard days of all sites, and with `--set` notes their scores as the new levels. */
async function playStandardDays(
  files: string[],
  levels: Levels,
  mode: 'full' | 'quick',
  options: Options,
): Promise<Finding[]> {
  const findings: Finding[] = [];
  const args = ['score', ...files, ...(mode === 'full' ? [] : ['--quick'])];
  for (const played of await play(options.kit, args, options.why)) {
    const level = levels[played.site]?.[mode] ?? null;
    printSite(played, level);
    findings.push(...findingsOf(played, level));
    if (options.set && levels[played.site] !== undefined) levels[played.site]![mode] = played.score;
  }
  return findings;
}

/** Plays so many days of each site in search of broken rules. */
async function hunt(files: string[], days: string, { kit, why }: Options): Promise<Finding[]> {
  const findings: Finding[] = [];
  for (const file of files)
    for (const played of await play(kit, ['hunt', file, '--days', days], `${why}: hunt`)) {
      printSite(played, null);
      findings.push(...findingsOf(played, null));
    }
  return findings;
}

/** Plays the fixed days of all sites and writes the levels. */
async function writeLevels(sites: string[], levels: Levels, { kit, why }: Options): Promise<void> {
  for (const site of sites) {
    const played = await playFixed(kit, levels[site]!, why);
    for (const fixed of levels[site]!.fixed) {
      const result = played.find((day) => day.name === fixed.day && day.seed === fixed.seed);
      fixed.score = result?.score ?? null;
    }
  }
  writeFileSync(LEVELS, `${JSON.stringify(levels, null, 2)}\n`);
}

/** What of the findings is a failure: broken rules, and falls that the fixed days confirm. */
async function confirm(findings: Finding[], levels: Levels, options: Options): Promise<string[]> {
  const failures: string[] = [];
  for (const finding of findings) {
    if (finding.kind === 'broken') failures.push(`${finding.site}: ${finding.text}`);
    else if (!options.set) {
      const level = levels[finding.site]!;
      const fall = fixedFall(level, await playFixed(options.kit, level, options.why));
      const fixed = fall === null ? 'no fixed plays on file' : `fixed plays lower by ${fall.toFixed(3)}`;
      const line = `${finding.site}: ${finding.score.toFixed(3)} against ${finding.level.toFixed(3)}, ${fixed}`;
      if (fall === null || fall > NOISE) failures.push(line);
      else print(`${line}: noise`);
    }
  }
  return failures;
}

/** The fleet's days over several seeds: who is served least, and with `--base` whether a mean has fallen. */
async function playScenarios(files: string[], options: Options): Promise<string[]> {
  const chosen = readScenarios().filter(({ regress, site }) => regress === true && files.includes(site));
  const runnerOptions = {
    kit: options.kit,
    dir: resolve(options.dir),
    seeds: SCENARIO_SEEDS,
    jobs: SCENARIOS_AT_ONCE,
    base: options.base ?? null,
    why: `${options.why}: served`,
  };
  const rows = await runScenarios(chosen, runnerOptions, (row) => print(formatRow(row)));
  return rows.flatMap(rowFailures);
}

async function main(options: Options): Promise<void> {
  const { kit, site: only } = options;
  if (!existsSync(join(kit, BENCH))) {
    process.stderr.write(
      `regress: the users' kit is not at ${kit} (looked for ${BENCH} in it). It is not part of this repository; ` +
        'name its folder with --kit. Nothing was played.\n',
    );
    process.exitCode = 2;
    return;
  }
  const levels = JSON.parse(readFileSync(LEVELS, 'utf8')) as Levels;
  const sites = Object.keys(levels).filter((site) => only === undefined || only.includes(site));
  const mode = options.full ? 'full' : 'quick';
  const files = sites.map((site) => join(kit, levels[site]!.file));
  const findings = await playStandardDays(files, levels, mode, options);
  if (options.hunt !== undefined) findings.push(...(await hunt(files, options.hunt, options)));
  if (options.set) await writeLevels(sites, levels, options);
  const failures = await confirm(findings, levels, options);
  if (options.served) {
    const siteFiles = sites.map((site) => levels[site]!.file);
    failures.push(...(await playScenarios(siteFiles, options)));
  }
  for (const failure of failures) print(`FAILED ${failure}`);
  print(`regress: mode=${mode} sites=${sites.length} failures=${failures.length}`);
  if (failures.length > 0) process.exitCode = 1;
}

const program = new Command('regress')
  .description("play the users' bench and compare with the levels in scripts/levels.json")
  .option('--kit <dir>', "folder of the users' kit", '../given/kit')
  .option('--full', 'all standard days instead of the two roughest')
  .option('--hunt <days>', 'also hunt for broken rules on so many days a site')
  .option('--site <names...>', 'only these sites')
  .option('--why <text>', 'what was tried and is expected, for the journal', 'regression')
  .option('--no-served', "leave out the fleet's days that tell who is served least")
  .option('--base <revision>', 'revision to pair those days with')
  .option('--dir <dir>', 'where their reports go: outside the repository, not below /tmp', '../plays')
  .option('--set', 'keep what is played as the new levels; a commit of its own says why')
  .action(main);
await program.parseAsync();
