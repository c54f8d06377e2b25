// Two faults at once (docs/safety.md, point 15): the scenarios behind its table.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { UserResponse } from '../src/core/base/model.ts';
import type { JobId } from '../src/types/index.ts';
import { CANCEL_MS, cutLeader } from './support/checked-world.ts';
import { assertUnbroken, startLongArray } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

/** Runs the world until nothing of the job is on any machine. */
const untilGone = (world: SimulatedWorld): boolean =>
  world.until(
    () => [...world.workers.values()].every((m) => m.over || !m.live().some((t) => t.job === id)),
    90,
  );

/**
 * The cancellation is put on record, but the leader that wrote it gets no answer; then it is cut off from all but its
 * agents and users.
 */
function markUnanswered(world: SimulatedWorld, leader: string, ask: () => { answer: UserResponse | null }) {
  world.state.loseNextAnswer = true;
  const pending = ask();
  world.run(0.3);
  assert.equal((world.state.keys.get(`o/${id}`)!.value as { c?: number }).c, 1);
  // It renews its lease once more, later than the cancellation was written.
  world.run(0.7);
  cutLeader(world, leader);
  return pending;
}

describe('cancellations and results while the leader is cut off', () => {
  // The first combination of faults that users met.
  for (const refusedS of [4, 12])
    it(`a leader refused by the store for ${refusedS} s, then an outage: tasks that the next leader cancelled are gone in time`, () => {
      const { world, leader, others } = startLongArray();
      // Its machines stay with it, and none can be released.
      world.cloud.down = true;
      for (const machineId of world.workers.keys())
        for (const node of others) world.cut(machineId, node, 'drop');
      cutLeader(world, leader);
      let confirmedAt = Number.NaN;
      world.onTold = (response) => {
        if (response.kind === 'ended') confirmedAt = world.now;
      };
      assert.ok(world.until(() => world.owner !== undefined && world.owner !== leader, 20));
      world.run(refusedS - 4);
      assert.equal(world.insist({ op: 'cancel', id }, others[0]!, 10)?.kind, 'ended');
      // They still follow the refused one, and it renews their leases: without that the scenario proves nothing.
      const followers = [...world.workers.values()].filter((m) => m.node === leader && m.live().length > 0);
      assert.ok(followers.length > 0);
      world.state.outage(90);
      world.run(5);
      assert.ok(followers.every((m) => m.live().length > 0));
      untilGone(world);
      assert.ok(world.now - confirmedAt <= CANCEL_MS, `${world.now - confirmedAt} ms after the confirmation`);
      assertUnbroken(world);
    });

  it('a cancellation read from the record before the leader knows of it holds through its refusal and an outage', () => {
    const { world, leader, others } = startLongArray();
    world.cloud.down = true;
    for (const machineId of world.workers.keys())
      for (const node of others) world.cut(machineId, node, 'drop');
    markUnanswered(world, leader, () => world.ask(leader, { op: 'cancel', id }));
    const response = world.insist({ op: 'status', id }, others[0]!, 3);
    assert.deepEqual(response, { kind: 'ended', id, status: 'cancelled' });
    const confirmedAt = world.now;
    world.state.outage(90);
    untilGone(world);
    // It was stopped at the request: machines that reach the leader got the command, the others' leases have run out.
    assert.ok(world.now - confirmedAt < 2 * world.leaseMs, `${world.now - confirmedAt} ms`);
    assertUnbroken(world);
  });

  it('while a cancellation may be on record, the leader reports neither the job as running nor its dependents as waiting', () => {
    const { world, leader, others } = startLongArray();
    assert.equal(world.submit(job('run-2', { dependsOn: [id] }))?.kind, 'accepted');
    markUnanswered(world, leader, () => world.ask(leader, { op: 'cancel', id }));
    for (const jobId of [id, 'run-2' as JobId]) {
      assert.deepEqual(world.insist({ op: 'status', id: jobId }, others[0]!, 2), {
        kind: 'ended',
        id: jobId,
        status: 'cancelled',
      });
      // It still holds its lease: it is the one to answer.
      assert.equal(world.owner, leader);
      const pending = world.ask(leader, { op: 'status', id: jobId });
      const again = world.ask(leader, {
        op: 'submit',
        spec: job(jobId, jobId === id ? { tasks: 8 } : { dependsOn: [id] }),
      });
      world.run(0.1);
      for (const { answer } of [pending, again])
        assert.ok(answer === null || answer.kind === 'retry', JSON.stringify(answer));
    }
    world.state.refused.clear();
    for (const node of others) world.heal(node, leader);
    assert.deepEqual(world.status('run-2', leader), { kind: 'ended', id: 'run-2', status: 'cancelled' });
  });

  it('a job that is done on record is not reported as running by a leader whose write was never answered', () => {
    const world = new SimulatedWorld();
    world.runS = 4;
    world.submit(job(id));
    assert.ok(world.until(() => world.holders(id).length > 0));
    const leader = world.owner!;
    const [other] = [...world.nodes.keys()].filter((n) => n !== leader);
    world.state.loseNextAnswer = true;
    assert.ok(world.until(() => world.doneOnRecord(id)));
    cutLeader(world, leader);
    assert.deepEqual(world.insist({ op: 'status', id }, other!, 2), { kind: 'ended', id, status: 'done' });
    assert.equal(world.owner, leader);
    const pending = world.ask(leader, { op: 'status', id });
    world.run(2.2);
    assert.ok(pending.answer === null || pending.answer.kind === 'retry', JSON.stringify(pending.answer));
  });

  it('a leader that can read no record renews no lease for work that was cancelled under the leader before it', () => {
    const { world, leader, others } = startLongArray();
    world.cloud.down = true;
    const machine = world.holders(id)[0]!;
    // The machine does not receive the stop command, and its leader crashes.
    world.deaf.add(machine);
    assert.equal(world.insist({ op: 'cancel', id }, leader, 5)?.kind, 'ended');
    const confirmedAt = world.now;
    world.crash(leader);
    world.state.unreadable = 'o/';
    world.run(1);
    world.deaf.delete(machine);
    assert.ok(world.until(() => world.owner !== undefined, 10));
    world.run(1);
    world.state.outage(90);
    untilGone(world);
    assert.ok(world.now - confirmedAt <= CANCEL_MS, `${world.now - confirmedAt} ms`);
    assert.ok(others.length > 0);
    assertUnbroken(world);
  });

  it('a leader cut off from the store stops what its users ask to cancel, and confirms it only once it is on record', () => {
    const { world, leader } = startLongArray();
    world.cloud.down = true;
    cutLeader(world, leader);
    for (const machineId of world.workers.keys())
      for (const node of world.nodes.keys()) if (node !== leader) world.cut(machineId, node, 'drop');
    world.run(5);
    const pending = world.ask(leader, { op: 'cancel', id });
    world.run(12);
    assert.equal(pending.answer?.kind, 'retry');
    assert.deepEqual(world.holders(id), []);
    assertUnbroken(world);
  });
});

describe('a slow or silent store', () => {
  it('an election write that is never answered does not keep a controller from reading who the leader is', () => {
    const world = new SimulatedWorld();
    world.runS = 20;
    world.submit(job(id));
    world.run(3);
    const leader = world.owner;
    // No controller's election write is answered, and each is carried out when its lease is gone.
    world.crash(leader!);
    world.state.lateMs = () => 4000;
    world.run(12);
    assert.equal(world.owner, undefined);
    world.state.lateMs = null;
    assert.ok(world.until(() => world.owner !== undefined, 8));
    assert.ok(world.until(() => world.isDone(id, world.owner), 60));
    assertUnbroken(world);
  });

  it('a store that takes 1.4 s for every request leaves the leader in place, and users are served', () => {
    const world = new SimulatedWorld();
    world.submit(job(id));
    const leader = world.owner;
    world.stateSlowMs = 1400;
    let without = 0;
    for (let i = 0; i < 100; i++) {
      world.run(0.2);
      if (world.owner === undefined) without++;
    }
    assert.equal(without, 0);
    assert.equal(world.owner, leader);
    assert.equal(world.insist({ op: 'cancel', id }, leader, 5)?.kind, 'ended');
  });

  it('transactions that are never answered delay the others by about a second each, and a slow store is waited for', () => {
    const world = new SimulatedWorld();
    world.submit(job(id));
    let count = 0;
    world.state.lateMs = () => (++count % 2 === 0 ? 9000 : null);
    const from = world.now;
    for (let i = 2; i < 8; i++) assert.equal(world.submit(job(`run-${i}`), world.owner)?.kind, 'accepted');
    assert.ok(world.now - from < 12_000, `${world.now - from} ms`);
    world.state.lateMs = null;
    world.stateSlowMs = 1400;
    world.run(10);
    const before = world.state.served.filter(
      (op) => op.kind === 'compare-and-swap' && op.puts.length > 0,
    ).length;
    const pending = world.ask(world.owner!, { op: 'cancel', id });
    world.run(4);
    const sent =
      world.state.served.filter((op) => op.kind === 'compare-and-swap' && op.puts.length > 0).length - before;
    assert.equal(pending.answer?.kind, 'ended');
    assert.ok(sent < 8, `${sent} transactions`);
    assertUnbroken(world);
  });
});

describe('heartbeats and machines', () => {
  it('stop commands are repeated when the same heartbeat arrives by another way', () => {
    const { world, leader } = startLongArray();
    const machine = world.workers.get(world.holders(id)[0]!)!;
    const report = structuredClone(machine.report());
    const answers: string[][] = [];
    const send = () =>
      world.request(
        leader,
        (requestId) => ({ kind: 'heartbeat', requestId, heartbeat: structuredClone(report) }),
        (response: { kind: string; commands?: { op: string }[] }) =>
          answers.push((response.commands ?? []).map((c) => c.op)),
      );
    world.ask(leader, { op: 'cancel', id });
    world.run(0.05);
    send();
    send();
    assert.ok(answers[0]!.includes('stop'));
    assert.deepEqual(answers[1], answers[0]);
  });

  it('a late copy of a heartbeat does not redirect the agent from the response that is held for it', () => {
    const { world, leader } = startLongArray();
    // Nothing is on the machine that boots last: its response is held for work.
    world.submit(job('run-2', { tasks: 8 }), leader);
    assert.ok(world.until(() => world.holders('run-2').length > 0));
    world.insist({ op: 'cancel', id: 'run-2' as JobId }, leader);
    world.run(3);
    const idle = [...world.workers.values()].find((m) => m.live().length === 0 && m.tasks.size === 0)!;
    const [old, last] = [idle.report(), idle.report()].map((r) => structuredClone(r));
    const responses: string[] = [];
    const send = (name: string, report: typeof last) =>
      world.request(
        leader,
        (requestId) => ({ kind: 'heartbeat', requestId, heartbeat: report! }),
        (a: { kind: string }) => responses.push(`${name} ${a.kind}`),
      );
    send('last', last);
    send('copy', old);
    assert.deepEqual(responses, ['copy redirect']);
    world.run(1.5);
    assert.deepEqual(responses, ['copy redirect', 'last commands']);
  });

  it('a leader cut off from the store, with the cloud in reach, releases no machine that the next leader uses', () => {
    const { world, leader, others } = startLongArray({ tasks: 2 }, 30);
    // Idle as far as the leader knows when it is cut off: the next leader gives them work, and the cloud serves both.
    assert.equal(world.submit(job('run-2', { tasks: 12 }), leader)?.kind, 'accepted');
    assert.ok(world.until(() => world.holders('run-2').length >= 3));
    world.run(62);
    world.insist({ op: 'cancel', id: 'run-2' as JobId }, leader);
    world.run(2);
    cutLeader(world, leader);
    for (const machineId of world.workers.keys()) world.cut(machineId, leader, 'drop');
    assert.ok(world.until(() => world.owner !== undefined && world.owner !== leader, 10));
    assert.equal(world.submit(job('run-3', { tasks: 12 }), others[0]!)?.kind, 'accepted');
    world.run(18);
    assert.deepEqual(world.cloud.released, []);
    assert.equal(world.nodes.get(leader)!.ready, false);
    assert.equal(world.nodes.get(others[0]!)!.ready, true);
    assertUnbroken(world);
  });

  it('machines are used again as they come back after an outage in which all leases ran out, and none is released', () => {
    const world = new SimulatedWorld();
    world.runS = 500;
    world.submit(job(id, { tasks: 12, checkpointIntervalS: 5 }));
    assert.ok(world.until(() => world.holders(id).length >= 3));
    world.run(3);
    const before = new Set(world.workers.keys());
    // One dies meanwhile: it alone is released.
    const dead = [...before][0]!;
    world.state.outage(60);
    world.run(40);
    world.workers.get(dead)!.die();
    world.run(19);
    assert.deepEqual(world.holders(id), []);
    const rented = world.cloud.made;
    world.run(6);
    assert.equal(world.holders(id).length, before.size - 1);
    assert.equal(world.cloud.made, rented);
    assert.deepEqual(world.cloud.released, []);
    world.run(30);
    assert.deepEqual(world.cloud.released, [dead]);
    assert.ok(world.holders(id).length >= before.size);
    assertUnbroken(world);
  });
});
