// npm run experiment -- scale: runs a cluster of the expected production size on one machine, with real
// controllers on real sockets, simulated workers, and the key-value store and cloud of the local cluster.
// `--slopes` varies one parameter at a time; `--quick` is a short run in which the leader is killed once.
import { writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { wholeNumber } from '../option-values.ts';
import { findResourceShortage } from './scale/resources.ts';
import { type RunResult, type RunSetup, type ScaleFault, ScaleRun } from './scale/run.ts';
import { baseSetup, runSlopes } from './scale/slopes.ts';

interface Options {
  workers: number;
  controllers: number;
  teams: number;
  seed: number;
  quick?: boolean;
  slopes?: boolean;
  json?: string;
  resume?: boolean;
  plot?: string;
  only?: string[];
}

const USAGE_ERROR_EXIT_CODE = 2;

/** All faults that are expected in an ordinary year of operation, within a quarter of an hour. */
const FAULTS: ScaleFault[] = [
  { atS: 5, kind: 'restarts', workers: 220, forS: 600 },
  { atS: 10, kind: 'burst', startsPerS: 1000, forS: 60 },
  { atS: 30, kind: 'config-burst', documents: 200, forS: 10 },
  { atS: 40, kind: 'owner-ends' },
  { atS: 130, kind: 'all-end' },
  { atS: 200, kind: 'rack', workers: 40 },
  { atS: 260, kind: 'zone-cut', forS: 60 },
  { atS: 340, kind: 'config-burst', documents: 200, forS: 10 },
  { atS: 380, kind: 'outage', forS: 20 },
  { atS: 460, kind: 'freeze-owner', forS: 10 },
  { atS: 540, kind: 'owner-ends' },
];
const QUICK_FAULTS: ScaleFault[] = [
  { atS: 2, kind: 'burst', startsPerS: 1000, forS: 30 },
  { atS: 10, kind: 'config-burst', documents: 200, forS: 10 },
  { atS: 15, kind: 'owner-ends' },
];

/** Users submit more than the limits of their teams allow to run, so that some jobs wait. */
const OFFERED_LOAD_FACTOR = 1.2;
/** A configuration change must be in force on all controllers within this time. */
const CONFIG_IN_FORCE_LIMIT_S = 18;
/** The expected load is 6,900 configuration changes a day, about 4.8 a minute. */
const CHANGES_PER_MINUTE = 5;

const INTERRUPTED_EXIT_CODE = 130;
const MAX_BROKEN_RULES_SHOWN = 40;
const PROGRESS_INTERVAL_MS = 1000;
/** Used when the output is not a terminal. */
const LOGGED_PROGRESS_INTERVAL_MS = 20_000;

function setupFor({ workers, controllers, teams, seed, quick }: Options): RunSetup {
  const basic = baseSetup(workers, controllers, teams, seed);
  const demand = { ...basic.demand, running: Math.round(basic.demand.running * OFFERED_LOAD_FACTOR) };
  const base = { ...basic, demand, changesPerMinute: CHANGES_PER_MINUTE };
  return quick
    ? { ...base, fillS: 40, measureS: 20, troubles: QUICK_FAULTS, calmS: 110 }
    : { ...base, fillS: 70, measureS: 60, troubles: FAULTS, calmS: 100 };
}

/**
 * Returns a function that writes every line about a fault, and other progress lines at most once per
 * interval.
 */
function progressTo(stream: NodeJS.WriteStream): (line: string) => void {
  const startedAt = Date.now();
  const intervalMs = stream.isTTY ? PROGRESS_INTERVAL_MS : LOGGED_PROGRESS_INTERVAL_MS;
  let lastWrittenAt = 0;
  return (line) => {
    if (!line.startsWith('fault') && Date.now() - lastWrittenAt < intervalMs) return;
    lastWrittenAt = Date.now();
    stream.write(`${Math.round((Date.now() - startedAt) / 1000)} s  ${line}\n`);
  };
}

const countBrokenRules = ({ broken }: RunResult, ...rules: string[]): number =>
  broken.filter((line) => rules.some((rule) => line.includes(` ${rule}: `))).length;

function formatResult({ workers, teams }: Options, result: RunResult): string {
  const { figures, urgent, config } = result;
  const takeoverS = result.takeoversS.length === 0 ? 0 : Math.max(...result.takeoversS);
  return [
    `scale: workers=${workers} teams=${teams} running=${result.running} starts_per_s=${Math.round(result.peakStartsPerS)}`,
    `urgent_p50_s=${urgent.p50S.toFixed(2)} urgent_p99_s=${urgent.p99S.toFixed(2)} takeover_s=${takeoverS.toFixed(1)}`,
    `config_p99_s=${config.p99S.toFixed(2)} config_max_s=${config.maxS.toFixed(2)}`,
    `owner_core=${figures.owner.core.toFixed(3)} owner_mb=${Math.round(figures.owner.rssMb)}`,
    `worker_bytes_s=${Math.round(figures.worker.bytesPerS)} state_requests_s=${figures.stateRequestsPerS.toFixed(1)}`,
    `state_changes_s=${figures.stateChangesPerS.toFixed(1)} lost=${countBrokenRules(result, 'forgotten', 'left_waiting', 'nothing_ran')}`,
    `doubled=${countBrokenRules(result, 'ran_twice')} over_quota=${countBrokenRules(result, 'quota')}`,
  ].join(' ');
}

/** Stops the cluster when this process is terminated; returns the function that registers how to stop it. */
function stopOnSignal(): (stop: () => Promise<void>) => void {
  let stopCluster: (() => Promise<void>) | null = null;
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const)
    process.on(signal, async () => {
      await stopCluster?.();
      process.exit(INTERRUPTED_EXIT_CODE);
    });
  return (stop) => {
    stopCluster = stop;
  };
}

async function main(options: Options): Promise<void> {
  const shortage = findResourceShortage(options.workers, options.controllers);
  if (shortage !== null) {
    process.stderr.write(`scale: ${shortage}\n`);
    process.exit(USAGE_ERROR_EXIT_CODE);
  }
  const registerStop = stopOnSignal();
  const onProgress = progressTo(process.stderr);
  if (options.slopes) return runSlopes(options, onProgress, registerStop);
  const result = await ScaleRun.run(setupFor(options), onProgress, registerStop);
  if (options.json !== undefined) writeFileSync(options.json, `${JSON.stringify(result, null, 1)}\n`);
  for (const line of result.broken.slice(0, MAX_BROKEN_RULES_SHOWN)) process.stdout.write(`${line}\n`);
  process.stdout.write(`${formatResult(options, result)}\n`);
  const isInForce = result.config.pending === 0 && result.config.maxS <= CONFIG_IN_FORCE_LIMIT_S;
  process.exit(result.broken.length > 0 || result.ended > 0 || !isInForce ? 1 : 0);
}

const program = new Command('scale')
  .description(
    'runs a cluster of the expected production size on this machine; exits with 1 when a rule is broken',
  )
  .option('--workers <n>', 'simulated workers', wholeNumber(10, 4000), 2000)
  .option('--controllers <n>', 'real controllers', wholeNumber(1, 15), 5)
  .option('--teams <n>', 'teams with quotas', wholeNumber(6, 400), 57)
  .option('--seed <n>', 'seed of the generated load', wholeNumber(1, 2 ** 31), 1)
  .option('--quick', 'takes less than four minutes; the leader is killed once')
  .option('--slopes', 'measure what each role costs while one parameter at a time varies')
  .option('--only <series...>', 'with --slopes: run only these series')
  .option('--json <file>', 'write all figures to this file as JSON')
  .option('--resume', 'with --slopes: keep the points in the file of --json and run only the missing ones')
  .option('--plot <file>', 'with --slopes: write a plot to this file as SVG')
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : USAGE_ERROR_EXIT_CODE))
  .action(main);
await program.parseAsync();
