// npm run regress: runs the users' bench and compares the scores with the levels in scripts/levels.json. When
// to run which mode is in CONTRIBUTING.md.
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
  type PlayedDay,
  type PlayedSite,
  SCORE_NOISE,
} from './regression-levels.ts';
import { formatRow, rowFailures } from './scenario-row.ts';
import { readScenarios, runScenarios } from './scenario-runner.ts';

const LEVELS = 'scripts/levels.json';
const JOURNAL = 'journal';
const SCENARIO_SEEDS = [31, 32, 33];
const PARALLEL_SCENARIO_RUNS = 4;

/** The fields of a journal entry of the bench that are used. */
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

/** Runs the bench and returns the journal entries that it wrote; its other output is ignored. */
async function runBench(kit: string, args: string[], why: string): Promise<PlayedSite[]> {
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

/** Runs the fixed days of a site sequentially, because each of them uses most of the machine. */
async function runFixedDays(kit: string, level: Level, why: string): Promise<PlayedDay[]> {
  const days: PlayedDay[] = [];
  for (const { day, seed } of level.fixed) {
    const args = ['run', join(kit, level.file), day, '--seed', String(seed), '--no-cpu'];
    const played = await runBench(kit, args, `${why}: ${day} seed ${seed}, no processor time`);
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

/** Runs the standard days of all sites, and with `--set` stores their scores as the new levels. */
async function runStandardDays(
  files: string[],
  levels: Levels,
  mode: 'full' | 'quick',
  options: Options,
): Promise<Finding[]> {
  const findings: Finding[] = [];
  const args = ['score', ...files, ...(mode === 'full' ? [] : ['--quick'])];
  for (const played of await runBench(options.kit, args, options.why)) {
    const level = levels[played.site]?.[mode] ?? null;
    printSite(played, level);
    findings.push(...findingsOf(played, level));
    if (options.set && levels[played.site] !== undefined) levels[played.site]![mode] = played.score;
  }
  return findings;
}

/** Runs the given number of days of each site to find broken rules. */
async function searchViolations(files: string[], days: string, { kit, why }: Options): Promise<Finding[]> {
  const findings: Finding[] = [];
  for (const file of files)
    for (const played of await runBench(kit, ['hunt', file, '--days', days], `${why}: hunt`)) {
      printSite(played, null);
      findings.push(...findingsOf(played, null));
    }
  return findings;
}

/** Runs the fixed days of all sites and writes the levels. */
async function writeLevels(sites: string[], levels: Levels, { kit, why }: Options): Promise<void> {
  for (const site of sites) {
    const played = await runFixedDays(kit, levels[site]!, why);
    for (const fixed of levels[site]!.fixed) {
      const result = played.find((day) => day.name === fixed.day && day.seed === fixed.seed);
      fixed.score = result?.score ?? null;
    }
  }
  writeFileSync(LEVELS, `${JSON.stringify(levels, null, 2)}\n`);
}

/** Returns the findings that are failures: broken rules, and score drops that the fixed days confirm. */
async function confirmFindings(findings: Finding[], levels: Levels, options: Options): Promise<string[]> {
  const failures: string[] = [];
  for (const finding of findings) {
    if (finding.kind === 'broken') failures.push(`${finding.site}: ${finding.text}`);
    else if (!options.set) {
      const level = levels[finding.site]!;
      const fall = fixedFall(level, await runFixedDays(options.kit, level, options.why));
      const fixed =
        fall === null ? 'no levels for fixed days' : `fixed days lower by ${fall.toFixed(3)} on average`;
      const line = `${finding.site}: score ${finding.score.toFixed(3)}, level ${finding.level.toFixed(3)}, ${fixed}`;
      if (fall === null || fall > SCORE_NOISE) failures.push(line);
      else print(`${line}: within noise`);
    }
  }
  return failures;
}

/**
 * Runs the scenarios marked for regression; with `--base`, also compares their mean scores with that
 * revision.
 */
async function runRegressionScenarios(files: string[], options: Options): Promise<string[]> {
  const chosen = readScenarios().filter(({ regress, site }) => regress === true && files.includes(site));
  const runnerOptions = {
    kit: options.kit,
    dir: resolve(options.dir),
    seeds: SCENARIO_SEEDS,
    jobs: PARALLEL_SCENARIO_RUNS,
    base: options.base ?? null,
    why: `${options.why}: served`,
  };
  const rows = await runScenarios(chosen, runnerOptions, (row) => print(formatRow(row)));
  return rows.flatMap(rowFailures);
}

async function main(options: Options): Promise<void> {
  const { kit, site: selectedSites } = options;
  if (!existsSync(join(kit, BENCH))) {
    process.stderr.write(
      `regress: the users' kit is not at ${kit} (expected the file ${BENCH} in it). It is not part of this repository; ` +
        'give its folder with --kit. Nothing was run.\n',
    );
    process.exitCode = 2;
    return;
  }
  const levels = JSON.parse(readFileSync(LEVELS, 'utf8')) as Levels;
  const sites = Object.keys(levels).filter(
    (site) => selectedSites === undefined || selectedSites.includes(site),
  );
  const mode = options.full ? 'full' : 'quick';
  const files = sites.map((site) => join(kit, levels[site]!.file));
  const findings = await runStandardDays(files, levels, mode, options);
  if (options.hunt !== undefined) findings.push(...(await searchViolations(files, options.hunt, options)));
  if (options.set) await writeLevels(sites, levels, options);
  const failures = await confirmFindings(findings, levels, options);
  if (options.served) {
    const siteFiles = sites.map((site) => levels[site]!.file);
    failures.push(...(await runRegressionScenarios(siteFiles, options)));
  }
  for (const failure of failures) print(`FAILED ${failure}`);
  print(`regress: mode=${mode} sites=${sites.length} failures=${failures.length}`);
  if (failures.length > 0) process.exitCode = 1;
}

const program = new Command('regress')
  .description("run the users' bench and compare its scores with the levels in scripts/levels.json")
  .option('--kit <dir>', "folder of the users' kit", '../given/kit')
  .option('--full', 'run all standard days instead of the two hardest')
  .option('--hunt <days>', 'also search for broken rules on this many days of each site')
  .option('--site <names...>', 'only these sites')
  .option('--why <text>', 'purpose and expected result of the run, for the journal', 'regression')
  .option('--no-served', 'skip the scenarios that check the least served class and team')
  .option('--base <revision>', 'revision to compare those scenarios with')
  .option('--dir <dir>', 'folder of their reports: outside the repository, not below /tmp', '../plays')
  .option('--set', 'store the scores as the new levels; commit them separately, with the reason')
  .action(main);
await program.parseAsync();
