// What must hold at a thousand machines: sums agree with a full recount, work per input is bounded, records are shared.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LeaderTerm } from '../src/core/leader/leader-term.ts';
import type { Machine } from '../src/core/machines/machine.ts';
import type { TeamName, ZoneName } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const shareOf = (w: SimulatedWorld): LeaderTerm => w.nodes.get(w.owner!)!.leaderTerm!;

/** Everything that is kept up to date, counted anew from the machines' entries and queues. */
function recount(share: LeaderTerm): void {
  const near = (a: number, b: number, what: string) =>
    assert.ok(Math.abs(a - b) < 1e-6, `${what}: ${a}, recounted ${b}`);
  const use = new Map<string, number>();
  const zones = new Map<string, number>();
  let doubt = 0;
  for (const m of share.machines.byId.values()) {
    const on = [...m.assignments.values()].map((e) => e.job.spec);
    const queued = m.queue.map((q) => q.job.spec);
    near(
      m.usedCpus,
      on.reduce((n, s) => n + s.cpus, 0),
      `${m.id} used`,
    );
    near(
      m.queuedCpus,
      queued.reduce((n, s) => n + s.cpus, 0),
      `${m.id} queued`,
    );
    for (const s of [...on, ...queued]) {
      use.set(s.team, (use.get(s.team) ?? 0) + s.cpus);
      zones.set(`${s.id}|${m.zone}`, (zones.get(`${s.id}|${m.zone}`) ?? 0) + 1);
    }
    if (!m.isReconciled && m.registryPage !== null) doubt += m.type.cpus;
    assert.equal(m.indexPosition !== null, m.isSchedulable, `${m.id} in the index`);
    if (m.indexPosition !== null) assert.equal(m.indexPosition.bucket.members[m.indexPosition.at], m);
  }
  for (const team of ['open', 'small'])
    near(share.quota.used(team as TeamName).cpus, (use.get(team) ?? 0) + doubt, team);
  for (const j of share.jobs.openJobs.values()) {
    for (const z of ['north', 'south'])
      near(j.zones.get(z as ZoneName) ?? 0, zones.get(`${j.id}|${z}`) ?? 0, `${j.id} in ${z}`);
    assert.equal(share.jobs.waitingJobs.has(j), j.waitingTasks > 0, `${j.id} waiting`);
  }
  const listed = [...share.capacityIndex.pools.values()].flatMap((p) =>
    [...p.buckets.values()].flatMap((b) => b.members),
  );
  assert.equal(listed.length, new Set<Machine>(listed).size);
}

test('sums and index agree with a full recount through losses, cancels, crashes and cuts', () => {
  const w = new SimulatedWorld();
  w.runS = 7;
  let seed = 5;
  const chance = (n: number) => {
    seed = (seed * 1103515245 + 12345) % 2147483648;
    return Math.floor((seed / 2147483648) * n);
  };
  for (let i = 0; i < 60; i++) {
    const team = (chance(3) === 0 ? 'small' : 'open') as TeamName;
    const gang = chance(4) === 0;
    const spec = {
      team,
      tasks: 1 + chance(gang ? 3 : 9),
      cpus: 0.7 + chance(2),
      imageGb: 1,
      image: `img-${chance(4)}`,
    };
    w.ask(`node-${chance(3)}`, {
      op: 'submit',
      spec: job(`run-${i}`, gang ? { ...spec, kind: 'gang', oneZone: true } : spec),
    });
    w.run(1 + chance(3));
    if (chance(9) === 0) w.ask(`node-${chance(3)}`, { op: 'cancel', id: `run-${chance(i + 1)}` as never });
    const machines = [...w.workers.values()];
    if (chance(8) === 0) machines[chance(machines.length)]?.die();
    if (i === 30) w.crash(w.owner!);
    if (i === 40) for (const n of ['node-0', 'node-1', 'node-2']) if (!w.nodes.has(n)) w.start(n);
    if (w.owner !== undefined && shareOf(w).failover.isLoaded) recount(shareOf(w));
  }
  assert.deepEqual(w.broken, []);
});

test('at a thousand machines a choice looks at a bounded number of them, and records take few changes', () => {
  const w = new SimulatedWorld({ cloud: { requestsPerS: 100, listLagS: 2 } });
  w.cloud.capacity = 1000;
  w.runS = 30;
  for (let i = 0; i < 20; i++) w.submit(job(`run-${i}`, { tasks: 50, cpus: 8 }));
  const many = () =>
    [...w.nodes.values()].some(
      (c) => (c.leaderTerm?.capacityIndex.pools.values().next().value?.usable.length ?? 0) > 400,
    );
  assert.ok(w.until(many, 20), 'machines are up');
  w.run(5);
  const share = shareOf(w);
  assert.ok(share.machines.byId.size >= 900, `${share.machines.byId.size} machines`);
  const rosterPages = [...w.state.keys.keys()].filter((k) => k.startsWith('m/')).length;
  assert.ok(rosterPages <= 40, `${rosterPages} records`);
  const before = share.scheduler.machinesExamined;
  w.submit(job('run-x', { tasks: 100, cpus: 1 }));
  w.run(2);
  const each = (share.scheduler.machinesExamined - before) / 100;
  assert.ok(each > 0 && each < 150, `${each} machines looked at for a task`);
  assert.deepEqual(w.broken, []);
});

test('bitmaps of many jobs share records, and a new owner reads them', () => {
  const w = new SimulatedWorld();
  w.cloud.capacity = 6;
  w.runS = 3;
  for (let i = 0; i < 12; i++) w.submit(job(`run-${i}`, { tasks: 8, cpus: 4 }));
  assert.ok(w.until(() => [...w.workers.values()].reduce((n, x) => n + x.starts, 0) > 40));
  w.run(1.5);
  const recorded = (): boolean =>
    [...shareOf(w).jobs.openJobs.values()].some((j) => [...Array(8).keys()].some((i) => j.isRecorded(i)));
  assert.ok(w.until(recorded, 10));
  const pages = [...w.state.keys.keys()].filter((k) => k.startsWith('d/'));
  assert.ok(pages.length >= 1 && pages.length <= 2, pages.join());
  w.crash(w.owner!);
  assert.ok(w.until(() => w.owner !== undefined && shareOf(w).failover.isLoaded, 20));
  const asker = [...w.nodes.keys()][0]!;
  for (let i = 0; i < 12; i++) assert.ok(w.until(() => w.isDone(`run-${i}`, asker), 200));
  // Results that machines were told to forget are known by the bitmaps alone: without them they would run again.
  assert.equal(
    [...w.workers.values()].reduce((n, x) => n + x.starts, 0),
    12 * 8,
  );
  assert.deepEqual(w.broken, []);
});

test('a record of a version not known is refused with one line, and nothing is served on a guess', () => {
  const w = new SimulatedWorld({}, []);
  w.state.keys.set('m/i-7', {
    value: { t: 'box', z: 'north', s: 0, w: '1.1' },
    revision: ++w.state.revision,
    hold: null,
  });
  w.start('node-0');
  w.run(20);
  assert.equal(w.logs.filter((l) => l.includes('a record is of a version')).length, 1);
  assert.equal(w.nodes.get('node-0')!.ready, false);
  const box = w.ask('node-0', { op: 'submit', spec: job('run-1') });
  w.run(5);
  assert.equal(box.answer?.kind, 'retry');
});
