// Runs scenarios with the users' bench: each day with several seeds, on this revision and optionally on an
// earlier one.
import { execFileSync, spawn } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, join, resolve } from 'node:path';
import { parse } from 'smol-toml';
import { BENCH, type BenchReport } from './bench.ts';
import { FailedRunError } from './errors.ts';
import { dayFor } from './own-days.ts';
import { readRefusedLeader } from './refused-leader.ts';
import { readResult, type ScenarioResult } from './scenario-result.ts';
import type { ScenarioRow } from './scenario-row.ts';
import { type SiteChange, writeChangedSite } from './site-changes.ts';

const SCENARIOS = 'scripts/scenarios.json';
/** Length of the end of the bench's output that an error message includes. */
const ERROR_TAIL_CHARS = 400;

/** A site of the users' kit or a changed copy of one, with the days to be run on it. */
export interface Scenario {
  name: string;
  /** Path of the site file, relative to the kit's folder. */
  site: string;
  change?: SiteChange;
  /** Names of the bench's days, or paths of day files in this repository. */
  days: string[];
  /** Whether `npm run regress` runs the scenario too. */
  regress?: boolean;
  /**
   * Whether the scenario is about a refused leader: it fails unless that situation occurred and the worker
   * leases ended in time (refused-leader.ts).
   */
  refused?: boolean;
}

/** Options of a run of scenarios. */
export interface RunnerOptions {
  /** Folder of the users' kit. */
  kit: string;
  /**
   * Folder for copies and reports: outside the repository, and not below /tmp, where the bench cannot run.
   */
  dir: string;
  seeds: number[];
  /** Number of runs in parallel. */
  jobs: number;
  /** An earlier revision to compare with; null for none. */
  base: string | null;
  /** Purpose of the run, for the bench's journal. */
  why: string;
}

/** One run of the bench. */
interface Run {
  /** The checkout whose program is run. */
  repo: string;
  scenario: Scenario;
  site: string;
  /** Name of a day of the bench, or path of a day file. */
  day: string;
  seed: number;
}

/** Reads the scenarios from scripts/scenarios.json. */
export const readScenarios = (): Scenario[] => JSON.parse(readFileSync(SCENARIOS, 'utf8')) as Scenario[];

/**
 * Clones an earlier revision into a separate folder, to which the bench also writes the journal of its runs.
 * Returns the folder.
 */
function checkout(dir: string, revision: string): string {
  const sha = execFileSync('git', ['rev-parse', '--short', revision], { encoding: 'utf8' }).trim();
  const folder = join(dir, `base-${sha}`);
  if (!existsSync(folder)) {
    execFileSync('git', ['clone', '-q', '.', folder]);
    execFileSync('git', ['checkout', '-q', sha], { cwd: folder });
  }
  return folder;
}

/**
 * Runs the bench; returns its standard output followed by its standard error, which has the processes' logs.
 */
function runBench(kit: string, repo: string, args: string[]): Promise<string> {
  return new Promise((onDone, onError) => {
    const child = spawn(resolve(kit, BENCH), args, { cwd: repo, stdio: ['ignore', 'pipe', 'pipe'] });
    const printed: Buffer[] = [];
    const logged: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => printed.push(chunk));
    child.stderr.on('data', (chunk: Buffer) => logged.push(chunk));
    child.on('error', onError);
    child.on('close', () => onDone(Buffer.concat([...printed, ...logged]).toString('utf8')));
  });
}

async function runDay(
  { repo, scenario, site, day, seed }: Run,
  options: RunnerOptions,
): Promise<ScenarioResult> {
  const name = `${basename(repo)}-${basename(site, '.toml')}-${basename(day, '.toml')}-${seed}`;
  const report = join(options.dir, `${name}.json`);
  const dayArg = day.endsWith('.toml') ? resolve(day) : day;
  const logLevel = scenario.refused ? 'debug' : 'info';
  const args = ['run', site, dayArg, '--seed', `${seed}`, '--no-cpu', '--log', logLevel, '--report', report];
  const log = await runBench(options.kit, repo, [...args, '--why', options.why]);
  if (!existsSync(report))
    throw new FailedRunError(
      `${name}: the bench wrote no report to ${report}; end of its output: ${log.slice(-ERROR_TAIL_CHARS)}`,
    );
  const result = readResult(JSON.parse(readFileSync(report, 'utf8')) as BenchReport, log);
  if (!scenario.refused) return result;
  const { workers } = parse(readFileSync(site, 'utf8')) as unknown as {
    workers: { lease_s: number; cancel_s: number };
  };
  return { ...result, refused: { ...readRefusedLeader(log, workers.lease_s), cancelS: workers.cancel_s } };
}

/** Writes a day of this repository, adapted to the site; returns the path of the written file. */
function writeOwnDay(day: string, site: string, dir: string): string {
  mkdirSync(dir, { recursive: true });
  const path = join(dir, basename(day));
  writeFileSync(path, dayFor(readFileSync(day, 'utf8'), readFileSync(site, 'utf8')));
  return path;
}

/** Writes the site and day files of a scenario as needed; returns the arguments for the bench. */
function prepare(scenario: Scenario, { kit, dir }: RunnerOptions): { site: string; days: string[] } {
  const original = resolve(kit, scenario.site);
  // One folder for each scenario, because the files that the bench expects next to a site differ between
  // sites.
  const folder = join(dir, scenario.name);
  const { change } = scenario;
  const site = change === undefined ? original : writeChangedSite(original, folder, scenario.name, change);
  const days = scenario.days.map((day) => (day.endsWith('.toml') ? writeOwnDay(day, original, folder) : day));
  return { site, days };
}

/**
 * Runs all scenarios, `options.jobs` runs in parallel; `onRow` is called with each day once all its runs are
 * done.
 */
export async function runScenarios(
  scenarios: readonly Scenario[],
  options: RunnerOptions,
  onRow: (row: ScenarioRow) => void,
): Promise<ScenarioRow[]> {
  mkdirSync(options.dir, { recursive: true });
  const repos = options.base === null ? ['.'] : ['.', checkout(options.dir, options.base)];
  // Each revision is built once before the first run, because parallel builds would overwrite each other's
  // output.
  for (const repo of repos)
    execFileSync(resolve(options.kit, BENCH), ['build'], { cwd: repo, stdio: 'ignore' });
  const rows: ScenarioRow[] = [];
  const queue: (() => Promise<void>)[] = [];
  for (const scenario of scenarios) {
    const { site, days } = prepare(scenario, options);
    for (const day of days) {
      const row: ScenarioRow = { name: scenario.name, day: basename(day, '.toml'), now: [], base: [] };
      rows.push(row);
      let pendingRuns = repos.length * options.seeds.length;
      for (const seed of options.seeds)
        for (const [i, repo] of repos.entries())
          queue.push(async () => {
            const result = await runDay({ repo: resolve(repo), scenario, site, day, seed }, options);
            (i === 0 ? row.now : row.base).push(result);
            if (--pendingRuns === 0) onRow(row);
          });
    }
  }
  await runQueue(queue, options.jobs);
  return rows;
}

async function runQueue(queue: (() => Promise<void>)[], concurrency: number): Promise<void> {
  const runNext = async (): Promise<void> => {
    for (let run = queue.shift(); run !== undefined; run = queue.shift()) await run();
  };
  await Promise.all(Array.from({ length: concurrency }, runNext));
}
