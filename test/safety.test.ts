// The rules that users rely on, each by a scenario: jobs are accepted once, run once, and end once (docs/safety.md).
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ControllerIo } from '../src/core/base/io.ts';
import { AcceptedJobsWatch } from '../src/core/jobs/accepted-jobs-watch.ts';
import type { ArrayProgress } from '../src/core/jobs/array-progress.ts';
import { JobTable } from '../src/core/jobs/job-table.ts';
import type { FencedWriter } from '../src/core/storage/fenced-writer.ts';
import { encodeJobSpec } from '../src/core/storage/job-record.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Instant, JobId, Revision, TeamName, TypeName, WallTime, ZoneName } from '../src/types/index.ts';
import { assertUnbroken } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

describe('acceptance of jobs', () => {
  it('a job is accepted by any controller, run once, and reported as done by every controller', () => {
    const world = new SimulatedWorld();
    assert.equal(world.submit(job('run-1', { tasks: 5 }), 'node-2')?.kind, 'accepted');
    assert.ok(world.until(() => world.isDone('run-1', 'node-1')));
    for (const node of ['node-0', 'node-1', 'node-2']) assert.ok(world.isDone('run-1', node));
    assert.equal(
      [...world.workers.values()].reduce((n, x) => n + x.starts, 0),
      5,
    );
    assertUnbroken(world);
  });

  it('a repeated submission is known, also after the job is over and all controllers have crashed', () => {
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

  it('without the store a submission is told to retry at once, and is accepted when the store is back', () => {
    const world = new SimulatedWorld();
    assert.equal(world.submit(job('run-1'))?.kind, 'accepted');
    world.state.outage(10);
    world.run(1);
    world.ask('node-0', { op: 'submit', spec: job('run-2') });
    world.run(4);
    const asked = world.now;
    const pending = world.ask('node-0', { op: 'submit', spec: job('run-3') });
    assert.ok(world.until(() => pending.answer !== null, 1));
    assert.equal(pending.answer?.kind, 'retry');
    assert.ok(world.now - asked <= 400);
    assert.equal(world.submit(job('run-3'))?.kind, 'accepted');
    assertUnbroken(world);
  });

  it('an acceptance whose response is lost is the same acceptance when the submission is repeated', () => {
    const world = new SimulatedWorld();
    world.run(2);
    world.state.loseNextAnswer = true;
    const pending = world.ask('node-0', { op: 'submit', spec: job('run-1') });
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
    world.crash(world.owner!);
    const [firstNode, secondNode] = [...world.nodes.keys()];
    const pending = world.ask(firstNode!, { op: 'submit', spec: job('run-2', { tasks: 3 }) });
    world.run(0.5);
    assert.equal(world.owner, undefined);
    assert.equal(pending.answer?.kind, 'accepted');
    // The same submission at another controller is known, whoever is the leader by then.
    assert.equal(world.submit(job('run-2', { tasks: 3 }), secondNode)?.kind, 'known');
    for (const id of ['run-1', 'run-2']) assert.ok(world.until(() => world.isDone(id, firstNode), 100));
    assert.equal(
      [...world.workers.values()].reduce((n, x) => n + x.starts, 0),
      4,
    );
    assertUnbroken(world);
  });

  it('a leader out of reach of its peers finds the jobs that they accept by watching the records', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1'));
    const leader = world.owner!;
    const others = [...world.nodes.keys()].filter((n) => n !== leader);
    for (const node of others) world.cut(leader, node, 'drop');
    assert.equal(world.submit(job('run-2', { tasks: 4 }), others[0]!)?.kind, 'accepted');
    assert.ok(world.until(() => world.isDone('run-2', leader), 60));
    assert.equal(world.owner, leader);
    assertUnbroken(world);
  });

  it('a leader whose lease has run out adopts no job that others accepted, and reads again once it holds the lease', () => {
    const io = new ControllerIo(seededRandom(1));
    const jobs = new JobTable(io, {} as FencedWriter, {} as ArrayProgress);
    let current = true;
    const acceptedJobs = new AcceptedJobsWatch(io, jobs, 5 as Revision, () => current);
    const asked = () => io.takeEffects().flatMap((e) => (e.kind === 'store' ? [e] : []))[0]!;
    const item = {
      key: 'o/run-9',
      value: { s: encodeJobSpec(job('run-9')), t: 0, w: 'x' },
      revision: 7 as Revision,
    };
    acceptedJobs.tick();
    current = false;
    io.resolve(asked().tag, { kind: 'changes', revision: 7, puts: [item], drops: [] });
    assert.equal(jobs.openJobs.size, 0);
    current = true;
    io.beginStep(1000 as Instant, 0 as WallTime);
    acceptedJobs.tick();
    const again = asked();
    assert.equal(again.request.kind, 'list');
    io.resolve(again.tag, { kind: 'items', items: [item], more: false, revision: 8 });
    assert.equal(jobs.openJobs.size, 1);
  });
});

describe('execution and end of jobs', () => {
  it('work goes on under a new term when the leader crashes, and nothing runs twice', () => {
    const world = new SimulatedWorld();
    world.runS = 20;
    world.submit(job('run-1', { tasks: 12 }));
    assert.ok(world.until(() => world.holders('run-1').length > 0));
    world.run(3);
    const first = world.owner!;
    world.crash(first);
    world.run(6);
    world.start(first);
    const controller = first === 'node-0' ? 'node-1' : 'node-0';
    assert.ok(world.until(() => world.isDone('run-1', controller), 200));
    assert.notEqual(world.owner, undefined);
    assert.equal(
      [...world.workers.values()].reduce((n, x) => n + x.starts, 0),
      12,
    );
    assertUnbroken(world);
  });

  it('after a crash of all controllers running tasks are found again rather than restarted', () => {
    const world = new SimulatedWorld();
    world.runS = 30;
    world.submit(job('run-1', { tasks: 8 }));
    assert.ok(world.until(() => world.holders('run-1').length > 0));
    world.run(2);
    for (const node of ['node-0', 'node-1', 'node-2']) world.crash(node);
    world.run(5);
    for (const node of ['node-0', 'node-1', 'node-2']) world.start(node);
    assert.ok(world.until(() => world.isDone('run-1'), 200));
    assert.equal(
      [...world.workers.values()].reduce((n, x) => n + x.starts, 0),
      8,
    );
    assertUnbroken(world);
  });

  it('an outage of the store stops neither running tasks nor starts of accepted jobs', () => {
    const world = new SimulatedWorld();
    world.runS = 4;
    world.cloud.capacity = 2;
    world.submit(job('run-1', { tasks: 40 }));
    assert.ok(world.until(() => world.holders('run-1').length > 0));
    world.run(3);
    const before = [...world.workers.values()].reduce((n, x) => n + x.starts, 0);
    world.state.outage(15);
    // Longer than the leader lease: what follows rests on the tokens and on the bound of docs/safety.md.
    world.run(6);
    const afterLease = [...world.workers.values()].reduce((n, x) => n + x.starts, 0);
    world.run(8);
    const during = [...world.workers.values()].reduce((n, x) => n + x.starts, 0);
    assert.ok(during > afterLease && afterLease > before, `${before}, ${afterLease}, ${during} starts`);
    assert.ok(world.until(() => world.isDone('run-1'), 200));
    assertUnbroken(world);
  });

  it('a cancelled job is gone everywhere in time, even from machines of a leader that is cut off', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1', { kind: 'service', tasks: 3 }));
    assert.ok(world.until(() => world.holders('run-1').length > 0));
    world.run(3);
    const formerLeader = world.owner!;
    // Cut off from all but its agents: they go on sending it heartbeats. The cloud is down, so none can be released.
    world.cloud.down = true;
    world.state.refused.add(formerLeader);
    for (const node of world.nodes.keys()) if (node !== formerLeader) world.cut(formerLeader, node, 'drop');
    for (const machineId of world.workers.keys())
      for (const node of world.nodes.keys()) if (node !== formerLeader) world.cut(machineId, node, 'drop');
    const other = [...world.nodes.keys()].find((n) => n !== formerLeader)!;
    const response = world.insist({ op: 'cancel', id: 'run-1' as JobId }, other, 60);
    assert.deepEqual(response, { kind: 'ended', id: 'run-1', status: 'cancelled' });
    world.run(40);
    assert.deepEqual(world.holders('run-1'), []);
    assert.deepEqual(world.status('run-1', other), { kind: 'ended', id: 'run-1', status: 'cancelled' });
    assertUnbroken(world);
  });

  it('done and cancelled exclude each other, and are final', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1'));
    assert.ok(world.until(() => world.isDone('run-1')));
    assert.deepEqual(world.insist({ op: 'cancel', id: 'run-1' as JobId }), {
      kind: 'ended',
      id: 'run-1',
      status: 'done',
    });
    world.submit(job('run-2', { tasks: 4 }));
    assert.deepEqual(world.insist({ op: 'cancel', id: 'run-2' as JobId }), {
      kind: 'ended',
      id: 'run-2',
      status: 'cancelled',
    });
    world.run(60);
    assert.deepEqual(world.status('run-2', 'node-1'), { kind: 'ended', id: 'run-2', status: 'cancelled' });
  });

  it('tasks are placed only on types, zones and kinds of machine that their job allows', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1', { gpus: 1, machineTypes: ['gpu' as TypeName], spot: true }));
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
