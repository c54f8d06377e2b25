// npm run experiment -- submission-load [--rate R] [--seconds S]: submits jobs to a local cluster in open
// loop. Each submission is due at a time that does not depend on earlier responses, and its delay counts from
// then, which avoids coordinated omission. Measures the base rate, three times and ten times it, and the
// memory of a client with 100,000 open jobs.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { build } from 'hdr-histogram-js';
import { bodyOf, newId } from '../../packages/client/src/request.ts';
import { Session } from '../../packages/client/src/session.ts';
import { LocalCluster, readLocalClusterOptions } from '../../packages/local-cluster/src/index.ts';
import { HttpClient } from '../../src/http/client.ts';
import { seededRandom } from '../../src/runtime/random.ts';
import { FailedRunError } from '../errors.ts';

const { values } = parseArgs({
  options: { rate: { type: 'string', default: '20' }, seconds: { type: 'string', default: '20' } },
});
setFlagsFromString('--expose-gc');
const gc = runInNewContext('gc') as () => void;
const baseRate = Number(values.rate);
const durationS = Number(values.seconds);
const REQUEST = {
  team: 'demo',
  class: 'load',
  cpus: 1,
  memoryGb: 1,
  image: 'i',
  imageGb: 0,
  estimateS: 5,
};
const OPEN_JOBS = 100_000;
const WARM_UP_MS = 5000;
const CONNECTIONS = 500;
const RESPONSE_MAX_BYTES = 1 << 20;
const SUBMIT_TIMEOUT_MS = 5000;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Measures the memory of a client session with accepted jobs whose status it polls, without a network, in MB.
 * Must run before all other measurements, which would leave garbage in the heap.
 */
function measureClientMemoryMb(openJobs: number): number {
  gc();
  const heapUsedBefore = process.memoryUsage().heapUsed;
  const random = seededRandom(1);
  const session = new Session({ nodes: ['a:1'], perNode: 8, random: () => random.below(1000) / 1000 });
  let now = 0;
  const accepted = '{"nameId":"x","status":"pending"}';
  const feed = (effects: ReturnType<Session['step']>): void => {
    for (const effect of effects) {
      if (effect.kind === 'persist') feed(session.step(now, now, { kind: 'persisted', upTo: effect.seq }));
      if (effect.kind === 'send')
        feed(
          session.step(now, now, {
            kind: 'response',
            tag: effect.tag,
            response: { status: 200, body: accepted, retryAfterS: null },
          }),
        );
    }
  };
  for (let i = 0; i < openJobs; i++) {
    const id = newId();
    const submit = {
      kind: 'submit',
      id,
      key: null,
      body: bodyOf(id, REQUEST),
      acceptMs: 1e9,
      endMs: 1e9,
    } as const;
    feed(session.step(now++, now, submit));
  }
  gc();
  if (session.open !== openJobs)
    throw new FailedRunError(`expected ${openJobs} open jobs in the client session, got ${session.open}`);
  return (process.memoryUsage().heapUsed - heapUsedBefore) / 1e6;
}
const clientMemoryMb = measureClientMemoryMb(OPEN_JOBS);

const dir = mkdtempSync(join(tmpdir(), 'swiftford-load-'));
const cluster = await LocalCluster.start(
  readLocalClusterOptions('(experiment)', {
    lab: [{ port: 0, speed: 20 }],
    team: { demo: [{}] },
    type: { small: [{ cpus: 64, memory_gb: 512, count: 20 }] },
  }),
  { program: [process.execPath, '--max-old-space-size=4096', 'target/main.js'], dir, log: () => {} },
);
await cluster.ready();
await sleep(WARM_UP_MS);
const clients = cluster.controllers.map(
  (controller) => new HttpClient(controller.addr, CONNECTIONS, RESPONSE_MAX_BYTES),
);

/** Figures of the submissions at one rate. */
interface RateFigures {
  acceptedPerS: number;
  p99Ms: number;
  refused: number;
}

/** Counts responses, and records the delays of accepted submissions from their due times. */
class SubmissionCounts {
  readonly delaysUs = build({ numberOfSignificantValueDigits: 3 });
  accepted = 0;
  refused = 0;
  unanswered = 0;

  add(status: number | null, delayMs: number): void {
    if (status === null) this.unanswered++;
    else if (status > 201) this.refused++;
    else {
      this.accepted++;
      this.delaysUs.recordValue(Math.max(1, Math.round(delayMs * 1000)));
    }
  }

  /** A percentile of the delays in milliseconds, rounded to a tenth. */
  delayMs(percentile: number): number {
    return Math.round(this.delaysUs.getValueAtPercentile(percentile) / 100) / 10;
  }
}

/** Submits the job that is due at `dueAt`; controllers are used in rotation. */
function submit(index: number, dueAt: number, counts: SubmissionCounts): Promise<void> {
  const client = clients[index % clients.length]!;
  const body = bodyOf(newId(), REQUEST);
  return new Promise((resolve) =>
    client.call({ method: 'POST', path: '/work', body, timeoutMs: SUBMIT_TIMEOUT_MS }, (reply) => {
      counts.add(reply?.status ?? null, performance.now() - dueAt);
      resolve();
    }),
  );
}

/** Submits `rate` jobs a second for the duration of the experiment. */
async function submitAtRate(rate: number): Promise<RateFigures> {
  const counts = new SubmissionCounts();
  const submissions: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let i = 0; i < rate * durationS; i++) {
    const dueAt = startedAt + (i * 1000) / rate;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    submissions.push(submit(i, dueAt, counts));
  }
  await Promise.all(submissions);
  const elapsedS = (performance.now() - startedAt) / 1000;
  const acceptedPerS = Math.round((counts.accepted / elapsedS) * 10) / 10;
  const [p50, p99, p999] = [50, 99, 99.9].map((percentile) => counts.delayMs(percentile));
  process.stderr.write(
    `${rate} a second: ${acceptedPerS} accepted a second, p50 ${p50} ms, p99 ${p99} ms, p99.9 ${p999} ms, refused ${counts.refused}, no response ${counts.unanswered}\n`,
  );
  return { acceptedPerS, p99Ms: p99!, refused: counts.refused };
}

const figures: RateFigures[] = [];
for (const times of [1, 3, 10]) figures.push(await submitAtRate(times * baseRate));
for (const client of clients) client.close();
await cluster.stop();
rmSync(dir, { recursive: true, force: true });
const joinFigures = (of: (rate: RateFigures) => number): string => figures.map(of).join('/');
process.stdout.write(
  `load: accepted_per_s=${joinFigures((rate) => rate.acceptedPerS)} p99_ms=${joinFigures((rate) => rate.p99Ms)} sent_back=${joinFigures((rate) => rate.refused)} client_mb_100k=${Math.round(clientMemoryMb)}\n`,
);
// Refusing submissions under overload is acceptable. The experiment fails if submissions at the base rate are
// refused or left without a response.
const [baseFigures] = figures;
process.exit(baseFigures!.refused === 0 && baseFigures!.acceptedPerS > baseRate * 0.9 ? 0 : 1);
