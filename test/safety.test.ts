// Tests the guarantees of docs/safety.md with a scenario for each: jobs are accepted once, run once and end
// once.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ControllerIo } from '../src/core/base/io.ts';
import { AcceptedJobsWatch } from '../src/core/jobs/accepted-jobs-watch.ts';
import type { ArrayProgress } from '../src/core/jobs/array-progress.ts';
import { JobTable } from '../src/core/jobs/job-table.ts';
import type { FencedWriter } from '../src/core/storage/fenced-writer.ts';
import { encodeJobSpec } from '../src/core/storage/job-record.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type {
  Instant,
  JobId,
  MachineTypeName,
  Revision,
  TeamName,
  WallTime,
  ZoneName,
} from '../src/types/index.ts';
import { assertUnbroken } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

describe('acceptance of jobs', () => {
  it('a job is accepted by any controller, run once, and reported as done by every controller', () => {
    const world = new SimulatedWorld();
    assert.equal(world.submit(job('run-1', { tasks: 5 }), 'node-2')?.kind, 'accepted');
    assert.ok(world.until(() => world.isDone('run-1', 'node-1')));
    for (const node of ['node-0', 'node-1', 'node-2']) assert.ok(world.isDone('run-1', node));
    assert.equal(
      [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0),
      5,
    );
    assertUnbroken(world);
  });

  it('a repeated submission is answered as known, even after the job has ended and all controllers have crashed', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1'));
    assert.deepEqual(world.submit(job('run-1'), 'node-1'), { kind: 'known', id: 'run-1', status: 'queued' });
    assert.ok(world.until(() => world.isDone('run-1')));
    for (const node of ['node-0', 'node-1', 'node-2']) world.crash(node);
    world.run(6);
    for (const node of ['node-0', 'node-1', 'node-2']) world.start(node);
    assert.deepEqual(world.submit(job('run-1'), 'node-2'), { kind: 'known', id: 'run-1', status: 'done' });
  });

  it('a job that nobody submitted is not found, and one that can never run is refused with a reason', () => {
    const world = new SimulatedWorld();
    assert.equal(world.status('run-404')?.kind, 'not-found');
    const response = world.submit(job('run-2', { cpus: 9 }));
    assert.equal(response?.kind, 'impossible');
    assert.match((response as { reason: string }).reason, /9 CPUs/);
    assert.equal(world.submit(job('run-3', { team: 'nobody' as TeamName }))?.kind, 'impossible');
    assert.equal(
      world.submit(job('run-4', { team: 'small' as TeamName, kind: 'gang', tasks: 4 }))?.kind,
      'impossible',
    );
  });

  it('during an outage of the store a submission gets a retry response at once; after it the submission is accepted', () => {
    const world = new SimulatedWorld();
    assert.equal(world.submit(job('run-1'))?.kind, 'accepted');
    world.state.outage(10);
    world.run(1);
    world.sendRequest('node-0', { op: 'submit', spec: job('run-2') });
    world.run(4);
    const submittedAt = world.now;
    const pending = world.sendRequest('node-0', { op: 'submit', spec: job('run-3') });
    assert.ok(world.until(() => pending.answer !== null, 1));
    assert.equal(pending.answer?.kind, 'retry');
    assert.ok(world.now - submittedAt <= 400);
    assert.equal(world.submit(job('run-3'))?.kind, 'accepted');
    assertUnbroken(world);
  });

  it('a job is accepted once if the answer of the store to the write of its acceptance is lost', () => {
    const world = new SimulatedWorld();
    world.run(2);
    world.state.loseNextAnswer = true;
    const pending = world.sendRequest('node-0', { op: 'submit', spec: job('run-1') });
    world.run(6);
    assert.equal(pending.answer?.kind, 'accepted');
    assert.ok(world.until(() => world.isDone('run-1')));
    assertUnbroken(world);
  });
});

describe('jobs accepted without the leader', () => {
  it('with no leader a submission is accepted by any controller, found by the next leader and run once', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1'));
    world.crash(world.leader!);
    const [firstNode, secondNode] = [...world.nodes.keys()];
    const pending = world.sendRequest(firstNode!, { op: 'submit', spec: job('run-2', { tasks: 3 }) });
    world.run(0.5);
    assert.equal(world.leader, undefined);
    assert.equal(pending.answer?.kind, 'accepted');
    // Another controller recognises the same submission, whichever controller is the leader by then.
    assert.equal(world.submit(job('run-2', { tasks: 3 }), secondNode)?.kind, 'known');
    for (const id of ['run-1', 'run-2']) assert.ok(world.until(() => world.isDone(id, firstNode), 100));
    assert.equal(
      [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0),
      4,
    );
    assertUnbroken(world);
  });

  it('a leader cut off from its peers finds the jobs that they accept by watching the job records', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1'));
    const leader = world.leader!;
    const others = [...world.nodes.keys()].filter((n) => n !== leader);
    for (const node of others) world.cut(leader, node, 'drop');
    assert.equal(world.submit(job('run-2', { tasks: 4 }), others[0]!)?.kind, 'accepted');
    assert.ok(world.until(() => world.isDone('run-2', leader), 60));
    assert.equal(world.leader, leader);
    assertUnbroken(world);
  });

  it('a leader whose lease has expired adopts no job accepted by others, and lists the records again with a valid lease', () => {
    const io = new ControllerIo(seededRandom(1));
    const jobs = new JobTable(io, {} as FencedWriter, {} as ArrayProgress);
    let isLeaseHeld = true;
    const acceptedJobs = new AcceptedJobsWatch(io, jobs, 5 as Revision, () => isLeaseHeld);
    const takeStoreRequest = () =>
      io.takeEffects().flatMap((effect) => (effect.kind === 'store' ? [effect] : []))[0]!;
    const item = {
      key: 'o/run-9',
      value: { s: encodeJobSpec(job('run-9')), t: 0, w: 'x' },
      revision: 7 as Revision,
    };
    acceptedJobs.tick();
    isLeaseHeld = false;
    io.resolve(takeStoreRequest().tag, { kind: 'changes', revision: 7, puts: [item], drops: [] });
    assert.equal(jobs.openJobs.size, 0);
    isLeaseHeld = true;
    io.beginStep(1000 as Instant, 0 as WallTime);
    acceptedJobs.tick();
    const secondRequest = takeStoreRequest();
    assert.equal(secondRequest.request.kind, 'list');
    io.resolve(secondRequest.tag, { kind: 'items', items: [item], more: false, revision: 8 });
    assert.equal(jobs.openJobs.size, 1);
  });
});

describe('execution and end of jobs', () => {
  it('running tasks continue under the next leader when the leader crashes, and no task runs twice', () => {
    const world = new SimulatedWorld();
    world.runS = 20;
    world.submit(job('run-1', { tasks: 12 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(3);
    const crashedLeader = world.leader!;
    world.crash(crashedLeader);
    world.run(6);
    world.start(crashedLeader);
    const controller = crashedLeader === 'node-0' ? 'node-1' : 'node-0';
    assert.ok(world.until(() => world.isDone('run-1', controller), 200));
    assert.notEqual(world.leader, undefined);
    assert.equal(
      [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0),
      12,
    );
    assertUnbroken(world);
  });

  it('after a crash of all controllers running tasks are found again rather than restarted', () => {
    const world = new SimulatedWorld();
    world.runS = 30;
    world.submit(job('run-1', { tasks: 8 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(2);
    for (const node of ['node-0', 'node-1', 'node-2']) world.crash(node);
    world.run(5);
    for (const node of ['node-0', 'node-1', 'node-2']) world.start(node);
    assert.ok(world.until(() => world.isDone('run-1'), 200));
    assert.equal(
      [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0),
      8,
    );
    assertUnbroken(world);
  });

  it('an outage of the store stops neither running tasks nor starts of accepted jobs', () => {
    const world = new SimulatedWorld();
    world.runS = 4;
    world.cloud.capacity = 2;
    world.submit(job('run-1', { tasks: 40 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(3);
    const startsBefore = [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0);
    world.state.outage(15);
    // Longer than the leader lease: further starts rely on the fencing tokens and on the bound of
    // docs/safety.md.
    world.run(6);
    const startsAfterLease = [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0);
    world.run(8);
    const startsAtEnd = [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0);
    assert.ok(
      startsAtEnd > startsAfterLease && startsAfterLease > startsBefore,
      `${startsBefore}, ${startsAfterLease}, ${startsAtEnd} starts`,
    );
    assert.ok(world.until(() => world.isDone('run-1'), 200));
    assertUnbroken(world);
  });

  it('tasks of a cancelled job end in time on all machines, even on those in reach of only a cut-off former leader', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1', { kind: 'service', tasks: 3 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(3);
    const formerLeader = world.leader!;
    // The leader is cut off from all but its agents, which continue to send it heartbeats. The cloud is down,
    // so no machine can be released.
    world.cloud.down = true;
    world.state.refusedNodes.add(formerLeader);
    for (const node of world.nodes.keys()) if (node !== formerLeader) world.cut(formerLeader, node, 'drop');
    for (const machineId of world.workers.keys())
      for (const node of world.nodes.keys()) if (node !== formerLeader) world.cut(machineId, node, 'drop');
    const other = [...world.nodes.keys()].find((n) => n !== formerLeader)!;
    const response = world.requestUntilAnswered({ op: 'cancel', id: 'run-1' as JobId }, other, 60);
    assert.deepEqual(response, { kind: 'ended', id: 'run-1', status: 'cancelled' });
    world.run(40);
    assert.deepEqual(world.machinesRunning('run-1'), []);
    assert.deepEqual(world.status('run-1', other), { kind: 'ended', id: 'run-1', status: 'cancelled' });
    assertUnbroken(world);
  });

  it('done and cancelled exclude each other, and are final', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1'));
    assert.ok(world.until(() => world.isDone('run-1')));
    assert.deepEqual(world.requestUntilAnswered({ op: 'cancel', id: 'run-1' as JobId }), {
      kind: 'ended',
      id: 'run-1',
      status: 'done',
    });
    world.submit(job('run-2', { tasks: 4 }));
    assert.deepEqual(world.requestUntilAnswered({ op: 'cancel', id: 'run-2' as JobId }), {
      kind: 'ended',
      id: 'run-2',
      status: 'cancelled',
    });
    world.run(60);
    assert.deepEqual(world.status('run-2', 'node-1'), { kind: 'ended', id: 'run-2', status: 'cancelled' });
  });

  it('tasks are placed only on types, zones and kinds of machine that their job allows', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1', { gpus: 1, machineTypes: ['gpu' as MachineTypeName], spot: true }));
    world.submit(job('run-2', { zone: 'south' as ZoneName, tasks: 3 }));
    world.submit(job('run-3', { oneZone: true, tasks: 4, kind: 'gang' }));
    world.submit(job('run-4', { spread: true, tasks: 5 }));
    for (const id of ['run-1', 'run-2', 'run-3', 'run-4'])
      assert.ok(
        world.until(() => world.isDone(id), 300),
        id,
      );
    assertUnbroken(world);
  });
});
