// npm run experiment -- hotpath: measures the processor time of the core's inputs at 1,000, 3,000 and 10,000
// machines, as a ratio to an earlier version of this repository measured in the same run. The versions are
// measured in turn, and each figure is the lowest of several measurements. Each version is measured by the
// runner of its own revision, because the names of messages differ between revisions.
import { execFileSync } from 'node:child_process';
import { Command } from 'commander';
import { bundle, bundleScript, checkout, runnerOf } from './bundle.ts';
import type { Figures, InputKind } from './hotpath-lib.ts';

/** The last revision before names were changed in the whole code base. */
const DEFAULT_BASE = 'baf23d2';
const RUNNER_SCRIPT = 'hotpath-run.ts';
const RUNNER_HEAP_MB = 4000;
const VERSIONS = ['base', 'now'] as const;

interface Options {
  base: string;
  sizes: string[];
  times: string;
  seconds: string;
}

/** Paths of a version's bundled library and of the script that measures it. */
interface Version {
  runnerPath: string;
  libraryPath: string;
}

async function buildVersion(root: string, name: string): Promise<Version> {
  return {
    runnerPath: await bundleScript(runnerOf(root, RUNNER_SCRIPT), `${name}-hotpath-run`),
    libraryPath: await bundle(root, `${name}-lib`),
  };
}

function measure({ runnerPath, libraryPath }: Version, machines: string, seconds: string): Figures {
  const nodeOptions = ['--expose-gc', `--max-old-space-size=${RUNNER_HEAP_MB}`];
  const output = execFileSync(
    process.execPath,
    [...nodeOptions, runnerPath, libraryPath, machines, seconds],
    {
      encoding: 'utf8',
    },
  );
  return JSON.parse(output) as Figures;
}

/** The lower time of two measurements, for each kind of input and for the takeover. */
function minimumOf(before: Figures | undefined, figures: Figures): Figures {
  if (before === undefined) return figures;
  const us = { ...before.us };
  for (const kind of Object.keys(us) as InputKind[]) us[kind] = Math.min(us[kind], figures.us[kind]);
  return { ...before, us, takeoverMs: Math.min(before.takeoverMs, figures.takeoverMs) };
}

function formatFigures(key: string, figures: Figures): string {
  const kinds = Object.keys(figures.us) as InputKind[];
  const times = kinds.map((kind) => `${kind}=${figures.us[kind].toFixed(1)}us x${figures.n[kind]}`).join(' ');
  const takeover = `takeover=${figures.takeoverMs.toFixed(0)}ms in ${figures.takeoverS.toFixed(1)}s`;
  return `${key}: ${times} ${takeover} heap=${figures.heapMb.toFixed(0)}MB`;
}

/** The time per input; for scheduling cycles the total time, because versions differ in their number too. */
function comparableUs(figures: Figures, kind: InputKind): number {
  return kind === 'pass' ? figures.us[kind] * figures.n[kind] : figures.us[kind];
}

function formatSummary(sizes: readonly string[], figuresOf: ReadonlyMap<string, Figures>): string {
  const middle = sizes[Math.min(1, sizes.length - 1)]!;
  const base = figuresOf.get(`base ${middle}`)!;
  const now = figuresOf.get(`now ${middle}`)!;
  const ratio = (kind: InputKind): string => (comparableUs(now, kind) / comparableUs(base, kind)).toFixed(2);
  const largest = figuresOf.get(`now ${sizes.at(-1)}`)!;
  const smallest = figuresOf.get(`now ${sizes[0]}`)!;
  const growth = (largest.us.report / smallest.us.report).toFixed(2);
  const takeover = (now.takeoverMs / base.takeoverMs).toFixed(2);
  const ratios = `report=${ratio('report')} submit=${ratio('submit')} pass=${ratio('pass')} takeover=${takeover}`;
  return `hotpath: ${ratios} (ratio to base) growth_10x=${growth}`;
}

async function main({ base, sizes, times, seconds }: Options): Promise<void> {
  const versions = { base: await buildVersion(checkout(base), 'base'), now: await buildVersion('.', 'now') };
  const figuresOf = new Map<string, Figures>();
  for (let i = 0; i < Number(times); i++)
    for (const size of sizes)
      for (const name of VERSIONS) {
        const key = `${name} ${size}`;
        figuresOf.set(key, minimumOf(figuresOf.get(key), measure(versions[name], size, seconds)));
      }
  for (const [key, figures] of figuresOf) process.stdout.write(`${formatFigures(key, figures)}\n`);
  process.stdout.write(`${formatSummary(sizes, figuresOf)}\n`);
}

const program = new Command('hotpath')
  .option('--base <revision>', 'revision to compare with, measured by its own runner', DEFAULT_BASE)
  .option('--sizes <n...>', 'numbers of machines, in ascending order', ['1000', '3000', '10000'])
  .option('--times <n>', 'number of measurements of each version at each size', '3')
  .option('--seconds <s>', 'simulated seconds to measure', '40')
  .action(main);
await program.parseAsync();
