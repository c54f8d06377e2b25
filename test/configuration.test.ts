// Changes of the configuration during operation, in a simulated world of controllers, agents and users.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec, UserResponse } from '../src/core/base/model.ts';
import {
  changeTransaction,
  HISTORY_LENGTH,
  planChanges,
  preparationTransaction,
} from '../src/core/configuration/change.ts';
import type { ConfigDocument } from '../src/core/configuration/documents.ts';
import {
  CONFIG_HISTORY_PREFIX,
  CONFIG_PREFIX,
  CONFIGURED_LEADER_KEY,
  LEADER_KEY,
} from '../src/core/storage/keys.ts';
import type { JobId, Revision, TeamName } from '../src/types/index.ts';
import { successor } from '../src/types/uint64.ts';
import { checkRules } from './support/checked-world.ts';
import { LIMITS, Operator, team } from './support/operator.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

/** The guaranteed time until a change is in force while most of the service is up, in seconds. */
const IN_FORCE_S = 18;
const NODES = ['node-0', 'node-1', 'node-2'];

/** A job of team `small`, whose initial limit is 6 CPUs; each task needs 2 CPUs. */
const limitedJob = (id: string, changes: Partial<JobSpec> = {}): JobSpec =>
  job(id, { team: 'small' as TeamName, ...changes });

const limitedTeam = (cpusMax: number, changes = {}): ConfigDocument => team('small', { cpusMax, ...changes });

function startWorld(): { world: SimulatedWorld; operator: Operator } {
  const world = new SimulatedWorld();
  world.run(4);
  return { world, operator: new Operator(world) };
}

/** The number of CPUs that the team's tasks on machines use. */
function cpusUsedBy(world: SimulatedWorld, name: string): number {
  let cpus = 0;
  for (const machine of world.workers.values()) {
    for (const task of machine.activeTasks()) {
      const spec = world.jobs.get(task.job)?.spec;
      if (spec?.team === name) cpus += spec.cpus;
    }
  }
  return cpus;
}

/** The number of task starts on all machines. */
const countStarts = (world: SimulatedWorld): number =>
  [...world.workers.values()].reduce((sum, machine) => sum + machine.starts, 0);

/** Records task starts of team `small` that exceed the limit in force at that time. */
function watchStartsAboveLimit(
  world: SimulatedWorld,
  operator: Operator,
  limits: Map<Revision, number>,
): { starts: string[] } {
  const starts: string[] = [];
  const onTaskPlaced = world.onTaskPlaced.bind(world);
  world.onTaskPlaced = (machine, task) => {
    const inForce = operator.inForce?.revision ?? 0;
    const limit = [...limits].filter(([revision]) => revision <= inForce).at(-1)?.[1] ?? 6;
    const spec = world.jobs.get(task.slice(0, task.lastIndexOf('/')))!.spec;
    if (spec.team === 'small' && cpusUsedBy(world, 'small') + spec.cpus > limit)
      starts.push(`${world.now} ${task} above the limit of ${limit} CPUs`);
    onTaskPlaced(machine, task);
  };
  return { starts };
}

/** Asserts that the condition becomes true within this number of seconds of simulated time. */
function assertWithin(
  world: SimulatedWorld,
  seconds: number,
  condition: () => boolean,
  message?: () => string,
): void {
  assert.equal(world.until(condition, seconds), true, message?.());
}

/** Asserts that a revision is declared in force within the guaranteed time. */
function assertInForce(operator: Operator, revision: Revision): void {
  const isInForce = operator.secondsUntilInForce(revision, IN_FORCE_S) !== null;
  assert.equal(isInForce, true, `revision ${revision} is not in force after ${IN_FORCE_S} s`);
}

const appliedBy = (world: SimulatedWorld, node: string): Revision =>
  world.nodes.get(node)!.configuration.appliedRevision;

describe('a cluster without configuration documents', () => {
  it('sends the store no requests for documents, also during a failover', () => {
    const { world } = startWorld();
    world.submit(job('run-1'));
    world.crash(world.leader!);
    world.run(30);
    const requests = world.state.executedRequests.filter(
      (op) => 'prefix' in op && op.prefix.startsWith('config'),
    );
    assert.deepEqual(requests, []);
    assert.equal(world.leader === undefined, false);
    assert.equal(world.state.entries.has('share/1'), false);
  });
});

describe('a change of a limit', () => {
  it('raises the limit, and is in force on every node within the guaranteed time', () => {
    const { world, operator } = startWorld();
    world.runS = 200;
    world.submit(limitedJob('run-1', { tasks: 10 }));
    assertWithin(world, 40, () => cpusUsedBy(world, 'small') === 6);
    // The check built into the world uses the initial limit only.
    world.onTaskPlaced = () => {};
    const revision = operator.change(limitedTeam(14));
    assertInForce(operator, revision);
    assertWithin(
      world,
      20,
      () => cpusUsedBy(world, 'small') === 14,
      () => `${cpusUsedBy(world, 'small')} CPUs`,
    );
    for (const node of NODES) assert.equal(appliedBy(world, node), revision, node);
    assert.deepEqual(world.violations, []);
  });

  it('lowers the limit at full use while the leader crashes: no task starts above it, running tasks go on', () => {
    const { world, operator } = startWorld();
    world.runS = 30;
    world.submit(limitedJob('run-1', { tasks: 12 }));
    assertWithin(world, 40, () => cpusUsedBy(world, 'small') === 6);
    operator.prepare();
    world.until(
      () => world.leader !== undefined && world.nodes.get(world.leader)!.leaderTerm!.failover.isComplete,
      20,
    );
    const limits = new Map<Revision, number>();
    const watched = watchStartsAboveLimit(world, operator, limits);
    const revision = operator.change(limitedTeam(2));
    limits.set(revision, 2);
    world.crash(world.leader!);
    assertInForce(operator, revision);
    assert.equal(cpusUsedBy(world, 'small') > 2, true, 'running tasks were stopped');
    world.run(200);
    assert.deepEqual(watched.starts, []);
    assert.equal(world.isDone('run-1', 'node-1') || cpusUsedBy(world, 'small') <= 2, true);
    assert.deepEqual(world.violations, []);
  });

  it('does not let a former leader that was frozen start tasks under its outdated limit', () => {
    const { world, operator } = startWorld();
    world.runS = 8;
    world.submit(limitedJob('run-1', { tasks: 30 }));
    assertWithin(world, 40, () => cpusUsedBy(world, 'small') === 6);
    operator.prepare();
    world.run(6);
    const limits = new Map<Revision, number>();
    const watched = watchStartsAboveLimit(world, operator, limits);
    const frozen = world.leader!;
    world.freeze(frozen);
    const revision = operator.change(limitedTeam(2));
    limits.set(revision, 2);
    assertInForce(operator, revision);
    world.thaw(frozen);
    world.run(60);
    assert.deepEqual(watched.starts, []);
    assert.deepEqual(world.violations, []);
  });

  it('with documents, does not let a leader refused only by the store start tasks after its lease has ended', () => {
    const { world, operator } = startWorld();
    operator.prepare();
    world.until(
      () => world.leader !== undefined && world.nodes.get(world.leader)!.leaderTerm!.failover.isComplete,
      20,
    );
    world.runS = 6;
    world.submit(limitedJob('run-1', { tasks: 20 }));
    assertWithin(world, 40, () => cpusUsedBy(world, 'small') === 6);
    // The store refuses all controllers, so that no other one is elected, but not the operator.
    for (const node of NODES) world.state.refusedNodes.add(node);
    world.run(4);
    const startsBefore = countStarts(world);
    const revision = operator.change(limitedTeam(2));
    world.run(20);
    assert.equal(countStarts(world), startsBefore);
    world.state.refusedNodes.clear();
    assertInForce(operator, revision);
  });

  it('is declared in force only after start commands in transit have reached their machines', () => {
    const { world, operator } = startWorld();
    operator.prepare();
    world.run(6);
    world.runS = 6;
    world.submit(limitedJob('run-1', { tasks: 40 }));
    assertWithin(world, 40, () => cpusUsedBy(world, 'small') === 6);
    const limits = new Map<Revision, number>();
    const watched = watchStartsAboveLimit(world, operator, limits);
    for (const id of world.workers.keys()) world.extraLatencyMs.set(id, 3500);
    world.run(8);
    for (let i = 0; i < 6; i++) {
      const cpus = i % 2 === 0 ? 2 : 6;
      const revision = operator.change(limitedTeam(cpus));
      limits.set(revision, cpus);
      world.run(7);
    }
    assert.deepEqual(watched.starts, []);
  });

  it('does not let tasks queued on a machine start above the lowered limit', () => {
    const { world, operator } = startWorld();
    operator.prepare();
    world.run(6);
    world.cloud.capacity = 1;
    world.runS = 20;
    world.submit(job('run-1', { tasks: 4 }));
    assertWithin(world, 40, () => cpusUsedBy(world, 'open') === 8);
    world.submit(limitedJob('run-2', { tasks: 3 }));
    const leader = world.nodes.get(world.leader!)!;
    const queued = (): number =>
      [...leader.leaderTerm!.machines.byId.values()].reduce((sum, machine) => sum + machine.queue.length, 0);
    assertWithin(world, 10, () => queued() === 2);
    const limits = new Map<Revision, number>();
    const watched = watchStartsAboveLimit(world, operator, limits);
    const revision = operator.change(limitedTeam(2));
    limits.set(revision, 2);
    assertInForce(operator, revision);
    assertWithin(world, 120, () => world.isDoneInStore('run-2'));
    assert.deepEqual(watched.starts, []);
  });
});

describe('a controller that lags behind the configuration', () => {
  it('is elected only after it knows the configuration on record', () => {
    const { world, operator } = startWorld();
    operator.change(limitedTeam(6));
    world.run(6);
    world.runS = 600;
    world.submit(limitedJob('run-1', { tasks: 3 }));
    // The change is made between the end of the leader's lease and the term of the next leader, and the watch
    // reports it late.
    world.crash(world.leader!);
    while (world.state.entries.has(CONFIGURED_LEADER_KEY)) world.run(0.001);
    world.run(0.004);
    world.state.watchLagMs = 2500;
    const revision = operator.change(limitedTeam(2));
    let wasElectedEarly = false;
    world.until(() => {
      const leader = world.leader;
      wasElectedEarly ||=
        leader !== undefined && world.nodes.get(leader)!.configuration.newestRevision < revision;
      return (operator.inForce?.revision ?? 0) >= revision;
    }, 60);
    assert.equal(wasElectedEarly, false);
    const isInForce = (operator.inForce?.revision ?? 0) >= revision;
    assert.equal(isInForce, true, `revision ${revision} is not in force after 60 s`);
  });

  it('accepts no job under the old configuration after a minute of isolation, and catches up', () => {
    const { world, operator } = startWorld();
    operator.change(limitedTeam(6));
    world.run(5);
    const isolated = NODES.find((n) => n !== world.leader)!;
    for (const node of NODES) if (node !== isolated) world.cut(isolated, node, 'drop');
    world.cut(isolated, 'state', 'drop');
    world.run(1);
    const revision = operator.change(team('open', { removed: true }));
    assertInForce(operator, revision);
    world.run(60);
    assert.equal(appliedBy(world, isolated) < revision, true);
    assert.equal(world.nodes.get(isolated)!.ready, false);
    world.heal(isolated, 'state');
    // Its watch has not reported the change yet: a submission that it accepts without the leader is written
    // on the condition that the configuration on record is unchanged.
    const request = world.sendRequest(isolated, { op: 'submit', spec: job('run-1') });
    world.run(2);
    assert.notEqual(request.answer?.kind, 'accepted');
    assert.equal(world.state.entries.has('o/run-1'), false);
    for (const node of NODES) if (node !== isolated) world.heal(isolated, node);
    assertWithin(world, IN_FORCE_S, () => appliedBy(world, isolated) === revision);
  });

  it('without the leader, accepts no submission that was checked against an outdated configuration', () => {
    const { world, operator } = startWorld();
    operator.change(limitedTeam(6));
    world.run(6);
    const isolated = NODES.find((n) => n !== world.leader)!;
    for (const node of NODES) if (node !== isolated) world.cut(isolated, node, 'drop');
    world.run(5);
    world.state.watchLagMs = 60_000;
    world.run(5);
    operator.change(team('open', { removed: true }));
    const request = world.sendRequest(isolated, { op: 'submit', spec: job('run-1') });
    world.run(1);
    assert.equal(request.answer?.kind, 'retry');
    assert.equal(world.state.entries.has('o/run-1'), false);
  });

  it('lists the shard again when the store no longer has the events that its watch missed', () => {
    const { world, operator } = startWorld();
    operator.change(limitedTeam(6));
    world.run(3);
    for (const node of NODES) world.cut(node, 'state', 'drop');
    const revision = operator.change(limitedTeam(4));
    for (let i = 0; i < 20_100; i++)
      operator.commit({ conditions: [], puts: [{ key: `x/${i % 50}`, value: i }], deletes: [] });
    for (const node of NODES) world.heal(node, 'state');
    assertWithin(world, 30, () => NODES.every((n) => appliedBy(world, n) === revision));
  });
});

describe('a team under a changed limit', () => {
  it('accepts no new jobs once it is removed; accepted jobs end, and repeated submissions are recognised', () => {
    const { world, operator } = startWorld();
    world.runS = 20;
    const spec = limitedJob('run-1', { tasks: 3 });
    world.submit(spec);
    const revision = operator.change(limitedTeam(6, { removed: true }));
    assertInForce(operator, revision);
    const refused = world.submit(limitedJob('run-2'));
    assert.equal(refused?.kind, 'impossible');
    assert.match((refused as Extract<UserResponse, { kind: 'impossible' }>).reason, /closed to new work/);
    assert.equal(world.submit(spec, 'node-1')?.kind, 'known');
    assertWithin(world, 60, () => world.isDoneInStore('run-1'));
  });

  it('keeps a job queued that the lowered limit does not allow, with a reason, until the limit is raised', () => {
    const { world, operator } = startWorld();
    world.runS = 5;
    operator.prepare();
    world.run(6);
    for (const node of NODES) world.cut(node, 'cloud', 'drop');
    const gang = limitedJob('run-1', { kind: 'gang', tasks: 3 });
    assert.equal(world.submit(gang)?.kind, 'accepted');
    const revision = operator.change(limitedTeam(4));
    assertInForce(operator, revision);
    for (const node of NODES) world.heal(node, 'cloud');
    world.run(60);
    for (const node of NODES) {
      const status = world.status('run-1', node) as Extract<UserResponse, { kind: 'status' }>;
      assert.equal(status.status, 'queued');
      assert.match(status.reason ?? '', /needs 6 CPUs at once and team small may use 4/);
    }
    assert.equal(world.submit(gang, 'node-2')?.kind, 'known');
    assert.equal(world.submit(limitedJob('run-2', { kind: 'gang', tasks: 3 }))?.kind, 'impossible');
    operator.change(limitedTeam(6));
    assertWithin(world, 60, () => world.isDoneInStore('run-1'));
  });

  it('has tasks above the lowered limit stopped if its document requires it, also by a new leader', () => {
    const { world, operator } = startWorld();
    world.runS = 600;
    world.submit(limitedJob('run-1', { tasks: 3 }));
    assertWithin(world, 40, () => cpusUsedBy(world, 'small') === 6);
    operator.change(limitedTeam(2, { above: { kind: 'stop', withinS: 20 } }));
    world.crash(world.leader!);
    assertWithin(
      world,
      40,
      () => cpusUsedBy(world, 'small') === 2,
      () => `${cpusUsedBy(world, 'small')} CPUs`,
    );
    world.run(60);
    assert.equal(cpusUsedBy(world, 'small'), 2);
    assert.deepEqual(world.violations, []);
  });
});

describe('a sequence of changes', () => {
  it('has its last change in force after a failover midway, with a bounded number of reads', () => {
    const { world, operator } = startWorld();
    operator.change(limitedTeam(6));
    world.run(6);
    const reads = (): number =>
      world.state.executedRequests.filter((op) => 'prefix' in op && op.prefix === CONFIG_PREFIX).length;
    const before = reads();
    let last = 0 as Revision;
    for (let i = 0; i < 200; i++) {
      last = operator.change(limitedTeam(3 + (i % 4)));
      if (i === 90) world.crash(world.leader!);
      world.run(0.05);
    }
    assertInForce(operator, last);
    assert.equal(reads() - before <= 3 * 25, true, `${reads() - before} reads`);
    assert.equal(world.state.entries.size > 0, true);
    const historyKeys = [...world.state.entries.keys()].filter((k) => k.startsWith(CONFIG_HISTORY_PREFIX));
    assert.equal(historyKeys.length, HISTORY_LENGTH);
  });

  it('can be undone, and the settings file applies again where no document is left', () => {
    const { world, operator } = startWorld();
    operator.change(limitedTeam(4));
    operator.change(limitedTeam(2), team('guests', { cpusMax: 2 }));
    world.run(4);
    assert.equal(world.submit(job('run-1', { team: 'guests' as TeamName }))?.kind, 'accepted');
    operator.rollback(1);
    world.run(4);
    const teams = (): string =>
      [...world.nodes.get(world.leader!)!.configuration.effective.teams.values()]
        .map((teamConfig) => `${teamConfig.name} ${teamConfig.cpusMax}`)
        .join(', ');
    assert.equal(teams(), 'open 0, small 4');
    // The job was accepted while its team existed: it is neither lost nor refused.
    assert.equal(world.submit(job('run-1', { team: 'guests' as TeamName }), 'node-2')?.kind, 'known');
    operator.rollback(0);
    world.run(4);
    assert.equal(teams(), 'open 0, small 6');
  });
});

describe('the migration of the leader key', () => {
  it('does not interrupt the leader, even while it writes', () => {
    const { world, operator } = startWorld();
    const leader = world.leader!;
    for (let i = 0; i < 60; i++) world.sendRequest('node-1', { op: 'submit', spec: job(`run-${i}`) });
    world.run(0.1);
    operator.prepare();
    assert.equal(world.leader, leader);
    assertWithin(world, 5, () => world.nodes.get(leader)!.leaderTerm?.failover.isComplete === true);
    assert.equal(world.logs.filter((l) => l.includes('leadership acquired')).length, 2);
  });

  it('allows a leader that loses its term during the migration to be elected again', () => {
    const { world, operator } = startWorld();
    const first = world.leader!;
    operator.commit(preparationTransaction('first', world.now));
    // The leader has learned of the announced change, and cannot write.
    world.run(0.005);
    world.state.refusedNodes.add(first);
    assertWithin(world, 20, () => world.leader !== undefined && world.leader !== first);
    world.state.refusedNodes.delete(first);
    world.run(10);
    for (const node of NODES) if (node !== first) world.crash(node);
    assertWithin(world, 20, () => world.leader === first);
  });
});

describe('the transaction of a change', () => {
  it('writes no document before the leader key has moved', () => {
    const { world, operator } = startWorld();
    operator.commit(preparationTransaction('first', world.now));
    const before = world.state.entries.get(LEADER_KEY)!.revision;
    const { snapshot } = operator;
    const changes = planChanges(snapshot, [limitedTeam(2)]);
    const early = changeTransaction(
      snapshot,
      changes,
      'early',
      world.now,
      successor(before) as Revision,
      LIMITS,
    );
    assert.equal(operator.commit(early).kind, 'conflict');
  });

  it('is carried out for only one of two operators who make changes at the same time', () => {
    const { operator } = startWorld();
    operator.prepare();
    const [first, second] = [
      operator.planned([limitedTeam(4)], 'one'),
      operator.planned([limitedTeam(2)], 'two'),
    ];
    assert.equal(operator.commit(first).kind, 'committed');
    assert.equal(operator.commit(second).kind, 'conflict');
    // A late repetition of a change that was carried out has no effect.
    assert.equal(operator.commit(first).kind, 'conflict');
  });
});

describe('the stored form of a change', () => {
  it('has the fields, in the order, that every version of the program reads', () => {
    const snapshot = { revision: 0 as Revision, head: null, documents: [] };
    const wanted: ConfigDocument[] = [
      limitedTeam(4, { above: { kind: 'stop', withinS: 30 } }),
      {
        kind: 'objectives',
        objectives: [{ kind: 'wait', class: null, withinS: 5, share: 0.5, times: null }],
      },
      { kind: 'dispatch', dispatch: { threshold: 2, classFloor: 0.5 } },
    ];
    const transaction = changeTransaction(
      snapshot,
      planChanges(snapshot, wanted),
      'one',
      1000,
      7 as Revision,
      LIMITS,
    );
    const stored = new Map(transaction.puts.map(({ key, value }) => [key, JSON.stringify(value)]));
    const head = '{"v":1,"number":1,"id":"one","at":1000}';
    const limits =
      '"cpus":0,"cpusMax":4,"gpus":0,"gpusMax":0,"above":{"kind":"stop","withinS":30},"removed":false';
    const objectives = '[{"kind":"wait","class":null,"withinS":5,"share":0.5,"times":null}]';
    const dispatch = '"threshold":2,"classFloor":0.5';
    const changes = [
      `{"key":"config/team/small","before":null,"after":{"kind":"team","name":"small","team":{${limits}}}}`,
      `{"key":"config/objectives","before":null,"after":{"kind":"objectives","objectives":${objectives}}}`,
      `{"key":"config/dispatch","before":null,"after":{"kind":"dispatch","dispatch":{${dispatch}}}}`,
    ];
    assert.deepEqual(
      [...stored],
      [
        ['config/head', head],
        ['share/config', head],
        [
          'config-history/0000000001',
          `{"v":1,"number":1,"id":"one","at":1000,"changes":[${changes.join()}]}`,
        ],
        ['config/team/small', `{"v":1,${limits}}`],
        ['config/objectives', `{"v":1,"objectives":${objectives}}`],
        ['config/dispatch', `{"v":1,${dispatch}}`],
      ],
    );
  });
});

describe('a controller that cannot read the documents', () => {
  it('cannot be elected if its version does not support documents', () => {
    const { world, operator } = startWorld();
    operator.change(limitedTeam(4));
    for (const node of NODES) world.crash(node);
    world.run(20);
    // A controller of such a version is elected on the condition that the first leader key is absent, and
    // reads the name of the leading node from its record.
    const leaderItem = world.state.entries.get(LEADER_KEY)!;
    assert.equal((leaderItem.value as { node?: string }).node, undefined);
    const claim = {
      conditions: [{ key: LEADER_KEY, revision: 0 as Revision }],
      puts: [{ key: LEADER_KEY, value: { node: 'old' } }],
      deletes: [],
    };
    assert.equal(operator.commit(claim).kind, 'conflict');
    world.start('node-1');
    assertWithin(world, 20, () => world.leader === 'node-1');
    assert.equal(appliedBy(world, 'node-1'), operator.snapshot.revision);
  });

  it('starts no tasks as a new leader', () => {
    const { world, operator } = startWorld();
    world.runS = 600;
    operator.change(limitedTeam(2));
    world.run(6);
    world.crash(world.leader!);
    world.state.refusedListPrefix = CONFIG_PREFIX;
    // Every node learns of this change and has to read the documents.
    operator.change(limitedTeam(4));
    assertWithin(world, 20, () => world.leader !== undefined);
    const newLeader = world.leader!;
    world.sendRequest(newLeader, { op: 'submit', spec: limitedJob('run-1') });
    world.run(30);
    assert.equal(cpusUsedBy(world, 'small'), 0);
    assert.equal(world.nodes.get(newLeader)!.leaderTerm!.failover.isLoaded, false);
    for (const controller of world.nodes.values()) assert.equal(controller.ready, false);
    world.state.refusedListPrefix = null;
    world.submit(limitedJob('run-1'), newLeader);
    assertWithin(world, 40, () => cpusUsedBy(world, 'small') === 2);
  });

  it('does not apply a document of a later version, and starts no more tasks as the leader', () => {
    const { world, operator } = startWorld();
    world.runS = 600;
    operator.change(limitedTeam(6));
    world.run(6);
    const laterDocument = { key: 'config/team/small', value: { v: 2, cpusMax: 2 } };
    const planned = operator.planned([limitedTeam(4)]);
    operator.commit({
      ...planned,
      puts: planned.puts.map((p) => (p.key === laterDocument.key ? laterDocument : p)),
    });
    world.run(10);
    world.sendRequest(world.leader!, { op: 'submit', spec: limitedJob('run-1') });
    world.run(20);
    assert.equal(cpusUsedBy(world, 'small'), 0);
    assert.match(world.logs.join('\n'), /a configuration document cannot be read/);
  });
});

describe('changes of limits during faults', () => {
  it('violate no rule of the service while crashes and store outages coincide', () => {
    const { world, operator } = startWorld();
    const checked = checkRules(world);
    world.runS = 4;
    for (let i = 0; i < 6; i++)
      checked.requestUntilAnswered({ op: 'submit', spec: limitedJob(`run-${i}`, { tasks: 6 }) });
    operator.prepare();
    for (let i = 0; i < 12; i++) {
      operator.change(limitedTeam(2 + (i % 3) * 2));
      if (i % 4 === 1) {
        const leader = world.leader;
        if (leader !== undefined) {
          world.crash(leader);
          world.after(400, () => world.start(leader));
        }
      }
      if (i % 4 === 2) world.state.outage(5);
      world.run(10);
    }
    operator.change(limitedTeam(6));
    for (let i = 0; i < 6; i++) checked.pollStatus(`run-${i}` as JobId);
    assertWithin(world, 200, () => [0, 1, 2, 3, 4, 5].every((i) => world.isDoneInStore(`run-${i}`)));
    checked.assertNoViolations();
  });
});
