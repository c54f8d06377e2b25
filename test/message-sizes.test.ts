// Lengths of messages: a request body has at most 64 KiB, and no line of a response to a worker or a user is
// longer (PROTOCOL). These tests guard against messages that are sent longer, or refused for their length.
import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FakeWorker } from '../packages/local-cluster/src/fake-worker.ts';
import { fitsPeerMessage } from '../src/core/base/message-size.ts';
import type {
  Command,
  Heartbeat,
  JobSpec,
  Objective,
  StoreLimits,
  StoreRequest,
  TaskStatus,
} from '../src/core/base/model.ts';
import {
  ChangeTooLargeError,
  changeTransaction,
  planChanges,
  type StoreTransaction,
} from '../src/core/configuration/change.ts';
import { commandsForResponse } from '../src/core/machines/command-list.ts';
import { jobRecordPuts } from '../src/core/storage/job-record.ts';
import { maxValueBytes } from '../src/core/storage/json-size.ts';
import { type HttpServerOptions, serveHttp } from '../src/http/server.ts';
import { encodePeerMessage } from '../src/protocol/peer.ts';
import { encodeStoreRequest } from '../src/protocol/store.ts';
import { encodeHeartbeat } from '../src/protocol/worker-agent.ts';
import { maxBodyBytes } from '../src/runtime/request-router.ts';
import type {
  Attempt,
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  Revision,
  TaskId,
  TeamName,
  WallTime,
  ZoneName,
} from '../src/types/index.ts';
import { UINT64_MAX } from '../src/types/uint64.ts';
import { CANCEL_MS } from './support/checked-world.ts';
import { createHandler } from './support/http-handler.ts';
import {
  type LongestMessages,
  MAX_MESSAGE_BYTES,
  MAX_PEER_MESSAGE_BYTES,
  measureMessages,
} from './support/message-lengths.ts';
import { LIMITED_TEAM, LIMITED_TEAM_CPUS } from './support/simulated-settings.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

/** Serves requests on a free port until the test ends; resolves with the URL of the server. */
async function serve(
  t: TestContext,
  options: Pick<HttpServerOptions, 'handler' | 'onRefused'>,
): Promise<string> {
  const limits = { maxConnections: 10, maxBody: maxBodyBytes, requestMs: 10_000, idleMs: 60_000 };
  const { server, close } = serveHttp({ host: '127.0.0.1', port: 0, limits, ...options });
  t.after(close);
  await new Promise((resolve) => server.once('listening', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A heartbeat with this many tasks. */
const heartbeatWith = (tasks: number): Heartbeat => ({
  machine: 'i-1' as MachineId,
  addr: '10.1.0.1:9000',
  type: 'box' as MachineTypeName,
  zone: 'north' as ZoneName,
  spot: false,
  agentEpoch: 1,
  seq: 1,
  fencingToken: 1 as FencingToken,
  preemptionNoticeS: null,
  tasks: Array.from({ length: tasks }, (_, index) => ({
    task: `run-1/${index}` as TaskId,
    attempt: 1 as Attempt,
    state: 'running',
    exitReason: null,
    checkpointed: false,
  })),
});

describe('a request that is too long', () => {
  // Without the line, a worker whose heartbeats are refused looks like one that sends none.
  it('is refused and logged', async (t) => {
    const { router, logLines } = createHandler();
    const url = await serve(t, {
      handler: (request, respond) => router.handle(request, respond),
      onRefused: (refusal) => router.onRefused(refusal),
    });
    const response = await fetch(`${url}/work`, { method: 'POST', body: 'x'.repeat(MAX_MESSAGE_BYTES + 1) });
    assert.equal(response.status, 413);
    await response.body?.cancel();
    const fields = { source: 'request', reason: '413 body too large', count: 1 };
    assert.deepEqual(logLines, [['info', 'invalid message', fields]]);
  });

  // A machine that lists too many tasks lost all of them with its lease, as each heartbeat was refused.
  it('is read if it is the heartbeat of a machine that lists too many tasks, up to 1 MiB', async (t) => {
    const { router, inputs } = createHandler();
    const url = await serve(t, { handler: (request, respond) => router.handle(request, respond) });
    const abort = new AbortController();
    t.after(() => abort.abort());
    const long = encodeHeartbeat(heartbeatWith(3000));
    assert.ok(long.length > 2 * MAX_MESSAGE_BYTES);
    fetch(`${url}/checkin`, { method: 'POST', body: long, signal: abort.signal }).catch(() => {});
    for (let waited = 0; inputs.length === 0 && waited < 100; waited++) await sleep(20);
    const [input] = inputs;
    assert.equal(input?.kind === 'heartbeat' ? input.heartbeat.tasks.length : null, 3000);
    const tooLong = await fetch(`${url}/checkin`, { method: 'POST', body: 'x'.repeat(1024 * 1024 + 1) });
    assert.equal(tooLong.status, 413);
    await tooLong.body?.cancel();
  });
});

describe('a heartbeat that is passed on to another controller', () => {
  for (const tasks of [2500, 2600, 10_000])
    it(`fits into a message of any format, or is not passed on, with ${tasks} tasks`, () => {
      const heartbeat = heartbeatWith(tasks);
      const longest = Math.max(
        encodePeerMessage({ kind: 'relayed-heartbeat', id: 2 ** 32 - 1, heartbeat }).length,
        encodePeerMessage({
          kind: 'forwarded-heartbeat',
          id: 2 ** 32 - 1,
          heartbeat: { kind: 'full', heartbeat },
        }).length,
      );
      if (fitsPeerMessage(heartbeat)) assert.ok(longest <= MAX_PEER_MESSAGE_BYTES, `${longest} bytes`);
      assert.equal(fitsPeerMessage(heartbeat), tasks <= 2500);
    });

  it('is the longest in the JSON format for relaying', () => {
    const task = `run-${'x'.repeat(120)}/99999` as TaskId;
    const [attempt, checkpointed] = [UINT64_MAX as Attempt, false];
    const tasks = Array.from({ length: 1150 }, (): TaskStatus => {
      return { task, attempt, state: 'exited', exitReason: 'stopped', checkpointed };
    });
    const heartbeat = { ...heartbeatWith(0), tasks };
    const { length } = encodePeerMessage({ kind: 'relayed-heartbeat', id: 1, heartbeat });
    assert.ok(fitsPeerMessage(heartbeat) && length <= MAX_PEER_MESSAGE_BYTES, `${length} bytes`);
  });
});

/** A job of tasks so small that one machine has room for 1,600 of them. */
const smallTasks = (id: string, overrides: Partial<JobSpec> = {}): JobSpec =>
  job(id, { tasks: 250, cpus: 0.005, memoryGb: 0.01, estimatedRunS: 15, ...overrides });

const LONGEST_ID_SUFFIX = 'x'.repeat(119);

/** All tasks that a world's machines have lost with their leases. */
const tasksLostByLease = (world: SimulatedWorld): number =>
  [...world.workers.values()].reduce((sum, worker) => sum + worker.lostByLease, 0);

/** A world whose tasks run for 15 s, with the lengths of its messages. */
function createWorld(): { world: SimulatedWorld; longest: LongestMessages } {
  const world = new SimulatedWorld();
  world.runS = 15;
  return { world, longest: measureMessages(world) };
}

function assertWithinLimits(world: SimulatedWorld, longest: LongestMessages): void {
  for (const kind of ['heartbeat', 'heartbeatResponse', 'storeRequest'] as const)
    assert.ok(longest[kind] <= MAX_MESSAGE_BYTES, `${kind} of ${longest[kind]} bytes`);
  assert.ok(
    longest.peerMessage <= MAX_PEER_MESSAGE_BYTES,
    `message between controllers of ${longest.peerMessage} bytes`,
  );
  assert.equal(tasksLostByLease(world), 0);
  assert.deepEqual(world.violations, []);
}

describe('small tasks', () => {
  // 1,250 tasks were started on one machine; its heartbeats of 75 KB were refused, and no job was ever done.
  for (const [ids, suffix] of [
    ['short', ''],
    ['the longest', LONGEST_ID_SUFFIX],
  ])
    it(`run on more machines where the heartbeats of one cannot list them, with ${ids} ids`, () => {
      const { world, longest } = createWorld();
      const ids = Array.from({ length: 5 }, (_, index) => `run-${index}${suffix}`);
      for (const id of ids) assert.equal(world.submit(smallTasks(id))?.kind, 'accepted');
      assert.ok(world.until(() => ids.every((id) => world.isDone(id)), 90));
      assert.ok(world.workers.size > 1);
      assertWithinLimits(world, longest);
      assert.ok(
        longest.heartbeat > MAX_MESSAGE_BYTES / 2,
        `only ${longest.heartbeat} bytes of a heartbeat used`,
      );
    });

  // Tasks that need nothing at all have no limit but the length of the heartbeat.
  it('that need no resources run too', () => {
    const { world, longest } = createWorld();
    world.submit(smallTasks('run-1', { tasks: 3000, cpus: 0, memoryGb: 0 }));
    assert.ok(world.until(() => world.isDone('run-1'), 90));
    assertWithinLimits(world, longest);
  });

  // A machine keeps listing its exited tasks while their results cannot be stored.
  it('are not started beside too many exited ones while the store is away', () => {
    const { world, longest } = createWorld();
    world.cloud.capacity = 1;
    world.runS = 2;
    world.submit(smallTasks('run-1', { tasks: 4000 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length === 1));
    world.state.down = true;
    world.run(20);
    const [machine] = world.workers.values();
    assert.ok(machine!.tasks.size > 0);
    assert.deepEqual(machine!.activeTasks(), []);
    world.state.down = false;
    assert.ok(world.until(() => world.isDone('run-1'), 120));
    assertWithinLimits(world, longest);
  });

  it('stay within the limit after a failover', () => {
    const { world, longest } = createWorld();
    world.runS = 20;
    for (const id of ['run-1', 'run-2', 'run-3', 'run-4']) world.submit(smallTasks(id));
    assert.ok(world.until(() => longest.tasks > 400, 30));
    world.crash(world.leader!);
    world.run(2);
    const [node] = world.nodes.keys();
    for (const id of ['run-5', 'run-6']) world.submit(smallTasks(id), node);
    assert.ok(world.until(() => ['run-1', 'run-6'].every((id) => world.isDone(id, node)), 90));
    assertWithinLimits(world, longest);
  });

  it('of one gang run at once, on several machines', () => {
    const { world, longest } = createWorld();
    assert.equal(
      world.submit(smallTasks('run-1', { kind: 'gang', tasks: 1300, oneZone: true }))?.kind,
      'accepted',
    );
    assert.ok(world.until(() => world.isDone('run-1'), 90));
    assertWithinLimits(world, longest);
  });

  // Urgent work waits for a place in the list, as it does for CPUs: preempting one task gives it one.
  it('make room in the list of a machine for a task of higher priority', () => {
    const { world, longest } = createWorld();
    world.cloud.capacity = 1;
    world.runS = 600;
    world.submit(
      smallTasks('run-1', { tasks: 2000, priority: 0, checkpointIntervalS: 10, checkpointDurationS: 1 }),
    );
    assert.ok(world.until(() => longest.tasks > 400, 30));
    world.run(35);
    assert.ok(world.logs.some((line) => line.includes('"taskListFull":1')));
    world.submit(smallTasks('run-2', { class: 'urgent', tasks: 1, priority: 3 }));
    assert.ok(world.until(() => world.machinesRunning('run-2').length === 1, 15));
    assertWithinLimits(world, longest);
  });
});

/** Tasks of the job `run-1` on a machine that an earlier version has given more than its heartbeats can list. */
const OVERLOAD_TASKS = 3000;
/** So many that their heartbeat does not fit into a message to another controller. */
const UNFORWARDABLE_TASKS = 12_000;

/** A world in which one machine runs that many tasks, with the lengths of its messages. */
function createOverload(overrides: Partial<JobSpec> = {}): {
  world: SimulatedWorld;
  longest: LongestMessages;
  machine: FakeWorker;
} {
  const { world, longest } = createWorld();
  world.runS = 20;
  world.cloud.capacity = 1;
  // Its team is at its limit, so that this version starts no further task of it.
  const team = LIMITED_TEAM as TeamName;
  world.runSByJob.set('run-0', 600);
  world.submit(job('run-0', { team, cpus: LIMITED_TEAM_CPUS }));
  assert.ok(world.until(() => world.machinesRunning('run-0').length === 1));
  const [machine] = world.workers.values();
  world.submit(smallTasks('run-1', { team, tasks: OVERLOAD_TASKS, ...overrides }));
  const { tasks } = world.jobs.get('run-1')!.spec;
  const commands = Array.from({ length: tasks }, (_, index) => ({
    op: 'start' as const,
    task: `run-1/${index}` as TaskId,
    attempt: Number.MAX_SAFE_INTEGER as Attempt,
  }));
  // The check of each start against all other tasks would take most of the test's time.
  world.onTaskPlaced = () => {};
  machine!.handleCommands(machine!.fencingToken, machine!.agentEpoch, commands, () => {});
  assert.equal(machine!.activeTasks().length, tasks + 1);
  return { world, longest, machine: machine! };
}

describe('a machine with more tasks than its heartbeats should list', () => {
  // Such a machine is left by a leader of an earlier version. The commands to it were one line of over 200 KB.
  it('gets its commands in several responses, and all its tasks end in time when their job is cancelled', () => {
    const { world, longest, machine } = createOverload({ kind: 'service', cpus: 0.001 });
    world.run(2);
    const confirmed = world.requestUntilAnswered({ op: 'cancel', id: 'run-1' as JobId });
    assert.equal(confirmed?.kind, 'ended');
    const confirmedAt = world.now;
    assert.ok(world.until(() => machine.tasks.size <= 1, 40));
    assert.ok(world.now - confirmedAt < CANCEL_MS);
    assert.ok(
      longest.heartbeatResponse <= MAX_MESSAGE_BYTES,
      `response of ${longest.heartbeatResponse} bytes`,
    );
    assert.equal(tasksLostByLease(world), 0);
  });

  // The link to the leader was closed by such a message, and the heartbeats of all machines on it were lost.
  it('is redirected to the leader if its heartbeats do not fit into a message between controllers', () => {
    const { world, longest, machine } = createOverload({ tasks: UNFORWARDABLE_TASKS });
    const leader = machine.node;
    world.crash(leader);
    world.run(1);
    world.start(leader);
    assert.ok(world.until(() => world.leader !== undefined && world.leader !== leader, 30));
    assert.ok(world.until(() => world.isDone('run-1', world.leader), 60));
    assert.equal(machine.node, world.leader);
    assert.ok(longest.peerMessage <= MAX_PEER_MESSAGE_BYTES, `${longest.peerMessage} bytes`);
    assert.equal(tasksLostByLease(world), 0);
  });

  // A leader of an earlier version does not bound them; a node of this version must not pass on a longer line.
  it('gets no more commands than fit into a response from a leader of an earlier version either', () => {
    const { world, longest } = createWorld();
    const { transport } = world;
    const unbounded = Array.from({ length: 2000 }, (_, index): Command => {
      return { op: 'stop', task: `run-9/${index}` as TaskId, attempt: 1 as Attempt, graceS: 0 };
    });
    let passedOn = 0;
    world.transport = {
      ...transport,
      peerMessage: (message) => {
        if (message.kind !== 'forwarded-heartbeat-response' || message.response?.kind !== 'commands')
          return transport.peerMessage(message);
        passedOn++;
        return { ...message, response: { ...message.response, commands: unbounded } };
      },
    };
    world.submit(smallTasks('run-1', { tasks: 3, cpus: 8 }));
    assert.ok(world.until(() => passedOn > 10, 60));
    assert.ok(longest.heartbeatResponse > MAX_MESSAGE_BYTES / 2);
    assert.ok(
      longest.heartbeatResponse <= MAX_MESSAGE_BYTES,
      `response of ${longest.heartbeatResponse} bytes`,
    );
  });

  it('forgets its results in several responses, and then gets new tasks', () => {
    const { world, longest } = createOverload();
    world.submit(smallTasks('run-2'));
    world.run(10);
    assert.equal(world.machinesRunning('run-2').length, 0);
    assert.ok(world.until(() => world.isDone('run-1') && world.isDone('run-2'), 90));
    assert.ok(
      longest.heartbeatResponse <= MAX_MESSAGE_BYTES,
      `response of ${longest.heartbeatResponse} bytes`,
    );
    assert.equal(tasksLostByLease(world), 0);
  });

  // Tasks of cancelled jobs must be gone in time, however many results wait to be forgotten.
  it('gets stop commands before others', () => {
    const attempt = 1 as Attempt;
    const forgets = Array.from({ length: 2000 }, (_, index): Command => {
      return { op: 'forget', task: `run-1/${index}` as TaskId, attempt };
    });
    const stop: Command = { op: 'stop', task: 'run-2/0' as TaskId, attempt, graceS: 0 };
    const sent = commandsForResponse([...forgets, stop]);
    assert.deepEqual(sent.slice(0, 2), [stop, forgets[0]]);
    assert.ok(sent.length < forgets.length);
    assert.deepEqual(commandsForResponse([forgets[0]!, stop]), [forgets[0], stop]);
  });
});

/** Limits of a store that takes values as long as a whole transaction; the known sites allow 8 KiB. */
const LARGE_VALUES: StoreLimits = {
  requestsPerS: 200,
  writesPerS: 100,
  maxValueKb: 64,
  maxTransactionOps: 24,
};

describe('a transaction of the store', () => {
  const store = LARGE_VALUES;

  // The only value of a transaction could fill it, so that the store refused it for its length, for ever.
  it('has room for the longest value beside its keys and conditions', () => {
    const longest = 'x'.repeat(maxValueBytes(store) - 2);
    const key = `o/${'x'.repeat(198)}`;
    const conditions = Array.from({ length: 3 }, () => ({ key, revision: UINT64_MAX as Revision }));
    const request: StoreRequest = {
      kind: 'compare-and-swap',
      conditions,
      puts: [{ key, value: longest }],
      deletes: [],
    };
    assert.ok(Buffer.byteLength(encodeStoreRequest(request).body!) <= MAX_MESSAGE_BYTES);
    assert.equal(maxValueBytes({ ...store, maxValueKb: 8 }), 8 * 1024);
  });

  it('that accepts a job with a long list is short enough, or the job is refused', () => {
    for (const count of [100, 3500, 4000, 4990]) {
      const dependsOn = Array.from({ length: count }, (_, index) => `run-${100_000 + index}` as JobId);
      const record = {
        spec: job('run-1', { dependsOn }),
        acceptedAt: 0 as WallTime,
        cancelled: false,
        writeId: '1.1',
        dependencyParts: 0,
      };
      const puts = jobRecordPuts(record, store);
      if (puts === null) continue;
      const request: StoreRequest = { kind: 'compare-and-swap', conditions: [], puts, deletes: [] };
      const { length } = encodeStoreRequest(request).body!;
      assert.ok(length < MAX_MESSAGE_BYTES - 1024, `${count} jobs: ${length} bytes`);
    }
  });

  it('that changes the configuration is short enough, or the change is refused', () => {
    const changeWith = (count: number): StoreTransaction => {
      const objectives = Array.from({ length: count }, (_, index): Objective => {
        return { kind: 'wait', class: `class-${index}`, withinS: 100, share: 0.9, times: null };
      });
      const snapshot = { revision: 1 as Revision, head: null, documents: [] };
      const changes = planChanges(snapshot, [{ kind: 'objectives', objectives }]);
      return changeTransaction(snapshot, changes, 'id', 0, 1 as Revision, store);
    };
    const { length } = encodeStoreRequest({ kind: 'compare-and-swap', ...changeWith(250) }).body!;
    assert.ok(length > MAX_MESSAGE_BYTES / 2 && length <= MAX_MESSAGE_BYTES, `${length} bytes`);
    assert.throws(() => changeWith(500), ChangeTooLargeError);
  });
});
