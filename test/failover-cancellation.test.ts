// Cancellations around a change of the leader (docs/safety.md, point 15): what was confirmed holds, everywhere and in time.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobId, TeamName } from '../src/types/index.ts';
import { cutLeader, judge } from './support/checked-world.ts';
import { startCheckedLongJob } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

describe('cancellation and change of the leader', () => {
  it('a leader out of reach of its peers starts nothing of a job that the next leader has confirmed as cancelled', () => {
    const world = new SimulatedWorld();
    world.spread = false;
    const checks = judge(world);
    // More of it waits than there is capacity for, and capacity comes free at the cut-off leader's machines all the time.
    world.cloud.capacity = 3;
    world.runS = 3;
    world.runOf.set('run-2' as JobId, 500);
    assert.equal(world.submit(job('run-2', { tasks: 3, cpus: 5 }))?.kind, 'accepted');
    assert.ok(
      world.until(() => world.holders('run-2').length > 0),
      'what keeps machines with it runs',
    );
    assert.equal(world.submit(job(id, { tasks: 80 }))?.kind, 'accepted');
    assert.ok(
      world.until(() => world.holders(id).length > 0),
      'both run',
    );
    const leader = world.owner!;
    cutLeader(world, leader, [...world.workers.keys()]);
    assert.ok(world.until(() => world.owner !== undefined && world.owner !== leader, 12));
    assert.equal(world.insist({ op: 'cancel', id }, world.owner!, 10)?.kind, 'ended');
    const term = world.state.keys.get('share/0')!.revision;
    const followers = [...world.workers.values()].filter((m) => m.token < term && m.live().length > 0);
    assert.ok(followers.length > 0, 'machines follow the leader that is cut off');
    world.run(30);
    checks.sound();
  });

  // The team is at its quota, and what is cancelled is on machines that receive no commands.
  for (const away of ['cut off', 'hanging', 'deaf'] as const)
    for (const when of ['no change of leader', 'cancelled before a change', 'cancelled in a change'] as const)
      it(`work of a team at its quota, cancelled on machines that are ${away} (${when}), counts until it is gone; then the next job starts`, () => {
        const world = new SimulatedWorld();
        const checks = judge(world);
        world.runS = 300;
        const small = { team: 'small' as TeamName, tasks: 3 };
        assert.equal(world.submit(job(id, small))?.kind, 'accepted');
        assert.ok(world.until(() => [...world.workers.values()].flatMap((m) => m.live()).length === 3));
        world.run(3);
        assert.equal(world.submit(job('run-2', small))?.kind, 'accepted');
        const nodes = [...world.nodes.keys()];
        const gone = (): boolean => world.holders(id).length === 0;
        const at = world.now;
        for (const machineId of world.holders(id)) {
          if (away === 'cut off') for (const node of nodes) world.cut(machineId, node, 'hold');
          else if (away === 'deaf') world.deaf.add(machineId);
          else world.workers.get(machineId)!.hang(8000);
        }
        const leader = world.owner!;
        if (when === 'cancelled in a change') world.crash(leader);
        const confirmation = checks.insist({ op: 'cancel', id });
        world.run(when === 'cancelled in a change' ? 0.2 : 1);
        if (when === 'cancelled before a change') world.crash(leader);
        let early = 0;
        for (let i = 0; i < 200 && !(gone() && world.holders('run-2').length > 0); i++) {
          world.run(0.2);
          if (!gone() && world.holders('run-2').length > 0) early++;
          if (world.now - at > 14_000 && away !== 'hanging') {
            for (const machineId of world.workers.keys())
              for (const node of nodes) if (world.isCut(machineId, node)) world.heal(machineId, node);
            world.deaf.clear();
          }
        }
        assert.equal(early, 0);
        assert.ok(confirmation.over && gone());
        assert.ok(world.holders('run-2').length > 0, 'the next job of the team has started');
        world.run(5);
        assert.equal(
          [...world.workers.values()].flatMap((m) => m.live()).filter((t) => t.job === 'run-2').length,
          3,
        );
        checks.sound();
      });

  // Cancelled in the seconds of a failover; the next leader is elected after some 3.2 s.
  for (const atS of [-0.05, -0.004, 0.002, 0.5, 2.9, 3.2, 3.4, 4, 6])
    it(`a cancellation ${atS} s from a crash of the leader, direct or by a dependency, is reported alike by all controllers and stops all tasks`, () => {
      const { world, checks, leader } = startCheckedLongJob({ tasks: 3 });
      assert.equal(world.submit(job('run-2', { dependsOn: [id] }), leader)?.kind, 'accepted');
      assert.equal(world.submit(job('run-3', { tasks: 2 }), leader)?.kind, 'accepted');
      assert.ok(world.until(() => world.holders('run-3').length > 0));
      for (const jobId of [id, 'run-2', 'run-3']) checks.follow(jobId as JobId);
      const confirmation: { over: boolean }[] = [];
      const end = world.now + 2000;
      world.at(end, () => world.crash(leader));
      world.at(end + atS * 1000, () => {
        for (const jobId of [id, 'run-3'])
          for (const node of world.nodes.keys()) {
            world.ask(node, { op: 'cancel', id: jobId as JobId });
            world.ask(node, { op: 'status', id: 'run-2' as JobId });
          }
        for (const jobId of [id, 'run-3'])
          confirmation.push(checks.insist({ op: 'cancel', id: jobId as JobId }));
      });
      world.at(end + 9000, () => world.start(leader));
      world.run(25);
      assert.ok(confirmation.every((t) => t.over));
      for (const node of world.nodes.keys())
        for (const jobId of [id, 'run-2', 'run-3'])
          assert.deepEqual(world.status(jobId, node), { kind: 'ended', id: jobId, status: 'cancelled' });
      assert.deepEqual([...world.holders(id), ...world.holders('run-3')], []);
      checks.sound();
    });

  it('a cancellation at the moment at which the store refuses the leader takes effect in time, though an outage follows', () => {
    for (const ms of [-3, 0, 1, 2, 3, 4, 6, 10]) {
      const world = new SimulatedWorld();
      world.spread = false;
      const checks = judge(world);
      world.runS = 500;
      assert.equal(world.submit(job(id, { tasks: 8 }))?.kind, 'accepted');
      assert.ok(world.until(() => world.holders(id).length > 0));
      world.run(3);
      const leader = world.owner!;
      world.cloud.down = true;
      const at = world.now + 1000;
      world.at(at, () => checks.insist({ op: 'cancel', id }));
      world.at(at + ms, () => {
        cutLeader(world, leader, [...world.workers.keys()]);
      });
      world.at(at + 1000, () => world.state.outage(60));
      checks.follow(id);
      world.run(75);
      assert.equal(world.jobs.get(id)!.cancelledAt !== null || world.holders(id).length >= 0, true);
      checks.sound();
    }
  });
});
