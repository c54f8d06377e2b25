// What gives way when there is more to do than processor for it (docs/scale.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LoadShedder } from '../src/core/admission/load-shedder.ts';
import { ControllerIo } from '../src/core/base/io.ts';
import { type Urgency, WorkQueue } from '../src/http/work-queue.ts';
import { growthPercent, HeapGovernor } from '../src/runtime/heap-governor.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Instant, NodeId, WallTime } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

/** A loop of which the test turns every round; each piece of work takes 3 ms. */
function loop() {
  let now = 0;
  const rounds: (() => void)[] = [];
  const log: string[] = [];
  const turns = new WorkQueue(
    () => now,
    (run) => rounds.push(run),
  );
  const add = (name: string, urgency: Urgency, uselessAfterMs = 1000) =>
    turns.add({
      since: now,
      urgency,
      uselessAfterMs,
      run: () => {
        log.push(name);
        now += 3;
      },
      drop: () => log.push(`${name} dropped`),
    });
  const round = (): void => {
    for (const r of rounds.splice(0)) r();
  };
  const wait = (ms: number): void => {
    now += ms;
  };
  return { turns, add, round, wait, log, rounds };
}

test('a flood is worked on in slices, the urgent first; what nobody waits for any more is dropped unread', () => {
  const { turns, add, round, wait, log, rounds } = loop();
  add('alone', 2);
  assert.deepEqual(log, ['alone'], 'with nothing else to do there is no waiting');
  for (let i = 0; i < 6; i++) add(`poll-${i}`, 2, 20);
  for (let i = 0; i < 6; i++) add(`submit-${i}`, 1);
  for (let i = 0; i < 6; i++) add(`report-${i}`, 0);
  add('health', 'now');
  assert.equal(log.pop(), 'health');
  // One round of the loop takes three pieces and no more, whatever waits.
  assert.ok(log.length <= 3, log.join());
  log.length = 0;
  round();
  assert.deepEqual(log, ['report-0', 'report-1', 'report-2']);
  round();
  round();
  assert.deepEqual(log.slice(6), ['submit-0', 'submit-1', 'submit-2']);
  wait(30);
  for (let i = 0; i < 20 && rounds.length > 0; i++) round();
  assert.ok(log.includes('submit-5'));
  assert.equal(log.filter((l) => l.startsWith('poll') && l.endsWith('dropped')).length, turns.dropped);
  assert.ok(turns.dropped >= 4);
  assert.equal(turns.waiting, 0);
  assert.equal(rounds.length, 0, 'an idle loop is left alone');
});

/** Overload of one node on ticks that the test makes late. */
function late() {
  const io = new ControllerIo(seededRandom(4));
  const o = new LoadShedder(io);
  let now = 0;
  const told: number[] = [];
  const tick = (by: number, queuedMs = 0): void => {
    now += 100 + by;
    io.beginStep(now as Instant, now as WallTime);
    const news = o.tick(queuedMs, 0);
    if (news !== null) told.push(news.level);
  };
  const shares = (op: 'status' | 'submit' | 'cancel'): number => {
    let n = 0;
    for (let i = 0; i < 1000; i++) if (o.rejection(op, null, 0) !== null) n++;
    return n;
  };
  return { o, io, tick, shares, told };
}

test('questions give way first, then submissions, never cancellations; some questions always get through', () => {
  const { o, tick, shares, told } = late();
  tick(0);
  tick(900);
  tick(0);
  assert.equal(o.level, 0, 'one pause is no overload');
  for (let i = 0; i < 8; i++) tick(350);
  assert.equal(o.level, 1);
  assert.ok(shares('status') > 400 && shares('status') < 600);
  assert.deepEqual([shares('submit'), shares('cancel')], [0, 0]);
  for (let i = 0; i < 12; i++) tick(0, 1500);
  assert.equal(o.level, 2, 'reports that wait to be read count as much as a late timer');
  assert.deepEqual([shares('submit'), shares('cancel')], [1000, 0]);
  assert.ok(shares('status') < 960);
  for (let i = 0; i < 60; i++) tick(0);
  assert.deepEqual([o.level, shares('status'), shares('submit')], [0, 0, 0]);
  assert.equal(told.at(-1), 0, 'the others are told that it is over');
});

test('callers who are sent back are spread over a time that grows with the load, and recurring work is thinned out', () => {
  const { o, io, tick } = late();
  tick(0);
  assert.equal(io.intervalFactor, 1);
  for (let i = 0; i < 20; i++) tick(1200);
  assert.ok(io.intervalFactor > 3 && io.intervalFactor <= 5, `${io.intervalFactor}`);
  const afters = new Set<number>();
  for (let i = 0; i < 300; i++) {
    const a = o.rejection('submit', null, 4);
    assert.ok(a?.kind === 'retry' && a.overload && a.afterS >= 1 && a.afterS <= 30);
    afters.add(a.afterS);
  }
  assert.ok(afters.size >= 5, [...afters].join());
  assert.ok(Math.min(...afters) >= 5);
});

test('what the owner tells of its load is heeded by the others, for as long as it is fresh', () => {
  const io = new ControllerIo(seededRandom(4));
  const o = new LoadShedder(io);
  const owner = 'node-1' as NodeId;
  io.beginStep(0 as Instant, 0 as WallTime);
  o.onPeerLoad(owner, { level: 2, afterS: 6, backlogS: 2, memoryShort: false });
  assert.equal(o.slownessMs(owner), 3000);
  assert.equal(o.rejection('submit', owner, 0)?.kind, 'retry');
  assert.equal(o.rejection('submit', 'node-2' as NodeId, 0), null);
  io.beginStep(3100 as Instant, 0 as WallTime);
  assert.equal(o.rejection('submit', owner, 0), null);
  assert.equal(o.slownessMs(owner), 0);
});

test('an owner whose timer fires late sheds questions and submissions by way of the others, and keeps its leases', () => {
  const w = new SimulatedWorld();
  w.runS = 20;
  w.submit(job('run-1', { tasks: 6, cpus: 4 }));
  assert.ok(w.until(() => w.holders('run-1').length >= 3));
  const owner = w.owner!;
  w.slowTicks.set(owner, 900);
  w.run(8);
  const other = [...w.nodes.keys()].find((n) => n !== owner)!;
  assert.equal(w.nodes.get(other)!.rejection('submit')?.kind, 'retry');
  assert.equal(w.nodes.get(other)!.rejection('cancel'), null);
  w.run(20);
  assert.equal(w.owner, owner);
  for (const x of w.workers.values()) assert.equal(x.session, 1, `${x.id} lost its lease`);
  w.slowTicks.delete(owner);
  w.run(6);
  assert.equal(w.nodes.get(other)!.rejection('submit'), null);
  assert.ok(w.until(() => w.isDone('run-1'), 60));
  assert.deepEqual(w.broken, []);
});

test('an owner short of memory takes no more jobs, by any node, and goes on with those it has', () => {
  const w = new SimulatedWorld();
  w.runS = 20;
  w.submit(job('run-1', { tasks: 6, cpus: 4 }));
  assert.ok(w.until(() => w.holders('run-1').length >= 3));
  const owner = w.owner!;
  const other = [...w.nodes.keys()].find((n) => n !== owner)!;
  const taken = (): boolean => w.nodes.get(other)!.rejection('submit') === null;
  w.memory.set(owner, 0.9);
  w.run(2);
  assert.ok(taken(), 'below the bound nothing is sent back');
  w.memory.set(owner, 0.95);
  w.run(2);
  const refused = w.nodes.get(other)!.rejection('submit');
  assert.ok(
    refused?.kind === 'retry' && refused.overload && refused.afterS >= 5 && /memory/.test(refused.reason),
  );
  assert.equal(w.nodes.get(owner)!.rejection('submit')?.kind, 'retry');
  // By way of a node that did not hear of it: a new job is sent back, the repeat of an accepted one is not.
  const asked = [job('run-2'), job('run-1', { tasks: 6, cpus: 4 })].map((spec) =>
    w.ask(other, { op: 'submit', spec }),
  );
  w.run(1);
  assert.deepEqual(
    asked.map((a) => a.answer?.kind),
    ['retry', 'known'],
  );
  for (const op of ['status', 'cancel'] as const)
    for (const n of [owner, other]) assert.equal(w.nodes.get(n)!.rejection(op), null, op);
  w.memory.set(owner, 0.88);
  w.run(3);
  assert.ok(!taken(), 'it does not flutter about one bound');
  assert.ok(
    w.until(() => w.isDone('run-1'), 90),
    'what was accepted goes on',
  );
  w.memory.set(owner, 0.8);
  w.run(3);
  assert.ok(taken());
  assert.deepEqual(w.broken, []);
});

test('garbage may grow with the memory that the platform gives, and is collected early where little is left', () => {
  const at = (rssMb: number, limitMb: number, heapMb = 30) => growthPercent({ rssMb, heapMb, limitMb });
  assert.equal(at(80, 1000), 60);
  assert.equal(at(130, 146), 15);
  assert.equal(at(200, 146), 15);
  assert.ok(at(108, 146) > 15 && at(108, 146) < 60);
  const set: number[] = [];
  let rssMb = 75;
  const heap = new HeapGovernor(
    146,
    () => ({ rssMb, heapMb: 25 }),
    (p) => set.push(p),
  );
  assert.ok(Math.abs(heap.used(0) - 75 / 146) < 1e-9);
  rssMb = 140;
  assert.ok(heap.used(500) < 0.6, 'looked at once a second');
  assert.ok(heap.used(1000) > 0.95);
  heap.used(2000);
  assert.deepEqual(set, [60, 15], 'told only when it changes');
  assert.equal(
    new HeapGovernor(
      null,
      () => assert.fail(),
      () => assert.fail(),
    ).used(0),
    0,
  );
});
