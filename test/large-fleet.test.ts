// Tests that a large fleet scales: incrementally updated sums agree with a recount, the work for each input
// is bounded at a thousand machines, and jobs share stored records.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LeaderTerm } from '../src/core/leader/leader-term.ts';
import type { Machine } from '../src/core/machines/machine.ts';
import type { TeamName, ZoneName } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const leaderTermOf = (world: SimulatedWorld): LeaderTerm => world.nodes.get(world.leader!)!.leaderTerm!;

const keysWithPrefix = (world: SimulatedWorld, prefix: string): string[] =>
  [...world.state.entries.keys()].filter((key) => key.startsWith(prefix));

function assertClose(actual: number, recounted: number, quantity: string): void {
  assert.ok(Math.abs(actual - recounted) < 1e-6, `${quantity}: ${actual}, recounted ${recounted}`);
}

/** Checks a machine's own sums and its position in the capacity index. */
function checkMachine(machine: Machine): void {
  const assigned = [...machine.assignments.values()].map((assignment) => assignment.job.spec);
  const queued = machine.queue.map((task) => task.job.spec);
  const usedCpus = assigned.reduce((sum, spec) => sum + spec.cpus, 0);
  const queuedCpus = queued.reduce((sum, spec) => sum + spec.cpus, 0);
  assertClose(machine.usedCpus, usedCpus, `${machine.id} used`);
  assertClose(machine.queuedCpus, queuedCpus, `${machine.id} queued`);
  assert.equal(machine.indexPosition !== null, machine.isSchedulable, `${machine.id} in the index`);
  if (machine.indexPosition !== null) {
    const { bucket, indexInBucket } = machine.indexPosition;
    assert.equal(bucket.members[indexInBucket], machine);
  }
}

/**
 * Compares all incrementally updated sums and indexes with a recount of the assignments and queues of
 * machines.
 */
function checkAgainstRecount(term: LeaderTerm): void {
  const cpusByTeam = new Map<string, number>();
  const tasksByJobAndZone = new Map<string, number>();
  let uncertainCpus = 0;
  for (const machine of term.machines.byId.values()) {
    checkMachine(machine);
    const tasks = [...machine.assignments.values(), ...machine.queue];
    for (const { spec } of tasks.map((task) => task.job)) {
      cpusByTeam.set(spec.team, (cpusByTeam.get(spec.team) ?? 0) + spec.cpus);
      const jobAndZone = `${spec.id}|${machine.zone}`;
      tasksByJobAndZone.set(jobAndZone, (tasksByJobAndZone.get(jobAndZone) ?? 0) + 1);
    }
    if (!machine.isReconciled && machine.registryRecord !== null) uncertainCpus += machine.type.cpus;
  }
  for (const team of ['open', 'small']) {
    const used = (cpusByTeam.get(team) ?? 0) + uncertainCpus;
    assertClose(term.quota.used(team as TeamName).cpus, used, team);
  }
  for (const openJob of term.jobs.openJobs.values()) {
    for (const zone of ['north', 'south'] as ZoneName[]) {
      const tasks = tasksByJobAndZone.get(`${openJob.id}|${zone}`) ?? 0;
      assertClose(openJob.tasksByZone.get(zone) ?? 0, tasks, `${openJob.id} in ${zone}`);
    }
    assert.equal(term.jobs.waitingJobs.has(openJob), openJob.waitingTasks > 0, `${openJob.id} waiting`);
  }
  const indexed = [...term.capacityIndex.pools.values()].flatMap((pool) =>
    [...pool.buckets.values()].flatMap((bucket) => bucket.members),
  );
  assert.equal(indexed.length, new Set<Machine>(indexed).size);
}

describe('a large fleet', () => {
  it('keeps sums and the capacity index in agreement with a recount through losses, cancellations, crashes and partitions', () => {
    const world = new SimulatedWorld();
    world.runS = 7;
    let seed = 5;
    const randomBelow = (limit: number) => {
      seed = (seed * 1103515245 + 12345) % 2147483648;
      return Math.floor((seed / 2147483648) * limit);
    };
    for (let i = 0; i < 60; i++) {
      const team = (randomBelow(3) === 0 ? 'small' : 'open') as TeamName;
      const isGang = randomBelow(4) === 0;
      const spec = {
        team,
        tasks: 1 + randomBelow(isGang ? 3 : 9),
        cpus: 0.7 + randomBelow(2),
        imageGb: 1,
        image: `img-${randomBelow(4)}`,
      };
      world.sendRequest(`node-${randomBelow(3)}`, {
        op: 'submit',
        spec: job(`run-${i}`, isGang ? { ...spec, kind: 'gang', oneZone: true } : spec),
      });
      world.run(1 + randomBelow(3));
      if (randomBelow(9) === 0)
        world.sendRequest(`node-${randomBelow(3)}`, {
          op: 'cancel',
          id: `run-${randomBelow(i + 1)}` as never,
        });
      const workers = [...world.workers.values()];
      if (randomBelow(8) === 0) workers[randomBelow(workers.length)]?.terminate();
      if (i === 30) world.crash(world.leader!);
      if (i === 40)
        for (const node of ['node-0', 'node-1', 'node-2']) if (!world.nodes.has(node)) world.start(node);
      if (world.leader !== undefined && leaderTermOf(world).failover.isLoaded)
        checkAgainstRecount(leaderTermOf(world));
    }
    assert.deepEqual(world.violations, []);
  });

  it('examines a bounded number of machines for each task at a thousand machines, and needs few registry records', () => {
    const world = new SimulatedWorld({ cloud: { requestsPerS: 100, listLagS: 2 } });
    world.cloud.capacity = 1000;
    world.runS = 30;
    for (let i = 0; i < 20; i++) world.submit(job(`run-${i}`, { tasks: 50, cpus: 8 }));
    const areManyUsable = () =>
      [...world.nodes.values()].some(
        (node) =>
          (node.leaderTerm?.capacityIndex.pools.values().next().value?.schedulableMachines.length ?? 0) > 400,
      );
    assert.ok(world.until(areManyUsable, 20), 'more than 400 machines usable within 20 s');
    world.run(5);
    const term = leaderTermOf(world);
    assert.ok(term.machines.byId.size >= 900, `${term.machines.byId.size} machines`);
    const registryRecords = keysWithPrefix(world, 'm/').length;
    assert.ok(registryRecords <= 40, `${registryRecords} records`);
    const examinedBefore = term.scheduler.machinesExamined;
    world.submit(job('run-x', { tasks: 100, cpus: 1 }));
    world.run(2);
    const examinedPerTask = (term.scheduler.machinesExamined - examinedBefore) / 100;
    assert.ok(
      examinedPerTask > 0 && examinedPerTask < 150,
      `${examinedPerTask} machines examined for each task`,
    );
    assert.deepEqual(world.violations, []);
  });

  it('shares records between the bitmaps of many jobs, and a new leader reads them', () => {
    const world = new SimulatedWorld();
    world.cloud.capacity = 6;
    world.runS = 3;
    for (let i = 0; i < 12; i++) world.submit(job(`run-${i}`, { tasks: 8, cpus: 4 }));
    const totalStarts = () => [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0);
    assert.ok(world.until(() => totalStarts() > 40));
    world.run(1.5);
    const isAnyRecorded = (): boolean =>
      [...leaderTermOf(world).jobs.openJobs.values()].some((openJob) =>
        [...Array(8).keys()].some((index) => openJob.isRecorded(index)),
      );
    assert.ok(world.until(isAnyRecorded, 10));
    const bitmapRecords = keysWithPrefix(world, 'd/');
    assert.ok(bitmapRecords.length >= 1 && bitmapRecords.length <= 2, bitmapRecords.join());
    world.crash(world.leader!);
    assert.ok(world.until(() => world.leader !== undefined && leaderTermOf(world).failover.isLoaded, 20));
    const controller = [...world.nodes.keys()][0]!;
    for (let i = 0; i < 12; i++) assert.ok(world.until(() => world.isDone(`run-${i}`, controller), 200));
    // The bitmaps alone hold results that machines have been told to delete: without the bitmaps these tasks
    // would run again.
    assert.equal(totalStarts(), 12 * 8);
    assert.deepEqual(world.violations, []);
  });

  it('refuses to serve with a stored record of an unknown version, and logs that once', () => {
    const world = new SimulatedWorld({}, []);
    world.state.entries.set('m/i-7', {
      value: { t: 'box', z: 'north', s: 0, w: '1.1' },
      revision: world.state.advanceRevision(),
      hold: null,
    });
    world.start('node-0');
    world.run(20);
    assert.equal(world.logs.filter((line) => line.includes('a record is of a version')).length, 1);
    assert.equal(world.nodes.get('node-0')!.ready, false);
    const request = world.sendRequest('node-0', { op: 'submit', spec: job('run-1') });
    world.run(5);
    assert.equal(request.answer?.kind, 'retry');
  });
});
