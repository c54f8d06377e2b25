// Configuration that changes while controllers, workers and users go on: stories in memory.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec, UserResponse } from '../src/core/base/model.ts';
import { changesTo, HISTORY_LENGTH, preparation, transactionOf } from '../src/core/configuration/change.ts';
import type { ConfigDocument } from '../src/core/configuration/documents.ts';
import {
  CONFIG_HISTORY_PREFIX,
  CONFIG_PREFIX,
  CONFIGURED_LEADER_KEY,
  LEADER_KEY,
} from '../src/core/storage/keys.ts';
import type { JobId, Revision, TeamName } from '../src/types/index.ts';
import { judge } from './support/checked-world.ts';
import { LIMITS, Operator, team } from './support/operator.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

/** What is promised while most of the service is up, in seconds. */
const IN_FORCE_S = 18;
const NODES = ['node-0', 'node-1', 'node-2'];

/** Work of the team that is limited to 6 CPUs at first, for tasks of 2. */
const small = (id: string, over: Partial<JobSpec> = {}): JobSpec =>
  job(id, { team: 'small' as TeamName, ...over });

const limited = (cpusMax: number, over = {}): ConfigDocument => team('small', { cpusMax, ...over });

function world(): { w: SimulatedWorld; operator: Operator } {
  const w = new SimulatedWorld();
  w.run(4);
  return { w, operator: new Operator(w) };
}

/** CPUs that the team's tasks use on machines. */
function usedBy(w: SimulatedWorld, name: string): number {
  let cpus = 0;
  for (const m of w.workers.values())
    for (const t of m.live()) {
      const spec = w.jobs.get(t.job)?.spec;
      if (spec?.team === name) cpus += spec.cpus;
    }
  return cpus;
}

/** Judged by the limit that is in force: above it nothing of the team is started. */
function judgedByForce(
  w: SimulatedWorld,
  operator: Operator,
  limits: Map<Revision, number>,
): { starts: string[] } {
  const starts: string[] = [];
  const placed = w.placed.bind(w);
  w.placed = (machine, task) => {
    const inForce = operator.inForce?.revision ?? 0;
    const limit = [...limits].filter(([r]) => r <= inForce).at(-1)?.[1] ?? 6;
    const spec = w.jobs.get(task.slice(0, task.lastIndexOf('/')))!.spec;
    if (spec.team === 'small' && usedBy(w, 'small') + spec.cpus > limit)
      starts.push(`${w.now} ${task} beyond ${limit}`);
    placed(machine, task);
  };
  return { starts };
}

const appliedBy = (w: SimulatedWorld, node: string): number => w.nodes.get(node)!.configuration.applied;

test('without documents nothing is asked about them', () => {
  const { w } = world();
  w.submit(job('run-1'));
  w.crash(w.owner!);
  w.run(30);
  const asked = w.state.served.filter((op) => 'prefix' in op && op.prefix.startsWith('config'));
  assert.deepEqual(asked, []);
  assert.equal(w.owner === undefined, false);
  assert.equal(w.state.keys.has('share/1'), false);
});

test('a raised limit is used, and a change is in force on every node within the time promised', () => {
  const { w, operator } = world();
  w.runS = 200;
  w.submit(small('run-1', { tasks: 10 }));
  assert.equal(
    w.until(() => usedBy(w, 'small') === 6, 40),
    true,
  );
  // The world's own check knows the first limit only.
  w.placed = () => {};
  const revision = operator.change(limited(14));
  const took = operator.untilInForce(revision, IN_FORCE_S);
  assert.equal(took !== null, true, 'it is not in force');
  assert.equal(
    w.until(() => usedBy(w, 'small') === 14, 20),
    true,
    `${usedBy(w, 'small')} CPUs`,
  );
  for (const n of NODES) assert.equal(appliedBy(w, n), revision, n);
  assert.deepEqual(w.broken, []);
});

test('a limit lowered at full use while the owner ends: nothing starts above it, and what ran goes on', () => {
  const { w, operator } = world();
  w.runS = 30;
  w.submit(small('run-1', { tasks: 12 }));
  assert.equal(
    w.until(() => usedBy(w, 'small') === 6, 40),
    true,
  );
  operator.prepare();
  w.until(() => w.owner !== undefined && w.nodes.get(w.owner)!.leaderTerm!.failover.isComplete, 20);
  const limits = new Map<Revision, number>();
  const seen = judgedByForce(w, operator, limits);
  const revision = operator.change(limited(2));
  limits.set(revision, 2);
  w.crash(w.owner!);
  const took = operator.untilInForce(revision, IN_FORCE_S);
  assert.equal(took !== null, true, 'it is not in force');
  assert.equal(usedBy(w, 'small') > 2, true, 'what ran was stopped');
  w.run(200);
  assert.deepEqual(seen.starts, []);
  assert.equal(w.isDone('run-1', 'node-1') || usedBy(w, 'small') <= 2, true);
  assert.deepEqual(w.broken, []);
});

test('a former owner that was frozen starts nothing under the limit that it knows', () => {
  const { w, operator } = world();
  w.runS = 8;
  w.submit(small('run-1', { tasks: 30 }));
  assert.equal(
    w.until(() => usedBy(w, 'small') === 6, 40),
    true,
  );
  operator.prepare();
  w.run(6);
  const limits = new Map<Revision, number>();
  const seen = judgedByForce(w, operator, limits);
  const frozen = w.owner!;
  w.freeze(frozen);
  const revision = operator.change(limited(2));
  limits.set(revision, 2);
  assert.equal(operator.untilInForce(revision, IN_FORCE_S) !== null, true, 'it is not in force');
  w.thaw(frozen);
  w.run(60);
  assert.deepEqual(seen.starts, []);
  assert.deepEqual(w.broken, []);
});

test('an owner that the state service alone refuses starts nothing beyond its hold once there are documents', () => {
  const { w, operator } = world();
  operator.prepare();
  w.until(() => w.owner !== undefined && w.nodes.get(w.owner)!.leaderTerm!.failover.isComplete, 20);
  w.runS = 6;
  w.submit(small('run-1', { tasks: 20 }));
  assert.equal(
    w.until(() => usedBy(w, 'small') === 6, 40),
    true,
  );
  // Nobody else takes the share: the others can't reach the state service either, but the operator does.
  for (const n of NODES) w.state.refused.add(n);
  w.run(4);
  const before = [...w.workers.values()].reduce((n, m) => n + m.starts, 0);
  const revision = operator.change(limited(2));
  w.run(20);
  assert.equal(
    [...w.workers.values()].reduce((n, m) => n + m.starts, 0),
    before,
  );
  w.state.refused.clear();
  assert.equal(operator.untilInForce(revision, IN_FORCE_S) !== null, true, 'it is not in force');
});

test('a start on its way as a limit is lowered reaches its machine before the change is said to be in force', () => {
  const { w, operator } = world();
  operator.prepare();
  w.run(6);
  w.runS = 6;
  w.submit(small('run-1', { tasks: 40 }));
  assert.equal(
    w.until(() => usedBy(w, 'small') === 6, 40),
    true,
  );
  const limits = new Map<Revision, number>();
  const seen = judgedByForce(w, operator, limits);
  for (const id of w.workers.keys()) w.heldUpMs.set(id, 3500);
  w.run(8);
  for (let i = 0; i < 6; i++) {
    const cpus = i % 2 === 0 ? 2 : 6;
    const revision = operator.change(limited(cpus));
    limits.set(revision, cpus);
    w.run(7);
  }
  assert.deepEqual(seen.starts, []);
});

test('what is bound to a machine beyond a lowered limit is not started there', () => {
  const { w, operator } = world();
  operator.prepare();
  w.run(6);
  w.cloud.capacity = 1;
  w.runS = 20;
  w.submit(job('run-1', { tasks: 4 }));
  assert.equal(
    w.until(() => usedBy(w, 'open') === 8, 40),
    true,
  );
  w.submit(small('run-2', { tasks: 3 }));
  const owner = w.nodes.get(w.owner!)!;
  const queued = (): number =>
    [...owner.leaderTerm!.machines.byId.values()].reduce((n, m) => n + m.queue.length, 0);
  assert.equal(
    w.until(() => queued() === 2, 10),
    true,
  );
  const limits = new Map<Revision, number>();
  const seen = judgedByForce(w, operator, limits);
  const revision = operator.change(limited(2));
  limits.set(revision, 2);
  assert.equal(operator.untilInForce(revision, IN_FORCE_S) !== null, true, 'it is not in force');
  assert.equal(
    w.until(() => w.doneOnRecord('run-2'), 120),
    true,
  );
  assert.deepEqual(seen.starts, []);
});

test('a node takes the share only with the configuration that is on record', () => {
  const { w, operator } = world();
  operator.change(limited(6));
  w.run(6);
  w.runS = 600;
  w.submit(small('run-1', { tasks: 3 }));
  // The change is made between the end of the owner's hold and the next owner's term, and news of it comes late.
  w.crash(w.owner!);
  while (w.state.keys.has(CONFIGURED_LEADER_KEY)) w.run(0.001);
  w.run(0.004);
  w.state.watchLagMs = 2500;
  const revision = operator.change(limited(2));
  let early = false;
  w.until(() => {
    const owner = w.owner;
    early ||= owner !== undefined && w.nodes.get(owner)!.configuration.newest < revision;
    return (operator.inForce?.revision ?? 0) >= revision;
  }, 60);
  assert.equal(early, false);
  assert.equal((operator.inForce?.revision ?? 0) >= revision, true, 'it is not in force');
});

test('a node that hears nothing of a change for a minute takes in no job by the old one, and catches up', () => {
  const { w, operator } = world();
  operator.change(limited(6));
  w.run(5);
  const away = NODES.find((n) => n !== w.owner)!;
  for (const n of NODES) if (n !== away) w.cut(away, n, 'drop');
  w.cut(away, 'state', 'drop');
  w.run(1);
  const revision = operator.change(team('open', { removed: true }));
  assert.equal(operator.untilInForce(revision, IN_FORCE_S) !== null, true, 'it is not in force');
  w.run(60);
  assert.equal(appliedBy(w, away) < revision, true);
  assert.equal(w.nodes.get(away)!.ready, false);
  w.heal(away, 'state');
  // Its watch has not told it yet: what it would take in by itself is judged by the record.
  const box = w.ask(away, { op: 'submit', spec: job('run-1') });
  w.run(2);
  assert.notEqual(box.answer?.kind, 'accepted');
  assert.equal(w.state.keys.has('o/run-1'), false);
  for (const n of NODES) if (n !== away) w.heal(away, n);
  assert.equal(
    w.until(() => appliedBy(w, away) === revision, IN_FORCE_S),
    true,
  );
});

test('a submission judged by an older configuration is not taken in by a node without the owner', () => {
  const { w, operator } = world();
  operator.change(limited(6));
  w.run(6);
  const apart = NODES.find((n) => n !== w.owner)!;
  for (const n of NODES) if (n !== apart) w.cut(apart, n, 'drop');
  w.run(5);
  w.state.watchLagMs = 60_000;
  w.run(5);
  operator.change(team('open', { removed: true }));
  const answer = w.ask(apart, { op: 'submit', spec: job('run-1') });
  w.run(1);
  assert.equal(answer.answer?.kind, 'retry');
  assert.equal(w.state.keys.has('o/run-1'), false);
});

test('a watch that is too old reads the news again', () => {
  const { w, operator } = world();
  operator.change(limited(6));
  w.run(3);
  for (const n of NODES) w.cut(n, 'state', 'drop');
  const revision = operator.change(limited(4));
  for (let i = 0; i < 20_100; i++)
    operator.commit({ conditions: [], puts: [{ key: `x/${i % 50}`, value: i }], deletes: [] });
  for (const n of NODES) w.heal(n, 'state');
  assert.equal(
    w.until(() => NODES.every((n) => appliedBy(w, n) === revision), 30),
    true,
  );
});

test('a removed team takes no new work, and what was accepted ends; a repeated submission is known', () => {
  const { w, operator } = world();
  w.runS = 20;
  const spec = small('run-1', { tasks: 3 });
  w.submit(spec);
  const revision = operator.change(limited(6, { removed: true }));
  assert.equal(operator.untilInForce(revision, IN_FORCE_S) !== null, true, 'it is not in force');
  const refused = w.submit(small('run-2'));
  assert.equal(refused?.kind, 'impossible');
  assert.match((refused as Extract<UserResponse, { kind: 'impossible' }>).reason, /closed to new work/);
  assert.equal(w.submit(spec, 'node-1')?.kind, 'known');
  assert.equal(
    w.until(() => w.doneOnRecord('run-1'), 60),
    true,
  );
});

test('a job that its lowered limit does not allow waits and says why, and runs when the limit is raised', () => {
  const { w, operator } = world();
  w.runS = 5;
  operator.prepare();
  w.run(6);
  for (const n of NODES) w.cut(n, 'cloud', 'drop');
  const gang = small('run-1', { kind: 'gang', tasks: 3 });
  assert.equal(w.submit(gang)?.kind, 'accepted');
  const revision = operator.change(limited(4));
  assert.equal(operator.untilInForce(revision, IN_FORCE_S) !== null, true, 'it is not in force');
  for (const n of NODES) w.heal(n, 'cloud');
  w.run(60);
  for (const n of NODES) {
    const a = w.status('run-1', n) as Extract<UserResponse, { kind: 'status' }>;
    assert.equal(a.status, 'queued');
    assert.match(a.reason ?? '', /needs 6 CPUs at once and team small may use 4/);
  }
  assert.equal(w.submit(gang, 'node-2')?.kind, 'known');
  assert.equal(w.submit(small('run-2', { kind: 'gang', tasks: 3 }))?.kind, 'impossible');
  operator.change(limited(6));
  assert.equal(
    w.until(() => w.doneOnRecord('run-1'), 60),
    true,
  );
});

test('what runs above a lowered limit is stopped if its document says so, whoever owns the share', () => {
  const { w, operator } = world();
  w.runS = 600;
  w.submit(small('run-1', { tasks: 3 }));
  assert.equal(
    w.until(() => usedBy(w, 'small') === 6, 40),
    true,
  );
  operator.change(limited(2, { above: { kind: 'stop', withinS: 20 } }));
  w.crash(w.owner!);
  assert.equal(
    w.until(() => usedBy(w, 'small') === 2, 40),
    true,
    `${usedBy(w, 'small')} CPUs`,
  );
  w.run(60);
  assert.equal(usedBy(w, 'small'), 2);
  assert.deepEqual(w.broken, []);
});

test('a take-over in the middle of a batch of changes: the last is in force, and reads are bounded', () => {
  const { w, operator } = world();
  operator.change(limited(6));
  w.run(6);
  const reads = (): number =>
    w.state.served.filter((op) => 'prefix' in op && op.prefix === CONFIG_PREFIX).length;
  const before = reads();
  let last = 0 as Revision;
  for (let i = 0; i < 200; i++) {
    last = operator.change(limited(3 + (i % 4)));
    if (i === 90) w.crash(w.owner!);
    w.run(0.05);
  }
  assert.equal(operator.untilInForce(last, IN_FORCE_S) !== null, true, 'it is not in force');
  assert.equal(reads() - before <= 3 * 25, true, `${reads() - before} reads`);
  assert.equal(w.state.keys.size > 0, true);
  const kept = [...w.state.keys.keys()].filter((k) => k.startsWith(CONFIG_HISTORY_PREFIX));
  assert.equal(kept.length, HISTORY_LENGTH);
});

test('a change can be undone, and the settings file holds again where no document is left', () => {
  const { w, operator } = world();
  operator.change(limited(4));
  operator.change(limited(2), team('guests', { cpusMax: 2 }));
  w.run(4);
  assert.equal(w.submit(job('run-1', { team: 'guests' as TeamName }))?.kind, 'accepted');
  operator.rollback(1);
  w.run(4);
  const teams = (): string =>
    [...w.nodes.get(w.owner!)!.configuration.effective.teams.values()]
      .map((t) => `${t.name} ${t.cpusMax}`)
      .join(', ');
  assert.equal(teams(), 'open 0, small 4');
  // Accepted when its team was there, it is neither lost nor refused.
  assert.equal(w.submit(job('run-1', { team: 'guests' as TeamName }), 'node-2')?.kind, 'known');
  operator.rollback(0);
  w.run(4);
  assert.equal(teams(), 'open 0, small 6');
});

test('the share moves under its owner without a pause, also while the owner writes', () => {
  const { w, operator } = world();
  const owner = w.owner!;
  for (let i = 0; i < 60; i++) w.ask('node-1', { op: 'submit', spec: job(`run-${i}`) });
  w.run(0.1);
  operator.prepare();
  assert.equal(w.owner, owner);
  assert.equal(
    w.until(() => w.nodes.get(owner)!.leaderTerm?.failover.isComplete === true, 5),
    true,
  );
  assert.equal(w.logs.filter((l) => l.includes('leadership acquired')).length, 2);
});

test('an owner that loses its term while the share is to move can own it again', () => {
  const { w, operator } = world();
  const first = w.owner!;
  operator.commit(preparation('first', w.now));
  // It has heard of it, and can't write.
  w.run(0.005);
  w.state.refused.add(first);
  assert.equal(
    w.until(() => w.owner !== undefined && w.owner !== first, 20),
    true,
  );
  w.state.refused.delete(first);
  w.run(10);
  for (const n of NODES) if (n !== first) w.crash(n);
  assert.equal(
    w.until(() => w.owner === first, 20),
    true,
  );
});

test('no document is written before the share has moved', () => {
  const { w, operator } = world();
  operator.commit(preparation('first', w.now));
  const before = w.state.keys.get(LEADER_KEY)!.revision;
  const { snapshot } = operator;
  const changes = changesTo(snapshot, [limited(2)]);
  const early = transactionOf(snapshot, changes, 'early', w.now, (before + 1) as Revision, LIMITS);
  assert.equal(operator.commit(early).kind, 'conflict');
});

test('two operators at once: one transaction of them is carried out', () => {
  const { operator } = world();
  operator.prepare();
  const [first, second] = [operator.planned([limited(4)], 'one'), operator.planned([limited(2)], 'two')];
  assert.equal(operator.commit(first).kind, 'committed');
  assert.equal(operator.commit(second).kind, 'conflict');
  // Carried out once more, late, a change does nothing.
  assert.equal(operator.commit(first).kind, 'conflict');
});

test('once there are documents a version that does not know them cannot take the share', () => {
  const { w, operator } = world();
  operator.change(limited(4));
  for (const n of NODES) w.crash(n);
  w.run(20);
  // It takes the share on the condition that nobody stands under the first key, and looks for a node's name there.
  const kept = w.state.keys.get(LEADER_KEY)!;
  assert.equal((kept.value as { node?: string }).node, undefined);
  const take = {
    conditions: [{ key: LEADER_KEY, revision: 0 as Revision }],
    puts: [{ key: LEADER_KEY, value: { node: 'old' } }],
    deletes: [],
  };
  assert.equal(operator.commit(take).kind, 'conflict');
  w.start('node-1');
  assert.equal(
    w.until(() => w.owner === 'node-1', 20),
    true,
  );
  assert.equal(appliedBy(w, 'node-1'), operator.snapshot.revision);
});

test('a new owner that cannot read the documents starts nothing', () => {
  const { w, operator } = world();
  w.runS = 600;
  operator.change(limited(2));
  w.run(6);
  w.crash(w.owner!);
  w.state.unreadable = CONFIG_PREFIX;
  // News of a change make its reads necessary on every node.
  operator.change(limited(4));
  assert.equal(
    w.until(() => w.owner !== undefined, 20),
    true,
  );
  const alive = w.owner!;
  w.ask(alive, { op: 'submit', spec: small('run-1') });
  w.run(30);
  assert.equal(usedBy(w, 'small'), 0);
  assert.equal(w.nodes.get(alive)!.leaderTerm!.failover.isLoaded, false);
  for (const c of w.nodes.values()) assert.equal(c.ready, false);
  w.state.unreadable = null;
  w.submit(small('run-1'), alive);
  assert.equal(
    w.until(() => usedBy(w, 'small') === 2, 40),
    true,
  );
});

test('a document of a later version is not applied, and an owner that knows of it starts nothing more', () => {
  const { w, operator } = world();
  w.runS = 600;
  operator.change(limited(6));
  w.run(6);
  const later = { key: 'config/team/small', value: { v: 2, cpusMax: 2 } };
  const planned = operator.planned([limited(4)]);
  operator.commit({ ...planned, puts: planned.puts.map((p) => (p.key === later.key ? later : p)) });
  w.run(10);
  w.ask(w.owner!, { op: 'submit', spec: small('run-1') });
  w.run(20);
  assert.equal(usedBy(w, 'small'), 0);
  assert.match(w.logs.join('\n'), /a configuration document cannot be read/);
});

test('limits change under troubles that meet, judged by the rules', () => {
  const { w, operator } = world();
  const j = judge(w);
  w.runS = 4;
  for (let i = 0; i < 6; i++) j.insist({ op: 'submit', spec: small(`run-${i}`, { tasks: 6 }) });
  operator.prepare();
  for (let i = 0; i < 12; i++) {
    operator.change(limited(2 + (i % 3) * 2));
    if (i % 4 === 1) {
      const name = w.owner;
      if (name !== undefined) {
        w.crash(name);
        w.after(400, () => w.start(name));
      }
    }
    if (i % 4 === 2) w.state.outage(5);
    w.run(10);
  }
  operator.change(limited(6));
  for (let i = 0; i < 6; i++) j.follow(`run-${i}` as JobId);
  assert.equal(
    w.until(() => [0, 1, 2, 3, 4, 5].every((i) => w.doneOnRecord(`run-${i}`)), 200),
    true,
  );
  j.sound();
});
