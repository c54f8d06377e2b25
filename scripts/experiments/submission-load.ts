// npm run drill -- load [--rate R] [--seconds S]: submissions to a lab in open loop: each is due at a time that does not
// depend on the answers, and its delay counts from then (no coordinated omission). Base rate, three and ten times it; and
// the memory of a client with 100,000 open jobs.
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
const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

/** Memory first, while the heap is clean: jobs that are accepted and asked about, without a network. */
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
  if (s.open !== open) throw new Error(`${s.open} jobs are open`);
  return (process.memoryUsage().heapUsed - before) / 1e6;
}
const mb = memory(100_000);

const dir = mkdtempSync(join(tmpdir(), 'swiftford-load-'));
const lab = await Lab.start(
  readLabOptions('(drill)', {
    lab: [{ port: 0, speed: 20 }],
    team: { demo: [{}] },
    type: { small: [{ cpus: 64, memory_gb: 512, count: 20 }] },
  }),
  { program: [process.execPath, '--max-old-space-size=4096', 'target/main.js'], dir, log: () => {} },
);
await lab.ready();
await sleep(5000);
const lines = lab.controllers.map((c) => new HttpClient(c.addr, 500, 1 << 20));

async function play(rate: number) {
  const delays = build({ numberOfSignificantValueDigits: 3 });
  let refused = 0;
  let unanswered = 0;
  let answered = 0;
  const all: Promise<void>[] = [];
  const start = performance.now();
  for (let i = 0; i < rate * seconds; i++) {
    const due = start + (i * 1000) / rate;
    const wait = due - performance.now();
    if (wait > 0) await sleep(wait);
    const id = newId();
    all.push(
      new Promise((resolve) =>
        lines[i % lines.length]!.call(
          { method: 'POST', path: '/work', body: bodyOf(id, REQUEST), timeoutMs: 5000 },
          (r) => {
            if (r === null) unanswered++;
            else if (r.status > 201) refused++;
            else {
              answered++;
              delays.recordValue(Math.max(1, Math.round((performance.now() - due) * 1000)));
            }
            resolve();
          },
        ),
      ),
    );
  }
  await Promise.all(all);
  const ms = (p: number): number => Math.round(delays.getValueAtPercentile(p) / 100) / 10;
  const perS = Math.round((answered / ((performance.now() - start) / 1000)) * 10) / 10;
  process.stderr.write(
    `${rate} a second: ${perS} accepted a second, p50 ${ms(50)} ms, p99 ${ms(99)} ms, p99.9 ${ms(99.9)} ms, sent back ${refused}, no answer ${unanswered}\n`,
  );
  return { perS, p99: ms(99), refused };
}
const one = await play(base);
const three = await play(3 * base);
const ten = await play(10 * base);
for (const l of lines) l.close();
await lab.stop();
rmSync(dir, { recursive: true, force: true });
process.stdout.write(
  `load: accepted_per_s=${one.perS}/${three.perS}/${ten.perS} p99_ms=${one.p99}/${three.p99}/${ten.p99} sent_back=${one.refused}/${three.refused}/${ten.refused} client_mb_100k=${Math.round(mb)}\n`,
);
// An overload that is refused at once is in order; one that is taken and never answered, or lost at the base rate, is not.
process.exit(one.refused === 0 && one.perS > base * 0.9 ? 0 : 1);
