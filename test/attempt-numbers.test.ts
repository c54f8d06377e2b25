// Attempt numbers of a task never repeat, rise from term to term, and stay below 2^64, whatever the store has
// counted. Guards against numbers that a product with the term takes beyond what workers and controllers
// keep.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { FakeWorker } from '../packages/local-cluster/src/fake-worker.ts';
import type { JobSpec, StoreRequest } from '../src/core/base/model.ts';
import { AttemptNumbers } from '../src/core/scheduling/attempt-numbers.ts';
import { ATTEMPT_RESERVATION_KEY } from '../src/core/storage/keys.ts';
import type {
  Attempt,
  FencingToken,
  MachineId,
  MachineTypeName,
  Revision,
  TaskId,
  ZoneName,
} from '../src/types/index.ts';
import { toUint64 } from '../src/types/uint64.ts';
import { countFrom, findFallingAttempt, type Start } from './support/counted-world.ts';
import { HistoryPlayer, historyArbitrary, SAMPLING } from './support/fault-history.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const NODES = ['node-0', 'node-1', 'node-2'];
/** Revisions at which the store begins to count: around each limit, and just below the largest one. */
const FIRST_REVISIONS = [
  2n ** 29n - 10n,
  2n ** 32n,
  2n ** 39n - 10n,
  2n ** 40n,
  2n ** 53n - 10n,
  2n ** 63n - 10n,
  2n ** 64n - 2n ** 12n,
];
/** Terms from here on number their attempts by the term, like those of all earlier versions. */
const DERIVING_TERMS = [1n, 2n ** 29n - 10n, 596_046_440n, 2n ** 32n, 2n ** 39n - 20n];
const TERMS_PLAYED = 20n;
/**
 * Few in CI; a long run is started with
 * SOAK_RUNS=300 SOAK_SEED=7 node --import tsx --test test/attempt-numbers.test.ts
 */
const HISTORIES_PER_COUNT = Number(process.env.SOAK_RUNS ?? 12);
const SEED = Number(process.env.SOAK_SEED ?? 54);

const termOf = (value: bigint): Revision => toUint64(value) as Revision;

/** A world whose store has counted to `firstRevision`, and the starts of tasks in it. */
function worldAt(firstRevision: bigint): { world: SimulatedWorld; starts: Start[] } {
  const world = new SimulatedWorld();
  return { world, starts: countFrom(world, firstRevision) };
}

function failOver(world: SimulatedWorld): void {
  const previous = world.leader!;
  world.crash(previous);
  assert.ok(
    world.until(() => world.leader !== undefined && world.leader !== previous, 20),
    'no other leader',
  );
  world.start(previous);
  assert.ok(
    world.until(() => world.nodes.get(world.leader!)?.leaderTerm?.failover.isComplete === true, 40),
    'the failover is not complete',
  );
}

const busyMachines = (world: SimulatedWorld): FakeWorker[] =>
  [...world.workers.values()].filter((worker) => worker.activeTasks().length > 0);

/** Terminates all machines with tasks, so that the tasks are started again. */
function loseBusyMachines(world: SimulatedWorld): void {
  for (const worker of busyMachines(world)) worker.terminate();
}

const assertRising = (starts: readonly Start[]): void => assert.equal(findFallingAttempt(starts), null);

const isRunning = (world: SimulatedWorld, spec: JobSpec): boolean =>
  [...world.workers.values()].flatMap((worker) => worker.activeTasks()).filter(({ job }) => job === spec.id)
    .length === spec.tasks;

const gangJob = job('run-gang', { kind: 'gang', tasks: 3 });
const serviceJob = job('run-service', { kind: 'service', tasks: 2, estimatedRunS: 0 });
const arrayJob = job('run-array', { tasks: 5 });
const WORK = [arrayJob, gangJob, serviceJob];

describe('attempt numbers', () => {
  for (const firstRevision of FIRST_REVISIONS)
    it(`of arrays, gangs and services rise over two failovers if the store has counted to ${firstRevision}`, () => {
      const { world, starts } = worldAt(firstRevision);
      world.runS = 60;
      for (const spec of WORK) world.submit(spec);
      const allRun = () => WORK.every((spec) => isRunning(world, spec));
      assert.ok(world.until(allRun, 60), 'not everything runs under the first leader');
      for (const failover of ['first', 'second']) {
        failOver(world);
        loseBusyMachines(world);
        assert.ok(world.until(allRun, 60), `not everything runs again after the ${failover} failover`);
      }
      assert.ok(
        world.until(() => world.isDone('run-array') && world.isDone('run-gang'), 90),
        'not done',
      );
      assertRising(starts);
      const terms = new Set(starts.map((start) => start.term));
      assert.equal(terms.size, 3);
      for (const term of terms) {
        const gangAttempts = starts.filter(
          (start) => start.term === term && start.task.startsWith(gangJob.id),
        );
        assert.equal(new Set(gangAttempts.map((start) => start.attempt)).size, 1, 'a gang shares an attempt');
      }
      assert.deepEqual(world.violations, []);
    });

  for (const firstRevision of FIRST_REVISIONS)
    it(`break no rule and rise in histories of concurrent faults from a count of ${firstRevision}`, () => {
      fc.assert(
        fc.property(historyArbitrary, (history) => {
          const player = new HistoryPlayer(history);
          const starts = countFrom(player.world, firstRevision);
          assert.deepEqual(player.play().broken, []);
          assertRising(starts);
        }),
        { ...SAMPLING, numRuns: HISTORIES_PER_COUNT, seed: SEED },
      );
    });

  it('are those of all earlier versions as long as these are exact', () => {
    for (const term of [1, 2, 12_345_678, 2 ** 29 - 1]) {
      const attempts = new AttemptNumbers(term as Revision);
      for (let start = 1; start <= 3; start++) assert.equal(attempts.take(), term * 2 ** 24 + start);
    }
  });

  it('survive a conversion to a double and back as JSON', () => {
    for (const revision of DERIVING_TERMS)
      for (let term = revision; term < revision + TERMS_PLAYED; term++) {
        const attempts = new AttemptNumbers(termOf(term));
        for (let start = 0; start < 50; start++) {
          const attempt = attempts.take();
          assert.equal(JSON.stringify(Number(attempt)), String(attempt));
        }
      }
  });

  it('rise beside leaders of earlier versions, which round them, before and after', () => {
    for (const revision of DERIVING_TERMS) {
      let last = 0n;
      for (let term = revision; term < revision + TERMS_PLAYED; term++) {
        const isEarlierVersion = term % 2n === 0n;
        const attempts = new AttemptNumbers(termOf(term));
        for (let start = 1; start <= 1000; start++) {
          const rounded = BigInt(Number(term) * 2 ** 24 + start);
          const attempt = isEarlierVersion ? rounded : BigInt(attempts.take());
          const mayRepeat = isEarlierVersion && start > 1;
          assert.ok(mayRepeat ? attempt >= last : attempt > last, `${attempt} after ${last}`);
          last = attempt;
        }
      }
    }
  });

  it('are reserved anew in a term that uses up its own, and do not meet those of the next term', () => {
    // A term at this revision has 1,677 numbers.
    const { world, starts } = worldAt(2n ** 38n);
    world.runS = 1;
    world.submit(job('run-many', { tasks: 2500, cpus: 0.1, memoryGb: 0 }));
    assert.ok(
      world.until(() => world.isDone('run-many'), 400),
      'not done',
    );
    assert.equal(new Set(starts.map((start) => start.attempt)).size, starts.length);
    assert.ok(world.logs.some((line) => line.includes('attempt numbers reserved')));
    assert.ok(world.state.entries.has(ATTEMPT_RESERVATION_KEY));
    failOver(world);
    world.submit(job('run-next'));
    assert.ok(
      world.until(() => world.isDone('run-next'), 60),
      'not done after the failover',
    );
    for (const next of starts.filter((start) => start.task.startsWith('run-next')))
      assert.ok(starts.every((start) => start === next || start.attempt < next.attempt));
  });

  it('are not given out before they are reserved, nor twice if the reservation is answered late or not at all', () => {
    const { world, starts } = worldAt(2n ** 63n);
    const isReservation = (request: StoreRequest): boolean =>
      request.kind === 'compare-and-swap' && request.puts.some((put) => put.key === ATTEMPT_RESERVATION_KEY);
    world.state.refusedReadPrefix = ATTEMPT_RESERVATION_KEY;
    world.runS = 1000;
    world.submit(arrayJob);
    world.run(30);
    assert.deepEqual(starts, [], 'nothing is started without reserved numbers');
    let lost = 0;
    world.state.losesAnswer = (_node, request) => isReservation(request) && ++lost % 2 === 1;
    world.state.refusedReadPrefix = null;
    assert.ok(
      world.until(() => isRunning(world, arrayJob), 30),
      'not started',
    );
    for (let failover = 0; failover < 3; failover++) {
      // The leader ends while its reservation is on its way: the late one conflicts with the next leader's.
      const leader = world.leader!;
      world.state.executionDelayMs = (node) => (node === leader ? 6000 : null);
      failOver(world);
      world.state.executionDelayMs = null;
      loseBusyMachines(world);
      assert.ok(
        world.until(() => isRunning(world, arrayJob), 90),
        'not started again',
      );
    }
    assert.ok(lost >= 3, 'no reservation lost its answer');
    assertRising(starts);
    assert.deepEqual(world.violations, []);
  });

  for (const value of [null, 'x', { v: 99, end: '1' }, { v: 1 }, { v: 1, end: 7 }, { v: 1, end: '-1' }])
    it(`are given out once the record of reserved numbers is readable, and not while it is ${JSON.stringify(value)}`, () => {
      const { world, starts } = worldAt(2n ** 63n);
      world.runS = 1000;
      const setRecord = (newValue: unknown) =>
        world.state.entries.set(ATTEMPT_RESERVATION_KEY, {
          value: newValue,
          revision: world.state.advanceRevision(),
          hold: null,
        });
      setRecord(value);
      world.submit(arrayJob);
      world.run(60);
      assert.equal(starts.length, 0, 'nothing is started');
      assert.ok(world.logs.some((line) => line.includes('no attempt numbers can be reserved')));
      setRecord({ v: 1, end: String(2n ** 63n + 2n ** 31n) });
      const { leader } = world;
      assert.ok(
        world.until(() => isRunning(world, arrayJob), 30),
        'not started',
      );
      assert.equal(world.leader, leader, 'without a failover');
      assert.ok(starts.every((start) => start.attempt > 2n ** 63n + 2n ** 31n));
      assert.deepEqual(world.violations, []);
    });

  it('of an earlier version that has rounded them are adopted, and later ones are larger', () => {
    const { world, starts } = worldAt(2n ** 29n + 1000n);
    world.cloud.capacity = 0;
    world.runS = 20;
    world.submit(job('run-1', { tasks: 4 }));
    const term = Number(world.recordedLeader!.term);
    for (const node of NODES) world.crash(node);
    const worker = world.createMachine(
      'i-900001' as MachineId,
      'box' as MachineTypeName,
      'north' as ZoneName,
      false,
    );
    worker.boot();
    const roundedAttempt = (start: number) => toUint64(BigInt(term * 2 ** 24 + start)) as Attempt;
    worker.handleCommands(
      term as FencingToken,
      worker.agentEpoch,
      [1, 2, 3].map((start) => ({
        op: 'start',
        task: `run-1/${start}` as TaskId,
        attempt: roundedAttempt(start),
      })),
      () => {},
    );
    assert.equal(starts.length, 3);
    for (const node of NODES) world.start(node);
    world.cloud.capacity = 20;
    assert.ok(
      world.until(() => world.isDone('run-1'), 90),
      'not done',
    );
    assert.equal(starts.length, 4, 'the tasks that ran were adopted, and the other one was started');
    assert.ok(starts.every((start) => start.task === 'run-1/0' || start.attempt < starts[3]!.attempt));
    assert.deepEqual(world.violations, []);
  });
});
