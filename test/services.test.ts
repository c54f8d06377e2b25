// Tests services beside gangs and arrays, machines that are up before any submission, and teams whose
// guarantee is in GPUs.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Job } from '../src/core/jobs/job.ts';
import { Quota } from '../src/core/teams/quota.ts';
import type {
  Instant,
  JobId,
  MachineTypeName,
  Revision,
  TeamName,
  WallTime,
  ZoneName,
} from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const BOX = 'box' as MachineTypeName;
const NORTH = 'north' as ZoneName;
const assertNoRuleBroken = (world: SimulatedWorld): void => assert.deepEqual(world.violations, []);
/** Boots machines for which no request to the cloud is recorded. */
const bootUnrequested = (world: SimulatedWorld, count: number, zones: ZoneName[] = [NORTH]): void => {
  for (let i = 0; i < count; i++)
    world.createMachine(`i-${900_000 + i}` as never, BOX, zones[i % zones.length]!, false).boot();
};
const liveTasks = (world: SimulatedWorld): number =>
  [...world.workers.values()].reduce((sum, worker) => sum + worker.activeTasks().length, 0);

describe('services', () => {
  it('starts work on machines that were up before any submission while a burst of submissions is being written', () => {
    const world = new SimulatedWorld({
      store: { requestsPerS: 200, writesPerS: 8, maxValueKb: 8, maxTransactionOps: 4 },
      currentWritesPerS: 8,
    });
    world.cloud.capacity = 0;
    world.runS = 60;
    bootUnrequested(world, 6);
    assert.ok(
      world.until(
        () => world.leader !== undefined && world.nodes.get(world.leader)!.leaderTerm!.failover.isComplete,
        5,
      ),
    );
    for (let i = 0; i < 60; i++) world.sendRequest(world.leader!, { op: 'submit', spec: job(`run-${i}`) });
    world.run(2.5);
    // If machines were registered only after all acceptances are written, they could start no task until
    // then.
    assert.ok(world.nodes.get(world.leader!)!.leaderTerm!.writer.backlog > 0);
    assert.ok(liveTasks(world) >= 4, `${liveTasks(world)} live tasks`);
    assertNoRuleBroken(world);
  });

  it('uses machines that were up before any submission after a crash in the first seconds, and releases them when idle', () => {
    const world = new SimulatedWorld();
    bootUnrequested(world, 4);
    world.run(1);
    for (const node of world.nodeNames) world.crash(node);
    world.run(3);
    for (const node of world.nodeNames) world.start(node);
    world.cloud.capacity = 0;
    world.submit(job('run-1', { tasks: 4 }));
    assert.ok(world.until(() => world.isDone('run-1'), 60));
    assert.ok(
      world.until(() => world.cloud.released.length === 4, 150),
      `${world.cloud.released.length} machines released`,
    );
    assertNoRuleBroken(world);
  });

  it('places a service on an idle machine even if gangs of a lower priority wait for the whole machine', () => {
    const world = new SimulatedWorld();
    world.cloud.capacity = 0;
    bootUnrequested(world, 3);
    world.submit(job('run-1', { class: 'train', kind: 'gang', tasks: 4, cpus: 8, priority: 2 }));
    world.run(3);
    // The first service is also the first job of its class.
    for (const id of ['run-2', 'run-3']) {
      world.submit(job(id, { class: 'watch', kind: 'service', tasks: 4, priority: 3 }));
      world.run(4);
      assert.equal(world.machinesRunning('run-1').length, 0);
      assert.ok(world.machinesRunning(id).length > 0, id);
    }
    assertNoRuleBroken(world);
  });

  it('counts a team guaranteed only GPUs as within its guarantee by its GPUs, and never a team without a guarantee', () => {
    const quota = new Quota(
      new Map(
        [
          { name: 'seers' as TeamName, cpus: 0, cpusMax: 0, gpus: 4, gpusMax: 8 },
          { name: 'none' as TeamName, cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
        ].map((team) => [team.name, team]),
      ),
    );
    const jobOf = (team: string, gpus: number): Job =>
      new Job({
        spec: job('run-1', { team: team as TeamName, gpus, tasks: 4 }),
        revision: 1 as Revision,
        acceptedAt: 0 as WallTime,
        seenAt: 0 as Instant,
        mayHaveUnlocatedTasks: false,
      });
    assert.ok(quota.withinGuarantee(jobOf('seers', 2)));
    assert.ok(!quota.withinGuarantee(jobOf('seers', 0)));
    assert.ok(!quota.withinGuarantee(jobOf('none', 2)));
    quota.add(jobOf('seers', 1), 3, BOX);
    assert.ok(quota.withinGuarantee(jobOf('seers', 1)));
    assert.ok(!quota.withinGuarantee(jobOf('seers', 2)));
    assert.equal(quota.allowedTasks(jobOf('seers', 2)), 2);
  });

  it('runs half the replicas of a spread service in one zone while the other is cut off, moves none, and cancels all', () => {
    const world = new SimulatedWorld({
      workers: { heartbeatS: 1, leaseS: 10, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
    });
    const zones = ['north', 'south'] as ZoneName[];
    bootUnrequested(world, 6, zones);
    world.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 6, priority: 3, spread: true }));
    assert.ok(world.until(() => liveTasks(world) === 6, 30));
    const south = [...world.workers.values()].filter((worker) => worker.zone === 'south');
    for (const worker of south) for (const node of world.nodeNames) world.cut(worker.id, node, 'hold');
    world.run(5);
    const leader = world.leader!;
    world.crash(leader);
    world.run(4);
    world.start(leader);
    world.run(15);
    // Replicas that cannot be reached may still be up: no more than half may be in the remaining zone.
    assert.equal(
      world.machinesRunning('run-1').filter((id) => world.workers.get(id)!.zone === NORTH).length > 0,
      true,
    );
    const north = [...world.workers.values()].filter((worker) => worker.zone === NORTH);
    assert.equal(
      north.reduce((sum, worker) => sum + worker.activeTasks().length, 0),
      3,
    );
    for (const worker of south) for (const node of world.nodeNames) world.heal(worker.id, node);
    assert.ok(
      world.until(() => liveTasks(world) === 6, 90),
      `${liveTasks(world)} live tasks`,
    );
    world.requestUntilAnswered({ op: 'cancel', id: 'run-1' as JobId }, world.leader);
    world.run(40);
    assert.equal(liveTasks(world), 0);
    assertNoRuleBroken(world);
  });

  it('starts a replica at once on a machine that runs services only, without waiting for its next heartbeat', () => {
    const world = new SimulatedWorld({
      workers: { heartbeatS: 4, leaseS: 20, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
    });
    world.reportMs = 4000;
    world.leaseMs = 20_000;
    world.cloud.capacity = 0;
    bootUnrequested(world, 1);
    world.submit(job('run-0', { class: 'watch', kind: 'service', priority: 3, cpus: 1 }));
    assert.ok(world.until(() => liveTasks(world) === 1, 20));
    world.run(9);
    const waitsMs: number[] = [];
    for (let i = 1; i < 7; i++) {
      world.submit(job(`run-${i}`, { class: 'watch', kind: 'service', priority: 3, cpus: 1 }));
      const submittedAt = world.now;
      assert.ok(world.until(() => liveTasks(world) === i + 1, 10));
      waitsMs.push(world.now - submittedAt);
      world.run(4.3 + 0.3 * i);
    }
    // For two thirds of the time the leader holds a response to the machine, which can carry the start
    // command; otherwise the wait is up to a heartbeat period.
    assert.ok(waitsMs.filter((ms) => ms < 500).length >= 4, waitsMs.join());
    assertNoRuleBroken(world);
  });
});
