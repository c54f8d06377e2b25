// Machines that fail the tasks they start: their jobs try other machines where there are any, return to the
// same machines later, and get new machines in their place.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type JobId, type MachineTypeName, parseTaskId, type ZoneName } from '../src/types/index.ts';
import { checkRules, type RuleChecks } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const BOX = 'box' as MachineTypeName;
const NORTH = 'north' as ZoneName;
/** No job may wait longer than this beside a machine with room, in seconds. */
const MAX_WAIT_S = 90;
/** The longest time between two attempts of a job that fails everywhere, in seconds. */
const BACKOFF_S = 20;
/** CPUs of a machine. */
const WHOLE_MACHINE = 8;

interface Fleet {
  world: SimulatedWorld;
  checks: RuleChecks;
}

/** A fleet of idle machines; the cloud has `more` machines beside these. */
function fleetOf(machines: number, more = 0): Fleet {
  const world = new SimulatedWorld();
  const checks = checkRules(world);
  for (let i = 0; i < machines; i++)
    world.createMachine(`i-${900_000 + i}` as never, BOX, NORTH, false).boot();
  world.cloud.capacity = machines + more;
  world.run(8);
  return { world, checks };
}

const setFaulty = (world: SimulatedWorld, faulty: boolean): void => {
  for (const worker of world.workers.values()) worker.faulty = faulty;
};

/** Every machine, also those that are yet to come, fails every task from now on. */
function failEverywhere(world: SimulatedWorld): void {
  setFaulty(world, true);
  world.after(50, () => failEverywhere(world));
}

/** Tasks of the job fail on every machine, as if it had been submitted with a mistake. */
function failJob(world: SimulatedWorld, id: string): void {
  const launch = world.launch.bind(world);
  world.launch = (worker, task, attempt, onExit, onState) => {
    if (parseTaskId(task).job === id) world.after(100, () => onExit('error'));
    return launch(worker, task, attempt, onExit, onState);
  };
}

/** The controllers' log lines about failed tasks of the job. */
const failures = (world: SimulatedWorld, id: string): string[] =>
  world.logs.filter((line) => line.includes(' task failed ') && line.includes(`"task":"${id}/`));

/** The machines on which tasks of the job have failed. */
const failedMachines = (world: SimulatedWorld, id: string): Set<string | undefined> =>
  new Set(failures(world, id).map((line) => /"machine":"([^"]*)"/.exec(line)?.[1]));

/** All machines run tasks again; the job must be done before it has waited too long beside them. */
function assertDoneAfterRecovery({ world, checks }: Fleet, id: string): void {
  setFaulty(world, false);
  checks.rules.onFaultsEnded(world.now);
  checks.pollStatus(id as JobId);
  assert.ok(
    world.until(() => world.isDoneInStore(id), MAX_WAIT_S + 30),
    `${id} is not done`,
  );
  checks.assertNoViolations();
}

describe('a job returns to machines on which it failed', () => {
  // A job avoided the only machine for good, on which its one task had failed once.
  it('when its one task failed once on the only machine', () => {
    const fleet = fleetOf(1);
    setFaulty(fleet.world, true);
    fleet.world.submit(job('run-1'));
    fleet.world.run(10);
    assertDoneAfterRecovery(fleet, 'run-1');
  });

  // The same with two machines: jobs avoided up to two.
  it('when it failed once on each of two machines', () => {
    const fleet = fleetOf(2);
    setFaulty(fleet.world, true);
    fleet.world.submit(job('run-1', { cpus: WHOLE_MACHINE }));
    assert.ok(fleet.world.until(() => failedMachines(fleet.world, 'run-1').size === 2, 10));
    assertDoneAfterRecovery(fleet, 'run-1');
  });

  // Array jobs used any machine again after three failed; gangs avoided all of them for good.
  for (const machines of [1, 2, 4])
    it(`when it is a gang and failed on all of ${machines} machines`, () => {
      const fleet = fleetOf(machines);
      setFaulty(fleet.world, true);
      const cpus = machines === 1 ? WHOLE_MACHINE / 2 : WHOLE_MACHINE;
      fleet.world.submit(job('run-1', { kind: 'gang', tasks: Math.max(2, machines), cpus }));
      fleet.world.run(10);
      assert.ok(failedMachines(fleet.world, 'run-1').size > 0);
      assertDoneAfterRecovery(fleet, 'run-1');
    });

  // A success clears the failures of a job; its last task fails after it.
  it('when the last task of an array failed once on the only machine', () => {
    const fleet = fleetOf(1);
    const { world } = fleet;
    world.runS = 2;
    world.submit(job('run-1', { tasks: 2, cpus: WHOLE_MACHINE }));
    world.onTaskDone = () => setFaulty(world, true);
    assert.ok(world.until(() => failedMachines(world, 'run-1').size === 1, 20));
    world.onTaskDone = null;
    assertDoneAfterRecovery(fleet, 'run-1');
  });

  // Replicas of a service never complete: nothing ever cleared the failures of their job.
  it('when a replica of a service failed on the only machine', () => {
    const { world, checks } = fleetOf(1);
    setFaulty(world, true);
    world.submit(job('run-1', { kind: 'service' }));
    world.run(10);
    setFaulty(world, false);
    checks.rules.onFaultsEnded(world.now);
    assert.ok(world.until(() => world.machinesRunning('run-1').length === 1, MAX_WAIT_S));
    checks.assertNoViolations();
  });

  // The failed machines that are gone counted too.
  it('when one of the two machines on which it failed is gone', () => {
    const fleet = fleetOf(2);
    const { world } = fleet;
    setFaulty(world, true);
    world.submit(job('run-1'));
    assert.ok(world.until(() => failedMachines(world, 'run-1').size === 2, 10));
    const [first] = world.workers.values();
    world.cloud.capacity = 1;
    first!.terminate();
    world.workers.delete(first!.id);
    assertDoneAfterRecovery(fleet, 'run-1');
  });
});

describe('a job that failed on a machine gets another one', () => {
  // The plan for new machines counted the room of the machine that the job avoided.
  it('though the machine on which it failed has room', () => {
    const { world, checks } = fleetOf(1, 3);
    const [faulty] = world.workers.values();
    faulty!.faulty = true;
    world.submit(job('run-1'));
    assert.ok(
      world.until(() => world.isDoneInStore('run-1'), 25),
      'the job is done on a new machine',
    );
    assert.equal(faulty!.starts, 1);
    checks.assertNoViolations();
  });

  it('when it is a gang in one zone', () => {
    const { world, checks } = fleetOf(1, 3);
    const [faulty] = world.workers.values();
    faulty!.faulty = true;
    world.submit(job('run-1', { kind: 'gang', tasks: 2, cpus: 2, oneZone: true }));
    assert.ok(
      world.until(() => world.isDoneInStore('run-1'), 30),
      'the gang is done on new machines',
    );
    checks.assertNoViolations();
  });

  // The room of the avoided machine is still there for other jobs, which need no new machine.
  it('while other jobs use the machine that it avoids', () => {
    const { world } = fleetOf(1, 3);
    setFaulty(world, true);
    world.submit(job('run-1'));
    assert.ok(world.until(() => failedMachines(world, 'run-1').size === 1, 10));
    setFaulty(world, false);
    const [first] = world.workers.values();
    const before = first!.starts;
    world.submit(job('run-2'));
    assert.ok(world.until(() => world.isDoneInStore('run-2'), 120));
    assert.equal(first!.starts, before + 1);
  });

  // No machine was requested for a job that three machines had failed, so that it waited for ever without them.
  for (const kind of ['array', 'gang', 'service'] as const)
    it(`when three machines failed it and none is left (${kind})`, () => {
      const { world, checks } = fleetOf(3);
      setFaulty(world, true);
      world.submit(job('run-1', { kind, tasks: kind === 'gang' ? 3 : 1, cpus: WHOLE_MACHINE }));
      assert.ok(world.until(() => failedMachines(world, 'run-1').size === 3, 40));
      for (const worker of [...world.workers.values()]) {
        worker.terminate();
        world.workers.delete(worker.id);
      }
      checks.rules.onFaultsEnded(world.now);
      const isServed = (): boolean =>
        world.isDoneInStore('run-1') || (kind === 'service' && world.machinesRunning('run-1').length > 0);
      assert.ok(world.until(isServed, MAX_WAIT_S), 'the job runs on new machines');
      checks.assertNoViolations();
    });
});

describe('a machine that fails every task', () => {
  // With short jobs only, it failed each of them once and was avoided by them, but never cordoned.
  it('is cordoned after three failures of a job that has no other machine, and replaced', () => {
    const { world, checks } = fleetOf(1);
    const [faulty] = world.workers.values();
    faulty!.faulty = true;
    world.submit(job('run-1'));
    assert.ok(
      world.until(() => world.isDoneInStore('run-1'), 180),
      'the job is done',
    );
    assert.ok(world.cloud.released.includes(faulty!.id));
    assert.equal(faulty!.starts, 3);
    checks.assertNoViolations();
  });

  it('does not start tasks of a job that it has failed and that are in its queue', () => {
    const { world } = fleetOf(1, 3);
    world.runS = 20;
    world.submit(job('run-0', { cpus: WHOLE_MACHINE / 2 }));
    world.run(2);
    world.submit(job('run-1', { cpus: WHOLE_MACHINE / 2, tasks: 3 }));
    const [faulty] = world.workers.values();
    faulty!.faulty = true;
    assert.ok(world.until(() => failedMachines(world, 'run-1').size > 0, 10));
    const before = faulty!.starts;
    world.run(15);
    assert.equal(faulty!.starts, before);
  });
});

describe('a job that fails on every machine', () => {
  it('backs off, and is given one machine at a time', () => {
    const { world } = fleetOf(0, 20);
    failEverywhere(world);
    world.submit(job('run-1', { tasks: 100, cpus: WHOLE_MACHINE }));
    assert.ok(world.until(() => failedMachines(world, 'run-1').size >= 3, 60));
    // The machines that were rented before it had failed on three of them are released.
    world.run(180);
    const before = { failures: failures(world, 'run-1').length, created: world.cloud.machinesCreated };
    const minutes = 10;
    world.run(60 * minutes);
    const attempts = failures(world, 'run-1').length - before.failures;
    assert.ok(attempts > 0, 'it is still tried');
    assert.ok(attempts <= (60 * minutes) / BACKOFF_S, `${attempts} attempts`);
    const created = world.cloud.machinesCreated - before.created;
    assert.ok(created <= 1, `${created} machines rented`);
    assert.ok(world.workers.size <= 1, `${world.workers.size} machines kept`);
  });

  // The machine was kept for the class of the failing job, whose tasks are worth more, and which avoided it.
  it('keeps no small job from the machine that it avoids', () => {
    const { world, checks } = fleetOf(1);
    failJob(world, 'run-1');
    checks.rules.onFaultsEnded(world.now);
    world.submit(job('run-1', { class: 'large', cpus: WHOLE_MACHINE }));
    // Makes the value of the small class known, some time after it is accepted.
    world.submit(job('run-9', { class: 'small', dependsOn: ['run-1' as JobId] }));
    world.run(5);
    assert.equal(failedMachines(world, 'run-1').size, 1);
    world.submit(job('run-2', { class: 'small' }));
    assert.ok(
      world.until(() => world.isDoneInStore('run-2'), MAX_WAIT_S),
      'the small job is done',
    );
    checks.assertNoViolations();
  });
});
