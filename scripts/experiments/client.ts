// npm run experiment -- client [--jobs N] [--seed S] [--kills K]: runs a local cluster and a script that
// submits N jobs, and injects faults at random: it kills the script, controllers and machines, cuts off
// zones, and delays or drops responses of the key-value store. It then compares the outcomes reported to the
// script with the stored final states and with the tasks that ran.
import { type ChildProcess, spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { type Fault, LocalCluster, readLocalClusterOptions } from '../../packages/local-cluster/src/index.ts';
import { seededRandom } from '../../src/runtime/random.ts';
import { ClientAudit, type ReportedOutcome } from './client-audit.ts';

const { values } = parseArgs({
  options: {
    jobs: { type: 'string', default: '1000' },
    seed: { type: 'string', default: '1' },
    kills: { type: 'string', default: '12' },
    verbose: { type: 'boolean', default: false },
  },
});
const jobs = Number(values.jobs);
const kills = Number(values.kills);
const random = seededRandom(Number(values.seed));

const SUBMISSIONS_PER_S = 25;
const TIME_LIMIT_MS = 600_000;
const FINAL_STATE_PREFIX = 'f/';
/**
 * Time in which a restarted script waits for the lock of its predecessor. It is killed in the first seconds
 * after this, so that each incarnation does some work.
 */
const LOCK_WAIT_MS = 5500;

const dir = mkdtempSync(join(tmpdir(), 'swiftford-experiment-'));
const outcomesFile = join(dir, 'outcomes.jsonl');

function log(line: string): void {
  if (values.verbose) process.stderr.write(`${line}\n`);
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const cluster = await LocalCluster.start(
  readLocalClusterOptions('(experiment)', {
    lab: [{ port: 0, speed: 10, seed: Number(values.seed) }],
    team: { demo: [{}] },
    type: { small: [{ cpus: 8, memory_gb: 64, boot_s: 10, count: 10, spot: 10 }] },
    cloud: [{ list_lag_s: 1 }],
  }),
  { program: [process.execPath, '--max-old-space-size=4096', 'target/main.js'], dir: join(dir, 'lab'), log },
);
await cluster.ready();

// ---- the script

let script: ChildProcess | null = null;
let isScriptDone = false;
let scriptErrors = '';

function startScript(): ChildProcess {
  const path = new URL('client-script.ts', import.meta.url).pathname;
  const nodes = cluster.controllers.map((controller) => controller.addr);
  const args = [join(dir, 'outbox'), outcomesFile, String(jobs), String(SUBMISSIONS_PER_S), ...nodes];
  const child = spawn(process.execPath, ['--import', 'tsx', path, ...args], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  child.stderr.on('data', (chunk) => {
    scriptErrors += chunk;
  });
  child.once('exit', (code) => {
    if (code === 0) isScriptDone = true;
    else if (code !== null) log(`the client script exited with code ${code}: ${scriptErrors}`);
    script = null;
  });
  return child;
}

// ---- faults

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
const startedAt = Date.now();
let faults = 0;
let killed = 0;

async function injectFaults(): Promise<void> {
  while (!isScriptDone && killed < kills) {
    await sleep(2000 + random.below(3000));
    try {
      cluster.fault({ seconds: 1, count: 1, ...FAULTS[random.below(FAULTS.length)]!() });
      faults++;
    } catch (error) {
      log(String(error));
    }
  }
}

async function killScript(): Promise<void> {
  while (!isScriptDone && Date.now() - startedAt < TIME_LIMIT_MS) {
    script ??= startScript();
    if (killed >= kills) {
      await sleep(100);
      continue;
    }
    await sleep((killed === 0 ? 0 : LOCK_WAIT_MS) + 500 + random.below(4000));
    if (script?.kill('SIGKILL')) killed++;
    await sleep(50);
  }
}

await Promise.all([injectFaults(), killScript()]);
(script as ChildProcess | null)?.kill('SIGKILL');

// ---- comparison of reported outcomes with stored states and runs

const lines = existsSync(outcomesFile) ? readFileSync(outcomesFile, 'utf8').trim().split('\n') : [];
const reported = lines.map((line) => JSON.parse(line) as ReportedOutcome);
const finished = [...cluster.store.entries.keys()]
  .filter((key) => key.startsWith(FINAL_STATE_PREFIX))
  .map((key) => key.slice(FINAL_STATE_PREFIX.length));
const audit = new ClientAudit(
  jobs,
  {
    finished,
    stateOf: (id) => (cluster.storedValue(`${FINAL_STATE_PREFIX}${id}`) as { s?: string } | undefined)?.s,
    runs: cluster.runs,
  },
  log,
).audit(reported);
await cluster.stop();
rmSync(dir, { recursive: true, force: true });

const { outcomes, lost, duplicated, wrong, concurrentRuns } = audit;
const isSound = lost + duplicated + wrong + concurrentRuns === 0;
if (!isSound && scriptErrors !== '') process.stderr.write(scriptErrors);
const restarts = cluster.controllers.reduce((total, controller) => total + controller.restarts, 0);
const seconds = Math.round((Date.now() - startedAt) / 1000);
process.stdout.write(
  `client: jobs=${jobs} outcomes=${outcomes} lost=${lost} doubled=${duplicated} wrong=${wrong + concurrentRuns} kills=${killed} faults=${faults} restarts=${restarts} seconds=${seconds}\n`,
);
process.exit(isSound && outcomes === jobs ? 0 : 1);
