// Compatibility with the version in production: `fixtures/production.json` holds records and frames exactly
// as the last version without dependencies wrote them. Also covers limits of the store that are lowered while
// larger records are stored.
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
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

/** Always passes a message: without one, the test runner spends minutes on finding the failed source line. */
const assertTrue = (value: boolean | undefined, message = 'expected condition to be true') =>
  assert.equal(value, true, message);
const NODES = ['node-0', 'node-1', 'node-2'];
const LOWER_LIMITS = { requestsPerS: 200, writesPerS: 28, maxValueKb: 2, maxTransactionOps: 8 };

/** A simulated world whose store has the records of production, with the lower limits in force. */
function upgradedWorld(extraRecords: Record<string, unknown> = {}): SimulatedWorld {
  const world = new SimulatedWorld({ store: LOWER_LIMITS, currentWritesPerS: 40 });
  world.state.limits = { valueBytes: 2048, txnOps: 8 };
  for (const [key, value] of Object.entries({ ...production.records, ...extraRecords })) {
    world.state.entries.set(key, { value, revision: world.state.advanceRevision(), hold: null });
    if (key.startsWith('o/')) {
      const { s: spec } = value as unknown as { s: JobSpec };
      world.jobs.set(spec.id, { spec, cancelledAt: null });
    }
  }
  return world;
}

/** The done tasks by job according to all progress records, decoded like the version in production does. */
function doneTasksOnRecord(records: Iterable<[string, unknown]>): Map<string, Set<number>> {
  const doneTasks = new Map<string, Set<number>>();
  for (const [key, value] of records) {
    if (!key.startsWith('d/')) continue;
    const record = value as { v: number; b: Record<string, string> };
    assert.equal(record.v, 1);
    for (const [name, text] of Object.entries(record.b)) {
      const separator = name.lastIndexOf('/');
      const from = Number(name.slice(separator + 1)) * 32_768;
      assertTrue(Number.isInteger(from), name);
      const done = doneTasks.get(name.slice(0, separator)) ?? new Set();
      doneTasks.set(name.slice(0, separator), done);
      Buffer.from(text, 'base64').forEach((byte, i) => {
        for (let bit = 0; bit < 8; bit++) if ((byte & (1 << bit)) !== 0) done.add(from + i * 8 + bit);
      });
    }
  }
  return doneTasks;
}
const recordsOf = (world: SimulatedWorld): [string, unknown][] =>
  [...world.state.entries].map(([key, item]) => [key, item.value]);
const machinesOnRecord = (records: [string, unknown][]): Set<string> =>
  new Set(
    records.flatMap(([key, value]) =>
      key.startsWith('m/') ? (value as { m: [string][] }).m.map(([id]) => id) : [],
    ),
  );

describe('records of the version in production', () => {
  it('are read: jobs, final states, task results and machines', () => {
    const world = upgradedWorld();
    world.run(8);
    assert.deepEqual(world.status('run-over'), { kind: 'ended', id: 'run-over', status: 'done' });
    assert.deepEqual(world.status('run-gone', 'node-2'), {
      kind: 'ended',
      id: 'run-gone',
      status: 'cancelled',
    });
    const bigJobStatus = world.status('run-big');
    assert.equal(
      bigJobStatus?.kind === 'status' && bigJobStatus.done,
      doneTasksOnRecord(Object.entries(production.records)).get('run-big')!.size,
    );
    // A new job may depend on jobs that the version in production accepted, whether they have ended or not.
    const spec = job('run-next', { dependsOn: ['run-over', 'run-open'] as JobId[] });
    assert.equal(world.submit(spec)?.kind, 'accepted');
    assert.equal(world.status('run-next')?.kind, 'status');
  });

  it('are split if above the lowered size limit, without losing data at any time, also during a failover', () => {
    // Both records must be rewritten: one has results of a job that has ended, the other has a machine that a
    // third record has too.
    const machineLines = Array.from({ length: 80 }, (_, i) => [
      `i-${String(i).padStart(6, '0')}`,
      'box',
      'north',
      0,
    ]);
    const progressRecord = production.records['d/1.1'] as unknown as { v: number; b: Record<string, string> };
    const extraRecords = {
      'd/1.1': { ...progressRecord, b: { ...progressRecord.b, 'run-was/0': 'AQ==' } },
      'm/1.0': { v: 1, m: [machineLines[0]], w: 'x' },
      'm/1.1': { v: 1, m: machineLines, w: 'y' },
    };
    assertTrue(
      JSON.stringify(extraRecords['d/1.1']).length > 2048 &&
        JSON.stringify(extraRecords['m/1.1']).length > 2048,
    );
    const expectedDoneTasks = doneTasksOnRecord(Object.entries(production.records));
    for (let crashAt = 5; crashAt < 20; crashAt++) {
      const world = upgradedWorld(extraRecords);
      world.cloud.down = true;
      // The lower limits are in force from the beginning, or only from the crash of the leader on.
      const limits = world.state.limits;
      if (crashAt % 2 === 1) world.state.limits = null;
      for (let i = 0; i < 130; i++) {
        world.run(0.1);
        const leader = world.leader;
        if (i === crashAt * 4) world.state.limits = limits;
        if (i === crashAt * 4 && leader !== undefined) {
          world.crash(leader);
          world.after(2000, () => world.start(leader));
        }
        const doneTasks = doneTasksOnRecord(recordsOf(world));
        for (const [id, done] of expectedDoneTasks)
          for (const index of done)
            assertTrue(doneTasks.get(id)?.has(index), `${id}/${index} after ${world.now} ms`);
        const machines = machinesOnRecord(recordsOf(world));
        for (const [id] of machineLines)
          assertTrue(machines.has(id as string), `${id} after ${world.now} ms`);
      }
      world.run(10);
      for (const [key, value] of recordsOf(world))
        if (key === 'd/1.1' || key === 'm/1.1') assertTrue(JSON.stringify(value).length <= 2048, key);
      assert.deepEqual(
        world.logs.filter((line) => line.includes('rejected')),
        [],
      );
      assert.deepEqual(world.violations, []);
    }
  });

  it('above the size limit allow repeated submission and cancellation of the job; a new such job is refused', () => {
    const machineTypes = Array.from({ length: 300 }, (_, i) => `type-${i}`).concat(
      'box',
    ) as JobSpec['machineTypes'];
    const spec = job('run-long', { machineTypes });
    const world = upgradedWorld({ 'o/run-long': { s: encodeJobSpec(spec), t: 1e9, w: 'x' } });
    world.run(8);
    assert.equal(world.submit(spec)?.kind, 'known');
    const refusal = world.submit(job('run-new', { machineTypes }), 'node-1');
    assert.equal(refusal?.kind, 'too-large');
    assert.match((refusal as { reason: string }).reason, /2 KiB/);
    const response = world.requestUntilAnswered({ op: 'cancel', id: 'run-long' as JobId });
    assert.deepEqual(response, { kind: 'ended', id: 'run-long', status: 'cancelled' });
    for (const node of NODES) world.crash(node);
    for (const node of NODES) world.start(node);
    assert.deepEqual(world.status('run-long'), response);
  });
});

describe('a job that depends on hundreds of others', () => {
  it('is stored in several values, which are written, read and deleted together', () => {
    const world = upgradedWorld();
    world.runS = 3;
    world.run(8);
    const ids = Array.from({ length: 300 }, (_, i) => `run-${String(i).padStart(6, '0')}` as JobId);
    for (const id of ids) {
      const value = { s: 'done', w: 'x' };
      if (id !== ids[299])
        world.state.entries.set(`f/${id}`, { value, revision: world.state.advanceRevision(), hold: null });
    }
    world.runS = 25;
    world.submit(job(ids[299]!));
    const spec = job('run-last', { dependsOn: ids });
    assert.equal(world.submit(spec, 'node-1')?.kind, 'accepted');
    const dependencyRecordCount = () =>
      [...world.state.entries.keys()].filter((key) => key.startsWith('a/run-last/')).length;
    assertTrue(dependencyRecordCount() >= 2, `${dependencyRecordCount()} dependency records`);
    // The only dependency that is not done is in the last value: a leader that reads only the first value
    // would start the job.
    for (const node of NODES) world.crash(node);
    world.run(5);
    for (const node of NODES) world.start(node);
    world.run(12);
    const response = world.status('run-last');
    assert.deepEqual(response?.kind === 'status' && response.dependsOn, [ids[299]]);
    world.requestUntilAnswered({ op: 'cancel', id: ids[299]! });
    assert.deepEqual(world.status('run-last', 'node-2'), {
      kind: 'ended',
      id: 'run-last',
      status: 'cancelled',
    });
    world.run(10);
    assert.equal(dependencyRecordCount(), 0);
    assert.deepEqual(world.violations, []);
  });
});

describe('records that this version writes', () => {
  it('keep the format that the version in production reads', () => {
    const world = new SimulatedWorld({ store: LOWER_LIMITS, currentWritesPerS: 40 });
    world.runS = 20;
    world.submit(job('run-a', { tasks: 200 }));
    world.submit(job('run-gone'));
    world.requestUntilAnswered({ op: 'cancel', id: 'run-gone' as JobId });
    world.submit(job('run-b', { dependsOn: ['run-a'] as JobId[] }));
    const hasProgressRecords = () => [...world.state.entries.keys()].some((key) => key.startsWith('d/'));
    assert.equal(world.until(hasProgressRecords, 60), true);
    const storedSample = (prefix: string) =>
      Object.entries(production.records).find(([key]) => key.startsWith(prefix))![1] as Json;
    const allowedFields: Record<string, string[]> = {
      'o/': [...Object.keys(storedSample('o/')), 'c'],
      'f/': [...Object.keys(storedSample('f/')), 't'],
      'd/': Object.keys(storedSample('d/')),
      'm/': Object.keys(storedSample('m/')),
    };
    const specKeys = Object.keys((storedSample('o/') as unknown as { s: object }).s).sort();
    let checkedRecords = 0;
    for (const [key, value] of recordsOf(world)) {
      const allowed = allowedFields[key.slice(0, 2)];
      if (allowed === undefined) continue;
      checkedRecords++;
      for (const name of Object.keys(value as object)) assertTrue(allowed.includes(name), `${key}: ${name}`);
      if (key.startsWith('o/')) {
        const { awaits, ...rest } = (value as { s: StoredJobSpec }).s;
        assert.deepEqual(Object.keys(rest).sort(), specKeys);
        assert.equal(awaits !== undefined, key === 'o/run-b');
      }
      if (key.startsWith('m/'))
        for (const line of (value as { m: unknown[][] }).m)
          assert.deepEqual(
            line.map((field) => typeof field),
            ['string', 'string', 'string', 'number'],
          );
    }
    assertTrue(checkedRecords >= 4);
  });
});

describe('peer messages of the version in production', () => {
  it('are decoded, and messages that it supports are encoded byte for byte as before', () => {
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
    // New fields are encoded after the old ones; a decoder without support for them skips them.
    const node = 'node-1' as NodeId;
    const sent = encodePeerMessage({
      kind: 'hello',
      node,
      leaderTerm: 9 as Revision,
      supportsDependencies: true,
      supportsForwarding: true,
      supportsConfigDocuments: true,
    });
    assertTrue(sent.subarray(6).toString('hex').startsWith(hello!.slice(12)));
    const dependentJob = job('run-1', { dependsOn: ['run-0'] as JobId[] });
    const request: PeerMessage = {
      kind: 'user-request',
      id: 5,
      request: { op: 'submit', spec: dependentJob },
    };
    assert.deepEqual(read(encodePeerMessage(request).toString('hex')), request);
  });
});

/** A fenced writer outside of a controller; the test serves its transactions. */
function isolatedWriter() {
  const io = new ControllerIo(seededRandom(1));
  let now = 0;
  const nodeSettings = settings('node-0', { store: LOWER_LIMITS, currentWritesPerS: 40 });
  const writer = new FencedWriter(io, nodeSettings, { key: 'share/0', revision: 7 as Revision }, () => {});
  const results = new Map<string, WriteResult>();
  const write = (key: string) => {
    const puts = [{ key, value: { w: key } }];
    writer.write({
      conditions: [],
      puts,
      deletes: [],
      verifyKey: key,
      writeId: key,
      priority: 1,
      onResult: (result) => results.set(key, result),
    });
  };
  /** Advances the time by `ms`, and replies to each store request with the result of `serve`. */
  const advance = (
    ms: number,
    serve: (request: Extract<StoreRequest, { kind: 'compare-and-swap' }>) => StoreReply,
  ): void => {
    for (const end = now + ms; now < end; now += 50) {
      io.beginStep(now as Instant, now as WallTime);
      writer.tick();
      let sent: Effect[] = io.takeEffects();
      while (sent.length > 0) {
        for (const effect of sent)
          if (effect.kind === 'store') io.resolve(effect.tag, serve(effect.request as never));
        sent = io.takeEffects();
      }
    }
  };
  return { write, advance, results };
}

describe('the fenced writer', () => {
  it('completes all other writes of a transaction when the store rejects one of them', () => {
    const { write, advance, results } = isolatedWriter();
    write('first');
    for (const key of ['a', 'bad', 'c']) write(key);
    advance(3000, ({ puts }) =>
      puts.some((put) => put.key === 'bad')
        ? { kind: 'rejected', reason: 'too large' }
        : { kind: 'committed', revision: 8 as Revision },
    );
    for (const key of ['first', 'a', 'c']) assert.equal(results.get(key)?.kind, 'ok', key);
    assert.equal(results.get('bad')?.kind, 'rejected');
  });

  it('slows down to the announced rate after a refusal for too many changes, and loses no write', () => {
    const { write, advance, results } = isolatedWriter();
    for (let i = 0; i < 400; i++) write(`k-${i}`);
    let refuse = true;
    let changesMade = 0;
    const serve = ({ puts }: { puts: unknown[] }): StoreReply => {
      if (refuse) return { kind: 'refused', busy: true };
      assertTrue(puts.length <= LOWER_LIMITS.maxTransactionOps);
      changesMade += puts.length;
      return { kind: 'committed', revision: 8 as Revision };
    };
    advance(100, serve);
    refuse = false;
    advance(2000, serve);
    changesMade = 0;
    advance(5000, serve);
    assertTrue(
      changesMade <= LOWER_LIMITS.writesPerS * 5 && changesMade > LOWER_LIMITS.writesPerS * 3,
      `${changesMade} changes in 5 s`,
    );
    advance(20_000, serve);
    assert.equal([...results.values()].filter((result) => result.kind === 'ok').length, 400);
  });
});
