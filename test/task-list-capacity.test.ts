// The task list in a machine's heartbeats is part of its capacity. These tests guard against a bound that is
// less than what the worker protocol's JSON takes, and against parts of the program that count differently how
// many tasks a machine can list: a plan for fewer machines than placement needs leaves tasks waiting for ever.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { placeOn, requestedCapacity } from '../src/core/autoscaling/capacity-supply.ts';
import {
  COMMAND_LIST_BYTES,
  commandBytes,
  exitedTaskBytes,
  listedTaskBytes,
  MAX_MESSAGE_BYTES,
  TASK_LIST_BYTES,
} from '../src/core/base/message-size.ts';
import type { Command, Heartbeat, JobSpec, TaskStatus } from '../src/core/base/model.ts';
import { canEverRun, needsAtLeast, tasksPerMachine } from '../src/core/jobs/placement-constraints.ts';
import { hasCapacityFor } from '../src/core/machines/capacity-checks.ts';
import { CapacityIndex } from '../src/core/machines/capacity-index.ts';
import { ExitedTasks } from '../src/core/machines/exited-tasks.ts';
import { MachinePool } from '../src/core/machines/machine.ts';
import { BinPackingScorer } from '../src/core/scheduling/bin-packing.ts';
import { bucketMayFit } from '../src/core/scheduling/capacity-search.ts';
import { parseJob } from '../src/protocol/job.ts';
import { encodeJob } from '../src/protocol/user.ts';
import { encodeCommands, WORKER_EXIT_REASONS, WORKER_TASK_STATES } from '../src/protocol/worker.ts';
import { encodeHeartbeat } from '../src/protocol/worker-agent.ts';
import type {
  Attempt,
  FencingToken,
  Instant,
  JobId,
  MachineId,
  MachineTypeName,
  TaskId,
  ZoneName,
} from '../src/types/index.ts';
import { UINT64_MAX } from '../src/types/uint64.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';
import { waitingJob } from './support/waiting-job.ts';

const NORTH = 'north' as ZoneName;
const LONGEST_ID = `run-${'x'.repeat(120)}` as JobId;
const LAST_TASK = `${LONGEST_ID}/99999` as TaskId;
const LONGEST_NAME = '\u{1f69c}'.repeat(100);
const ATTEMPT = UINT64_MAX as Attempt;

/** JSON with a space after every comma and colon, as some encoders write it. */
const spaced = (json: string): string =>
  json.replaceAll('":', '": ').replaceAll(',"', ', "').replaceAll('},', '}, ');
const bytesOf = (json: string): number => Buffer.byteLength(spaced(json));

const heartbeatOf = (tasks: TaskStatus[]): Heartbeat => ({
  machine: LONGEST_NAME as MachineId,
  addr: LONGEST_NAME,
  type: LONGEST_NAME as MachineTypeName,
  zone: LONGEST_NAME as ZoneName,
  spot: false,
  agentEpoch: UINT64_MAX,
  seq: UINT64_MAX,
  fencingToken: UINT64_MAX as FencingToken,
  preemptionNoticeS: 123456789.12345678,
  tasks,
});

/** A listed task in every form that the worker protocol has. */
function* listedForms(): Iterable<string> {
  for (const status of Object.keys(WORKER_TASK_STATES))
    for (const cause of [null, ...Object.keys(WORKER_EXIT_REASONS)])
      for (const stored of [true, false]) {
        const [state, reason] = status === 'ended' ? ['ended', cause] : [status, null];
        yield `{"piece":"${LAST_TASK}","try":${UINT64_MAX},"status":"${state}","cause":${JSON.stringify(reason)},"stored":${stored}},`;
      }
}

const ENCODED_COMMANDS: Command[] = [
  { op: 'start', task: LAST_TASK, attempt: ATTEMPT },
  { op: 'stop', task: LAST_TASK, attempt: ATTEMPT, graceS: 1e9 + 1.1234567 },
  { op: 'forget', task: LAST_TASK, attempt: ATTEMPT },
];

describe('the bound of a message', () => {
  it('is that of the longest entry that a machine may list', () => {
    const longest = Math.max(...[...listedForms()].map(bytesOf));
    assert.equal(listedTaskBytes({ id: LONGEST_ID }), longest);
    assert.equal(exitedTaskBytes({ task: LAST_TASK }), longest);
    assert.equal(parseJob(JSON.parse(encodeJob(job(LONGEST_ID, { tasks: 100_000 })))).tasks, 100_000);
    assert.throws(() => parseJob(JSON.parse(encodeJob(job(LONGEST_ID, { tasks: 100_001 })))));
  });

  it('holds for a heartbeat with as many tasks as fit', () => {
    const count = Math.floor(TASK_LIST_BYTES / listedTaskBytes({ id: LONGEST_ID }));
    const task: TaskStatus = {
      task: LAST_TASK,
      attempt: ATTEMPT,
      state: 'exited',
      exitReason: 'stopped',
      checkpointed: true,
    };
    const heartbeat = encodeHeartbeat(heartbeatOf(Array.from({ length: count }, () => task)));
    assert.ok(bytesOf(heartbeat) <= MAX_MESSAGE_BYTES, `${bytesOf(heartbeat)} bytes`);
  });

  it('holds for the commands to all tasks that a machine may list', () => {
    const command = { task: LAST_TASK };
    assert.ok(commandBytes(command) <= exitedTaskBytes(command));
    for (const encoded of ENCODED_COMMANDS) {
      const bytes = encodeCommands(UINT64_MAX as FencingToken, [encoded, encoded]).length;
      const bytesOfOne = bytes - encodeCommands(UINT64_MAX as FencingToken, [encoded]).length;
      assert.ok(bytesOfOne <= commandBytes(command), `${encoded.op}: ${bytesOfOne} bytes`);
    }
    const empty = encodeCommands(UINT64_MAX as FencingToken, []);
    assert.ok(empty.length + COMMAND_LIST_BYTES <= MAX_MESSAGE_BYTES);
  });
});

/** Default queue threshold of the simulated world's controllers. */
const THRESHOLD = 2;

const SMALL_JOBS: [string, Partial<JobSpec>][] = [
  ['with a short id', { id: 'run-1' as JobId }],
  ['with the longest id', { id: LONGEST_ID }],
  ['that needs nothing', { cpus: 0, memoryGb: 0 }],
  ['that is limited by CPUs', { cpus: 0.5 }],
  ['that is limited by memory', { memoryGb: 0.5 }],
];

describe('the number of tasks on a machine', () => {
  for (const [name, overrides] of SMALL_JOBS)
    it(`is the same for placement, plans, offers and gangs, for a job ${name}`, () => {
      const world = new SimulatedWorld();
      world.runS = 600;
      world.cloud.capacity = 6;
      world.cloud.types = world.cloud.types.slice(0, 1);
      const [type] = world.cloud.types;
      const spec = job('run-2', { tasks: 100_000, cpus: 0.001, memoryGb: 0.001, ...overrides });
      const perMachine = tasksPerMachine(type!, spec);
      assert.ok(perMachine * listedTaskBytes(spec) <= TASK_LIST_BYTES);

      assert.equal(placeOn(requestedCapacity(type!, NORTH, false), waitingJob(spec), spec.tasks), perMachine);
      assert.equal(new MachinePool(type!, NORTH, false).admits(spec), true);
      assert.equal(canEverRun([type!], spec), true);

      // A gang of as many tasks as three machines can list gets three machines, and all of them are filled.
      world.submit({ ...spec, kind: 'gang', tasks: 3 * perMachine });
      assert.ok(world.until(() => world.machinesRunning(spec.id).length === 3, 30));
      assert.equal(world.workers.size, 3);
      for (const worker of world.workers.values()) assert.equal(worker.activeTasks().length, perMachine);
    });

  it('is the same for an array, whose other tasks get further machines', () => {
    const world = new SimulatedWorld();
    world.runS = 600;
    world.cloud.types = world.cloud.types.slice(0, 1);
    const spec = job('run-1', { tasks: 2000, cpus: 0.001, memoryGb: 0.001 });
    const perMachine = tasksPerMachine(world.cloud.types[0]!, spec);
    world.submit(spec);
    const activeTasks = (): number[] =>
      [...world.workers.values()].map((worker) => worker.activeTasks().length);
    assert.ok(world.until(() => activeTasks().reduce((sum, count) => sum + count, 0) === spec.tasks, 40));
    assert.equal(world.workers.size, Math.ceil(spec.tasks / perMachine));
    assert.equal(Math.max(...activeTasks()), perMachine);
  });

  it('is the same for queues, and for the index of machines with free capacity', () => {
    const world = new SimulatedWorld();
    world.runS = 600;
    world.cloud.capacity = 1;
    const spec = job('run-1', { tasks: 2000, cpus: 0.001, memoryGb: 0.001 });
    world.submit(spec);
    assert.ok(world.until(() => world.machinesRunning('run-1').length === 1));
    world.run(5);
    const { machines, capacityIndex } = world.nodes.get(world.leader!)!.leaderTerm!;
    const [machine] = machines.byId.values();
    assert.equal(machine!.queue.length, THRESHOLD);
    assert.equal(hasCapacityFor(machine!, machine!.queue[0]!.job), false);
    for (const pool of capacityIndex.pools.values())
      for (const bucket of pool.buckets.values())
        assert.ok(bucket.members.length === 0 || !bucketMayFit(bucket, spec));
  });

  it('is the same for a plan that has placed another job, or counts on tasks that end soon', () => {
    const world = new SimulatedWorld();
    const [type] = world.cloud.types;
    const spec = job('run-1', { tasks: 2000, cpus: 0.001, memoryGb: 0.001, estimatedRunS: 3 });
    const perMachine = tasksPerMachine(type!, spec);
    const capacity = requestedCapacity(type!, NORTH, false);
    assert.equal(placeOn(capacity, waitingJob(spec), perMachine - 1), perMachine - 1);
    assert.equal(placeOn(capacity, waitingJob(spec), spec.tasks), 1);

    world.runS = 3;
    world.cloud.types = [type!];
    world.submit({ ...spec, tasks: perMachine });
    assert.ok(world.until(() => world.machinesRunning('run-1').length === 1));
    world.run(1.5);
    world.submit({ ...spec, id: 'run-2' as JobId, tasks: perMachine });
    assert.ok(world.until(() => world.isDone('run-2'), 20));
    assert.equal(world.cloud.machinesCreated, 1);
  });

  it('is the same for the value of a machine to other work', () => {
    const [type] = new SimulatedWorld().cloud.types;
    const pool = new MachinePool(type!, NORTH, false);
    const capacityIndex = new CapacityIndex();
    capacityIndex.pools.set('pool', pool);
    const binPacking = new BinPackingScorer(
      new Map([[type!.name, type!]]),
      () => null,
      () => 0,
    );
    const small = waitingJob(job('run-1', { tasks: 2000, cpus: 0.001, memoryGb: 0.001 }));
    const now = 0 as Instant;
    binPacking.refresh({
      now,
      jobs: [small],
      capacityIndex,
      expectedTasks: () => 0,
      allowedTasks: () => 2000,
    });
    // One task less of its class can use the machine.
    assert.equal(Math.round(binPacking.typeScore(small, pool) * 1000), 1000);
  });

  it('counts exited tasks until the machine no longer lists them', () => {
    const exitedTasks = new ExitedTasks();
    const exited = { task: LAST_TASK, attempt: ATTEMPT, job: LONGEST_ID, index: 99_999, exitReason: 'done' };
    exitedTasks.add('1', { ...exited, seenSeq: 1 });
    exitedTasks.add('2', { ...exited, seenSeq: 2 });
    assert.equal(exitedTasks.listBytes, 2 * exitedTaskBytes(exited));
    exitedTasks.removeUnlisted(2);
    assert.equal(exitedTasks.listBytes, exitedTaskBytes(exited));
    exitedTasks.clear();
    assert.deepEqual([exitedTasks.listBytes, exitedTasks.size], [0, 0]);
  });

  // A job with a shorter id may fit where a job with the same needs does not.
  it('depends on the id, also where searches for other jobs have failed', () => {
    const [short, long] = [job('run-1'), job('run-11')];
    assert.equal(needsAtLeast(long, short), true);
    assert.equal(needsAtLeast(short, long), false);
  });
});
