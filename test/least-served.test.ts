// Tests the scenarios of the bench: how a day's result is read from the bench's report and the service's log,
// when a day fails, and how days and changed copies of sites are made.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { parse } from 'smol-toml';
import type { BenchReport } from '../scripts/bench.ts';
import { dayFor } from '../scripts/own-days.ts';
import { readRefusedLeader } from '../scripts/refused-leader.ts';
import { failuresOf, readResult, type ScenarioResult } from '../scripts/scenario-result.ts';
import { rowFailures } from '../scripts/scenario-row.ts';
import { changedSite } from '../scripts/site-changes.ts';

const parseToml = (text: string) => JSON.parse(JSON.stringify(parse(text)));
const servedLogLine = (served: object[]): string =>
  `  90.1 node-0 ${JSON.stringify({ level: 30, served, of: served.length, msg: 'work served by team and class, least first' })}`;
const countsOf = (team: string, jobs: number, done: number) => ({
  team,
  class: 'plain',
  jobs,
  done,
  tasks: jobs * 10,
  tasksDone: done * 10 + 1,
});
const report = (done: number, overrides: Partial<BenchReport> = {}): BenchReport => ({
  classes: {
    plain: { accepted: 12, cancelled: 2, started: 12, done, tasks: 50 },
    other: { accepted: 4, cancelled: 0, started: 4, done: 4, tasks: 4 },
  },
  teams: { red: { jobs: 10, started: 9 }, blue: { jobs: 10, started: 10 } },
  targets: [{ kind: 'wait', class: 'plain', within_s: 20, value: 0.5 }],
  rules_broken: { total: 0 },
  node_stats: [{ memory_peak_mb: 30, connections_peak: 100, restarts: [{ why: 'fault' }] }],
  spent: { world: [20, 5], processes: [100, 10] },
  fleet: { tasks_killed_by_lease: 0, tasks_lost: 3, price: 4 },
  ...overrides,
});
const LOG = `calm     12   0.56  5/11  price\n${servedLogLine([countsOf('red', 9, 1)])}\n${servedLogLine([countsOf('red', 10, 4), countsOf('blue', 10, 9), { ...countsOf('red', 10, 10), class: 'other' }])}\n`;

describe('scenarios of the bench', () => {
  it('the least served class and team come from the report and the last log line, and a day fails if one is below a half', () => {
    const result = readResult(report(5), LOG);
    assert.equal(result.score, 0.56);
    assert.deepEqual(result.leastClass, { name: 'plain', jobs: 0.5, started: 1, tasks: null });
    assert.deepEqual([result.leastTeam?.name, result.leastTeam?.jobs], ['red', 0.7]);
    assert.deepEqual(failuresOf(result), []);
    assert.deepEqual(failuresOf(readResult(report(4), LOG)), ['class plain served 0.40']);
    assert.deepEqual(failuresOf(readResult(report(5), servedLogLine([countsOf('red', 10, 4)]))), [
      'the day is worth nothing',
      'team red served 0.40',
    ]);
  });

  it('services count by the fraction of time that replicas are up, at most by the fraction started; so do their teams', () => {
    const service = (up: number, started: number) =>
      readResult(
        report(9, { classes: { watch: { accepted: 10, cancelled: 9, started, done: 0, tasks: 30, up } } }),
        LOG,
      );
    assert.deepEqual(failuresOf(service(0.9, 10)), []);
    assert.deepEqual(failuresOf(service(0.45, 10)), ['class watch served 0.45']);
    assert.deepEqual(failuresOf(service(0.99, 4)), ['class watch served 0.40']);
    const teams = (replicasUp: number) =>
      servedLogLine([
        {
          team: 'red',
          class: 'watch',
          services: 8,
          replicas: 20,
          replicasUp,
          jobs: 2,
          done: 2,
          tasks: 2,
          tasksDone: 2,
        },
      ]);
    assert.equal(readResult(report(9), teams(20)).leastTeam?.jobs, 0.9);
    assert.deepEqual(
      [readResult(report(9), teams(5)).leastTeam?.name, readResult(report(9), teams(5)).leastTeam?.jobs],
      ['red', 0.4],
    );
  });

  it('a day fails if it takes too much processor time, a process ends by itself, or a team has too few jobs started', () => {
    const failuresWith = (overrides: Partial<BenchReport>): string[] =>
      failuresOf(readResult(report(9, overrides), LOG));
    assert.deepEqual(failuresWith({ spent: { world: [100, 100], processes: [190, 20] } }), [
      '410 s of processor time',
    ]);
    const node_stats = [{ memory_peak_mb: 400, connections_peak: 1, restarts: [{ why: 'memory' }] }];
    assert.deepEqual(failuresWith({ node_stats }), ['1 processes ended by themselves']);
    assert.deepEqual(failuresWith({ teams: { red: { jobs: 10, started: 4 } } }), ['team red served 0.40']);
  });

  it('a day fails if too few of the largest jobs of a class are started, or a first start takes over four minutes', () => {
    const failuresWith = (overrides: Partial<BenchReport>): string[] =>
      failuresOf(readResult(report(9, overrides), LOG));
    const started = (n: number) => ({ plain: { jobs: 8, started: n }, other: { jobs: 2, started: 2 } });
    assert.deepEqual(failuresWith({ largest: started(4) }), []);
    assert.deepEqual(failuresWith({ largest: started(3) }), ['the largest of plain served 0.38']);
    const waits = (max: number | null) => {
      const { plain, other } = report(9).classes;
      return { plain: { ...plain!, wait_s: { max } }, other: { ...other!, wait_s: { max: 12 } } };
    };
    assert.deepEqual(failuresWith({ classes: waits(240) }), []);
    assert.deepEqual(failuresWith({ classes: waits(241) }), ['plain waited 241 s for a first start']);
    assert.deepEqual(readResult(report(9, { classes: waits(null) }), LOG).longestStart, {
      name: 'other',
      s: 12,
    });
    // Both are null if the report has no figures for them.
    const { leastLargest, longestStart } = readResult(report(9), LOG);
    assert.deepEqual([leastLargest, longestStart], [null, null]);
  });

  it('a mean over seeds that has fallen is a failure only if the fall exceeds the noise', () => {
    const resultsOf = (...scores: number[]): ScenarioResult[] =>
      scores.map((score) => ({ ...readResult(report(9), LOG), score }));
    const failuresWith = (scores: number[]): string[] =>
      rowFailures({ name: 'x', day: 'calm', now: resultsOf(...scores), base: resultsOf(0.5, 0.6) });
    assert.deepEqual(failuresWith([0.45, 0.6]), []);
    assert.deepEqual(failuresWith([0.45, 0.55]), ['x calm: 0.500 for 0.550 before']);
  });

  it('placeholders in a day are replaced by the last zone of a site, the zone of its first controller, and each class in turn', () => {
    const site =
      '[nodes]\nzones = ["a", "b"]\n[[capacity]]\ntype = "x"\nzone = "a"\n[[capacity]]\ntype = "x"\nzone = "b"\n[[jobs]]\nname = "one"\n[[jobs]]\nname = "two"\n';
    const day =
      '[[day]]\nname = "d"\nfaults = [{ at_s = 5, kind = "zone_cut", zone = "@zone" }, { at_s = 7, kind = "zone_cut", zone = "@first" }, { at_s = 9, kind = "job_burst", class = "@each" }]\n';
    const fitted = parseToml(dayFor(day, site)) as {
      day: { faults: { zone?: string; class?: string; at_s: number }[] }[];
    };
    assert.deepEqual(
      fitted.day[0]!.faults.map((fault) => [fault.at_s, fault.zone ?? fault.class]),
      [
        [5, 'b'],
        [7, 'a'],
        [9, 'one'],
        [69, 'two'],
      ],
    );
  });

  it('a scenario with a refused leader reports the cancellations that coincided with it and the latest end of tasks, and fails without any or beyond the limit', () => {
    const logLine = (atS: number, node: string, fields: object): string =>
      `  ${atS} ${node} ${JSON.stringify(fields)}`;
    const cancelled = (atS: number, node: string, job: string) =>
      logLine(atS, node, { job, msg: 'job cancelled' });
    const answeredLate = (atS: number, node: string, ...jobs: string[]) =>
      logLine(atS, node, { machine: 'i-1', jobs, msg: 'answered after the leader lease expired' });
    const log = [
      answeredLate(158, 'berth-0', 'run-1', 'run-2'),
      cancelled(160, 'berth-1', 'run-1'),
      cancelled(161, 'berth-0', 'run-3'),
      answeredLate(165, 'berth-0', 'run-1', 'run-2', 'run-3'),
      answeredLate(170, 'berth-0', 'run-1'),
      'noise {"msg":"job cancelled"',
    ].join('\n');
    assert.deepEqual(readRefusedLeader(log, 24), { met: 1, latestGoneS: 34 });
    assert.deepEqual(readRefusedLeader('', 24), { met: 0, latestGoneS: null });
    const failuresWhen = (met: number, latestGoneS: number | null) =>
      failuresOf({ ...readResult(report(9), LOG), refused: { met, latestGoneS, cancelS: 49 } });
    assert.deepEqual(failuresWhen(1, 49), []);
    assert.match(failuresWhen(0, null).join(), /proves nothing/);
    assert.match(failuresWhen(1, 49.5).join(), /49.5 s of 49/);
  });

  it('a changed copy of a site has the requested machines, zones, controllers and teams, and is the same otherwise', () => {
    const site = `name = "s"
[nodes]
count = 3
zones = ["a", "b"]
[[capacity]]
type = "box"
zone = "a"
count = 100
spot = 40
[[capacity]]
type = "box"
zone = "b"
count = 50
spot = 20
[[teams]]
name = "red"
weight = 0.5
[[jobs]]
name = "plain"
initial = 10
arrivals = { rate = 0.4 }
images = { count = 5 }
[[day]]
name = "zone"
faults = [ { kind = "zone_cut", zone = "b" } ]
`;
    const small = parseToml(changedSite(site, 't', { capacity: 0.2, images: 0.2, load: 0.5 }));
    assert.deepEqual(small.capacity, [
      { type: 'box', zone: 'a', count: 20, spot: 8 },
      { type: 'box', zone: 'b', count: 10, spot: 4 },
    ]);
    assert.deepEqual(small.jobs, [
      { name: 'plain', initial: 5, arrivals: { rate: 0.2 }, images: { count: 1 } },
    ]);
    const wide = parseToml(
      changedSite(site, 't', { zones: 3, controllers: 5, team: { name: 'red', weight: 12 } }),
    ) as {
      capacity: { zone: string; count: number }[];
      nodes: object;
      teams: object;
    };
    assert.deepEqual(
      wide.capacity.map(({ zone, count }) => [zone, count]),
      [
        ['a', 50],
        ['b', 50],
        ['zone3', 50],
      ],
    );
    const siteWithRunTimes = site.replace('images =', 'run_s = { median = 20.0, p95 = 50.0 }\nimages =');
    const long = parseToml(changedSite(siteWithRunTimes, 't', { runS: 4, cancelled: 0.5 }));
    assert.deepEqual([long.jobs[0].run_s, long.jobs[0].cancelled], [{ median: 80, p95: 200 }, 0.5]);
    assert.deepEqual(wide.nodes, { count: 5, zones: ['a', 'b'] });
    assert.deepEqual(wide.teams, [{ name: 'red', weight: 6 }]);
    assert.throws(() => changedSite(site, 't', { team: { name: 'blue', weight: 2 } }), /no team blue/);
    const siteWithGangs = `${site}
[[machine_types]]
name = "box"
cpus = 10.0
gpus = 1.0
[[jobs]]
name = "joint"
kind = "gang"
initial = 1
arrivals = { rate = 0.1 }
images = { count = 5 }
tasks = { sizes = [1, 4], weights = [3.0, 1.0] }
teams = ["red"]
`;
    const large = parseToml(
      changedSite(siteWithGangs, 't', { teams: 3, gangs: 64, mix: { box: 2 } }),
    ) as unknown as {
      capacity: { count: number }[];
      teams: { name: string; cpus: number; cpus_max: number; gpus_max: number }[];
      jobs: { tasks?: object; teams?: string[] }[];
    };
    assert.deepEqual(
      large.capacity.map(({ count }) => count),
      [200, 100],
    );
    assert.deepEqual(large.teams[0], {
      name: 'team001',
      weight: 0.5,
      cpus: 500,
      cpus_max: 4000,
      gpus: 50,
      gpus_max: 400,
    });
    assert.deepEqual(large.jobs[1]!.tasks, { sizes: [1, 4, 8, 64], weights: [3, 1, 0.16, 0.08] });
    assert.deepEqual(large.jobs[1]!.teams, ['team001', 'team002', 'team003']);
  });
});
