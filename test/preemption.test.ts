// Preemption of running tasks for waiting work of a higher priority (PROTOCOL, "Preemption").
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec } from '../src/core/base/model.ts';
import type { JobId, MachineTypeName, ZoneName } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const assertNoRuleBroken = (world: SimulatedWorld): void => assert.deepEqual(world.violations, []);
const BOX = 'box' as MachineTypeName;
const NORTH = 'north' as ZoneName;
/**
 * A fleet of four machines that cannot grow, filled with tasks of an array job of the lowest priority that
 * have run for `runningForS` seconds.
 */
const fullFleet = (overrides: Partial<JobSpec> = {}, runningForS = 35): SimulatedWorld => {
  const world = new SimulatedWorld();
  world.cloud.capacity = 0;
  world.runS = 400;
  for (let i = 0; i < 4; i++) world.createMachine(`i-${900_000 + i}` as never, BOX, NORTH, false).boot();
  world.submit(
    job('run-0', {
      class: 'bulk',
      tasks: 16,
      priority: 1,
      checkpointIntervalS: 10,
      checkpointDurationS: 2,
      estimatedRunS: 400,
      ...overrides,
    }),
  );
  assert.ok(world.until(() => world.machinesRunning('run-0').length === 4, 20));
  world.run(runningForS);
  return world;
};
const stopCommands = (world: SimulatedWorld) =>
  [...world.workers.values()].flatMap((worker) => worker.stopCommands);
const liveTasks = (world: SimulatedWorld, id: string): number =>
  [...world.workers.values()].flatMap((worker) => worker.activeTasks()).filter((task) => task.job === id)
    .length;

describe('preemption', () => {
  it('preempts as many tasks with checkpoints as a service of a higher priority needs; they resume later', () => {
    const world = fullFleet();
    world.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 3, priority: 3 }));
    assert.ok(world.until(() => liveTasks(world, 'run-1') === 3, 15));
    assert.equal(stopCommands(world).length, 3);
    assert.ok(stopCommands(world).every(({ graceS, task }) => graceS >= 2 && task.startsWith('run-0/')));
    world.requestUntilAnswered({ op: 'cancel', id: 'run-1' as JobId });
    assert.ok(world.until(() => liveTasks(world, 'run-0') === 16, 30));
    assertNoRuleBroken(world);
  });

  it('preempts nothing for work of the same priority, and no task without checkpoints', () => {
    const samePriority = fullFleet();
    samePriority.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 3, priority: 1 }));
    samePriority.run(15);
    assert.equal(stopCommands(samePriority).length, 0);
    const withoutCheckpoints = fullFleet({ checkpointIntervalS: 0 });
    withoutCheckpoints.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 3, priority: 3 }));
    withoutCheckpoints.run(15);
    assert.equal(stopCommands(withoutCheckpoints).length, 0);
  });

  it('preempts no task that has just started', () => {
    const world = fullFleet({}, 3);
    world.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 3, priority: 3 }));
    world.run(15);
    assert.equal(stopCommands(world).length, 0);
    assertNoRuleBroken(world);
  });

  it('preempts a task twice and no more, however long urgent work keeps arriving', () => {
    const world = fullFleet({ tasks: 4, cpus: 8 });
    for (let i = 1; i < 5; i++) {
      world.submit(job(`run-${i}`, { class: 'watch', kind: 'service', tasks: 4, priority: 3, cpus: 8 }));
      world.run(45);
      world.requestUntilAnswered({ op: 'cancel', id: `run-${i}` as JobId });
      world.run(45);
    }
    const preemptions = new Map<string, number>();
    for (const line of world.logs) {
      const task = /task preempted .*"task":"([^"]+)"/.exec(line)?.[1];
      if (task !== undefined) preemptions.set(task, (preemptions.get(task) ?? 0) + 1);
    }
    assert.equal(Math.max(...preemptions.values()), 2);
    assertNoRuleBroken(world);
  });

  it('runs no task twice when the leader crashes during preemptions, and starts the urgent work', () => {
    for (const crashAfterS of [0.3, 1.2, 2.5]) {
      const world = fullFleet();
      world.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 4, priority: 3 }));
      world.run(1.6 + crashAfterS);
      const leader = world.leader!;
      world.crash(leader);
      world.run(0.3);
      world.start(leader);
      assert.ok(
        world.until(() => liveTasks(world, 'run-1') === 4, 60),
        `${crashAfterS}`,
      );
      assertNoRuleBroken(world);
    }
  });

  it('preempts for a service with the spread constraint no more tasks than it may place in one zone', () => {
    const world = fullFleet();
    world.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 2, priority: 3, spread: true }));
    world.run(25);
    // All machines are in one zone, which may hold half of the two replicas.
    assert.equal(liveTasks(world, 'run-1'), 1);
    assertNoRuleBroken(world);
  });
});
