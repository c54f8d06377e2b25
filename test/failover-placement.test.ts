// Placement while machines, zones or leaders are lost (docs/safety.md, points 8 and 15). Guards against
// starting a task that may still run elsewhere, or placing one where it is not allowed.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { StoreRequest } from '../src/core/base/model.ts';
import { fencingTokenOf, type JobId, type TeamName, type ZoneName } from '../src/types/index.ts';
import { checkRules, cutLeader } from './support/checked-world.ts';
import { startCheckedLongJob } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

describe('placement and machines', () => {
  for (const writeFault of ['are slow', 'are reordered', 'lose their responses'] as const)
    it(`machines that boot within two seconds run no tasks before they are registered, while leaders crash and registry writes ${writeFault}`, () => {
      const world = new SimulatedWorld();
      const checks = checkRules(world);
      world.cloud.bootS = 1.5;
      world.runS = 60;
      let unregistered = 0;
      const { onTaskStart } = checks.rules;
      checks.rules.onTaskStart = (now, task, machine) => {
        const registryRecords = [...world.state.entries].filter(([key]) => key.startsWith('m/'));
        if (!registryRecords.some(([, record]) => JSON.stringify(record.value).includes(`"${machine.id}"`)))
          unregistered++;
        onTaskStart.call(checks.rules, now, task, machine);
      };
      const isRegistryWrite = (op: StoreRequest) =>
        op.kind === 'compare-and-swap' && op.puts.some((put) => put.key.startsWith('m/'));
      if (writeFault === 'are slow') world.storeDelayMs = 1200;
      let requestCount = 0;
      if (writeFault === 'are reordered')
        world.state.executionDelayMs = () => (++requestCount % 2 === 0 ? 2500 : null);
      if (writeFault === 'lose their responses')
        world.state.losesAnswer = (_, op) => isRegistryWrite(op) && ++requestCount % 4 !== 0;
      let roundsWithNewMachines = 0;
      for (let i = 0; i < 4; i++) {
        checks.requestUntilAnswered({ op: 'submit', spec: job(`run-${i}`, { tasks: 12 }) });
        const machinesBefore = world.cloud.machinesCreated;
        assert.ok(
          world.until(() => [...world.workers.values()].some((worker) => worker.up && worker.seq > 0), 60),
        );
        world.run(0.3 * i);
        if (world.cloud.machinesCreated > machinesBefore) roundsWithNewMachines++;
        const leader = world.leader;
        if (leader !== undefined) {
          world.crash(leader);
          world.run(0.5);
          world.start(leader);
        }
        world.run(6);
      }
      world.state.executionDelayMs = null;
      world.state.losesAnswer = null;
      world.storeDelayMs = 0;
      assert.ok(roundsWithNewMachines > 0);
      assert.ok(world.until(() => world.machinesRunning('run-3').length > 0, 60));
      assert.ok(checks.rules.started > 0);
      assert.equal(unregistered, 0);
      checks.assertNoViolations();
    });

  for (const delayMs of [1500, 3000, 3900, 6000])
    it(`commands and responses delayed by ${delayMs} ms start no task twice or late, and all jobs complete`, () => {
      const world = new SimulatedWorld();
      const checks = checkRules(world);
      world.runS = 5;
      assert.equal(world.submit(job('run-1', { tasks: 6 }))?.kind, 'accepted');
      checks.pollStatus('run-1' as JobId);
      assert.ok(
        world.until(() => world.workers.size > 0 && [...world.workers.values()].some((worker) => worker.up)),
      );
      for (const machineId of world.workers.keys()) world.extraLatencyMs.set(machineId, delayMs);
      for (let i = 2; i <= 8; i++) {
        world.after(i * 1500, () => {
          checks.requestUntilAnswered({ op: 'submit', spec: job(`run-${i}`, { tasks: 2 }) });
          checks.pollStatus(`run-${i}` as JobId);
        });
        if (i % 3 === 0)
          world.after(i * 1500 + 2500, () =>
            checks.requestUntilAnswered({ op: 'cancel', id: `run-${i}` as JobId }),
          );
      }
      world.run(9);
      const leader = world.leader!;
      world.crash(leader);
      world.run(1);
      world.start(leader);
      world.run(14);
      world.extraLatencyMs.clear();
      checks.rules.onFaultsEnded(world.now);
      const lateCommands = [...world.workers.values()].reduce((sum, worker) => sum + worker.lateCommands, 0);
      if (delayMs < 4000) assert.ok(lateCommands > 0);
      assert.ok(
        world.until(() => checks.rules.unfinishedJobs().length === 0, 150),
        checks.rules.unfinishedJobs().join(),
      );
      checks.assertNoViolations();
    });

  it('more work than capacity over slow links is completed with urgent jobs first, and breaks no rule', () => {
    const world = new SimulatedWorld();
    const checks = checkRules(world);
    world.cloud.capacity = 3;
    world.runS = 4;
    for (let i = 1; i <= 30; i++)
      world.after(i * 400, () => {
        const isUrgent = i % 3 === 0;
        const id = `run-${i}` as JobId;
        checks.requestUntilAnswered({
          op: 'submit',
          spec: job(id, {
            tasks: 3,
            cpus: 4,
            priority: isUrgent ? 2 : 1,
            checkpointIntervalS: 1,
            checkpointDurationS: 1,
          }),
        });
        checks.pollStatus(id);
        if (i % 7 === 0) world.after(9000, () => checks.requestUntilAnswered({ op: 'cancel', id }));
      });
    for (let second = 0; second < 30; second++) {
      for (const machineId of world.workers.keys()) world.extraLatencyMs.set(machineId, 700);
      world.run(1);
    }
    const completed = (isUrgent: boolean) =>
      [...Array(30).keys()].filter(
        (i) => ((i + 1) % 3 === 0) === isUrgent && world.isDoneInStore(`run-${i + 1}`),
      ).length;
    assert.ok(
      completed(true) / 10 > completed(false) / 20,
      `${completed(true)} of 10 urgent, ${completed(false)} of 20 others`,
    );
    world.extraLatencyMs.clear();
    checks.rules.onFaultsEnded(world.now);
    assert.ok(world.until(() => checks.rules.unfinishedJobs().length === 0, 300));
    checks.assertNoViolations();
  });
});

describe('placement and zones', () => {
  for (const nodeInZone of ['the leader', 'another controller'] as const)
    it(`a zone with its agents and ${nodeInZone}, partitioned from the rest for longer than a lease, breaks no rule`, () => {
      const { world, checks, leader, others } = startCheckedLongJob({ tasks: 10 }, 3);
      world.runSByJob.set(id, 25);
      assert.ok(
        world.until(
          () => [...world.workers.values()].flatMap((worker) => worker.activeTasks()).length === 10,
        ),
      );
      world.run(2);
      checks.pollStatus(id);
      const [busy] = world.machinesRunning(id);
      const { zone } = world.workers.get(busy!)!;
      const node = nodeInZone === 'the leader' ? leader : others[0]!;
      const zoneWorkers = [...world.workers.values()].filter((worker) => worker.zone === zone);
      const inside = [node, ...zoneWorkers.map((worker) => worker.id)];
      const outside = ['state', ...world.nodes.keys(), ...world.workers.keys()].filter(
        (name) => !inside.includes(name),
      );
      for (const member of inside) for (const outsider of outside) world.cut(member, outsider, 'hold');
      world.run(6);
      const cancelled = job('run-2', { tasks: 4, zone });
      checks.requestUntilAnswered({ op: 'submit', spec: cancelled });
      world.run(24);
      checks.requestUntilAnswered({ op: 'cancel', id: 'run-2' as JobId });
      for (const member of inside) for (const outsider of outside) world.heal(member, outsider);
      checks.rules.onFaultsEnded(world.now);
      assert.ok(
        world.until(() => checks.rules.unfinishedJobs().length === 0, 120),
        checks.rules.unfinishedJobs().join(),
      );
      checks.assertNoViolations();
    });

  for (const jobKind of ['an array in one zone', 'an array in a given zone', 'a gang'] as const)
    for (const fault of ['die', 'are cut off'] as const)
      it(`${jobKind} whose machines ${fault} starts no task in another zone while any of its tasks may still run`, () => {
        const world = new SimulatedWorld();
        const checks = checkRules(world);
        world.cloud.capacityOf = (_type, zone) => (zone === 'north' ? 2 : 3);
        const spec = job(id, {
          tasks: jobKind === 'a gang' ? 3 : 6,
          cpus: 4,
          kind: jobKind === 'a gang' ? 'gang' : 'array',
          oneZone: jobKind !== 'an array in a given zone',
          zone: jobKind === 'an array in a given zone' ? ('north' as ZoneName) : null,
        });
        world.runSByJob.set(id, 12);
        assert.equal(world.submit(spec)?.kind, 'accepted');
        assert.ok(world.until(() => world.machinesRunning(id).length >= 2));
        world.run(2);
        const leader = world.leader!;
        const [first] = world.machinesRunning(id);
        const lostZone = world.workers.get(first!)!.zone;
        if (fault === 'die') world.workers.get(first!)!.terminate();
        else for (const node of world.nodes.keys()) world.cut(first!, node, 'hold');
        // No more machines can be rented in the zone of the lost machine.
        world.cloud.capacityOf = (_type, zone) => (zone === lostZone ? 0 : 3);
        world.run(1);
        world.crash(leader);
        world.run(20);
        world.start(leader);
        if (fault !== 'die') for (const node of world.nodes.keys()) world.heal(first!, node);
        world.cloud.capacityOf = () => 3;
        checks.pollStatus(id);
        checks.rules.onFaultsEnded(world.now);
        assert.ok(
          world.until(() => checks.rules.unfinishedJobs().length === 0, 150),
          checks.rules.unfinishedJobs().join(),
        );
        checks.assertNoViolations();
      });

  it('an array bound to one zone gets its capacity there, even if machines in another zone have free capacity', () => {
    const world = new SimulatedWorld();
    const checks = checkRules(world);
    world.runS = 200;
    // One machine in each zone: the first has free capacity for two tasks, the second for four.
    for (const [number, zone, cpus] of [
      [1, 'south', 4],
      [2, 'north', 2],
    ] as const) {
      assert.equal(world.submit(job(`run-${number}`, { cpus, zone: zone as ZoneName }))?.kind, 'accepted');
      assert.ok(world.until(() => world.machinesRunning(`run-${number}`).length > 0));
    }
    const bound = { tasks: 4, cpus: 2, oneZone: true };
    assert.equal(world.submit(job('run-3', bound))?.kind, 'accepted');
    const runningTasks = (jobId: string): number =>
      [...world.workers.values()]
        .flatMap((worker) => worker.activeTasks())
        .filter((task) => task.job === jobId).length;
    assert.ok(
      world.until(() => runningTasks('run-3') === 4, 20),
      `${runningTasks('run-3')} of 4 tasks run`,
    );
    // For a second such array its zone is half full, while the machine in the other zone has free capacity.
    assert.equal(world.submit(job('run-4', { tasks: 5, cpus: 3, oneZone: true }))?.kind, 'accepted');
    assert.ok(
      world.until(() => runningTasks('run-4') === 5, 25),
      `${runningTasks('run-4')} of 5 tasks run`,
    );
    checks.assertNoViolations();
  });

  it('an array bound to one zone starts no task elsewhere while one of its tasks may be on an unreconciled machine', () => {
    const world = new SimulatedWorld();
    world.connectsRoundRobin = false;
    const checks = checkRules(world);
    world.runS = 500;
    assert.equal(world.submit(job(id, { tasks: 2, cpus: 5, oneZone: true }))?.kind, 'accepted');
    assert.ok(world.until(() => world.machinesRunning(id).length === 2));
    const [first, second] = world.machinesRunning(id).map((machineId) => world.workers.get(machineId)!);
    const elsewhere = (first!.zone === 'north' ? 'south' : 'north') as ZoneName;
    assert.equal(world.submit(job('run-2', { zone: elsewhere }))?.kind, 'accepted');
    assert.ok(world.until(() => world.machinesRunning('run-2').length > 0));
    world.run(3);
    const leader = world.leader!;
    world.cloud.down = true;
    cutLeader(world, leader, [second!.id]);
    for (const machineId of world.workers.keys())
      if (machineId !== second!.id) world.cut(machineId, leader, 'drop');
    assert.ok(world.until(() => world.leader !== undefined && world.leader !== leader, 12));
    const term = fencingTokenOf(world.state.entries.get('share/0')!.revision);
    assert.ok(
      world.until(() => first!.fencingToken === term, 15),
      'the first machine has received the token of the next leader',
    );
    world.run(1);
    // The task of the first machine is stopped without a result, and the machine is cordoned; the other zone
    // has free capacity.
    const [stopped] = first!.activeTasks();
    first!.preemptionNoticeS = 60;
    first!.handleCommands(
      term,
      first!.agentEpoch,
      [{ op: 'stop', task: stopped!.task, attempt: stopped!.attempt as never, graceS: 0 }],
      () => {},
    );
    world.run(5);
    assert.ok(world.machinesRunning(id).includes(second!.id), 'the task on the second machine continues');
    assert.deepEqual(world.machinesRunning(id), [second!.id]);
    checks.assertNoViolations();
  });
});

describe('placement and quotas', () => {
  it('tasks that unreconciled machines may run count against the quota of a team whose next job is accepted under the new term', () => {
    const world = new SimulatedWorld();
    const checks = checkRules(world);
    world.runS = 500;
    const small = { team: 'small' as TeamName };
    assert.equal(world.submit(job(id, { ...small, tasks: 3, zone: 'north' as ZoneName }))?.kind, 'accepted');
    // This job provides a machine with free capacity that sends a heartbeat to the next leader at once.
    assert.equal(world.submit(job('run-2', { zone: 'south' as ZoneName }))?.kind, 'accepted');
    assert.ok(
      world.until(() => world.machinesRunning(id).length > 0 && world.machinesRunning('run-2').length > 0),
    );
    world.run(3);
    const leader = world.leader!;
    const followers = world.machinesRunning(id);
    // These machines follow the cut-off leader and keep running; the cloud is down, so none can be released.
    world.cloud.down = true;
    cutLeader(world, leader, followers);
    assert.ok(world.until(() => world.leader !== undefined && world.leader !== leader, 12));
    const nextLeader = world.leader!;
    assert.equal(
      world.requestUntilAnswered({ op: 'submit', spec: job('run-3', small) }, nextLeader, 5)?.kind,
      'accepted',
    );
    for (let i = 0; i < 30 && world.machinesRunning(id).length > 0; i++) {
      assert.deepEqual(world.machinesRunning('run-3'), []);
      world.run(0.2);
    }
    // The team is below its quota again once the tasks on those machines have certainly ended.
    assert.ok(
      world.until(() => world.machinesRunning('run-3').length > 0, 60),
      'the second job of the team starts',
    );
    checks.assertNoViolations();
  });
});
