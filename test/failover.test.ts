// What a new leader may conclude, and what it may not do yet (docs/safety.md, points 8 and 15): delayed heartbeats,
// machines that cannot be probed, records that cannot be read.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Heartbeat } from '../src/core/base/model.ts';
import type { JobId } from '../src/types/index.ts';
import { cutLeader, judge } from './support/checked-world.ts';
import { assertUnbroken, startCheckedLongJob } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

const captureHeartbeat = (world: SimulatedWorld, machine: string): Heartbeat =>
  structuredClone(world.workers.get(machine)!.report());

describe('delayed heartbeats', () => {
  for (const gone of [false, true])
    it(`a delayed heartbeat of a machine that ${gone ? 'is gone' : 'lost its task'} does not free a task that runs on an unreconciled machine`, () => {
      const { world, leader } = startCheckedLongJob();
      const [first] = world.holders(id);
      const delayed = captureHeartbeat(world, first!);
      // Two more machines have capacity for it, once what fills them is cancelled.
      const fillers = ['run-2', 'run-3'] as JobId[];
      for (const filler of fillers) {
        assert.equal(world.submit(job(filler, { cpus: 7 }), leader)?.kind, 'accepted');
        assert.ok(world.until(() => world.holders(filler).length > 0));
      }
      world.cloud.down = true;
      for (const node of world.nodes.keys()) world.cut(first!, node, 'drop');
      for (const filler of fillers)
        assert.equal(world.insist({ op: 'cancel', id: filler }, leader)?.kind, 'ended');
      assert.ok(world.until(() => world.holders(id).some((m) => m !== first), 30));
      const [second] = world.holders(id);
      world.run(2);
      if (gone) world.workers.get(first!)!.die();
      else {
        for (const node of world.nodes.keys()) world.heal(first!, node);
        world.run(4);
      }
      // The machine that runs it follows a leader that is cut off; the other cannot reach the next one at first.
      cutLeader(world, leader, [second!]);
      for (const node of world.nodes.keys()) world.cut(first!, node, 'drop');
      assert.ok(world.until(() => world.owner !== undefined && world.owner !== leader, 10));
      world.run(0.4);
      world.deliver(world.owner!, delayed);
      world.run(0.1);
      for (const node of world.nodes.keys()) world.heal(first!, node);
      world.run(13);
      assert.deepEqual(world.holders(id), [second]);
      assertUnbroken(world);
      // Once nothing of it can be left there, it is started again.
      world.cloud.down = false;
      assert.ok(world.until(() => world.holders(id).some((m) => m !== second), 60));
      assertUnbroken(world);
    });

  // Of an earlier term, agent epoch or attempt; before and after the next leader has read the records, and when it has acted.
  for (const ms of [5, 60, 120, 400, 2000, 9000])
    it(`delayed heartbeats that reach every controller ${ms} ms after an election lose, duplicate and revert nothing`, () => {
      const world = new SimulatedWorld();
      const checks = judge(world);
      world.keptMs = ms;
      world.runS = 40;
      for (let i = 1; i <= 4; i++)
        assert.equal(world.submit(job(`run-${i}`, { tasks: 3 }))?.kind, 'accepted');
      assert.ok(world.until(() => world.holders('run-4').length > 0));
      let count = 0;
      world.keepReport = () => ++count % 5 === 0;
      for (let k = 0; k < 3; k++) {
        world.run(2);
        const [machineId] = [...world.workers.keys()];
        // One machine loses its agent epoch, another what it runs.
        for (const node of world.nodes.keys()) world.cut(machineId!, node, 'drop');
        world.run(11);
        for (const node of world.nodes.keys()) world.heal(machineId!, node);
        world.run(2);
        const leader = world.owner!;
        world.crash(leader);
        world.run(ms / 1000 + 6);
        world.start(leader);
      }
      world.keepReport = null;
      assert.ok(world.keptDelivered > 10, `${world.keptDelivered}`);
      checks.rules.troublesOver(world.now);
      for (let i = 1; i <= 4; i++) checks.follow(`run-${i}` as JobId);
      assert.ok(
        world.until(() => checks.rules.unfinished().length === 0, 200),
        checks.rules.unfinished().join(),
      );
      checks.sound();
    });
});

describe('repeated failover', () => {
  it('ten leaders in a row that crash before they can read a record renew no lease for long for work cancelled before them', () => {
    const { world, leader } = startCheckedLongJob();
    world.cloud.down = true;
    const [machine] = world.holders(id);
    world.deaf.add(machine!);
    assert.equal(world.insist({ op: 'cancel', id }, leader, 5)?.kind, 'ended');
    const confirmedAt = world.now;
    world.state.unreadable = 'o/';
    world.deaf.delete(machine!);
    let leaders = 0;
    for (let last = leader; leaders < 10 && world.now < confirmedAt + 100_000; leaders++) {
      world.crash(last);
      world.run(0.3);
      world.start(last);
      assert.ok(world.until(() => world.owner !== undefined, 12));
      last = world.owner!;
      world.run(4);
      if (world.holders(id).length > 0)
        assert.ok(world.now - confirmedAt <= 40_000, `${world.now - confirmedAt} ms after the confirmation`);
    }
    assert.equal(leaders, 10);
    world.state.unreadable = null;
    assert.ok(world.until(() => world.status(id)?.kind === 'ended'));
    assertUnbroken(world);
  });

  it('ten leaders in two minutes, with an outage among them, serve requests and complete all work exactly once', () => {
    const world = new SimulatedWorld();
    const checks = judge(world);
    world.runS = 20;
    for (let i = 1; i <= 12; i++) {
      world.after(i * 8000, () => {
        checks.insist({ op: 'submit', spec: job(`run-${i}`, { tasks: 3 }) });
        checks.follow(`run-${i}` as JobId);
      });
    }
    world.run(10);
    let terms = 0;
    let last = 0;
    for (let i = 0; i < 12; i++) {
      if (i === 4) world.state.outage(18);
      const leader = world.owner ?? [...world.nodes.keys()][0]!;
      world.crash(leader);
      world.run(0.4);
      world.start(leader);
      world.run(9.6);
      const term = world.state.keys.get('share/0')?.revision ?? 0;
      if (term > last) terms++;
      last = term;
    }
    assert.ok(terms >= 8, `${terms} terms`);
    checks.rules.troublesOver(world.now);
    assert.ok(world.until(() => checks.rules.unfinished().length === 0, 120));
    checks.sound();
  });
});

describe('machines and controllers out of reach', () => {
  for (const change of [false, true])
    it(`work of machines that reach no controller but can be probed starts elsewhere once it is gone${change ? ', also when the leader crashes' : ''}`, () => {
      const { world, checks, leader } = startCheckedLongJob({ tasks: 6 }, 3);
      const [muteMachine] = world.holders(id);
      const machine = world.workers.get(muteMachine!)!;
      const had = machine.live().length;
      world.mute.add(muteMachine!);
      const { token } = machine;
      if (change) world.crash(leader);
      // Probed, it has seen the new token; that renews no lease, and it counts as reconciled.
      if (change) assert.ok(world.until(() => machine.token > token, 15));
      assert.ok(world.until(() => machine.live().length === 0, 15));
      assert.ok(machine.lostByLease === had);
      const atWork = () => [...world.workers.values()].flatMap((x) => (x.over ? [] : x.live())).length;
      assert.ok(
        world.until(() => atWork() === 6, 75),
        `${atWork()} of 6`,
      );
      assert.ok(!world.holders(id).includes(muteMachine!));
      checks.sound();
    });

  it('tasks lost while all controllers are down for longer than a lease are known to be lost, and are completed', () => {
    const { world, checks } = startCheckedLongJob({ tasks: 4 });
    world.runOf.set(id, 10);
    checks.follow(id);
    const before = new Set(world.workers.keys());
    const names = [...world.nodes.keys()];
    for (const node of names) world.crash(node);
    world.run(16);
    assert.ok([...world.workers.values()].every((m) => m.lostByLease > 0 || m.live().length === 0));
    for (const node of names) world.start(node);
    checks.rules.troublesOver(world.now);
    assert.ok(world.until(() => world.holders(id).length > 0, 25));
    // On the machines that were there, not on new ones.
    assert.ok(world.holders(id).every((m) => before.has(m)));
    assert.ok(world.until(() => checks.rules.unfinished().length === 0, 60));
    checks.sound();
  });

  it('tasks of a machine that receives nothing from the next leader count as running until their end is certain', () => {
    const { world, checks, leader } = startCheckedLongJob({ tasks: 3 });
    for (const machineId of world.holders(id)) world.deaf.add(machineId);
    const had = new Set(world.holders(id));
    world.crash(leader);
    assert.ok(world.until(() => world.owner !== undefined, 10));
    world.run(4);
    // Its heartbeats arrive: it is known what it runs, but no response reaches it.
    assert.ok(world.holders(id).every((m) => had.has(m)));
    world.run(20);
    world.deaf.clear();
    assert.ok(world.until(() => world.holders(id).length > 0, 60));
    checks.sound();
  });
});
