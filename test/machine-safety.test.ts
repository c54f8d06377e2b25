// Tests that the leader draws only safe conclusions about machines from leases, heartbeats and quotas, and
// rents and releases machines safely (docs/safety.md).
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Job, type TaskAssignment } from '../src/core/jobs/job.ts';
import { OPEN_JOB_PREFIX } from '../src/core/storage/keys.ts';
import type { Attempt, Instant, MachineId, Revision, TeamName, WallTime } from '../src/types/index.ts';
import { assertUnbroken } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

/**
 * Submits the job `run-1` with `submitNext` once two machines are up; returns the machine that runs it and
 * the idle one.
 */
function startOnOneOfTwoMachines(
  world: SimulatedWorld,
  submitNext: () => void,
): { busy: string; idle: string } {
  world.runS = 3;
  world.submit(job('run-0', { tasks: 2, cpus: 8 }));
  assert.ok(world.until(() => world.isDone('run-0')));
  world.runS = 300;
  submitNext();
  assert.ok(world.until(() => world.machinesRunning('run-1').length === 1));
  world.run(2);
  const [busy] = world.machinesRunning('run-1');
  const idle = [...world.workers.keys()].find((m) => m !== busy);
  assert.ok(busy !== undefined && idle !== undefined);
  return { busy, idle };
}

describe('silent and unreconciled machines', () => {
  it('a task on a silent machine starts elsewhere only after the lease of the machine has expired', () => {
    const world = new SimulatedWorld();
    const { busy, idle } = startOnOneOfTwoMachines(world, () => world.submit(job('run-1')));
    world.cloud.down = true;
    for (const node of world.nodes.keys()) world.cut(busy, node, 'drop');
    world.run(8);
    assert.deepEqual(world.machinesRunning('run-1'), [busy]);
    assert.ok(world.until(() => world.machinesRunning('run-1').includes(idle), 10));
    assertUnbroken(world);
  });

  it('a new leader starts no task that may be on an unreconciled machine, and counts that machine in quotas', () => {
    const world = new SimulatedWorld();
    const team = 'small' as TeamName;
    const { busy, idle } = startOnOneOfTwoMachines(world, () =>
      world.submit(job('run-1', { team, cpus: 6 })),
    );
    world.cloud.down = true;
    for (const node of world.nodes.keys()) world.cut(busy, node, 'hold');
    const formerLeader = world.leader!;
    world.crash(formerLeader);
    const controller = [...world.nodes.keys()].find((n) => n !== formerLeader)!;
    assert.equal(world.submit(job('run-2', { team, cpus: 6 }), controller)?.kind, 'accepted');
    world.run(6);
    assert.deepEqual(world.machinesRunning('run-2'), []);
    world.start(formerLeader);
    // Tasks start on the remaining machine once any lease that the former leader may have renewed has expired.
    assert.ok(
      world.until(
        () => [...world.machinesRunning('run-1'), ...world.machinesRunning('run-2')].includes(idle),
        60,
      ),
    );
    assertUnbroken(world);
  });

  it('a task that may be on an unreconciled machine is not started on an idle one, whatever its team', () => {
    const world = new SimulatedWorld();
    const { busy } = startOnOneOfTwoMachines(world, () => world.submit(job('run-1')));
    world.cloud.down = true;
    for (const node of world.nodes.keys()) world.cut(busy, node, 'hold');
    world.crash(world.leader!);
    world.run(14);
    assert.deepEqual(
      world.machinesRunning('run-1').filter((m) => m !== busy),
      [],
    );
    assertUnbroken(world);
  });

  it("a team's quota holds, also while a new leader has not reconciled all machines", () => {
    const world = new SimulatedWorld();
    world.runS = 20;
    world.submit(job('run-1', { team: 'small' as TeamName, tasks: 9 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(2);
    world.crash(world.leader!);
    const controller = [...world.nodes.keys()][0]!;
    world.submit(job('run-2', { team: 'small' as TeamName, tasks: 3 }), controller);
    assert.ok(world.until(() => world.isDone('run-1', controller) && world.isDone('run-2', controller), 300));
    assertUnbroken(world);
  });

  // Guards against a failure seen after a partition of 40 s that delayed messages: heartbeats that arrived
  // after their lease had expired listed tasks that had been started elsewhere since
  // (docs/incidents/late-report.md).
  it('a heartbeat delayed by a partition does not replace the new attempt of a task that has been reassigned', () => {
    const world = new SimulatedWorld();
    world.runS = 60;
    world.cloud.capacity = 2;
    world.submit(job('run-1', { cpus: 8, tasks: 2 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length === 2));
    world.run(2);
    const [partitioned] = world.machinesRunning('run-1');
    // The cloud is down too, so that the silent machine cannot be released.
    world.cloud.down = true;
    for (const node of ['node-0', 'node-1', 'node-2']) world.cut(partitioned!, node, 'hold');
    world.run(25);
    world.cloud.down = false;
    world.cloud.capacity = 5;
    world.cloud.serve = (
      (serve) => (op) =>
        op.kind === 'release' ? { kind: 'refused', busy: false } : serve.call(world.cloud, op)
    )(world.cloud.serve);
    assert.ok(
      world.until(() => world.machinesRunning('run-1').filter((m) => m !== partitioned).length === 2, 60),
    );
    for (const node of ['node-0', 'node-1', 'node-2']) world.heal(partitioned!, node);
    assert.ok(world.until(() => world.isDone('run-1'), 200));
    assert.equal(world.logs.filter((l) => l.includes('listed by a second machine')).length, 0);
    assertUnbroken(world);
  });

  it('a second assignment of a task neither replaces the first nor frees the task when it is removed', () => {
    const assignedJob = new Job({
      spec: job('run-1'),
      revision: 1 as Revision,
      acceptedAt: 0 as WallTime,
      seenAt: 0 as Instant,
      mayHaveUnlocatedTasks: false,
    });
    const makeAssignment = (machine: string): TaskAssignment => ({
      job: assignedJob,
      index: 0,
      attempt: 1 as Attempt,
      machine: machine as MachineId,
      state: 'running',
      sentSeq: -1,
      sentAt: 0 as Instant,
      runningAt: null,
      stopping: null,
    });
    const [first, second] = [makeAssignment('i-1'), makeAssignment('i-2')];
    assignedJob.addAssignment(first);
    assignedJob.addAssignment(second);
    assignedJob.removeAssignment(second, true);
    assert.equal(assignedJob.assignments.get(0), first);
    assignedJob.addAssignment(second);
    assignedJob.removeAssignment(first, true);
    assert.equal(assignedJob.waitingTasks, 0);
    assignedJob.removeAssignment(second, true);
    assert.equal(assignedJob.waitingTasks, 1);
  });
});

describe('machines while the leader is cut off', () => {
  it('a leader cut off from the store steps down, and its machines accept the new leader', () => {
    const world = new SimulatedWorld();
    world.runS = 30;
    world.submit(job('run-1', { tasks: 6 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    const formerLeader = world.leader!;
    world.state.refusedNodes.add(formerLeader);
    assert.ok(world.until(() => world.leader !== undefined && world.leader !== formerLeader, 20));
    const controller = [...world.nodes.keys()].find((n) => n !== formerLeader)!;
    assert.ok(world.until(() => world.isDone('run-1', controller), 200));
    assertUnbroken(world);
  });

  // Guards against the loss of all machines at once when no agent can reach the leader
  // (docs/incidents/owner-out-of-reach.md).
  it('heartbeats of agents that cannot reach the leader are forwarded by another controller, and tasks continue', () => {
    const world = new SimulatedWorld();
    world.runS = 40;
    world.submit(job('run-1', { tasks: 8 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(3);
    const leader = world.leader!;
    for (const machineId of world.workers.keys()) world.cut(machineId, leader, 'drop');
    world.run(30);
    assert.equal(world.leader, leader);
    assert.ok(world.until(() => world.isDone('run-1', leader), 60));
    assert.equal(
      [...world.workers.values()].reduce((n, x) => n + x.starts, 0),
      8,
    );
    assert.deepEqual(world.cloud.released, []);
    assertUnbroken(world);
  });

  it('a new leader that cannot read the records at first releases no machine before it could send a heartbeat', () => {
    const world = new SimulatedWorld();
    world.runS = 90;
    world.submit(job('run-1', { tasks: 8 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(3);
    world.state.refusedListPrefix = OPEN_JOB_PREFIX;
    for (const node of [...world.nodes.keys()]) world.crash(node);
    world.run(5);
    for (const node of ['node-0', 'node-1', 'node-2']) world.start(node);
    world.run(30);
    world.state.refusedListPrefix = null;
    world.run(10);
    assert.deepEqual(world.cloud.released, []);
    assert.ok(world.machinesRunning('run-1').length > 0);
    assertUnbroken(world);
  });

  it('a leader cut off from the store does not treat leases as expired that a later leader renews', () => {
    const world = new SimulatedWorld();
    world.runS = 60;
    world.submit(job('run-1', { tasks: 12 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length >= 3));
    world.run(3);
    const formerLeader = world.leader!;
    const [leaderMachine, ...otherMachines] = world.machinesRunning('run-1');
    // One machine is on the leader's side of the partition; its tasks have exited.
    for (const task of world.workers.get(leaderMachine!)!.tasks.values()) {
      task.state = 'exited';
      task.exitReason = 'done';
    }
    for (const other of ['state', 'cloud', 'user', ...otherMachines, ...world.nodes.keys()])
      if (other !== formerLeader) world.cut(formerLeader, other, 'drop');
    for (const other of world.nodes.keys())
      if (other !== formerLeader) world.cut(leaderMachine!, other, 'drop');
    world.run(25);
    assert.notEqual(world.leader, undefined);
    assert.notEqual(world.leader, formerLeader);
    assertUnbroken(world);
  });
});

describe('rental and release of machines', () => {
  it('a cloud outage does not delay a new leader, and no machine is released before it could send a heartbeat', () => {
    const world = new SimulatedWorld();
    world.runS = 60;
    world.submit(job('run-1', { tasks: 8 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
    world.run(3);
    world.cloud.down = true;
    const formerLeader = world.leader!;
    for (const node of ['node-0', 'node-1', 'node-2']) world.crash(node);
    world.run(5);
    for (const node of ['node-0', 'node-1', 'node-2']) world.start(node);
    assert.equal(world.submit(job('run-2'), formerLeader)?.kind, 'accepted');
    world.run(30);
    world.cloud.down = false;
    world.run(10);
    assert.deepEqual(world.cloud.released, []);
    assertUnbroken(world);
  });

  it('an unanswered rental request is repeated with the same id, so that no machine is rented twice', () => {
    const world = new SimulatedWorld();
    world.run(2);
    world.cloud.loseNextAnswer = true;
    world.submit(job('run-1'));
    assert.ok(world.until(() => world.isDone('run-1')));
    assert.equal(world.cloud.rentalsByRequest.size, 1);
  });

  it('machines that never boot are released', () => {
    const world = new SimulatedWorld();
    world.cloud.bootS = -1;
    world.submit(job('run-1'));
    world.run(40);
    assert.ok(world.cloud.released.length > 0);
  });

  it('a machine on which every task fails is released, and the jobs run elsewhere', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-0', { tasks: 4, cpus: 8 }));
    assert.ok(world.until(() => world.machinesRunning('run-0').length === 4));
    const faultyMachine = [...world.workers.values()][0]!;
    faultyMachine.faulty = true;
    for (const id of ['run-1', 'run-2', 'run-3', 'run-4']) world.submit(job(id, { tasks: 4, cpus: 8 }));
    for (const id of ['run-1', 'run-2', 'run-3', 'run-4'])
      assert.ok(
        world.until(() => world.isDone(id), 300),
        id,
      );
    assert.ok(world.cloud.released.includes(faultyMachine.id));
    assertUnbroken(world);
  });
});
