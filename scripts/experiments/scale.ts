// npm run drill -- scale: the size that the operators expect, on one machine: real controllers on real sockets, hollow workers,
// and the lab's state service and cloud. `--slopes` varies one thing at a time; `--quick` is a short run with one trouble.
import { writeFileSync } from 'node:fs';
import { Command, InvalidArgumentError } from 'commander';
import { lacking } from './scale/resources.ts';
import { type RunResult, type RunSetup, type ScaleFault, ScaleRun } from './scale/run.ts';
import { baseSetup, playSlopes } from './scale/slopes.ts';

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

const USAGE_ERROR = 2;

const whole = (least: number, most: number) => (v: string) => {
  const n = Number(v);
  if (!Number.isInteger(n) || n < least || n > most)
    throw new InvalidArgumentError(`a whole number from ${least} to ${most} is expected`);
  return n;
};

/** Everything that is listed for an ordinary year, within a quarter of an hour. */
const TROUBLES: ScaleFault[] = [
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
const QUICK_TROUBLES: ScaleFault[] = [
  { atS: 2, kind: 'burst', startsPerS: 1000, forS: 30 },
  { atS: 10, kind: 'config-burst', documents: 200, forS: 10 },
  { atS: 15, kind: 'owner-ends' },
];

/** More is offered than is to run: what is beyond its team's limit waits. */
const OFFERED = 1.2;
/** A change of the configuration is in force everywhere within this. */
const CONFIG_IN_FORCE_S = 18;
/** 6,900 a day. */
const CHANGES_PER_MINUTE = 5;

function setupOf(o: Options): RunSetup {
  const plain = baseSetup(o.workers, o.controllers, o.teams, o.seed);
  const demand = { ...plain.demand, running: Math.round(plain.demand.running * OFFERED) };
  const base = { ...plain, demand, changesPerMinute: CHANGES_PER_MINUTE };
  return o.quick
    ? { ...base, fillS: 40, measureS: 20, troubles: QUICK_TROUBLES, calmS: 110 }
    : { ...base, fillS: 70, measureS: 60, troubles: TROUBLES, calmS: 100 };
}

function progressTo(stream: NodeJS.WriteStream): (line: string) => void {
  const began = Date.now();
  let last = 0;
  return (line) => {
    if (!line.startsWith('fault') && Date.now() - last < (stream.isTTY ? 1000 : 20_000)) return;
    last = Date.now();
    stream.write(`${Math.round((Date.now() - began) / 1000)} s  ${line}\n`);
  };
}

const count = (r: RunResult, ...rules: string[]): number =>
  r.broken.filter((b) => rules.some((rule) => b.includes(` ${rule}: `))).length;

function lastLine(o: Options, r: RunResult): string {
  const f = r.figures;
  const fixed = (x: number, digits = 2): string => x.toFixed(digits);
  const takeover = r.takeoversS.length === 0 ? 0 : Math.max(...r.takeoversS);
  return [
    `scale: workers=${o.workers} teams=${o.teams} running=${r.running} starts_per_s=${Math.round(r.peakStartsPerS)}`,
    `urgent_p50_s=${fixed(r.urgent.p50S)} urgent_p99_s=${fixed(r.urgent.p99S)} takeover_s=${fixed(takeover, 1)}`,
    `config_p99_s=${fixed(r.config.p99S)} config_max_s=${fixed(r.config.maxS)}`,
    `owner_core=${fixed(f.owner.core, 3)} owner_mb=${Math.round(f.owner.rssMb)}`,
    `worker_bytes_s=${Math.round(f.worker.bytesPerS)} state_requests_s=${fixed(f.stateRequestsPerS, 1)}`,
    `state_changes_s=${fixed(f.stateChangesPerS, 1)} lost=${count(r, 'forgotten', 'left_waiting', 'nothing_ran')}`,
    `doubled=${count(r, 'ran_twice')} over_quota=${count(r, 'quota')}`,
  ].join(' ');
}

async function main(o: Options): Promise<void> {
  const why = lacking(o.workers, o.controllers);
  if (why !== null) {
    process.stderr.write(`scale: ${why}\n`);
    process.exit(USAGE_ERROR);
  }
  let stop: (() => Promise<void>) | null = null;
  const onCluster = (s: () => Promise<void>): void => {
    stop = s;
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const)
    process.on(signal, async () => {
      await stop?.();
      process.exit(130);
    });
  const progress = progressTo(process.stderr);
  if (o.slopes) return playSlopes(o, progress, onCluster);
  const r = await ScaleRun.play(setupOf(o), progress, onCluster);
  if (o.json !== undefined) writeFileSync(o.json, `${JSON.stringify(r, null, 1)}\n`);
  for (const b of r.broken.slice(0, 40)) process.stdout.write(`${b}\n`);
  process.stdout.write(`${lastLine(o, r)}\n`);
  const inForce = r.config.pending === 0 && r.config.maxS <= CONFIG_IN_FORCE_S;
  process.exit(r.broken.length > 0 || r.ended > 0 || !inForce ? 1 : 0);
}

const program = new Command('scale')
  .description('the size that the operators expect, on this machine; exits with 1 when a rule is broken')
  .option('--workers <n>', 'hollow workers', whole(10, 4000), 2000)
  .option('--controllers <n>', 'real controllers', whole(1, 15), 5)
  .option('--teams <n>', 'teams with quotas', whole(6, 400), 57)
  .option('--seed <n>', 'of the load', whole(1, 2 ** 31), 1)
  .option('--quick', 'under four minutes, with one end of the owner')
  .option('--slopes', 'what each role costs as one thing varies')
  .option('--only <series...>', 'of the slopes, these series')
  .option('--json <file>', 'all figures')
  .option('--resume', 'of the slopes, go on with what is in that file')
  .option('--plot <file>', 'the slopes as an SVG')
  .exitOverride((e) => process.exit(e.exitCode === 0 ? 0 : USAGE_ERROR))
  .action(main);
await program.parseAsync();
