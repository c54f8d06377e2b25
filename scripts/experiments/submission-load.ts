// npm run experiment -- submission-load [--rate R] [--seconds S]: submissions to a local cluster in open
// loop: each is due at a time that does not depend on the responses, and its delay counts from then (no
// coordinated omission). Base rate, three and ten times it; and the memory of a client with 100,000 open
// jobs.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { build } from 'hdr-histogram-js';
import { bodyOf, newId } from '../../packages/client/src/request.ts';
import { Session } from '../../packages/client/src/session.ts';
import { Lab, readLabOptions } from '../../packages/local-cluster/src/index.ts';
import { HttpClient } from '../../src/http/client.ts';
import { seededRandom } from '../../src/runtime/random.ts';
import { FailedRunError } from '../errors.ts';

const { values } = parseArgs({
  options: { rate: { type: 'string', default: '20' }, seconds: { type: 'string', default: '20' } },
});
setFlagsFromString('--expose-gc');
const gc = runInNewContext('gc') as () => void;
const base = Number(values.rate);
const seconds = Number(values.seconds);
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
 * Memory first, while the heap is clean, in MB: jobs that are accepted and asked about, without a network.
 */
function memory(open: number): number {
  gc();
  const before = process.memoryUsage().heapUsed;
  const random = seededRandom(1);
  const s = new Session({ nodes: ['a:1'], perNode: 8, random: () => random.below(1000) / 1000 });
  let now = 0;
  const accepted = '{"nameId":"x","status":"pending"}';
  const feed = (effects: ReturnType<Session['step']>): void => {
    for (const e of effects) {
      if (e.kind === 'persist') feed(s.step(now, now, { kind: 'persisted', upTo: e.seq }));
      if (e.kind === 'send')
        feed(
          s.step(now, now, {
            kind: 'response',
            tag: e.tag,
            response: { status: 200, body: accepted, retryAfterS: null },
          }),
        );
    }
  };
  for (let i = 0; i < open; i++) {
    const id = newId();
    const submit = {
      kind: 'submit',
      id,
      key: null,
      body: bodyOf(id, REQUEST),
      acceptMs: 1e9,
      endMs: 1e9,
    } as const;
    feed(s.step(now++, now, submit));
  }
  gc();
  if (s.open !== open) throw new FailedRunError(`${s.open} jobs are open, not ${open}`);
  return (process.memoryUsage().heapUsed - before) / 1e6;
}
const mb = memory(OPEN_JOBS);

const dir = mkdtempSync(join(tmpdir(), 'swiftford-load-'));
const cluster = await Lab.start(
  readLabOptions('(experiment)', {
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

/** What came of submissions at one rate. */
interface RateFigures {
  acceptedPerS: number;
  p99Ms: number;
  refused: number;
}

/** Counts responses, and how long after they were due submissions were accepted. */
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

  /** A percentile of the delays in milliseconds, to a tenth. */
  delayMs(percentile: number): number {
    return Math.round(this.delaysUs.getValueAtPercentile(percentile) / 100) / 10;
  }
}

/** Submits a job that is due at a time, to each controller in turn. */
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

/** Submits so many jobs a second. */
async function play(rate: number): Promise<RateFigures> {
  const counts = new SubmissionCounts();
  const submissions: Promise<void>[] = [];
  const began = performance.now();
  for (let i = 0; i < rate * seconds; i++) {
    const dueAt = began + (i * 1000) / rate;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    submissions.push(submit(i, dueAt, counts));
  }
  await Promise.all(submissions);
  const elapsedS = (performance.now() - began) / 1000;
  const acceptedPerS = Math.round((counts.accepted / elapsedS) * 10) / 10;
  const [p50, p99, p999] = [50, 99, 99.9].map((percentile) => counts.delayMs(percentile));
  process.stderr.write(
    `${rate} a second: ${acceptedPerS} accepted a second, p50 ${p50} ms, p99 ${p99} ms, p99.9 ${p999} ms, sent back ${counts.refused}, no answer ${counts.unanswered}\n`,
  );
  return { acceptedPerS, p99Ms: p99!, refused: counts.refused };
}

const figures: RateFigures[] = [];
for (const times of [1, 3, 10]) figures.push(await play(times * base));
for (const client of clients) client.close();
await cluster.stop();
rmSync(dir, { recursive: true, force: true });
const list = (of: (rate: RateFigures) => number): string => figures.map(of).join('/');
process.stdout.write(
  `load: accepted_per_s=${list((rate) => rate.acceptedPerS)} p99_ms=${list((rate) => rate.p99Ms)} sent_back=${list((rate) => rate.refused)} client_mb_100k=${Math.round(mb)}\n`,
);
// An overload that is refused at once is in order; one that is taken and never answered, or lost at the base
// rate, is not.
const [baseFigures] = figures;
process.exit(baseFigures!.refused === 0 && baseFigures!.acceptedPerS > base * 0.9 ? 0 : 1);
