// Not room for all: who goes first, who is put off, and what nobody is kept below.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { TeamThrottle } from '../src/core/admission/team-throttle.ts';
import { ControllerIo } from '../src/core/base/io.ts';
import { Job } from '../src/core/jobs/job.ts';
import { RuntimeEstimates } from '../src/core/jobs/job-ordering.ts';
import { CapacityIndex } from '../src/core/machines/capacity-index.ts';
import { MachinePool } from '../src/core/machines/machine.ts';
import { type Candidate, selectLateJobs } from '../src/core/scheduling/late-job-selection.ts';
import { MachineSets } from '../src/core/scheduling/machine-sets.ts';
import { dominantShare, maxMinShares, type ShareDemand } from '../src/core/teams/max-min-fairness.ts';
import { Usage } from '../src/core/teams/usage.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Instant, JobId, Revision, TeamName, TypeName, WallTime, ZoneName } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const SEED = { seed: 5, numRuns: 300 };
const amounts = fc.tuple(fc.nat(40), fc.nat(8), fc.nat(60));

/** Shares in small steps: every part that asks for more, and for nothing that is used up, gets a little more. */
function plainly(parts: ShareDemand[], capacity: readonly number[]): number[] {
  const got = parts.map(() => 0);
  const size = parts.map((p) => dominantShare(p.demand, capacity));
  const left = [...capacity];
  const step = 0.002;
  for (let moved = true; moved; ) {
    moved = false;
    for (let i = 0; i < parts.length; i++) {
      const p = parts[i]!;
      if (got[i]! >= 1 || size[i]! <= 0) continue;
      const part = Math.min(1 - got[i]!, (step * p.weight) / size[i]!);
      const lacks = left.findIndex((l, r) => p.demand[r]! > 0 && l < p.demand[r]! * part - 1e-9);
      if (lacks >= 0) left[lacks] = 0;
      if (lacks >= 0 || p.demand.some((d, r) => d > 0 && left[r] === 0)) continue;
      p.demand.forEach((d, r) => {
        left[r] = left[r]! - d * part;
      });
      got[i] = got[i]! + part;
      moved = true;
    }
  }
  return got;
}

test('weighted max-min shares agree with sharing out in small steps, and take no more than there is', () => {
  const part = fc.record({ demand: amounts, weight: fc.integer({ min: 1, max: 3 }) });
  fc.assert(
    fc.property(fc.array(part, { minLength: 1, maxLength: 6 }), (drawn) => {
      const capacity = [50, 10, 100];
      const parts: ShareDemand[] = drawn.map((d) => ({ ...d, guaranteed: [0, 0, 0] }));
      const got = maxMinShares(parts, capacity);
      const plain = plainly(parts, capacity);
      for (let r = 0; r < 3; r++)
        assert.ok(parts.reduce((n, p, i) => n + p.demand[r]! * got[i]!, 0) <= capacity[r]! + 1e-6);
      parts.forEach((p, i) => {
        const size = dominantShare(p.demand, capacity);
        // Steps are given one part after the other, so the last ones may be missing.
        assert.ok(Math.abs(got[i]! - plain[i]!) * size < 0.03, `${i}: ${got} for ${plain}`);
      });
    }),
    SEED,
  );
});

test('what is guaranteed comes first, and with less than that all guarantees shrink alike', () => {
  const part = (want: number, guaranteed: number): ShareDemand => ({
    demand: [want, 0, 0],
    guaranteed: [guaranteed, 0, 0],
    weight: 1,
  });
  // 60 of 100 are guaranteed to the second, the rest is shared: 20 each.
  assert.deepEqual(
    maxMinShares([part(100, 0), part(100, 60)], [100, 0, 0]).map((f) => Math.round(f * 100)),
    [20, 80],
  );
  assert.deepEqual(
    maxMinShares([part(100, 60), part(100, 60), part(100, 0)], [60, 0, 0]).map((f) => Math.round(f * 100)),
    [30, 30, 0],
  );
});

const candidate = (amount: number, deadlines: number[], name = 'run-1'): Candidate => ({
  job: new Job(job(name), 0 as Revision, 0 as WallTime, 0 as Instant, false),
  deadlines,
  amount,
  work: amount,
});

test('with one aim each, no choice of jobs has more of them in time than triage keeps', () => {
  const drawn = fc.array(fc.tuple(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 30 })), {
    minLength: 1,
    maxLength: 9,
  });
  fc.assert(
    fc.property(drawn, (list) => {
      const all = list.map(([amount, due]) => candidate(amount, [due]));
      const { inTime, late } = selectLateJobs(all, (s) => s);
      assert.equal(inTime.length + late.length, all.length);
      let sum = 0;
      for (const { candidate: kept, dueS } of inTime) {
        sum += kept.amount;
        assert.ok(sum <= dueS, 'a job that is kept is late');
      }
      let best = 0;
      for (let set = 0; set < 1 << all.length; set++) {
        const chosen = all.filter((_, i) => (set >> i) & 1).sort((a, b) => a.deadlines[0]! - b.deadlines[0]!);
        const sums = chosen.map((_, i) => chosen.slice(0, i + 1).reduce((n, c) => n + c.amount, 0));
        if (chosen.every((c, i) => sums[i]! <= c.deadlines[0]!)) best = Math.max(best, chosen.length);
      }
      assert.equal(inTime.length, best);
    }),
    SEED,
  );
});

test('a job that is put off is kept for its next aim, and with room for all nobody is put off', () => {
  const [large, small] = [candidate(10, [11, 30]), candidate(4, [12])];
  const some = selectLateJobs([large, small], (s) => s);
  assert.deepEqual(
    some.inTime.map((x) => [x.candidate === large ? 'large' : 'small', x.dueS]),
    [
      ['small', 12],
      ['large', 30],
    ],
  );
  assert.equal(selectLateJobs([large, small], (s) => 2 * s).late.length, 0);
});

/** A fleet of 10 machines of 8 CPUs that is too small for what one team, or one class, asks. */
function scarce(): SimulatedWorld {
  const w = new SimulatedWorld({
    teams: ['hot', 'cool', 'open'].map((name) => ({
      name: name as TeamName,
      cpus: 0,
      cpusMax: 0,
      gpus: 0,
      gpusMax: 0,
    })),
    objectives: [
      { kind: 'wait', class: 'pressing', withinS: 1000, share: 0.9, times: null },
      { kind: 'wait', class: 'past', withinS: 1, share: 0.9, times: null },
    ],
  });
  w.cloud.capacity = 10;
  w.runS = 8;
  return w;
}
const running = (w: SimulatedWorld, prefix: string): number =>
  [...w.workers.values()].flatMap((x) => x.live()).filter((t) => t.job.startsWith(prefix)).length;

test("a hot team's flood leaves a team that asks for little what it asks for, also after the owner has crashed", () => {
  const w = scarce();
  const team = (name: string) => ({ team: name as TeamName, tasks: 40, cpus: 1 });
  for (let i = 0; i < 30; i++) w.submit(job(`run-hot-${i}`, { ...team('hot'), deadlineS: 400 }));
  w.run(20);
  // Its deadline is far off: by the time left alone it would go last.
  w.submit(job('run-cool-1', { ...team('cool'), tasks: 600, deadlineS: 900 }));
  w.run(12);
  assert.ok(running(w, 'run-cool') >= 30, `${running(w, 'run-cool')} of 80 CPUs`);
  w.crash(w.owner!);
  assert.ok(
    w.until(() => w.owner !== undefined && w.nodes.get(w.owner)!.leaderTerm!.failover.isComplete, 30),
  );
  w.run(15);
  assert.ok(running(w, 'run-cool') >= 30, `${running(w, 'run-cool')} after the crash`);
  assert.deepEqual(w.broken, []);
});

test('a class that is past all its aims keeps a good part of its fair share beside one that can still meet its own', () => {
  const w = scarce();
  w.submit(job('run-past-1', { class: 'past', tasks: 300, cpus: 1 }));
  w.run(20);
  for (let i = 0; i < 10; i++) w.submit(job(`run-pressing-${i}`, { class: 'pressing', tasks: 40, cpus: 1 }));
  w.run(25);
  const [past, pressing] = [running(w, 'run-past'), running(w, 'run-pressing')];
  assert.ok(past >= 12 && pressing >= 30, `${past} and ${pressing} of 80 CPUs`);
  assert.deepEqual(w.broken, []);
});

test('what services hold is not counted on as coming free', () => {
  const rooms = new CapacityIndex();
  const usage = new Usage();
  const box = {
    name: 'box' as TypeName,
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 0,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 1,
    bootS: 5,
    zones: [],
  };
  const pool = new MachinePool(box, 'north' as ZoneName, false);
  pool.total[0] = 80;
  rooms.pools.set('box', pool);
  const of = (id: string, kind: 'array' | 'service', estimatedRunS: number): Job =>
    new Job(job(id, { class: id, kind, estimatedRunS }), 1 as Revision, 0 as WallTime, 0 as Instant, false);
  const lanes = new MachineSets(rooms, usage, new RuntimeEstimates(), () => new Map());
  usage.add(of('watch', 'service', 0), 20, box.name);
  const lane = lanes.of(of('plain', 'array', 10));
  assert.equal(lanes.supply(lane)(100), 0);
  usage.add(of('plain', 'array', 10), 20, box.name);
  assert.ok(lanes.supply(lane)(10) > 10 && lanes.supply(lane)(10) < 80);
});

test('when not all can be in time, the large job waits and the small ones are', () => {
  const w = scarce();
  w.cloud.capacity = 1;
  const due = (tasks: number) => ({ tasks, cpus: 1, deadlineS: 40, estimateS: 8 });
  const now = w.nodes.get('node-0')!;
  w.submit(job('run-0', { tasks: 1, cpus: 1 }));
  assert.ok(w.until(() => w.isDone('run-0')));
  w.ask('node-0', { op: 'submit', spec: job('run-large', due(200)) });
  for (let i = 0; i < 3; i++) w.ask('node-0', { op: 'submit', spec: job(`run-small-${i}`, due(6)) });
  w.run(40);
  for (let i = 0; i < 3; i++) assert.ok(w.doneOnRecord(`run-small-${i}`), `run-small-${i} is late`);
  assert.ok(!w.doneOnRecord('run-large'));
  assert.ok((now.leaderTerm!.jobs.openJobs.get('run-large' as JobId)?.doneCount ?? 0) > 0);
  assert.deepEqual(w.broken, []);
});

test('what became of each team is told by class, and goes on after a take-over', () => {
  const w = scarce();
  w.runS = 2;
  for (let i = 0; i < 4; i++) w.submit(job(`run-a-${i}`, { team: 'hot' as TeamName, tasks: 3 }));
  w.submit(job('run-b', { team: 'cool' as TeamName, class: 'long', kind: 'service', cpus: 8 }));
  for (let i = 0; i < 4; i++) assert.ok(w.until(() => w.doneOnRecord(`run-a-${i}`)));
  w.run(25);
  const before = w.nodes.get(w.owner!)!.leaderTerm!;
  const hot = (s: typeof before) =>
    s.usageAccounting
      .summarize(s.jobs.openJobs.values())
      .find((x) => x.team === 'hot' && x.class === 'plain');
  assert.equal(hot(before)?.done, 4);
  w.crash(w.owner!);
  assert.ok(
    w.until(() => w.owner !== undefined && w.nodes.get(w.owner)!.leaderTerm!.failover.isComplete, 60),
  );
  w.run(2);
  const after = w.nodes.get(w.owner!)!.leaderTerm!;
  assert.deepEqual(hot(after), hot(before));
  const rows = after.usageAccounting.summarize(after.jobs.openJobs.values());
  const long = rows.find((x) => x.class === 'long');
  assert.deepEqual([long?.services, long?.replicasUp, long?.started, long?.jobs], [1, 1, 1, 0]);
  w.run(31);
  assert.ok(w.logs.some((l) => l.includes('work served by team and class')));
});

test("at the door a team's flood waits for itself: others are taken in within a second, it is sent back for longer and longer", () => {
  const w = scarce();
  w.submit(job('run-0', { team: 'open' as TeamName }));
  const owner = w.owner!;
  const flood = Array.from({ length: 700 }, (_, i) =>
    w.ask(owner, { op: 'submit', spec: job(`run-hot-${i}`, { team: 'hot' as TeamName }) }),
  );
  w.run(0.3);
  const others = Array.from({ length: 5 }, (_, i) =>
    w.ask(owner, { op: 'submit', spec: job(`run-cool-${i}`, { team: 'cool' as TeamName }) }),
  );
  w.run(1);
  for (const o of others) assert.equal(o.answer?.kind, 'accepted');
  const back = flood.flatMap((f) =>
    f.answer?.kind === 'retry' && f.answer.overload ? [f.answer.afterS] : [],
  );
  assert.ok(back.length >= 200, `${back.length} sent back`);
  assert.ok(flood.some((f) => f.answer === null || f.answer.kind === 'accepted'));
  // Once more, while others ask too.
  const again = Array.from({ length: 300 }, (_, i) =>
    w.ask(owner, { op: 'submit', spec: job(`run-more-${i}`, { team: 'hot' as TeamName }) }),
  );
  w.run(0.5);
  const later = again.flatMap((f) => (f.answer?.kind === 'retry' ? [f.answer.afterS] : []));
  const mean = (all: number[]): number => all.reduce((a, b) => a + b, 0) / all.length;
  assert.ok(later.length > 0 && mean(later) > mean(back), `${mean(later)} after ${mean(back)}`);
  assert.deepEqual(w.broken, []);
});

test('many teams that ask little are none of them over, whoever else floods', () => {
  const io = new ControllerIo(seededRandom(1));
  const throttle = new TeamThrottle(io);
  const at = (ms: number): void => io.beginStep(ms as Instant, 0 as WallTime);
  const names = Array.from({ length: 500 }, (_, i) => `team-${i}` as TeamName);
  for (let s = 0; s < 10; s++) {
    at(s * 1000);
    for (const name of names) throttle.recordSubmission(name);
    for (let i = 0; i < 300; i++) throttle.recordSubmission('flood' as TeamName);
  }
  assert.ok(throttle.isThrottled('flood' as TeamName));
  for (const name of names) assert.ok(!throttle.isThrottled(name), name);
  assert.ok(throttle.retryAfterS('flood' as TeamName, 1) > throttle.retryAfterS(names[0]!, 1));
  // A minute later it has been forgotten, and asks like the others.
  at(70_000);
  for (const name of names) throttle.recordSubmission(name);
  at(71_500);
  throttle.recordSubmission('flood' as TeamName);
  assert.ok(!throttle.isThrottled('flood' as TeamName));
});

test('names that the settings do not know take no part of the door', () => {
  const w = scarce();
  const teams = ['hot', 'cool', 'open'] as TeamName[];
  const ask = (id: string, team: TeamName) => w.ask(w.owner!, { op: 'submit', spec: job(id, { team }) });
  w.submit(job('run-0', { team: 'open' as TeamName }));
  for (const team of teams) ask(`run-first-${team}`, team);
  const unknown = Array.from({ length: 300 }, (_, i) => ask(`run-unknown-${i}`, `nobody-${i}` as TeamName));
  w.run(1.5);
  assert.ok(unknown.some((u) => u.answer?.kind === 'impossible'));
  assert.ok(unknown.every((u) => u.answer?.kind !== 'accepted'));
  // More than the first bound on what waits, and evenly among the teams: nobody asks for too much.
  const even = Array.from({ length: 120 }, (_, i) =>
    teams.map((team) => ask(`run-${team}-${i}`, team)),
  ).flat();
  w.run(0.1);
  assert.deepEqual(
    even.filter((e) => e.answer?.kind === 'retry'),
    [],
  );
  assert.deepEqual(w.broken, []);
});
