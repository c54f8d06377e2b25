// Conclusions that a new leader may and may not draw (docs/safety.md, points 8 and 15) from delayed
// heartbeats, machines that cannot be probed and records that cannot be read. Guards against lost, duplicated
// or reverted tasks.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Heartbeat } from '../src/core/base/model.ts';
import type { JobId } from '../src/types/index.ts';
import type { Uint64 } from '../src/types/uint64.ts';
import { checkRules, cutLeader } from './support/checked-world.ts';
import { assertUnbroken, startCheckedLongJob } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

const captureHeartbeat = (world: SimulatedWorld, machine: string): Heartbeat =>
  structuredClone(world.workers.get(machine)!.nextHeartbeat());

describe('delayed heartbeats', () => {
  for (const isLost of [false, true])
    it(`a delayed heartbeat of a machine that ${isLost ? 'has died' : 'has lost its task'} does not release a task that runs on an unreconciled machine`, () => {
      const { world, leader } = startCheckedLongJob();
      const [first] = world.machinesRunning(id);
      const delayed = captureHeartbeat(world, first!);
      // Two more machines have capacity for the task once the jobs that fill them are cancelled.
      const fillers = ['run-2', 'run-3'] as JobId[];
      for (const filler of fillers) {
        assert.equal(world.submit(job(filler, { cpus: 7 }), leader)?.kind, 'accepted');
        assert.ok(world.until(() => world.machinesRunning(filler).length > 0));
      }
      world.cloud.down = true;
      for (const node of world.nodes.keys()) world.cut(first!, node, 'drop');
      for (const filler of fillers)
        assert.equal(world.requestUntilAnswered({ op: 'cancel', id: filler }, leader)?.kind, 'ended');
      assert.ok(world.until(() => world.machinesRunning(id).some((machineId) => machineId !== first), 30));
      const [second] = world.machinesRunning(id);
      world.run(2);
      if (isLost) world.workers.get(first!)!.terminate();
      else {
        for (const node of world.nodes.keys()) world.heal(first!, node);
        world.run(4);
      }
      // The machine that runs the task follows the cut-off leader; the other one cannot reach the next leader
      // at first.
      cutLeader(world, leader, [second!]);
      for (const node of world.nodes.keys()) world.cut(first!, node, 'drop');
      assert.ok(world.until(() => world.leader !== undefined && world.leader !== leader, 10));
      world.run(0.4);
      world.deliver(world.leader!, delayed);
      world.run(0.1);
      for (const node of world.nodes.keys()) world.heal(first!, node);
      world.run(13);
      assert.deepEqual(world.machinesRunning(id), [second]);
      assertUnbroken(world);
      // Once the task certainly no longer runs there, it is started again.
      world.cloud.down = false;
      assert.ok(world.until(() => world.machinesRunning(id).some((machineId) => machineId !== second), 60));
      assertUnbroken(world);
    });

  // The heartbeats are of an earlier term, agent epoch or attempt. They arrive before or after the next
  // leader has read the records, or after it has placed tasks.
  for (const delayMs of [5, 60, 120, 400, 2000, 9000])
    it(`delayed heartbeats that reach every controller ${delayMs} ms after an election cause no lost, duplicated or reverted tasks`, () => {
      const world = new SimulatedWorld();
      const checks = checkRules(world);
      world.keptHeartbeatDelayMs = delayMs;
      world.runS = 40;
      for (let i = 1; i <= 4; i++)
        assert.equal(world.submit(job(`run-${i}`, { tasks: 3 }))?.kind, 'accepted');
      assert.ok(world.until(() => world.machinesRunning('run-4').length > 0));
      let count = 0;
      world.shouldKeepHeartbeat = () => ++count % 5 === 0;
      for (let round = 0; round < 3; round++) {
        world.run(2);
        const [machineId] = [...world.workers.keys()];
        // The lease of the machine expires during the cut: it begins a new agent epoch and loses its tasks.
        for (const node of world.nodes.keys()) world.cut(machineId!, node, 'drop');
        world.run(11);
        for (const node of world.nodes.keys()) world.heal(machineId!, node);
        world.run(2);
        const leader = world.leader!;
        world.crash(leader);
        world.run(delayMs / 1000 + 6);
        world.start(leader);
      }
      world.shouldKeepHeartbeat = null;
      assert.ok(
        world.outdatedKeptHeartbeats > 10,
        `only ${world.outdatedKeptHeartbeats} delayed heartbeats were delivered`,
      );
      checks.rules.onFaultsEnded(world.now);
      for (let i = 1; i <= 4; i++) checks.pollStatus(`run-${i}` as JobId);
      assert.ok(
        world.until(() => checks.rules.unfinishedJobs().length === 0, 200),
        checks.rules.unfinishedJobs().join(),
      );
      checks.assertNoViolations();
    });
});

describe('repeated failover', () => {
  it('ten successive leaders that crash before reading any record do not keep renewing leases for tasks cancelled before their terms', () => {
    const { world, leader } = startCheckedLongJob();
    world.cloud.down = true;
    const [machine] = world.machinesRunning(id);
    world.unreachableMachines.add(machine!);
    assert.equal(world.requestUntilAnswered({ op: 'cancel', id }, leader, 5)?.kind, 'ended');
    const confirmedAt = world.now;
    world.state.refusedListPrefix = 'o/';
    world.unreachableMachines.delete(machine!);
    let leaders = 0;
    for (let lastLeader = leader; leaders < 10 && world.now < confirmedAt + 100_000; leaders++) {
      world.crash(lastLeader);
      world.run(0.3);
      world.start(lastLeader);
      assert.ok(world.until(() => world.leader !== undefined, 12));
      lastLeader = world.leader!;
      world.run(4);
      if (world.machinesRunning(id).length > 0)
        assert.ok(world.now - confirmedAt <= 40_000, `${world.now - confirmedAt} ms after the confirmation`);
    }
    assert.equal(leaders, 10);
    world.state.refusedListPrefix = null;
    assert.ok(world.until(() => world.status(id)?.kind === 'ended'));
    assertUnbroken(world);
  });

  it('ten leaders in two minutes, with an outage of the store in between, serve requests and complete all work exactly once', () => {
    const world = new SimulatedWorld();
    const checks = checkRules(world);
    world.runS = 20;
    for (let i = 1; i <= 12; i++) {
      world.after(i * 8000, () => {
        checks.requestUntilAnswered({ op: 'submit', spec: job(`run-${i}`, { tasks: 3 }) });
        checks.pollStatus(`run-${i}` as JobId);
      });
    }
    world.run(10);
    let terms = 0;
    let lastTerm: Uint64 = 0;
    for (let i = 0; i < 12; i++) {
      if (i === 4) world.state.outage(18);
      const leader = world.leader ?? [...world.nodes.keys()][0]!;
      world.crash(leader);
      world.run(0.4);
      world.start(leader);
      world.run(9.6);
      const term = world.state.entries.get('share/0')?.revision ?? 0;
      if (term > lastTerm) terms++;
      lastTerm = term;
    }
    assert.ok(terms >= 8, `only ${terms} terms`);
    checks.rules.onFaultsEnded(world.now);
    assert.ok(world.until(() => checks.rules.unfinishedJobs().length === 0, 120));
    checks.assertNoViolations();
  });
});

describe('machines and controllers out of reach', () => {
  for (const leaderCrashes of [false, true])
    it(`tasks of a machine that reaches no controller but can be probed start elsewhere once they have ended there${leaderCrashes ? ', also when the leader crashes' : ''}`, () => {
      const { world, checks, leader } = startCheckedLongJob({ tasks: 6 }, 3);
      const [muteMachine] = world.machinesRunning(id);
      const machine = world.workers.get(muteMachine!)!;
      const taskCount = machine.activeTasks().length;
      world.silencedMachines.add(muteMachine!);
      const { fencingToken: token } = machine;
      if (leaderCrashes) world.crash(leader);
      // The probe gives the machine the new token without renewing its lease; the machine counts as
      // reconciled.
      if (leaderCrashes) assert.ok(world.until(() => machine.fencingToken > token, 15));
      assert.ok(world.until(() => machine.activeTasks().length === 0, 15));
      assert.ok(machine.lostByLease === taskCount);
      const runningTasks = () =>
        [...world.workers.values()].flatMap((worker) =>
          worker.isTerminatedOrExpired ? [] : worker.activeTasks(),
        ).length;
      assert.ok(
        world.until(() => runningTasks() === 6, 75),
        `${runningTasks()} of 6 tasks run`,
      );
      assert.ok(!world.machinesRunning(id).includes(muteMachine!));
      checks.assertNoViolations();
    });

  it('tasks lost while all controllers are down for longer than a lease are detected as lost, and are completed', () => {
    const { world, checks } = startCheckedLongJob({ tasks: 4 });
    world.runSByJob.set(id, 10);
    checks.pollStatus(id);
    const machinesBefore = new Set(world.workers.keys());
    const nodes = [...world.nodes.keys()];
    for (const node of nodes) world.crash(node);
    world.run(16);
    assert.ok(
      [...world.workers.values()].every(
        (machine) => machine.lostByLease > 0 || machine.activeTasks().length === 0,
      ),
    );
    for (const node of nodes) world.start(node);
    checks.rules.onFaultsEnded(world.now);
    assert.ok(world.until(() => world.machinesRunning(id).length > 0, 25));
    // The tasks run on the machines that were there before, not on new ones.
    assert.ok(world.machinesRunning(id).every((machineId) => machinesBefore.has(machineId)));
    assert.ok(world.until(() => checks.rules.unfinishedJobs().length === 0, 60));
    checks.assertNoViolations();
  });

  it('tasks of a machine that receives no response from the next leader count as running until they have certainly ended', () => {
    const { world, checks, leader } = startCheckedLongJob({ tasks: 3 });
    for (const machineId of world.machinesRunning(id)) world.unreachableMachines.add(machineId);
    const machinesBefore = new Set(world.machinesRunning(id));
    world.crash(leader);
    assert.ok(world.until(() => world.leader !== undefined, 10));
    world.run(4);
    // The heartbeats arrive, so the leader knows which tasks run, but no response reaches the machines.
    assert.ok(world.machinesRunning(id).every((machineId) => machinesBefore.has(machineId)));
    world.run(20);
    world.unreachableMachines.clear();
    assert.ok(world.until(() => world.machinesRunning(id).length > 0, 60));
    checks.assertNoViolations();
  });
});
