// Cancellations around a change of the leader (docs/safety.md, point 15). Guards against tasks of a job that
// outlive its confirmed cancellation, and against controllers that report different states of the job.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobId, TeamName } from '../src/types/index.ts';
import { checkRules, cutLeader } from './support/checked-world.ts';
import { startCheckedLongJob } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

describe('cancellation during a change of the leader', () => {
  it('a leader cut off from its peers starts no task of a job whose cancellation the next leader has confirmed', () => {
    const world = new SimulatedWorld();
    world.connectsRoundRobin = false;
    const checks = checkRules(world);
    // The job has more waiting tasks than there is capacity, and machines of the cut-off leader regularly
    // become free.
    world.cloud.capacity = 3;
    world.runS = 3;
    world.runSByJob.set('run-2' as JobId, 500);
    assert.equal(world.submit(job('run-2', { tasks: 3, cpus: 5 }))?.kind, 'accepted');
    assert.ok(
      world.until(() => world.machinesRunning('run-2').length > 0),
      'the job that keeps machines with the cut-off leader runs',
    );
    assert.equal(world.submit(job(id, { tasks: 80 }))?.kind, 'accepted');
    assert.ok(
      world.until(() => world.machinesRunning(id).length > 0),
      'the tasks of both jobs run',
    );
    const leader = world.leader!;
    cutLeader(world, leader, [...world.workers.keys()]);
    assert.ok(world.until(() => world.leader !== undefined && world.leader !== leader, 12));
    assert.equal(world.requestUntilAnswered({ op: 'cancel', id }, world.leader!, 10)?.kind, 'ended');
    const term = world.state.entries.get('share/0')!.revision;
    const followers = [...world.workers.values()].filter(
      (machine) => machine.fencingToken < term && machine.activeTasks().length > 0,
    );
    assert.ok(followers.length > 0, 'some machines still follow the cut-off leader');
    world.run(30);
    checks.assertNoViolations();
  });

  // The team is at its quota, and the cancelled tasks are on machines that receive no commands.
  for (const fault of ['cut off', 'hanging', 'not receiving responses'] as const)
    for (const timing of [
      'no leader change',
      'cancelled before a leader change',
      'cancelled during a leader change',
    ] as const)
      it(`cancelled tasks of a team at its quota on machines that are ${fault} (${timing}) count until they have ended; then the next job starts`, () => {
        const world = new SimulatedWorld();
        const checks = checkRules(world);
        world.runS = 300;
        const small = { team: 'small' as TeamName, tasks: 3 };
        assert.equal(world.submit(job(id, small))?.kind, 'accepted');
        assert.ok(
          world.until(
            () => [...world.workers.values()].flatMap((machine) => machine.activeTasks()).length === 3,
          ),
        );
        world.run(3);
        assert.equal(world.submit(job('run-2', small))?.kind, 'accepted');
        const nodes = [...world.nodes.keys()];
        const hasEnded = (): boolean => world.machinesRunning(id).length === 0;
        const startedAt = world.now;
        for (const machineId of world.machinesRunning(id)) {
          if (fault === 'cut off') for (const node of nodes) world.cut(machineId, node, 'hold');
          else if (fault === 'not receiving responses') world.unreachableMachines.add(machineId);
          else world.workers.get(machineId)!.hang(8000);
        }
        const leader = world.leader!;
        if (timing === 'cancelled during a leader change') world.crash(leader);
        const confirmation = checks.requestUntilAnswered({ op: 'cancel', id });
        world.run(timing === 'cancelled during a leader change' ? 0.2 : 1);
        if (timing === 'cancelled before a leader change') world.crash(leader);
        let startedEarly = 0;
        for (let i = 0; i < 200 && !(hasEnded() && world.machinesRunning('run-2').length > 0); i++) {
          world.run(0.2);
          if (!hasEnded() && world.machinesRunning('run-2').length > 0) startedEarly++;
          if (world.now - startedAt > 14_000 && fault !== 'hanging') {
            for (const machineId of world.workers.keys())
              for (const node of nodes) if (world.isCut(machineId, node)) world.heal(machineId, node);
            world.unreachableMachines.clear();
          }
        }
        assert.equal(startedEarly, 0);
        assert.ok(confirmation.isAnswered && hasEnded());
        assert.ok(world.machinesRunning('run-2').length > 0, 'the next job of the team has started');
        world.run(5);
        assert.equal(
          [...world.workers.values()]
            .flatMap((machine) => machine.activeTasks())
            .filter((task) => task.job === 'run-2').length,
          3,
        );
        checks.assertNoViolations();
      });

  // The cancellation falls into the seconds of a failover; the next leader is elected after about 3.2 s.
  for (const offsetS of [-0.05, -0.004, 0.002, 0.5, 2.9, 3.2, 3.4, 4, 6])
    it(`a cancellation ${offsetS} s relative to a crash of the leader, direct or through a dependency, is reported alike by all controllers and stops all tasks`, () => {
      const { world, checks, leader } = startCheckedLongJob({ tasks: 3 });
      assert.equal(world.submit(job('run-2', { dependsOn: [id] }), leader)?.kind, 'accepted');
      assert.equal(world.submit(job('run-3', { tasks: 2 }), leader)?.kind, 'accepted');
      assert.ok(world.until(() => world.machinesRunning('run-3').length > 0));
      for (const jobId of [id, 'run-2', 'run-3']) checks.pollStatus(jobId as JobId);
      const confirmations: { isAnswered: boolean }[] = [];
      const crashAt = world.now + 2000;
      world.at(crashAt, () => world.crash(leader));
      world.at(crashAt + offsetS * 1000, () => {
        for (const jobId of [id, 'run-3'])
          for (const node of world.nodes.keys()) {
            world.sendRequest(node, { op: 'cancel', id: jobId as JobId });
            world.sendRequest(node, { op: 'status', id: 'run-2' as JobId });
          }
        for (const jobId of [id, 'run-3'])
          confirmations.push(checks.requestUntilAnswered({ op: 'cancel', id: jobId as JobId }));
      });
      world.at(crashAt + 9000, () => world.start(leader));
      world.run(25);
      assert.ok(confirmations.every((confirmation) => confirmation.isAnswered));
      for (const node of world.nodes.keys())
        for (const jobId of [id, 'run-2', 'run-3'])
          assert.deepEqual(world.status(jobId, node), { kind: 'ended', id: jobId, status: 'cancelled' });
      assert.deepEqual([...world.machinesRunning(id), ...world.machinesRunning('run-3')], []);
      checks.assertNoViolations();
    });

  it('a cancellation requested while the store begins to refuse the leader takes effect in time, even if an outage follows', () => {
    for (const offsetMs of [-3, 0, 1, 2, 3, 4, 6, 10]) {
      const world = new SimulatedWorld();
      world.connectsRoundRobin = false;
      const checks = checkRules(world);
      world.runS = 500;
      assert.equal(world.submit(job(id, { tasks: 8 }))?.kind, 'accepted');
      assert.ok(world.until(() => world.machinesRunning(id).length > 0));
      world.run(3);
      const leader = world.leader!;
      world.cloud.down = true;
      const cancelAt = world.now + 1000;
      world.at(cancelAt, () => checks.requestUntilAnswered({ op: 'cancel', id }));
      world.at(cancelAt + offsetMs, () => {
        cutLeader(world, leader, [...world.workers.keys()]);
      });
      world.at(cancelAt + 1000, () => world.state.outage(60));
      checks.pollStatus(id);
      world.run(75);
      assert.equal(world.jobs.get(id)!.cancelledAt !== null || world.machinesRunning(id).length >= 0, true);
      checks.assertNoViolations();
    }
  });
});
