// Two versions side by side: `fixtures/production.json` holds records and frames exactly as the version in production
// before chained jobs wrote them. Limits of the state service fall while records of the larger size are stored.
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { ControllerIo, type Effect } from '../src/core/base/io.ts';
import type { JobSpec, PeerMessage, StoreReply, StoreRequest } from '../src/core/base/model.ts';
import { FencedWriter, type WriteResult } from '../src/core/storage/fenced-writer.ts';
import { encodeJobSpec, type StoredJobSpec } from '../src/core/storage/job-record.ts';
import { encodePeerMessage, PeerDecoder } from '../src/protocol/peer.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Instant, JobId, NodeId, Revision, WallTime } from '../src/types/index.ts';
import { job, SimulatedWorld, settings } from './support/simulated-world.ts';

type Json = Record<string, never>;
const production = JSON.parse(
  readFileSync(new URL('./fixtures/production.json', import.meta.url), 'utf8'),
) as { records: Record<string, Json>; frames: Record<string, string> };

/** With a message of its own: without one, the runner searches the source for the failed line, for minutes. */
const holds = (v: boolean | undefined, what = 'this must hold') => assert.equal(v, true, what);
const NODES = ['node-0', 'node-1', 'node-2'];
const LATER = { requestsPerS: 200, writesPerS: 28, maxValueKb: 2, maxTransactionOps: 8 };

/** A world that finds the records of production, with the smaller limits in force. */
function upgraded(more: Record<string, unknown> = {}): SimulatedWorld {
  const w = new SimulatedWorld({ store: LATER, currentWritesPerS: 40 });
  w.state.limits = { valueBytes: 2048, txnOps: 8 };
  for (const [key, value] of Object.entries({ ...production.records, ...more })) {
    w.state.keys.set(key, { value, revision: ++w.state.revision, hold: null });
    if (key.startsWith('o/')) {
      const { s } = value as unknown as { s: JobSpec };
      w.jobs.set(s.id, { spec: s, cancelledAt: null });
    }
  }
  return w;
}

/** The bits of all pages on record, as the version in production reads them. */
function bitsOnRecord(records: Iterable<[string, unknown]>): Map<string, Set<number>> {
  const out = new Map<string, Set<number>>();
  for (const [key, value] of records) {
    if (!key.startsWith('d/')) continue;
    const page = value as { v: number; b: Record<string, string> };
    assert.equal(page.v, 1);
    for (const [name, text] of Object.entries(page.b)) {
      const cut = name.lastIndexOf('/');
      const from = Number(name.slice(cut + 1)) * 32_768;
      holds(Number.isInteger(from), name);
      const done = out.get(name.slice(0, cut)) ?? new Set();
      out.set(name.slice(0, cut), done);
      Buffer.from(text, 'base64').forEach((byte, i) => {
        for (let bit = 0; bit < 8; bit++) if ((byte & (1 << bit)) !== 0) done.add(from + i * 8 + bit);
      });
    }
  }
  return out;
}
const recordsOf = (w: SimulatedWorld): [string, unknown][] => [...w.state.keys].map(([k, v]) => [k, v.value]);
const machinesOnRecord = (records: [string, unknown][]): Set<string> =>
  new Set(
    records.flatMap(([k, v]) => (k.startsWith('m/') ? (v as { m: [string][] }).m.map(([id]) => id) : [])),
  );

test('what production wrote is read: jobs, final states, results, machines', () => {
  const w = upgraded();
  w.run(8);
  assert.deepEqual(w.status('run-over'), { kind: 'ended', id: 'run-over', status: 'done' });
  assert.deepEqual(w.status('run-gone', 'node-2'), { kind: 'ended', id: 'run-gone', status: 'cancelled' });
  const big = w.status('run-big');
  assert.equal(
    big?.kind === 'status' && big.done,
    bitsOnRecord(Object.entries(production.records)).get('run-big')!.size,
  );
  // A new job may await one that production accepted, and one that it saw end.
  const spec = job('run-next', { dependsOn: ['run-over', 'run-open'] as JobId[] });
  assert.equal(w.submit(spec)?.kind, 'accepted');
  assert.equal(w.status('run-next')?.kind, 'status');
});

test('pages larger than a value may be by now are split; nothing on them is missing at any moment, owners dying or not', () => {
  // Both pages are due to be written: one names a job that is over, one a machine that another page has too.
  const lines = Array.from({ length: 80 }, (_, i) => [`i-${String(i).padStart(6, '0')}`, 'box', 'north', 0]);
  const page = production.records['d/1.1'] as unknown as { v: number; b: Record<string, string> };
  const more = {
    'd/1.1': { ...page, b: { ...page.b, 'run-was/0': 'AQ==' } },
    'm/1.0': { v: 1, m: [lines[0]], w: 'x' },
    'm/1.1': { v: 1, m: lines, w: 'y' },
  };
  holds(JSON.stringify(more['d/1.1']).length > 2048 && JSON.stringify(more['m/1.1']).length > 2048);
  const wanted = bitsOnRecord(Object.entries(production.records));
  for (let dies = 5; dies < 20; dies++) {
    const w = upgraded(more);
    w.cloud.down = true;
    // In force from the beginning, or only from the moment when the owner dies.
    const limits = w.state.limits;
    if (dies % 2 === 1) w.state.limits = null;
    for (let i = 0; i < 130; i++) {
      w.run(0.1);
      const owner = w.owner;
      if (i === dies * 4) w.state.limits = limits;
      if (i === dies * 4 && owner !== undefined) {
        w.crash(owner);
        w.after(2000, () => w.start(owner));
      }
      const bits = bitsOnRecord(recordsOf(w));
      for (const [id, done] of wanted)
        for (const index of done) holds(bits.get(id)?.has(index), `${id}/${index} after ${w.now} ms`);
      const machines = machinesOnRecord(recordsOf(w));
      for (const [id] of lines) holds(machines.has(id as string), `${id} after ${w.now} ms`);
    }
    w.run(10);
    for (const [key, value] of recordsOf(w))
      if (key === 'd/1.1' || key === 'm/1.1') holds(JSON.stringify(value).length <= 2048, key);
    assert.deepEqual(
      w.logs.filter((l) => l.includes('rejected')),
      [],
    );
    assert.deepEqual(w.broken, []);
  }
});

test('a record too large to be written again is still cancelled; a new one is refused, known ones are known', () => {
  const machineTypes = Array.from({ length: 300 }, (_, i) => `type-${i}`).concat(
    'box',
  ) as JobSpec['machineTypes'];
  const s = job('run-long', { machineTypes });
  const w = upgraded({ 'o/run-long': { s: encodeJobSpec(s), t: 1e9, w: 'x' } });
  w.run(8);
  assert.equal(w.submit(s)?.kind, 'known');
  const a = w.submit(job('run-new', { machineTypes }), 'node-1');
  assert.equal(a?.kind, 'too-large');
  assert.match((a as { reason: string }).reason, /2 KiB/);
  const told = w.insist({ op: 'cancel', id: 'run-long' as JobId });
  assert.deepEqual(told, { kind: 'ended', id: 'run-long', status: 'cancelled' });
  for (const n of NODES) w.crash(n);
  for (const n of NODES) w.start(n);
  assert.deepEqual(w.status('run-long'), told);
});

test('a job that awaits hundreds of others takes several values, written, read and dropped together', () => {
  const w = upgraded();
  w.runS = 3;
  w.run(8);
  const ids = Array.from({ length: 300 }, (_, i) => `run-${String(i).padStart(6, '0')}` as JobId);
  for (const id of ids) {
    const value = { s: 'done', w: 'x' };
    if (id !== ids[299]) w.state.keys.set(`f/${id}`, { value, revision: ++w.state.revision, hold: null });
  }
  w.runS = 25;
  w.submit(job(ids[299]!));
  const spec = job('run-last', { dependsOn: ids });
  assert.equal(w.submit(spec, 'node-1')?.kind, 'accepted');
  const parts = () => [...w.state.keys.keys()].filter((k) => k.startsWith('a/run-last/')).length;
  holds(parts() >= 2, `${parts()} parts`);
  // The last one named stands in the last part: an owner that reads only the first value would start the job.
  for (const n of NODES) w.crash(n);
  w.run(5);
  for (const n of NODES) w.start(n);
  w.run(12);
  const told = w.status('run-last');
  assert.deepEqual(told?.kind === 'status' && told.dependsOn, [ids[299]]);
  w.insist({ op: 'cancel', id: ids[299]! });
  assert.deepEqual(w.status('run-last', 'node-2'), { kind: 'ended', id: 'run-last', status: 'cancelled' });
  w.run(10);
  assert.equal(parts(), 0);
  assert.deepEqual(w.broken, []);
});

test('what is written keeps the form that production reads', () => {
  const w = new SimulatedWorld({ store: LATER, currentWritesPerS: 40 });
  w.runS = 20;
  w.submit(job('run-a', { tasks: 200 }));
  w.submit(job('run-gone'));
  w.insist({ op: 'cancel', id: 'run-gone' as JobId });
  w.submit(job('run-b', { dependsOn: ['run-a'] as JobId[] }));
  const paged = () => [...w.state.keys.keys()].some((k) => k.startsWith('d/'));
  assert.equal(w.until(paged, 60), true);
  const sample = (prefix: string) =>
    Object.entries(production.records).find(([k]) => k.startsWith(prefix))![1] as Json;
  const shapes: Record<string, string[]> = {
    'o/': [...Object.keys(sample('o/')), 'c'],
    'f/': [...Object.keys(sample('f/')), 't'],
    'd/': Object.keys(sample('d/')),
    'm/': Object.keys(sample('m/')),
  };
  const specKeys = Object.keys((sample('o/') as unknown as { s: object }).s).sort();
  let looked = 0;
  for (const [key, value] of recordsOf(w)) {
    const shape = shapes[key.slice(0, 2)];
    if (shape === undefined) continue;
    looked++;
    for (const name of Object.keys(value as object)) holds(shape.includes(name), `${key}: ${name}`);
    if (key.startsWith('o/')) {
      const { awaits, ...rest } = (value as { s: StoredJobSpec }).s;
      assert.deepEqual(Object.keys(rest).sort(), specKeys);
      assert.equal(awaits !== undefined, key === 'o/run-b');
    }
    if (key.startsWith('m/'))
      for (const line of (value as { m: unknown[][] }).m)
        assert.deepEqual(
          line.map((x) => typeof x),
          ['string', 'string', 'string', 'number'],
        );
  }
  holds(looked >= 4);
});

test('frames of production are understood, and what it knows is sent to it byte for byte as before', () => {
  const read = (hex: string): PeerMessage => new PeerDecoder().feed(Buffer.from(hex, 'hex'))[0]!;
  const { hello, submit, cancel, status } = production.frames;
  assert.deepEqual(read(hello!), {
    kind: 'hello',
    node: 'node-1',
    leaderTerm: 9,
    supportsDependencies: false,
    supportsForwarding: false,
    supportsConfigDocuments: false,
  });
  for (const hex of [submit!, cancel!, status!])
    assert.equal(encodePeerMessage(read(hex)).toString('hex'), hex);
  // The new field comes after the old ones, which a decoder that does not know it skips.
  const node = 'node-1' as NodeId;
  const sent = encodePeerMessage({
    kind: 'hello',
    node,
    leaderTerm: 9 as Revision,
    supportsDependencies: true,
    supportsForwarding: true,
    supportsConfigDocuments: true,
  });
  holds(sent.subarray(6).toString('hex').startsWith(hello!.slice(12)));
  const chained = job('run-1', { dependsOn: ['run-0'] as JobId[] });
  const ask: PeerMessage = { kind: 'user-request', id: 5, request: { op: 'submit', spec: chained } };
  assert.deepEqual(read(encodePeerMessage(ask).toString('hex')), ask);
});

/** A store whose transactions the test answers itself. */
function lonely() {
  const io = new ControllerIo(seededRandom(1));
  let now = 0;
  const set = settings('node-0', { store: LATER, currentWritesPerS: 40 });
  const store = new FencedWriter(io, set, { key: 'share/0', revision: 7 as Revision }, () => {});
  const results = new Map<string, WriteResult>();
  const write = (key: string) => {
    const puts = [{ key, value: { w: key } }];
    store.write({
      conditions: [],
      puts,
      deletes: [],
      verifyKey: key,
      writeId: key,
      priority: 1,
      onResult: (r) => results.set(key, r),
    });
  };
  /** Lets time pass, and answers what is sent. */
  const pass = (
    ms: number,
    serve: (op: Extract<StoreRequest, { kind: 'compare-and-swap' }>) => StoreReply,
  ): void => {
    for (const end = now + ms; now < end; now += 50) {
      io.beginStep(now as Instant, now as WallTime);
      store.tick();
      let sent: Effect[] = io.takeEffects();
      while (sent.length > 0) {
        for (const e of sent) if (e.kind === 'store') io.resolve(e.tag, serve(e.request as never));
        sent = io.takeEffects();
      }
    }
  };
  return { store, write, pass, results };
}

test('a write that the state service rejects does not fail the others of its transaction, and none is given up', () => {
  const { write, pass, results } = lonely();
  write('first');
  for (const key of ['a', 'bad', 'c']) write(key);
  pass(3000, ({ puts }) =>
    puts.some((p) => p.key === 'bad')
      ? { kind: 'rejected', reason: 'too large' }
      : { kind: 'committed', revision: 8 as Revision },
  );
  for (const key of ['first', 'a', 'c']) assert.equal(results.get(key)?.kind, 'ok', key);
  assert.equal(results.get('bad')?.kind, 'rejected');
});

test('a refusal for too many changes slows the writer to the rate announced for later, and nothing is lost', () => {
  const { write, pass, results } = lonely();
  for (let i = 0; i < 400; i++) write(`k-${i}`);
  let refuse = true;
  let made = 0;
  const serve = ({ puts }: { puts: unknown[] }): StoreReply => {
    if (refuse) return { kind: 'refused', busy: true };
    holds(puts.length <= LATER.maxTransactionOps);
    made += puts.length;
    return { kind: 'committed', revision: 8 as Revision };
  };
  pass(100, serve);
  refuse = false;
  pass(2000, serve);
  made = 0;
  pass(5000, serve);
  holds(made <= LATER.writesPerS * 5 && made > LATER.writesPerS * 3, `${made} changes in 5 s`);
  pass(20_000, serve);
  assert.equal([...results.values()].filter((r) => r.kind === 'ok').length, 400);
});
