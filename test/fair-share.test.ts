// Scheduling while capacity is short: max-min shares, the selection of late jobs, and the floors of teams and
// classes; usage accounting, and throttling of submissions by team.
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
import type {
  Instant,
  JobId,
  MachineTypeName,
  Revision,
  TeamName,
  WallTime,
  ZoneName,
} from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const SEED = { seed: 5, numRuns: 300 };
const amounts = fc.tuple(fc.nat(40), fc.nat(8), fc.nat(60));

/**
 * Reference implementation that divides the capacity in small steps: in each round, every share grows a
 * little unless its demand is met or it needs an exhausted resource.
 */
function divideInSteps(shares: ShareDemand[], capacity: readonly number[]): number[] {
  const fractions = shares.map(() => 0);
  const dominant = shares.map(({ demand }) => dominantShare(demand, capacity));
  const remaining = [...capacity];
  const step = 0.002;
  for (let hasGrown = true; hasGrown; ) {
    hasGrown = false;
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
      hasGrown = true;
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

/**
 * A fleet of 10 machines with 8 CPUs each, which is too small for the demand of one team, or of one class.
 */
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
  [...world.workers.values()]
    .flatMap((worker) => worker.activeTasks())
    .filter((task) => task.job.startsWith(prefix)).length;

describe('max-min fairness', () => {
  it('computes the same weighted max-min shares as a division in small steps, and allocates no more than the capacity', () => {
    const shareArbitrary = fc.record({ demand: amounts, weight: fc.integer({ min: 1, max: 3 }) });
    fc.assert(
      fc.property(fc.array(shareArbitrary, { minLength: 1, maxLength: 6 }), (generated) => {
        const capacity = [50, 10, 100];
        const shares: ShareDemand[] = generated.map((share) => ({ ...share, guaranteed: [0, 0, 0] }));
        const fractions = maxMinShares(shares, capacity);
        const inSteps = divideInSteps(shares, capacity);
        for (let resource = 0; resource < 3; resource++) {
          const used = shares.reduce((sum, { demand }, i) => sum + demand[resource]! * fractions[i]!, 0);
          assert.ok(used <= capacity[resource]! + 1e-6);
        }
        shares.forEach(({ demand }, i) => {
          const dominant = dominantShare(demand, capacity);
          // The reference grows one share after the other, so the last shares may lack a step.
          const difference = Math.abs(fractions[i]! - inSteps[i]!) * dominant;
          assert.ok(difference < 0.03, `${i}: ${fractions} for ${inSteps}`);
        });
      }),
      SEED,
    );
  });

  it('allocates guarantees first, and reduces them by the same factor when capacity is below their sum', () => {
    const share = (cpus: number, guaranteed: number): ShareDemand => ({
      demand: [cpus, 0, 0],
      guaranteed: [guaranteed, 0, 0],
      weight: 1,
    });
    // The second share is guaranteed 60 of 100; the rest is divided equally, 20 each.
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
  it('keeps as many jobs in time as any selection could, with one deadline each', () => {
    const jobsArbitrary = fc.array(
      fc.tuple(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 30 })),
      {
        minLength: 1,
        maxLength: 9,
      },
    );
    fc.assert(
      fc.property(jobsArbitrary, (jobs) => {
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

  it('moves a deferred job to its next deadline, and defers none while there is capacity for all', () => {
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
    world.sendRequest('node-0', { op: 'submit', spec: job('run-large', dueIn40S(200)) });
    for (let i = 0; i < 3; i++)
      world.sendRequest('node-0', { op: 'submit', spec: job(`run-small-${i}`, dueIn40S(6)) });
    world.run(40);
    for (let i = 0; i < 3; i++) assert.ok(world.isDoneInStore(`run-small-${i}`), `run-small-${i} is late`);
    assert.ok(!world.isDoneInStore('run-large'));
    assert.ok((controller.leaderTerm!.jobs.openJobs.get('run-large' as JobId)?.doneCount ?? 0) > 0);
    assert.deepEqual(world.violations, []);
  });
});

describe('fair shares while capacity is short', () => {
  it('gives a team its fair share while another team floods the cluster, also after a failover', () => {
    const world = scarceFleet();
    const team = (name: string) => ({ team: name as TeamName, tasks: 40, cpus: 1 });
    for (let i = 0; i < 30; i++) world.submit(job(`run-hot-${i}`, { ...team('hot'), deadlineS: 400 }));
    world.run(20);
    // The deadline of this job is far off: by slack alone it would be placed last.
    world.submit(job('run-cool-1', { ...team('cool'), tasks: 600, deadlineS: 900 }));
    world.run(12);
    assert.ok(liveTasks(world, 'run-cool') >= 30, `${liveTasks(world, 'run-cool')} of 80 CPUs`);
    world.crash(world.leader!);
    assert.ok(
      world.until(
        () => world.leader !== undefined && world.nodes.get(world.leader)!.leaderTerm!.failover.isComplete,
        30,
      ),
    );
    world.run(15);
    assert.ok(liveTasks(world, 'run-cool') >= 30, `${liveTasks(world, 'run-cool')} after the crash`);
    assert.deepEqual(world.violations, []);
  });

  it('gives a class past all its deadlines a good part of its fair share beside a class that can still meet its deadlines', () => {
    const world = scarceFleet();
    world.submit(job('run-past-1', { class: 'past', tasks: 300, cpus: 1 }));
    world.run(20);
    for (let i = 0; i < 10; i++)
      world.submit(job(`run-pressing-${i}`, { class: 'pressing', tasks: 40, cpus: 1 }));
    world.run(25);
    const [past, pressing] = [liveTasks(world, 'run-past'), liveTasks(world, 'run-pressing')];
    assert.ok(past >= 12 && pressing >= 30, `${past} and ${pressing} of 80 CPUs`);
    assert.deepEqual(world.violations, []);
  });

  it('does not expect the capacity of services to come free', () => {
    const capacityIndex = new CapacityIndex();
    const usage = new Usage();
    const box = {
      name: 'box' as MachineTypeName,
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
  it('reports usage by team and class, and keeps the sums after a failover', () => {
    const world = scarceFleet();
    world.runS = 2;
    for (let i = 0; i < 4; i++) world.submit(job(`run-a-${i}`, { team: 'hot' as TeamName, tasks: 3 }));
    world.submit(job('run-b', { team: 'cool' as TeamName, class: 'long', kind: 'service', cpus: 8 }));
    for (let i = 0; i < 4; i++) assert.ok(world.until(() => world.isDoneInStore(`run-a-${i}`)));
    world.run(25);
    const before = world.nodes.get(world.leader!)!.leaderTerm!;
    const hotTeamRow = (term: typeof before) =>
      term.usageAccounting
        .summarize(term.jobs.openJobs.values())
        .find((row) => row.team === 'hot' && row.class === 'plain');
    assert.equal(hotTeamRow(before)?.done, 4);
    world.crash(world.leader!);
    assert.ok(
      world.until(
        () => world.leader !== undefined && world.nodes.get(world.leader)!.leaderTerm!.failover.isComplete,
        60,
      ),
    );
    world.run(2);
    const after = world.nodes.get(world.leader!)!.leaderTerm!;
    assert.deepEqual(hotTeamRow(after), hotTeamRow(before));
    const rows = after.usageAccounting.summarize(after.jobs.openJobs.values());
    const long = rows.find((row) => row.class === 'long');
    assert.deepEqual([long?.services, long?.replicasUp, long?.started, long?.jobs], [1, 1, 1, 0]);
    world.run(31);
    assert.ok(world.logs.some((line) => line.includes('work served by team and class')));
  });
});

describe('throttling of submissions by team', () => {
  it('throttles a flooding team with increasing retry delays, and accepts the submissions of others within a second', () => {
    const world = scarceFleet();
    world.submit(job('run-0', { team: 'open' as TeamName }));
    const leader = world.leader!;
    const flood = Array.from({ length: 700 }, (_, i) =>
      world.sendRequest(leader, { op: 'submit', spec: job(`run-hot-${i}`, { team: 'hot' as TeamName }) }),
    );
    world.run(0.3);
    const others = Array.from({ length: 5 }, (_, i) =>
      world.sendRequest(leader, { op: 'submit', spec: job(`run-cool-${i}`, { team: 'cool' as TeamName }) }),
    );
    world.run(1);
    for (const other of others) assert.equal(other.answer?.kind, 'accepted');
    const retryAfterS = flood.flatMap(({ answer }) =>
      answer?.kind === 'retry' && answer.overload ? [answer.afterS] : [],
    );
    assert.ok(retryAfterS.length >= 200, `${retryAfterS.length} throttled`);
    assert.ok(flood.some(({ answer }) => answer === null || answer.kind === 'accepted'));
    // The same team floods again after the other team has submitted.
    const again = Array.from({ length: 300 }, (_, i) =>
      world.sendRequest(leader, { op: 'submit', spec: job(`run-more-${i}`, { team: 'hot' as TeamName }) }),
    );
    world.run(0.5);
    const laterRetryAfterS = again.flatMap(({ answer }) => (answer?.kind === 'retry' ? [answer.afterS] : []));
    const mean = (values: number[]): number => values.reduce((a, b) => a + b, 0) / values.length;
    assert.ok(
      laterRetryAfterS.length > 0 && mean(laterRetryAfterS) > mean(retryAfterS),
      `${mean(laterRetryAfterS)} after ${mean(retryAfterS)}`,
    );
    assert.deepEqual(world.violations, []);
  });

  it('throttles none of many teams that submit little while another team floods', () => {
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
    // A minute later the flood no longer counts, and the team submits like the others.
    advanceTo(70_000);
    for (const name of names) throttle.recordSubmission(name);
    advanceTo(71_500);
    throttle.recordSubmission('flood' as TeamName);
    assert.ok(!throttle.isThrottled('flood' as TeamName));
  });

  it('gives team names that are not configured no share of the admission', () => {
    const world = scarceFleet();
    const teams = ['hot', 'cool', 'open'] as TeamName[];
    const submit = (id: string, team: TeamName) =>
      world.sendRequest(world.leader!, { op: 'submit', spec: job(id, { team }) });
    world.submit(job('run-0', { team: 'open' as TeamName }));
    for (const team of teams) submit(`run-first-${team}`, team);
    const unknown = Array.from({ length: 300 }, (_, i) =>
      submit(`run-unknown-${i}`, `nobody-${i}` as TeamName),
    );
    world.run(1.5);
    assert.ok(unknown.some(({ answer }) => answer?.kind === 'impossible'));
    assert.ok(unknown.every(({ answer }) => answer?.kind !== 'accepted'));
    // More submissions than the lower backlog limit allows, but even among the teams: none is throttled.
    const evenly = Array.from({ length: 120 }, (_, i) =>
      teams.map((team) => submit(`run-${team}-${i}`, team)),
    ).flat();
    world.run(0.1);
    assert.deepEqual(
      evenly.filter(({ answer }) => answer?.kind === 'retry'),
      [],
    );
    assert.deepEqual(world.violations, []);
  });
});
