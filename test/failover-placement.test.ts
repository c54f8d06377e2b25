// Placement while machines, zones or leaders are lost (docs/safety.md, points 8 and 15): nothing starts that may still run
// elsewhere, or where it may not run.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { StoreRequest } from '../src/core/base/model.ts';
import type { JobId, TeamName, ZoneName } from '../src/types/index.ts';
import { cutLeader, judge } from './support/checked-world.ts';
import { startCheckedLongJob } from './support/long-job.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

describe('placement and machines', () => {
  for (const late of ['slowly', 'late, after newer ones', 'and the answer is lost'] as const)
    it(`machines that boot within two seconds run nothing before they are registered, written ${late}, while leaders crash`, () => {
      const world = new SimulatedWorld();
      const checks = judge(world);
      world.cloud.bootS = 1.5;
      world.runS = 60;
      let unrecorded = 0;
      const { placing } = checks.rules;
      checks.rules.placing = (now, task, machine) => {
        const pages = [...world.state.keys].filter(([key]) => key.startsWith('m/'));
        if (!pages.some(([, k]) => JSON.stringify(k.value).includes(`"${machine.id}"`))) unrecorded++;
        placing.call(checks.rules, now, task, machine);
      };
      const isPage = (op: StoreRequest) =>
        op.kind === 'compare-and-swap' && op.puts.some((p) => p.key.startsWith('m/'));
      if (late === 'slowly') world.stateSlowMs = 1200;
      let count = 0;
      if (late === 'late, after newer ones') world.state.lateMs = () => (++count % 2 === 0 ? 2500 : null);
      if (late === 'and the answer is lost')
        world.state.losesAnswer = (_, op) => isPage(op) && ++count % 4 !== 0;
      let up = 0;
      for (let i = 0; i < 4; i++) {
        checks.insist({ op: 'submit', spec: job(`run-${i}`, { tasks: 12 }) });
        const before = world.cloud.made;
        assert.ok(world.until(() => [...world.workers.values()].some((m) => m.up && m.seq > 0), 60));
        world.run(0.3 * i);
        if (world.cloud.made > before) up++;
        const leader = world.owner;
        if (leader !== undefined) {
          world.crash(leader);
          world.run(0.5);
          world.start(leader);
        }
        world.run(6);
      }
      world.state.lateMs = null;
      world.state.losesAnswer = null;
      world.stateSlowMs = 0;
      assert.ok(up > 0);
      assert.ok(world.until(() => world.holders('run-3').length > 0, 60));
      assert.ok(checks.rules.started > 0);
      assert.equal(unrecorded, 0);
      checks.sound();
    });

  for (const ms of [1500, 3000, 3900, 6000])
    it(`commands and responses delayed by ${ms} ms at machines that then go on start nothing twice or late, and all jobs complete`, () => {
      const world = new SimulatedWorld();
      const checks = judge(world);
      world.runS = 5;
      assert.equal(world.submit(job('run-1', { tasks: 6 }))?.kind, 'accepted');
      checks.follow('run-1' as JobId);
      assert.ok(world.until(() => world.workers.size > 0 && [...world.workers.values()].some((m) => m.up)));
      for (const machineId of world.workers.keys()) world.heldUpMs.set(machineId, ms);
      for (let i = 2; i <= 8; i++) {
        world.after(i * 1500, () => {
          checks.insist({ op: 'submit', spec: job(`run-${i}`, { tasks: 2 }) });
          checks.follow(`run-${i}` as JobId);
        });
        if (i % 3 === 0)
          world.after(i * 1500 + 2500, () => checks.insist({ op: 'cancel', id: `run-${i}` as JobId }));
      }
      world.run(9);
      const leader = world.owner!;
      world.crash(leader);
      world.run(1);
      world.start(leader);
      world.run(14);
      world.heldUpMs.clear();
      checks.rules.troublesOver(world.now);
      const late = [...world.workers.values()].reduce((n, m) => n + m.lateCommands, 0);
      if (ms < 4000) assert.ok(late > 0);
      assert.ok(
        world.until(() => checks.rules.unfinished().length === 0, 150),
        checks.rules.unfinished().join(),
      );
      checks.sound();
    });

  it('more work than capacity over slow links is completed, urgent jobs first, and breaks no rule', () => {
    const world = new SimulatedWorld();
    const checks = judge(world);
    world.cloud.capacity = 3;
    world.runS = 4;
    for (let i = 1; i <= 30; i++)
      world.after(i * 400, () => {
        const urgent = i % 3 === 0;
        const id = `run-${i}` as JobId;
        checks.insist({
          op: 'submit',
          spec: job(id, {
            tasks: 3,
            cpus: 4,
            priority: urgent ? 2 : 1,
            checkpointIntervalS: 1,
            checkpointDurationS: 1,
          }),
        });
        checks.follow(id);
        if (i % 7 === 0) world.after(9000, () => checks.insist({ op: 'cancel', id }));
      });
    for (let second = 0; second < 30; second++) {
      for (const machineId of world.workers.keys()) world.heldUpMs.set(machineId, 700);
      world.run(1);
    }
    const completed = (urgent: boolean) =>
      [...Array(30).keys()].filter(
        (i) => ((i + 1) % 3 === 0) === urgent && world.doneOnRecord(`run-${i + 1}`),
      ).length;
    assert.ok(
      completed(true) / 10 > completed(false) / 20,
      `${completed(true)} of 10 urgent, ${completed(false)} of 20 others`,
    );
    world.heldUpMs.clear();
    checks.rules.troublesOver(world.now);
    assert.ok(world.until(() => checks.rules.unfinished().length === 0, 300));
    checks.sound();
  });
});

describe('placement and zones', () => {
  for (const inside of ['the leader', 'another controller'] as const)
    it(`a partition of a zone with its agents and ${inside}, for longer than a lease, breaks no rule`, () => {
      const { world, checks, leader, others } = startCheckedLongJob({ tasks: 10 }, 3);
      world.runOf.set(id, 25);
      assert.ok(world.until(() => [...world.workers.values()].flatMap((m) => m.live()).length === 10));
      world.run(2);
      checks.follow(id);
      const [busy] = world.holders(id);
      const { zone } = world.workers.get(busy!)!;
      const node = inside === 'the leader' ? leader : others[0]!;
      const within = [node, ...[...world.workers.values()].filter((m) => m.zone === zone).map((m) => m.id)];
      const outside = ['state', ...world.nodes.keys(), ...world.workers.keys()].filter(
        (x) => !within.includes(x),
      );
      for (const member of within) for (const outsider of outside) world.cut(member, outsider, 'hold');
      world.run(6);
      const cancelled = job('run-2', { tasks: 4, zone });
      checks.insist({ op: 'submit', spec: cancelled });
      world.run(24);
      checks.insist({ op: 'cancel', id: 'run-2' as JobId });
      for (const member of within) for (const outsider of outside) world.heal(member, outsider);
      checks.rules.troublesOver(world.now);
      assert.ok(
        world.until(() => checks.rules.unfinished().length === 0, 120),
        checks.rules.unfinished().join(),
      );
      checks.sound();
    });

  for (const bound of ['an array in one zone', 'an array in a given zone', 'a gang'] as const)
    for (const loss of ['die', 'are cut off'] as const)
      it(`${bound} whose machines ${loss} starts nothing in another zone while any of its tasks may be left`, () => {
        const world = new SimulatedWorld();
        const checks = judge(world);
        world.cloud.room = (_type, zone) => (zone === 'north' ? 2 : 3);
        const spec = job(id, {
          tasks: bound === 'a gang' ? 3 : 6,
          cpus: 4,
          kind: bound === 'a gang' ? 'gang' : 'array',
          oneZone: bound !== 'an array in a given zone',
          zone: bound === 'an array in a given zone' ? ('north' as ZoneName) : null,
        });
        world.runOf.set(id, 12);
        assert.equal(world.submit(spec)?.kind, 'accepted');
        assert.ok(world.until(() => world.holders(id).length >= 2));
        world.run(2);
        const leader = world.owner!;
        const [first] = world.holders(id);
        const lostZone = world.workers.get(first!)!.zone;
        if (loss === 'die') world.workers.get(first!)!.die();
        else for (const node of world.nodes.keys()) world.cut(first!, node, 'hold');
        // Its zone has no more machines to rent.
        world.cloud.room = (_type, zone) => (zone === lostZone ? 0 : 3);
        world.run(1);
        world.crash(leader);
        world.run(20);
        world.start(leader);
        if (loss !== 'die') for (const node of world.nodes.keys()) world.heal(first!, node);
        world.cloud.room = () => 3;
        checks.follow(id);
        checks.rules.troublesOver(world.now);
        assert.ok(
          world.until(() => checks.rules.unfinished().length === 0, 150),
          checks.rules.unfinished().join(),
        );
        checks.sound();
      });

  it('an array bound to one zone gets its capacity there, though machines of another zone have some free', () => {
    const world = new SimulatedWorld();
    const checks = judge(world);
    world.runS = 200;
    // One machine in each zone, with capacity for two tasks in the first and four in the second.
    for (const [k, zone, cpus] of [
      [1, 'south', 4],
      [2, 'north', 2],
    ] as const) {
      assert.equal(world.submit(job(`run-${k}`, { cpus, zone: zone as ZoneName }))?.kind, 'accepted');
      assert.ok(world.until(() => world.holders(`run-${k}`).length > 0));
    }
    const bound = { tasks: 4, cpus: 2, oneZone: true };
    assert.equal(world.submit(job('run-3', bound))?.kind, 'accepted');
    const at = (id: string): number =>
      [...world.workers.values()].flatMap((m) => m.live()).filter((t) => t.job === id).length;
    assert.ok(
      world.until(() => at('run-3') === 4, 20),
      `${at('run-3')} of 4`,
    );
    // A second one finds its zone half full, and the machine of the other zone has capacity.
    assert.equal(world.submit(job('run-4', { tasks: 5, cpus: 3, oneZone: true }))?.kind, 'accepted');
    assert.ok(
      world.until(() => at('run-4') === 5, 25),
      `${at('run-4')} of 5`,
    );
    checks.sound();
  });

  it('an array bound to one zone starts nothing elsewhere while one of its tasks may be on an unreconciled machine', () => {
    const world = new SimulatedWorld();
    world.spread = false;
    const checks = judge(world);
    world.runS = 500;
    assert.equal(world.submit(job(id, { tasks: 2, cpus: 5, oneZone: true }))?.kind, 'accepted');
    assert.ok(world.until(() => world.holders(id).length === 2));
    const [first, second] = world.holders(id).map((m) => world.workers.get(m)!);
    const elsewhere = (first!.zone === 'north' ? 'south' : 'north') as ZoneName;
    assert.equal(world.submit(job('run-2', { zone: elsewhere }))?.kind, 'accepted');
    assert.ok(world.until(() => world.holders('run-2').length > 0));
    world.run(3);
    const leader = world.owner!;
    world.cloud.down = true;
    cutLeader(world, leader, [second!.id]);
    for (const machineId of world.workers.keys())
      if (machineId !== second!.id) world.cut(machineId, leader, 'drop');
    assert.ok(world.until(() => world.owner !== undefined && world.owner !== leader, 12));
    const term = world.state.keys.get('share/0')!.revision;
    assert.ok(
      world.until(() => first!.token === term, 15),
      'heard by the next leader',
    );
    world.run(1);
    // Its task ends there without a result, and the machine is cordoned; the other zone has capacity.
    const [stopped] = first!.live();
    first!.noticeS = 60;
    first!.orders(
      term,
      first!.session,
      [{ op: 'stop', task: stopped!.task, attempt: stopped!.attempt as never, graceS: 0 }],
      () => {},
    );
    world.run(5);
    assert.ok(world.holders(id).includes(second!.id), 'the other task goes on');
    assert.deepEqual(world.holders(id), [second!.id]);
    checks.sound();
  });
});

describe('placement and quotas', () => {
  it('what unreconciled machines may run counts against the quota of a job accepted under the new term', () => {
    const world = new SimulatedWorld();
    const checks = judge(world);
    world.runS = 500;
    const small = { team: 'small' as TeamName };
    assert.equal(world.submit(job(id, { ...small, tasks: 3, zone: 'north' as ZoneName }))?.kind, 'accepted');
    // A machine with free capacity that sends the next leader a heartbeat at once.
    assert.equal(world.submit(job('run-2', { zone: 'south' as ZoneName }))?.kind, 'accepted');
    assert.ok(world.until(() => world.holders(id).length > 0 && world.holders('run-2').length > 0));
    world.run(3);
    const leader = world.owner!;
    const followers = world.holders(id);
    // They follow the leader, which is cut off, and live on; nobody can release them.
    world.cloud.down = true;
    cutLeader(world, leader, followers);
    assert.ok(world.until(() => world.owner !== undefined && world.owner !== leader, 12));
    const nextLeader = world.owner!;
    assert.equal(world.insist({ op: 'submit', spec: job('run-3', small) }, nextLeader, 5)?.kind, 'accepted');
    for (let i = 0; i < 30 && world.holders(id).length > 0; i++) {
      assert.deepEqual(world.holders('run-3'), []);
      world.run(0.2);
    }
    // Its team is below its quota again once nothing can be left of them.
    assert.ok(
      world.until(() => world.holders('run-3').length > 0, 60),
      'started in the end',
    );
    checks.sound();
  });
});
