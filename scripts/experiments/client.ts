// npm run drill -- client [--jobs N] [--seed S] [--kills K]: a lab, a script that submits N jobs, and everything killed at
// random: script, controllers, machines, answers of the state service. Then what the script was told is compared with the
// record and with what ran.
import { type ChildProcess, spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { type Fault, Lab, readLabOptions } from '../../packages/local-cluster/src/index.ts';
import { seededRandom } from '../../src/runtime/random.ts';

const { values } = parseArgs({
  options: {
    jobs: { type: 'string', default: '1000' },
    seed: { type: 'string', default: '1' },
    kills: { type: 'string', default: '12' },
    verbose: { type: 'boolean', default: false },
  },
});
const jobs = Number(values.jobs);
const random = seededRandom(Number(values.seed));
const kills = Number(values.kills);
const RATE = 25;
const TIME_MS = 600_000;

const dir = mkdtempSync(join(tmpdir(), 'swiftford-drill-'));
const told = join(dir, 'told.jsonl');
const log = (line: string): void => {
  if (values.verbose) process.stderr.write(`${line}\n`);
};
const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const lab = await Lab.start(
  readLabOptions('(drill)', {
    lab: [{ port: 0, speed: 10, seed: Number(values.seed) }],
    team: { demo: [{}] },
    type: { small: [{ cpus: 8, memory_gb: 64, boot_s: 10, count: 10, spot: 10 }] },
    cloud: [{ list_lag_s: 1 }],
  }),
  { program: [process.execPath, '--max-old-space-size=4096', 'target/main.js'], dir: join(dir, 'lab'), log },
);
await lab.ready();

let script: ChildProcess | null = null;
let done = false;
let failed = '';
function startScript(): void {
  const args = ['--import', 'tsx', new URL('client-script.ts', import.meta.url).pathname];
  const nodes = lab.controllers.map((c) => c.addr);
  const child = spawn(
    process.execPath,
    [...args, join(dir, 'outbox'), told, String(jobs), String(RATE), ...nodes],
    {
      stdio: ['ignore', 'ignore', 'pipe'],
    },
  );
  child.stderr.on('data', (d) => {
    failed += d;
  });
  child.once('exit', (code) => {
    if (code === 0) done = true;
    else if (code !== null) log(`the script ended with ${code}: ${failed}`);
    script = null;
  });
  script = child;
}

const FAULTS: (() => Partial<Fault> & Pick<Fault, 'kind'>)[] = [
  () => ({ kind: 'kill-controller' }),
  () => ({ kind: 'kill-controller' }),
  () => ({ kind: 'freeze-controller', seconds: 2 + random.below(5) }),
  () => ({ kind: 'state-outage', seconds: 1 + random.below(6) }),
  () => ({ kind: 'state-silent', seconds: 1 + random.below(4) }),
  () => ({ kind: 'state-late', seconds: 1 + random.below(4) }),
  () => ({ kind: 'zone-hold', zone: 'b', seconds: 3 + random.below(15) }),
  () => ({ kind: 'machine-death', count: 1 + random.below(3) }),
  () => ({ kind: 'spot-wave', seconds: 2 }),
  () => ({ kind: 'zone-cut', zone: 'a', seconds: 3 + random.below(12) }),
];
let faults = 0;
let killed = 0;
const started = Date.now();
async function trouble(): Promise<void> {
  while (!done && killed < kills) {
    await sleep(2000 + random.below(3000));
    try {
      lab.fault({ seconds: 1, count: 1, ...FAULTS[random.below(FAULTS.length)]!() });
      faults++;
    } catch (e) {
      log(String(e));
    }
  }
}
async function murder(): Promise<void> {
  while (!done && Date.now() - started < TIME_MS) {
    if (script === null) startScript();
    if (killed < kills) {
      // It waits 5 s for the lock of the one before, so it is killed somewhere in its first seconds of work.
      await sleep((killed === 0 ? 0 : 5500) + 500 + random.below(4000));
      if (script?.kill('SIGKILL')) killed++;
      await sleep(50);
    } else await sleep(100);
  }
}
await Promise.all([trouble(), murder()]);
(script as ChildProcess | null)?.kill('SIGKILL');

// ---- what the script was told, against the record and what ran

const kinds = new Map<string, { id: string; kind: string }>();
const keysOf = new Map<string, string>();
let doubled = 0;
const lines = existsSync(told) ? readFileSync(told, 'utf8').trim().split('\n') : [];
for (const line of lines) {
  const { key, id, kind } = JSON.parse(line);
  const before = kinds.get(key);
  if (before !== undefined && (before.id !== id || before.kind !== kind)) doubled++;
  kinds.set(key, { id, kind });
  keysOf.set(id, key);
}
const recorded = [...lab.state.keys.keys()].filter((k) => k.startsWith('f/')).map((k) => k.slice(2));
/** Accepted by the service, and nobody knows of it. */
for (const id of recorded) if (!keysOf.has(id)) doubled++;
let lost = 0;
let wrong = 0;
for (let n = 0; n < jobs; n++) {
  const o = kinds.get(`job-${n}`);
  if (o === undefined) {
    lost++;
    continue;
  }
  const record = (lab.recorded(`f/${o.id}`) as { s?: string } | undefined)?.s;
  const right = n % 7 === 3 ? record === undefined : record === (o.kind === 'refused' ? undefined : o.kind);
  if (!right || (n % 7 === 3 && o.kind === 'done')) {
    wrong++;
    log(`job-${n} ${o.id}: told ${o.kind}, recorded ${record}`);
  }
}
const byTask = new Map<string, { from: number; to: number; why: string | null; machine: string }[]>();
for (const r of lab.runs) {
  const list = byTask.get(r.task) ?? [];
  list.push({ from: r.from, to: r.to ?? Number.POSITIVE_INFINITY, why: r.why, machine: r.machine });
  byTask.set(r.task, list);
}
let twice = 0;
for (const [task, list] of byTask) {
  list.sort((a, b) => a.from - b.from);
  for (let i = 1; i < list.length; i++)
    if (list[i]!.from < list[i - 1]!.to) {
      twice++;
      log(`${task} ran twice at once: ${JSON.stringify(list)}`);
    }
}
/** A job that is done has run every task to its end. */
for (const [key, o] of kinds) {
  if (o.kind !== 'done') continue;
  const tasks = 1 + (Number(key.slice(4)) % 3);
  for (let t = 0; t < tasks; t++)
    if (!byTask.get(`${o.id}/${t}`)?.some((r) => r.why === 'done')) {
      wrong++;
      log(`${o.id}/${t} is called done and never was`);
    }
}
await lab.stop();
rmSync(dir, { recursive: true, force: true });
const bad = lost + doubled + wrong + twice;
if (bad > 0 && failed !== '') process.stderr.write(failed);
process.stdout.write(
  `client: jobs=${jobs} outcomes=${kinds.size} lost=${lost} doubled=${doubled} wrong=${wrong + twice} kills=${killed} faults=${faults} restarts=${lab.controllers.reduce((n, c) => n + c.restarts, 0)} seconds=${Math.round((Date.now() - started) / 1000)}\n`,
);
process.exit(bad === 0 && kinds.size === jobs ? 0 : 1);
