// Tests of load shedding: which requests and periodic work are rejected, postponed or dropped under overload
// (docs/scale.md). Also tests of the heap governor.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LoadShedder } from '../src/core/admission/load-shedder.ts';
import { ControllerIo } from '../src/core/base/io.ts';
import { type Urgency, WorkQueue } from '../src/http/work-queue.ts';
import { growthPercent, HeapGovernor } from '../src/runtime/heap-governor.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Instant, NodeId, WallTime } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

/** A work queue on a simulated event loop whose turns are run by the test; each work item takes 3 ms. */
function simulatedLoop() {
  let now = 0;
  const scheduled: (() => void)[] = [];
  const log: string[] = [];
  const queue = new WorkQueue(
    () => now,
    (run) => scheduled.push(run),
  );
  const add = (name: string, urgency: Urgency, uselessAfterMs = 1000) =>
    queue.add({
      since: now,
      urgency,
      uselessAfterMs,
      run: () => {
        log.push(name);
        now += 3;
      },
      drop: () => log.push(`${name} dropped`),
    });
  const runTurn = (): void => {
    for (const run of scheduled.splice(0)) run();
  };
  const wait = (ms: number): void => {
    now += ms;
  };
  return { queue, add, runTurn, wait, log, scheduled };
}

/** A load shedder whose ticks are delayed by the test. */
function delayedTicks() {
  const io = new ControllerIo(seededRandom(4));
  const shedder = new LoadShedder(io);
  let now = 0;
  const reportedLevels: number[] = [];
  const tick = (delayMs: number, queuedMs = 0): void => {
    now += 100 + delayMs;
    io.beginStep(now as Instant, now as WallTime);
    const report = shedder.tick(queuedMs, 0);
    if (report !== null) reportedLevels.push(report.level);
  };
  const rejectedOf1000 = (op: 'status' | 'submit' | 'cancel'): number => {
    let rejected = 0;
    for (let i = 0; i < 1000; i++) if (shedder.rejection(op, null, 0) !== null) rejected++;
    return rejected;
  };
  return { shedder, io, tick, rejectedOf1000, reportedLevels };
}

/** A simulated cluster with a job of which at least three tasks are running; tasks run for 20 s. */
function worldWithRunningJob() {
  const world = new SimulatedWorld();
  world.runS = 20;
  world.submit(job('run-1', { tasks: 6, cpus: 4 }));
  assert.ok(world.until(() => world.machinesRunning('run-1').length >= 3));
  const leader = world.leader!;
  const follower = [...world.nodes.keys()].find((name) => name !== leader)!;
  const rejection = (controller: string, op: 'status' | 'submit' | 'cancel') =>
    world.nodes.get(controller)!.rejection(op);
  return { world, leader, follower, rejection };
}

describe('the work queue', () => {
  it('processes a burst of items in slices, the most urgent first, and drops those whose senders have timed out', () => {
    const { queue, add, runTurn, wait, log, scheduled } = simulatedLoop();
    add('alone', 2);
    assert.deepEqual(log, ['alone'], 'an item is run at once if nothing else is queued');
    for (let i = 0; i < 6; i++) add(`status-${i}`, 2, 20);
    for (let i = 0; i < 6; i++) add(`submit-${i}`, 1);
    for (let i = 0; i < 6; i++) add(`heartbeat-${i}`, 0);
    add('health', 'now');
    assert.equal(log.pop(), 'health');
    // One turn of the event loop runs at most three items, however many are queued.
    assert.ok(log.length <= 3, log.join());
    log.length = 0;
    runTurn();
    assert.deepEqual(log, ['heartbeat-0', 'heartbeat-1', 'heartbeat-2']);
    runTurn();
    runTurn();
    assert.deepEqual(log.slice(6), ['submit-0', 'submit-1', 'submit-2']);
    wait(30);
    for (let i = 0; i < 20 && scheduled.length > 0; i++) runTurn();
    assert.ok(log.includes('submit-5'));
    const dropped = log.filter((line) => line.startsWith('status') && line.endsWith('dropped'));
    assert.equal(dropped.length, queue.dropped);
    assert.ok(queue.dropped >= 4);
    assert.equal(queue.waiting, 0);
    assert.equal(scheduled.length, 0, 'nothing is scheduled while the queue is empty');
  });
});

describe('load shedding', () => {
  it('rejects status requests first, then submissions, never cancellations; some status requests are always served', () => {
    const { shedder, tick, rejectedOf1000, reportedLevels } = delayedTicks();
    tick(0);
    tick(900);
    tick(0);
    assert.equal(shedder.level, 0, 'a single pause is no overload');
    for (let i = 0; i < 8; i++) tick(350);
    assert.equal(shedder.level, 1);
    assert.ok(rejectedOf1000('status') > 400 && rejectedOf1000('status') < 600);
    assert.deepEqual([rejectedOf1000('submit'), rejectedOf1000('cancel')], [0, 0]);
    for (let i = 0; i < 12; i++) tick(0, 1500);
    assert.equal(shedder.level, 2, 'queueing time of heartbeats counts as much as a late timer');
    assert.deepEqual([rejectedOf1000('submit'), rejectedOf1000('cancel')], [1000, 0]);
    assert.ok(rejectedOf1000('status') < 960);
    for (let i = 0; i < 60; i++) tick(0);
    assert.deepEqual([shedder.level, rejectedOf1000('status'), rejectedOf1000('submit')], [0, 0, 0]);
    assert.equal(reportedLevels.at(-1), 0, 'the end of the overload is reported to the other controllers');
  });

  it('spreads retries over a time that grows with the load, and runs periodic work less often', () => {
    const { shedder, io, tick } = delayedTicks();
    tick(0);
    assert.equal(io.intervalFactor, 1);
    for (let i = 0; i < 20; i++) tick(1200);
    assert.ok(io.intervalFactor > 3 && io.intervalFactor <= 5, `${io.intervalFactor}`);
    const retryTimes = new Set<number>();
    for (let i = 0; i < 300; i++) {
      const response = shedder.rejection('submit', null, 4);
      assert.ok(
        response?.kind === 'retry' && response.overload && response.afterS >= 1 && response.afterS <= 30,
      );
      retryTimes.add(response.afterS);
    }
    assert.ok(retryTimes.size >= 5, [...retryTimes].join());
    assert.ok(Math.min(...retryTimes) >= 5);
  });

  it("applies the leader's load report as long as it is valid", () => {
    const io = new ControllerIo(seededRandom(4));
    const shedder = new LoadShedder(io);
    const leader = 'node-1' as NodeId;
    io.beginStep(0 as Instant, 0 as WallTime);
    shedder.onPeerLoad(leader, { level: 2, afterS: 6, backlogS: 2, memoryShort: false });
    assert.equal(shedder.extraTimeoutMs(leader), 3000);
    assert.equal(shedder.rejection('submit', leader, 0)?.kind, 'retry');
    assert.equal(shedder.rejection('submit', 'node-2' as NodeId, 0), null);
    io.beginStep(3100 as Instant, 0 as WallTime);
    assert.equal(shedder.rejection('submit', leader, 0), null);
    assert.equal(shedder.extraTimeoutMs(leader), 0);
  });

  it("rejects requests at all controllers while the leader's timer fires late, and no agent's lease expires", () => {
    const { world, leader, follower, rejection } = worldWithRunningJob();
    world.tickDelaysMs.set(leader, 900);
    world.run(8);
    assert.equal(rejection(follower, 'submit')?.kind, 'retry');
    assert.equal(rejection(follower, 'cancel'), null);
    world.run(20);
    assert.equal(world.leader, leader);
    for (const worker of world.workers.values())
      assert.equal(worker.agentEpoch, 1, `${worker.id} lost its lease`);
    world.tickDelaysMs.delete(leader);
    world.run(6);
    assert.equal(rejection(follower, 'submit'), null);
    assert.ok(world.until(() => world.isDone('run-1'), 60));
    assert.deepEqual(world.violations, []);
  });

  it('rejects new jobs at every controller while the leader is short of memory, and still runs accepted jobs', () => {
    const { world, leader, follower, rejection } = worldWithRunningJob();
    const isAccepting = (): boolean => rejection(follower, 'submit') === null;
    world.memory.set(leader, 0.9);
    world.run(2);
    assert.ok(isAccepting(), 'below the threshold nothing is rejected');
    world.memory.set(leader, 0.95);
    world.run(2);
    const rejected = rejection(follower, 'submit');
    assert.ok(
      rejected?.kind === 'retry' &&
        rejected.overload &&
        rejected.afterS >= 5 &&
        /memory/.test(rejected.reason),
    );
    assert.equal(rejection(leader, 'submit')?.kind, 'retry');
    // Submissions that are forwarded without the check at the follower: the leader rejects a new job, but not
    // the repeated submission of an accepted one.
    const submissions = [job('run-2'), job('run-1', { tasks: 6, cpus: 4 })].map((spec) =>
      world.sendRequest(follower, { op: 'submit', spec }),
    );
    world.run(1);
    assert.deepEqual(
      submissions.map((submission) => submission.answer?.kind),
      ['retry', 'known'],
    );
    for (const op of ['status', 'cancel'] as const)
      for (const controller of [leader, follower]) assert.equal(rejection(controller, op), null, op);
    world.memory.set(leader, 0.88);
    world.run(3);
    assert.ok(!isAccepting(), 'between the two thresholds new jobs are still rejected');
    assert.ok(
      world.until(() => world.isDone('run-1'), 90),
      'accepted jobs are completed',
    );
    world.memory.set(leader, 0.8);
    world.run(3);
    assert.ok(isAccepting());
    assert.deepEqual(world.violations, []);
  });
});

describe('the heap governor', () => {
  it('lets garbage grow while memory is free, and collects it earlier when little memory is left', () => {
    const growth = (rssMb: number, limitMb: number, heapMb = 30) => growthPercent({ rssMb, heapMb, limitMb });
    assert.equal(growth(80, 1000), 60);
    assert.equal(growth(130, 146), 15);
    assert.equal(growth(200, 146), 15);
    assert.ok(growth(108, 146) > 15 && growth(108, 146) < 60);
    const set: number[] = [];
    let rssMb = 75;
    const governor = new HeapGovernor(
      146,
      () => ({ rssMb, heapMb: 25 }),
      (percent) => set.push(percent),
    );
    assert.ok(Math.abs(governor.measureUsedFraction(0) - 75 / 146) < 1e-9);
    rssMb = 140;
    assert.ok(governor.measureUsedFraction(500) < 0.6, 'measured once a second');
    assert.ok(governor.measureUsedFraction(1000) > 0.95);
    governor.measureUsedFraction(2000);
    assert.deepEqual(set, [60, 15], 'the growth is set only when it changes');
    const unlimited = new HeapGovernor(
      null,
      () => assert.fail(),
      () => assert.fail(),
    );
    assert.equal(unlimited.measureUsedFraction(0), 0);
  });
});
