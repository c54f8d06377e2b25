// Scenarios of two concurrent faults, as listed in the table of docs/safety.md, point 15.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { UserResponse } from '../src/core/base/model.ts';
import type { JobId } from '../src/types/index.ts';
import { CANCEL_MS, cutLeader } from './support/checked-world.ts';
import { assertUnbroken, startLongArray } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

/** Runs the world until no machine runs a task of the job, for 90 s at most. */
const runUntilStopped = (world: SimulatedWorld): boolean =>
  world.until(
    () =>
      [...world.workers.values()].every(
        (machine) => machine.isTerminatedOrExpired || !machine.activeTasks().some((task) => task.job === id),
      ),
    90,
  );

/**
 * Requests a cancellation that the leader records without receiving the store's answer, and then cuts the
 * leader off from all but its agents and users.
 */
function cancelUnanswered(
  world: SimulatedWorld,
  leader: string,
  requestCancellation: () => { answer: UserResponse | null },
) {
  world.state.loseNextAnswer = true;
  const pending = requestCancellation();
  world.run(0.3);
  assert.equal((world.state.entries.get(`o/${id}`)!.value as { c?: number }).c, 1);
  // The leader renews its lease once more after the cancellation was written.
  world.run(0.7);
  cutLeader(world, leader);
  return pending;
}

describe('cancellations and results while the leader is cut off', () => {
  // Users have encountered this combination of faults.
  for (const refusedS of [4, 12])
    it(`tasks cancelled by the next leader end in time: the store refuses the leader for ${refusedS} s, then has an outage`, () => {
      const { world, leader, others } = startLongArray();
      // Machines reach no controller but the leader, and none can be released.
      world.cloud.down = true;
      for (const machineId of world.workers.keys())
        for (const node of others) world.cut(machineId, node, 'drop');
      cutLeader(world, leader);
      let confirmedAt = Number.NaN;
      world.onUserResponse = (response) => {
        if (response.kind === 'ended') confirmedAt = world.now;
      };
      assert.ok(world.until(() => world.leader !== undefined && world.leader !== leader, 20));
      world.run(refusedS - 4);
      assert.equal(world.requestUntilAnswered({ op: 'cancel', id }, others[0]!, 10)?.kind, 'ended');
      // Precondition: the refused leader still receives heartbeats of machines that run tasks, and renews
      // their leases.
      const followers = [...world.workers.values()].filter(
        (m) => m.node === leader && m.activeTasks().length > 0,
      );
      assert.ok(followers.length > 0);
      world.state.outage(90);
      world.run(5);
      assert.ok(followers.every((m) => m.activeTasks().length > 0));
      runUntilStopped(world);
      assert.ok(world.now - confirmedAt <= CANCEL_MS, `${world.now - confirmedAt} ms after the confirmation`);
      assertUnbroken(world);
    });

  it('a cancellation confirmed from its record, unknown to the leader that wrote it, holds through a cut-off and an outage', () => {
    const { world, leader, others } = startLongArray();
    world.cloud.down = true;
    for (const machineId of world.workers.keys())
      for (const node of others) world.cut(machineId, node, 'drop');
    cancelUnanswered(world, leader, () => world.sendRequest(leader, { op: 'cancel', id }));
    const response = world.requestUntilAnswered({ op: 'status', id }, others[0]!, 3);
    assert.deepEqual(response, { kind: 'ended', id, status: 'cancelled' });
    const confirmedAt = world.now;
    world.state.outage(90);
    runUntilStopped(world);
    // Tasks were stopped at the request: by stop commands on machines in reach of the leader, on the others
    // as their leases expired.
    assert.ok(world.now - confirmedAt < 2 * world.leaseMs, `${world.now - confirmedAt} ms`);
    assertUnbroken(world);
  });

  it('while a cancellation may be recorded, the leader reports neither the job as running nor its dependents as waiting', () => {
    const { world, leader, others } = startLongArray();
    assert.equal(world.submit(job('run-2', { dependsOn: [id] }))?.kind, 'accepted');
    cancelUnanswered(world, leader, () => world.sendRequest(leader, { op: 'cancel', id }));
    for (const jobId of [id, 'run-2' as JobId]) {
      assert.deepEqual(world.requestUntilAnswered({ op: 'status', id: jobId }, others[0]!, 2), {
        kind: 'ended',
        id: jobId,
        status: 'cancelled',
      });
      // The leader still holds its lease, so no other controller has taken over.
      assert.equal(world.leader, leader);
      const pending = world.sendRequest(leader, { op: 'status', id: jobId });
      const resubmission = world.sendRequest(leader, {
        op: 'submit',
        spec: job(jobId, jobId === id ? { tasks: 8 } : { dependsOn: [id] }),
      });
      world.run(0.1);
      for (const { answer } of [pending, resubmission])
        assert.ok(answer === null || answer.kind === 'retry', JSON.stringify(answer));
    }
    world.state.refusedNodes.clear();
    for (const node of others) world.heal(node, leader);
    assert.deepEqual(world.status('run-2', leader), { kind: 'ended', id: 'run-2', status: 'cancelled' });
  });

  it('a job that is recorded as done is not reported as running by a leader whose write was never answered', () => {
    const world = new SimulatedWorld();
    world.runS = 4;
    world.submit(job(id));
    assert.ok(world.until(() => world.machinesRunning(id).length > 0));
    const leader = world.leader!;
    const [other] = [...world.nodes.keys()].filter((n) => n !== leader);
    world.state.loseNextAnswer = true;
    assert.ok(world.until(() => world.isDoneInStore(id)));
    cutLeader(world, leader);
    assert.deepEqual(world.requestUntilAnswered({ op: 'status', id }, other!, 2), {
      kind: 'ended',
      id,
      status: 'done',
    });
    assert.equal(world.leader, leader);
    const pending = world.sendRequest(leader, { op: 'status', id });
    world.run(2.2);
    assert.ok(pending.answer === null || pending.answer.kind === 'retry', JSON.stringify(pending.answer));
  });

  it('a leader that cannot read job records renews no worker lease for tasks cancelled under its predecessor', () => {
    const { world, leader, others } = startLongArray();
    world.cloud.down = true;
    const machine = world.machinesRunning(id)[0]!;
    // The machine does not receive the stop command, and its leader crashes.
    world.unreachableMachines.add(machine);
    assert.equal(world.requestUntilAnswered({ op: 'cancel', id }, leader, 5)?.kind, 'ended');
    const confirmedAt = world.now;
    world.crash(leader);
    world.state.refusedListPrefix = 'o/';
    world.run(1);
    world.unreachableMachines.delete(machine);
    assert.ok(world.until(() => world.leader !== undefined, 10));
    world.run(1);
    world.state.outage(90);
    runUntilStopped(world);
    assert.ok(world.now - confirmedAt <= CANCEL_MS, `${world.now - confirmedAt} ms`);
    assert.ok(others.length > 0);
    assertUnbroken(world);
  });

  it('a leader cut off from the store stops a job at a cancellation request, and does not confirm it while unrecorded', () => {
    const { world, leader } = startLongArray();
    world.cloud.down = true;
    cutLeader(world, leader);
    for (const machineId of world.workers.keys())
      for (const node of world.nodes.keys()) if (node !== leader) world.cut(machineId, node, 'drop');
    world.run(5);
    const pending = world.sendRequest(leader, { op: 'cancel', id });
    world.run(12);
    assert.equal(pending.answer?.kind, 'retry');
    assert.deepEqual(world.machinesRunning(id), []);
    assertUnbroken(world);
  });
});

describe('a slow or unresponsive store', () => {
  it('an election write that is never answered does not keep a controller from reading who the leader is', () => {
    const world = new SimulatedWorld();
    world.runS = 20;
    world.submit(job(id));
    world.run(3);
    const leader = world.leader;
    // No election write is answered, and each is executed only after the lease of its writer has expired.
    world.crash(leader!);
    world.state.executionDelayMs = () => 4000;
    world.run(12);
    assert.equal(world.leader, undefined);
    world.state.executionDelayMs = null;
    assert.ok(world.until(() => world.leader !== undefined, 8));
    assert.ok(world.until(() => world.isDone(id, world.leader), 60));
    assertUnbroken(world);
  });

  it('a store that takes 1.4 s for every request leaves the leader in place, and users are served', () => {
    const world = new SimulatedWorld();
    world.submit(job(id));
    const leader = world.leader;
    world.storeDelayMs = 1400;
    let checksWithoutLeader = 0;
    for (let i = 0; i < 100; i++) {
      world.run(0.2);
      if (world.leader === undefined) checksWithoutLeader++;
    }
    assert.equal(checksWithoutLeader, 0);
    assert.equal(world.leader, leader);
    assert.equal(world.requestUntilAnswered({ op: 'cancel', id }, leader, 5)?.kind, 'ended');
  });

  it('transactions that are never answered delay others by about a second each, and a slow store gets few retries', () => {
    const world = new SimulatedWorld();
    world.submit(job(id));
    let transactions = 0;
    world.state.executionDelayMs = () => (++transactions % 2 === 0 ? 9000 : null);
    const startedAt = world.now;
    for (let i = 2; i < 8; i++) assert.equal(world.submit(job(`run-${i}`), world.leader)?.kind, 'accepted');
    assert.ok(world.now - startedAt < 12_000, `${world.now - startedAt} ms`);
    world.state.executionDelayMs = null;
    world.storeDelayMs = 1400;
    world.run(10);
    const sentBefore = world.state.executedRequests.filter(
      (op) => op.kind === 'compare-and-swap' && op.puts.length > 0,
    ).length;
    const pending = world.sendRequest(world.leader!, { op: 'cancel', id });
    world.run(4);
    const sent =
      world.state.executedRequests.filter((op) => op.kind === 'compare-and-swap' && op.puts.length > 0)
        .length - sentBefore;
    assert.equal(pending.answer?.kind, 'ended');
    assert.ok(sent < 8, `${sent} transactions`);
    assertUnbroken(world);
  });
});

describe('heartbeats and machines', () => {
  it('stop commands are repeated in the response to a copy of the same heartbeat', () => {
    const { world, leader } = startLongArray();
    const machine = world.workers.get(world.machinesRunning(id)[0]!)!;
    const report = structuredClone(machine.nextHeartbeat());
    const commandsByResponse: string[][] = [];
    const send = () =>
      world.request(
        leader,
        (requestId) => ({ kind: 'heartbeat', requestId, heartbeat: structuredClone(report) }),
        (response: { kind: string; commands?: { op: string }[] }) =>
          commandsByResponse.push((response.commands ?? []).map((command) => command.op)),
      );
    world.sendRequest(leader, { op: 'cancel', id });
    world.run(0.05);
    send();
    send();
    assert.ok(commandsByResponse[0]!.includes('stop'));
    assert.deepEqual(commandsByResponse[1], commandsByResponse[0]);
  });

  it('a late copy of an older heartbeat is redirected, and does not end the response held for the newest heartbeat', () => {
    const { world, leader } = startLongArray();
    // No task is on the machine that boots last, so the leader holds the response to its heartbeat until
    // there is one.
    world.submit(job('run-2', { tasks: 8 }), leader);
    assert.ok(world.until(() => world.machinesRunning('run-2').length > 0));
    world.requestUntilAnswered({ op: 'cancel', id: 'run-2' as JobId }, leader);
    world.run(3);
    const idle = [...world.workers.values()].find((m) => m.activeTasks().length === 0 && m.tasks.size === 0)!;
    const [older, last] = [idle.nextHeartbeat(), idle.nextHeartbeat()].map((report) =>
      structuredClone(report),
    );
    const responses: string[] = [];
    const send = (name: string, report: typeof last) =>
      world.request(
        leader,
        (requestId) => ({ kind: 'heartbeat', requestId, heartbeat: report! }),
        (response: { kind: string }) => responses.push(`${name} ${response.kind}`),
      );
    send('last', last);
    send('copy', older);
    assert.deepEqual(responses, ['copy redirect']);
    world.run(1.5);
    assert.deepEqual(responses, ['copy redirect', 'last commands']);
  });

  it('a leader cut off from the store but not from the cloud releases no machine that the next leader uses', () => {
    const { world, leader, others } = startLongArray({ tasks: 2 }, 30);
    // The cut-off leader still regards these machines as idle, while the next leader starts tasks on them.
    // The cloud serves both.
    assert.equal(world.submit(job('run-2', { tasks: 12 }), leader)?.kind, 'accepted');
    assert.ok(world.until(() => world.machinesRunning('run-2').length >= 3));
    world.run(62);
    world.requestUntilAnswered({ op: 'cancel', id: 'run-2' as JobId }, leader);
    world.run(2);
    cutLeader(world, leader);
    for (const machineId of world.workers.keys()) world.cut(machineId, leader, 'drop');
    assert.ok(world.until(() => world.leader !== undefined && world.leader !== leader, 10));
    assert.equal(world.submit(job('run-3', { tasks: 12 }), others[0]!)?.kind, 'accepted');
    world.run(18);
    assert.deepEqual(world.cloud.released, []);
    assert.equal(world.nodes.get(leader)!.ready, false);
    assert.equal(world.nodes.get(others[0]!)!.ready, true);
    assertUnbroken(world);
  });

  it('machines whose leases expired in an outage are used again as they reconnect, and none of these is released', () => {
    const world = new SimulatedWorld();
    world.runS = 500;
    world.submit(job(id, { tasks: 12, checkpointIntervalS: 5 }));
    assert.ok(world.until(() => world.machinesRunning(id).length >= 3));
    world.run(3);
    const machinesBefore = new Set(world.workers.keys());
    // One machine fails during the outage; only this one is released.
    const failed = [...machinesBefore][0]!;
    world.state.outage(60);
    world.run(40);
    world.workers.get(failed)!.terminate();
    world.run(19);
    assert.deepEqual(world.machinesRunning(id), []);
    const rentedBefore = world.cloud.machinesCreated;
    world.run(6);
    assert.equal(world.machinesRunning(id).length, machinesBefore.size - 1);
    assert.equal(world.cloud.machinesCreated, rentedBefore);
    assert.deepEqual(world.cloud.released, []);
    world.run(30);
    assert.deepEqual(world.cloud.released, [failed]);
    assert.ok(world.machinesRunning(id).length >= machinesBefore.size);
    assertUnbroken(world);
  });
});
