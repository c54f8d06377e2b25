// Short capacity: which jobs go first, which are deferred, and the floors that no team or class is kept below.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
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

/** Divides in small steps: every share that demands more, and nothing that is used up, gets a little more. */
function divideInSteps(shares: ShareDemand[], capacity: readonly number[]): number[] {
  const fractions = shares.map(() => 0);
  const dominant = shares.map(({ demand }) => dominantShare(demand, capacity));
  const remaining = [...capacity];
  const step = 0.002;
  for (let moved = true; moved; ) {
    moved = false;
    for (let i = 0; i < shares.length; i++) {
      const { demand, weight } = shares[i]!;
      if (fractions[i]! >= 1 || dominant[i]! <= 0) continue;
      const growth = Math.min(1 - fractions[i]!, (step * weight) / dominant[i]!);
      const exhausted = remaining.findIndex(
        (amount, resource) => demand[resource]! > 0 && amount < demand[resource]! * growth - 1e-9,
      );
      if (exhausted >= 0) remaining[exhausted] = 0;
      if (exhausted >= 0 || demand.some((amount, resource) => amount > 0 && remaining[resource] === 0))
        continue;
      demand.forEach((amount, resource) => {
        remaining[resource] = remaining[resource]! - amount * growth;
      });
      fractions[i] = fractions[i]! + growth;
      moved = true;
    }
  }
  return fractions;
}

const candidate = (amount: number, deadlines: number[], name = 'run-1'): Candidate => ({
  job: new Job({
    spec: job(name),
    revision: 0 as Revision,
    acceptedAt: 0 as WallTime,
    seenAt: 0 as Instant,
    mayHaveUnlocatedTasks: false,
  }),
  deadlines,
  amount,
  work: amount,
});

/** A fleet of 10 machines of 8 CPUs that is too small for the demand of one team, or of one class. */
function scarceFleet(): SimulatedWorld {
  const world = new SimulatedWorld({
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
  world.cloud.capacity = 10;
  world.runS = 8;
  return world;
}
const liveTasks = (world: SimulatedWorld, prefix: string): number =>
  [...world.workers.values()].flatMap((worker) => worker.live()).filter((task) => task.job.startsWith(prefix))
    .length;

describe('max-min fairness', () => {
  it('computes weighted max-min shares like a division in small steps, and shares out no more than the capacity', () => {
    const drawnShare = fc.record({ demand: amounts, weight: fc.integer({ min: 1, max: 3 }) });
    fc.assert(
      fc.property(fc.array(drawnShare, { minLength: 1, maxLength: 6 }), (drawn) => {
        const capacity = [50, 10, 100];
        const shares: ShareDemand[] = drawn.map((share) => ({ ...share, guaranteed: [0, 0, 0] }));
        const fractions = maxMinShares(shares, capacity);
        const inSteps = divideInSteps(shares, capacity);
        for (let resource = 0; resource < 3; resource++) {
          const used = shares.reduce((sum, { demand }, i) => sum + demand[resource]! * fractions[i]!, 0);
          assert.ok(used <= capacity[resource]! + 1e-6);
        }
        shares.forEach(({ demand }, i) => {
          const dominant = dominantShare(demand, capacity);
          // Steps are given one share after the other, so the last ones may be missing.
          const difference = Math.abs(fractions[i]! - inSteps[i]!) * dominant;
          assert.ok(difference < 0.03, `${i}: ${fractions} for ${inSteps}`);
        });
      }),
      SEED,
    );
  });

  it('gives guarantees first, and shrinks them all alike when capacity is below their sum', () => {
    const share = (cpus: number, guaranteed: number): ShareDemand => ({
      demand: [cpus, 0, 0],
      guaranteed: [guaranteed, 0, 0],
      weight: 1,
    });
    // 60 of 100 are guaranteed to the second, the rest is shared: 20 each.
    assert.deepEqual(
      maxMinShares([share(100, 0), share(100, 60)], [100, 0, 0]).map((fraction) =>
        Math.round(fraction * 100),
      ),
      [20, 80],
    );
    assert.deepEqual(
      maxMinShares([share(100, 60), share(100, 60), share(100, 0)], [60, 0, 0]).map((fraction) =>
        Math.round(fraction * 100),
      ),
      [30, 30, 0],
    );
  });
});

describe('selection of late jobs', () => {
  it('keeps the most jobs in time that any selection could, with one deadline each', () => {
    const drawn = fc.array(fc.tuple(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 30 })), {
      minLength: 1,
      maxLength: 9,
    });
    fc.assert(
      fc.property(drawn, (jobs) => {
        const all = jobs.map(([amount, due]) => candidate(amount, [due]));
        const { inTime, late } = selectLateJobs(all, (withinS) => withinS);
        assert.equal(inTime.length + late.length, all.length);
        let used = 0;
        for (const { candidate: kept, dueS } of inTime) {
          used += kept.amount;
          assert.ok(used <= dueS, 'a job that is kept is late');
        }
        let best = 0;
        for (let set = 0; set < 1 << all.length; set++) {
          const chosen = all
            .filter((_, i) => (set >> i) & 1)
            .sort((a, b) => a.deadlines[0]! - b.deadlines[0]!);
          const usedUpTo = chosen.map((_, i) =>
            chosen.slice(0, i + 1).reduce((sum, { amount }) => sum + amount, 0),
          );
          if (chosen.every(({ deadlines }, i) => usedUpTo[i]! <= deadlines[0]!))
            best = Math.max(best, chosen.length);
        }
        assert.equal(inTime.length, best);
      }),
      SEED,
    );
  });

  it('keeps a deferred job for its next deadline, and defers none with capacity for all', () => {
    const [large, small] = [candidate(10, [11, 30]), candidate(4, [12])];
    const selection = selectLateJobs([large, small], (withinS) => withinS);
    assert.deepEqual(
      selection.inTime.map((kept) => [kept.candidate === large ? 'large' : 'small', kept.dueS]),
      [
        ['small', 12],
        ['large', 30],
      ],
    );
    assert.equal(selectLateJobs([large, small], (withinS) => 2 * withinS).late.length, 0);
  });

  it('starts small jobs in time and lets the large one wait when not all can be in time', () => {
    const world = scarceFleet();
    world.cloud.capacity = 1;
    const dueIn40S = (tasks: number) => ({ tasks, cpus: 1, deadlineS: 40, estimateS: 8 });
    const controller = world.nodes.get('node-0')!;
    world.submit(job('run-0', { tasks: 1, cpus: 1 }));
    assert.ok(world.until(() => world.isDone('run-0')));
    world.ask('node-0', { op: 'submit', spec: job('run-large', dueIn40S(200)) });
    for (let i = 0; i < 3; i++)
      world.ask('node-0', { op: 'submit', spec: job(`run-small-${i}`, dueIn40S(6)) });
    world.run(40);
    for (let i = 0; i < 3; i++) assert.ok(world.doneOnRecord(`run-small-${i}`), `run-small-${i} is late`);
    assert.ok(!world.doneOnRecord('run-large'));
    assert.ok((controller.leaderTerm!.jobs.openJobs.get('run-large' as JobId)?.doneCount ?? 0) > 0);
    assert.deepEqual(world.broken, []);
  });
});

describe('fair shares while capacity is short', () => {
  it('leaves a team with little demand its share beside the flood of a hot team, also after a failover', () => {
    const world = scarceFleet();
    const team = (name: string) => ({ team: name as TeamName, tasks: 40, cpus: 1 });
    for (let i = 0; i < 30; i++) world.submit(job(`run-hot-${i}`, { ...team('hot'), deadlineS: 400 }));
    world.run(20);
    // Its deadline is far off: by slack alone it would go last.
    world.submit(job('run-cool-1', { ...team('cool'), tasks: 600, deadlineS: 900 }));
    world.run(12);
    assert.ok(liveTasks(world, 'run-cool') >= 30, `${liveTasks(world, 'run-cool')} of 80 CPUs`);
    world.crash(world.owner!);
    assert.ok(
      world.until(
        () => world.owner !== undefined && world.nodes.get(world.owner)!.leaderTerm!.failover.isComplete,
        30,
      ),
    );
    world.run(15);
    assert.ok(liveTasks(world, 'run-cool') >= 30, `${liveTasks(world, 'run-cool')} after the crash`);
    assert.deepEqual(world.broken, []);
  });

  it('leaves a class past all its deadlines a good part of its fair share beside one that can still meet its own', () => {
    const world = scarceFleet();
    world.submit(job('run-past-1', { class: 'past', tasks: 300, cpus: 1 }));
    world.run(20);
    for (let i = 0; i < 10; i++)
      world.submit(job(`run-pressing-${i}`, { class: 'pressing', tasks: 40, cpus: 1 }));
    world.run(25);
    const [past, pressing] = [liveTasks(world, 'run-past'), liveTasks(world, 'run-pressing')];
    assert.ok(past >= 12 && pressing >= 30, `${past} and ${pressing} of 80 CPUs`);
    assert.deepEqual(world.broken, []);
  });

  it('does not count on the capacity of services to come free', () => {
    const capacityIndex = new CapacityIndex();
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
    capacityIndex.pools.set('box', pool);
    const jobOf = (id: string, kind: 'array' | 'service', estimatedRunS: number): Job =>
      new Job({
        spec: job(id, { class: id, kind, estimatedRunS }),
        revision: 1 as Revision,
        acceptedAt: 0 as WallTime,
        seenAt: 0 as Instant,
        mayHaveUnlocatedTasks: false,
      });
    const machineSets = new MachineSets(capacityIndex, usage, new RuntimeEstimates(), () => new Map());
    usage.add(jobOf('watch', 'service', 0), 20, box.name);
    const machineSet = machineSets.setFor(jobOf('plain', 'array', 10));
    assert.equal(machineSets.supply(machineSet)(100), 0);
    usage.add(jobOf('plain', 'array', 10), 20, box.name);
    const within10S = machineSets.supply(machineSet)(10);
    assert.ok(within10S > 10 && within10S < 80);
  });
});

describe('usage accounting', () => {
  it('reports usage by team and class, and continues it after a failover', () => {
    const world = scarceFleet();
    world.runS = 2;
    for (let i = 0; i < 4; i++) world.submit(job(`run-a-${i}`, { team: 'hot' as TeamName, tasks: 3 }));
    world.submit(job('run-b', { team: 'cool' as TeamName, class: 'long', kind: 'service', cpus: 8 }));
    for (let i = 0; i < 4; i++) assert.ok(world.until(() => world.doneOnRecord(`run-a-${i}`)));
    world.run(25);
    const before = world.nodes.get(world.owner!)!.leaderTerm!;
    const hotTeam = (term: typeof before) =>
      term.usageAccounting
        .summarize(term.jobs.openJobs.values())
        .find((row) => row.team === 'hot' && row.class === 'plain');
    assert.equal(hotTeam(before)?.done, 4);
    world.crash(world.owner!);
    assert.ok(
      world.until(
        () => world.owner !== undefined && world.nodes.get(world.owner)!.leaderTerm!.failover.isComplete,
        60,
      ),
    );
    world.run(2);
    const after = world.nodes.get(world.owner!)!.leaderTerm!;
    assert.deepEqual(hotTeam(after), hotTeam(before));
    const rows = after.usageAccounting.summarize(after.jobs.openJobs.values());
    const long = rows.find((row) => row.class === 'long');
    assert.deepEqual([long?.services, long?.replicasUp, long?.started, long?.jobs], [1, 1, 1, 0]);
    world.run(31);
    assert.ok(world.logs.some((line) => line.includes('work served by team and class')));
  });
});

describe('throttling of submissions by team', () => {
  it('throttles the submissions of a flooding team for longer and longer, and accepts those of others within a second', () => {
    const world = scarceFleet();
    world.submit(job('run-0', { team: 'open' as TeamName }));
    const leader = world.owner!;
    const flood = Array.from({ length: 700 }, (_, i) =>
      world.ask(leader, { op: 'submit', spec: job(`run-hot-${i}`, { team: 'hot' as TeamName }) }),
    );
    world.run(0.3);
    const others = Array.from({ length: 5 }, (_, i) =>
      world.ask(leader, { op: 'submit', spec: job(`run-cool-${i}`, { team: 'cool' as TeamName }) }),
    );
    world.run(1);
    for (const other of others) assert.equal(other.answer?.kind, 'accepted');
    const retryAfterS = flood.flatMap(({ answer }) =>
      answer?.kind === 'retry' && answer.overload ? [answer.afterS] : [],
    );
    assert.ok(retryAfterS.length >= 200, `${retryAfterS.length} throttled`);
    assert.ok(flood.some(({ answer }) => answer === null || answer.kind === 'accepted'));
    // Once more, while others submit too.
    const again = Array.from({ length: 300 }, (_, i) =>
      world.ask(leader, { op: 'submit', spec: job(`run-more-${i}`, { team: 'hot' as TeamName }) }),
    );
    world.run(0.5);
    const laterRetryAfterS = again.flatMap(({ answer }) => (answer?.kind === 'retry' ? [answer.afterS] : []));
    const mean = (values: number[]): number => values.reduce((a, b) => a + b, 0) / values.length;
    assert.ok(
      laterRetryAfterS.length > 0 && mean(laterRetryAfterS) > mean(retryAfterS),
      `${mean(laterRetryAfterS)} after ${mean(retryAfterS)}`,
    );
    assert.deepEqual(world.broken, []);
  });

  it('throttles none of many teams that submit little, whoever else floods', () => {
    const io = new ControllerIo(seededRandom(1));
    const throttle = new TeamThrottle(io);
    const advanceTo = (ms: number): void => io.beginStep(ms as Instant, 0 as WallTime);
    const names = Array.from({ length: 500 }, (_, i) => `team-${i}` as TeamName);
    for (let second = 0; second < 10; second++) {
      advanceTo(second * 1000);
      for (const name of names) throttle.recordSubmission(name);
      for (let i = 0; i < 300; i++) throttle.recordSubmission('flood' as TeamName);
    }
    assert.ok(throttle.isThrottled('flood' as TeamName));
    for (const name of names) assert.ok(!throttle.isThrottled(name), name);
    assert.ok(throttle.retryAfterS('flood' as TeamName, 1) > throttle.retryAfterS(names[0]!, 1));
    // A minute later its flood has been forgotten, and it submits like the others.
    advanceTo(70_000);
    for (const name of names) throttle.recordSubmission(name);
    advanceTo(71_500);
    throttle.recordSubmission('flood' as TeamName);
    assert.ok(!throttle.isThrottled('flood' as TeamName));
  });

  it('leaves team names that are not configured no part of the admission', () => {
    const world = scarceFleet();
    const teams = ['hot', 'cool', 'open'] as TeamName[];
    const submit = (id: string, team: TeamName) =>
      world.ask(world.owner!, { op: 'submit', spec: job(id, { team }) });
    world.submit(job('run-0', { team: 'open' as TeamName }));
    for (const team of teams) submit(`run-first-${team}`, team);
    const unknown = Array.from({ length: 300 }, (_, i) =>
      submit(`run-unknown-${i}`, `nobody-${i}` as TeamName),
    );
    world.run(1.5);
    assert.ok(unknown.some(({ answer }) => answer?.kind === 'impossible'));
    assert.ok(unknown.every(({ answer }) => answer?.kind !== 'accepted'));
    // More than the first bound on what waits, and evenly among the teams: no team submits too much.
    const evenly = Array.from({ length: 120 }, (_, i) =>
      teams.map((team) => submit(`run-${team}-${i}`, team)),
    ).flat();
    world.run(0.1);
    assert.deepEqual(
      evenly.filter(({ answer }) => answer?.kind === 'retry'),
      [],
    );
    assert.deepEqual(world.broken, []);
  });
});
