// Services beside gangs and arrays, machines that are up before anything was asked for, and teams whose share is counted in
// accelerators.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Job } from '../src/core/jobs/job.ts';
import { Quota } from '../src/core/teams/quota.ts';
import type { Instant, JobId, Revision, TeamName, TypeName, WallTime, ZoneName } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const BOX = 'box' as TypeName;
const NORTH = 'north' as ZoneName;
const quiet = (w: SimulatedWorld) => assert.deepEqual(w.broken, []);
/** Machines that are up, and that nobody on record has rented. */
const upAtStart = (w: SimulatedWorld, n: number, zones: ZoneName[] = [NORTH]): void => {
  for (let i = 0; i < n; i++)
    w.machine(`i-${900_000 + i}` as never, BOX, zones[i % zones.length]!, false).boot();
};
const running = (w: SimulatedWorld): number =>
  [...w.workers.values()].reduce((n, x) => n + x.live().length, 0);

test('machines up before anything was asked for work while a burst of submissions is still being written', () => {
  const w = new SimulatedWorld({
    store: { requestsPerS: 200, writesPerS: 8, maxValueKb: 8, maxTransactionOps: 4 },
    currentWritesPerS: 8,
  });
  w.cloud.capacity = 0;
  w.runS = 60;
  upAtStart(w, 6);
  assert.ok(w.until(() => w.owner !== undefined && w.nodes.get(w.owner)!.leaderTerm!.failover.isComplete, 5));
  for (let i = 0; i < 60; i++) w.ask(w.owner!, { op: 'submit', spec: job(`run-${i}`) });
  w.run(2.5);
  // Behind the acceptances, their place on record would come last, and nothing may start before.
  assert.ok(w.nodes.get(w.owner!)!.leaderTerm!.writer.backlog > 0);
  assert.ok(running(w) >= 4, `${running(w)}`);
  quiet(w);
});

test('machines up before anything was asked for are known again after a crash in the first seconds, and returned idle', () => {
  const w = new SimulatedWorld();
  upAtStart(w, 4);
  w.run(1);
  for (const n of w.nodeNames) w.crash(n);
  w.run(3);
  for (const n of w.nodeNames) w.start(n);
  w.cloud.capacity = 0;
  w.submit(job('run-1', { tasks: 4 }));
  assert.ok(w.until(() => w.isDone('run-1'), 60));
  assert.ok(
    w.until(() => w.cloud.released.length === 4, 150),
    `${w.cloud.released.length}`,
  );
  quiet(w);
});

test('a service takes an idle machine, though less urgent gangs wait that would need it whole', () => {
  const w = new SimulatedWorld();
  w.cloud.capacity = 0;
  upAtStart(w, 3);
  w.submit(job('run-1', { class: 'train', kind: 'gang', tasks: 4, cpus: 8, priority: 2 }));
  w.run(3);
  // The first is of a class that nothing is known of.
  for (const id of ['run-2', 'run-3']) {
    w.submit(job(id, { class: 'watch', kind: 'service', tasks: 4, priority: 3 }));
    w.run(4);
    assert.equal(w.holders('run-1').length, 0);
    assert.ok(w.holders(id).length > 0, id);
  }
  quiet(w);
});

test('a team that is guaranteed accelerators only is within its guarantee by those, one guaranteed nothing never', () => {
  const q = new Quota(
    new Map(
      [
        { name: 'seers' as TeamName, cpus: 0, cpusMax: 0, gpus: 4, gpusMax: 8 },
        { name: 'none' as TeamName, cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
      ].map((t) => [t.name, t]),
    ),
  );
  const of = (team: string, gpus: number): Job =>
    new Job(
      job('run-1', { team: team as TeamName, gpus, tasks: 4 }),
      1 as Revision,
      0 as WallTime,
      0 as Instant,
      false,
    );
  assert.ok(q.withinGuarantee(of('seers', 2)));
  assert.ok(!q.withinGuarantee(of('seers', 0)));
  assert.ok(!q.withinGuarantee(of('none', 2)));
  q.add(of('seers', 1), 3, BOX);
  assert.ok(q.withinGuarantee(of('seers', 1)));
  assert.ok(!q.withinGuarantee(of('seers', 2)));
  assert.equal(q.allowedTasks(of('seers', 2)), 2);
});

test('a cut zone leaves a spread service half its replicas; nothing of it is regrouped, and a cancellation ends all', () => {
  const w = new SimulatedWorld({
    workers: { heartbeatS: 1, leaseS: 10, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
  });
  const zones = ['north', 'south'] as ZoneName[];
  upAtStart(w, 6, zones);
  w.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 6, priority: 3, spread: true }));
  assert.ok(w.until(() => running(w) === 6, 30));
  const south = [...w.workers.values()].filter((x) => x.zone === 'south');
  for (const x of south) for (const n of w.nodeNames) w.cut(x.id, n, 'hold');
  w.run(5);
  const { owner } = w;
  w.crash(owner!);
  w.run(4);
  w.start(owner!);
  w.run(15);
  // Those that cannot be heard may still be up: no more than half may be in the zone that is left.
  assert.equal(w.holders('run-1').filter((id) => w.workers.get(id)!.zone === NORTH).length > 0, true);
  const north = [...w.workers.values()].filter((x) => x.zone === NORTH);
  assert.equal(
    north.reduce((n, x) => n + x.live().length, 0),
    3,
  );
  for (const x of south) for (const n of w.nodeNames) w.heal(x.id, n);
  assert.ok(
    w.until(() => running(w) === 6, 90),
    `${running(w)}`,
  );
  w.insist({ op: 'cancel', id: 'run-1' as JobId }, w.owner);
  w.run(40);
  assert.equal(running(w), 0);
  quiet(w);
});

test('a replica joins a machine that runs services only at once, without waiting for its next report', () => {
  const w = new SimulatedWorld({
    workers: { heartbeatS: 4, leaseS: 20, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
  });
  w.reportMs = 4000;
  w.leaseMs = 20_000;
  w.cloud.capacity = 0;
  upAtStart(w, 1);
  w.submit(job('run-0', { class: 'watch', kind: 'service', priority: 3, cpus: 1 }));
  assert.ok(w.until(() => running(w) === 1, 20));
  w.run(9);
  const waits: number[] = [];
  for (let i = 1; i < 7; i++) {
    w.submit(job(`run-${i}`, { class: 'watch', kind: 'service', priority: 3, cpus: 1 }));
    const asked = w.now;
    assert.ok(w.until(() => running(w) === i + 1, 10));
    waits.push(w.now - asked);
    w.run(4.3 + 0.3 * i);
  }
  // Two thirds of the time an answer is held there; else it is up to a report period.
  assert.ok(waits.filter((ms) => ms < 500).length >= 4, waits.join());
  quiet(w);
});
