// Runs scenarios by the users' bench: each day on several seeds, this revision and perhaps an earlier one in
// turn.
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
/** How much of the bench's output an error shows. */
const ERROR_TAIL = 400;

/** A site of the users' kit, or a changed copy of one, with days to be played at it. */
export interface Scenario {
  name: string;
  /** From the kit's folder. */
  site: string;
  change?: SiteChange;
  /** Names of days, or files of days of our own. */
  days: string[];
  /** Also run by `npm run regress`. */
  regress?: boolean;
  /** Of a refused leader: fails unless that came about, and its leases ended in time (refused-leader.ts). */
  refused?: boolean;
}

/** How scenarios are run. */
export interface RunnerOptions {
  /** Folder of the users' kit. */
  kit: string;
  /** Where copies and reports go: outside the repository, and not below /tmp, where the bench can't play. */
  dir: string;
  seeds: number[];
  /** Runs at once. */
  jobs: number;
  /** An earlier revision to compare with; null for none. */
  base: string | null;
  /** What is tried, for the bench's journal. */
  why: string;
}

/** One run of the bench. */
interface Run {
  /** The checkout whose program is played. */
  repo: string;
  scenario: Scenario;
  site: string;
  /** A name that the bench knows, or a file. */
  day: string;
  seed: number;
}

/** The scenarios of scripts/scenarios.json. */
export const readScenarios = (): Scenario[] => JSON.parse(readFileSync(SCENARIOS, 'utf8')) as Scenario[];

/** A checkout of an earlier revision, built by the bench like this one; its journal stays there. */
function checkout(dir: string, revision: string): string {
  const sha = execFileSync('git', ['rev-parse', '--short', revision], { encoding: 'utf8' }).trim();
  const folder = join(dir, `base-${sha}`);
  if (!existsSync(folder)) {
    execFileSync('git', ['clone', '-q', '.', folder]);
    execFileSync('git', ['checkout', '-q', sha], { cwd: folder });
  }
  return folder;
}

/** Runs the bench; returns all that it printed, and then what the processes logged. */
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

async function play(
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
    throw new FailedRunError(`${name}: the bench left no report: ${log.slice(-ERROR_TAIL)}`);
  const result = readResult(JSON.parse(readFileSync(report, 'utf8')) as BenchReport, log);
  if (!scenario.refused) return result;
  const { workers } = parse(readFileSync(site, 'utf8')) as unknown as {
    workers: { lease_s: number; cancel_s: number };
  };
  return { ...result, refused: { ...readRefusedLeader(log, workers.lease_s), cancelS: workers.cancel_s } };
}

/** Writes a day of our own as it fits the site; returns its path. */
function writeOwnDay(day: string, site: string, dir: string): string {
  mkdirSync(dir, { recursive: true });
  const path = join(dir, basename(day));
  writeFileSync(path, dayFor(readFileSync(day, 'utf8'), readFileSync(site, 'utf8')));
  return path;
}

/** The days of a scenario as the bench takes them, and its site. */
function prepare(scenario: Scenario, { kit, dir }: RunnerOptions): { site: string; days: string[] } {
  const original = resolve(kit, scenario.site);
  // A folder of its own: sites differ in what the bench looks for beside them.
  const folder = join(dir, scenario.name);
  const { change } = scenario;
  const site = change === undefined ? original : writeChangedSite(original, folder, scenario.name, change);
  const days = scenario.days.map((day) => (day.endsWith('.toml') ? writeOwnDay(day, original, folder) : day));
  return { site, days };
}

/** Runs all scenarios, so many at once, each revision's in turn; `onRow` gets each day as it is done. */
export async function runScenarios(
  scenarios: readonly Scenario[],
  options: RunnerOptions,
  onRow: (row: ScenarioRow) => void,
): Promise<ScenarioRow[]> {
  mkdirSync(options.dir, { recursive: true });
  const repos = options.base === null ? ['.'] : ['.', checkout(options.dir, options.base)];
  // Built once each before runs begin: several at once would build over one another.
  for (const repo of repos)
    execFileSync(resolve(options.kit, BENCH), ['build'], { cwd: repo, stdio: 'ignore' });
  const rows: ScenarioRow[] = [];
  const queue: (() => Promise<void>)[] = [];
  for (const scenario of scenarios) {
    const { site, days } = prepare(scenario, options);
    for (const day of days) {
      const row: ScenarioRow = { name: scenario.name, day: basename(day, '.toml'), now: [], base: [] };
      rows.push(row);
      let missing = repos.length * options.seeds.length;
      for (const seed of options.seeds)
        for (const [i, repo] of repos.entries())
          queue.push(async () => {
            const result = await play({ repo: resolve(repo), scenario, site, day, seed }, options);
            (i === 0 ? row.now : row.base).push(result);
            if (--missing === 0) onRow(row);
          });
    }
  }
  await runQueue(queue, options.jobs);
  return rows;
}

async function runQueue(queue: (() => Promise<void>)[], atOnce: number): Promise<void> {
  const runNext = async (): Promise<void> => {
    for (let run = queue.shift(); run !== undefined; run = queue.shift()) await run();
  };
  await Promise.all(Array.from({ length: atOnce }, runNext));
}
