// Histories of concurrent faults (docs/safety.md, point 15): those that once broke a rule, random ones, and the command that
// searches for more.
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  FAULT_COMBINATIONS,
  type History,
  historyArbitrary,
  playHistory,
  RARE_COMBINATIONS,
  SAMPLING,
} from './support/fault-history.ts';

/**
 * Shrunk by the search: no leader was ever elected again, twice; a gang that was done on one machine and waited on another; a
 * former leader that heard from its peers again, but not that one of them was the leader, and started what was cancelled.
 */
const formerFailures = [
  `{"seed":1,"nodes":2,"jobs":[{"atS":0,"kind":"array","tasks":1,"runS":30,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"crash-all","backS":0.1,"atS":31.6,"forS":5},{"kind":"late-writes","share":0.9,"atS":34,"forS":1.1},{"kind":"crash-all","backS":0.1,"atS":4,"forS":0.5}]}`,
  `{"seed":1,"nodes":2,"jobs":[{"atS":0,"kind":"array","tasks":1,"runS":30,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"deaf","atS":6,"forS":8,"count":1},{"kind":"crash","who":0,"backS":0.1,"atS":8,"forS":1},{"kind":"late-writes","share":0.9,"atS":4,"forS":20}]}`,
  `{"seed":1,"nodes":2,"jobs":[{"atS":3.3,"kind":"gang","tasks":3,"runS":2,"limited":false,"chained":false,"cancelAtS":null},{"atS":0,"kind":"array","tasks":2,"runS":10,"limited":false,"chained":false,"cancelAtS":null},{"atS":0,"kind":"array","tasks":1,"runS":2,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"refuse-leader","atS":6,"forS":37.9,"hold":false,"peers":true,"side":true},{"kind":"outage","atS":8.9,"forS":35},{"kind":"deaf","atS":27.4,"forS":8,"count":1},{"kind":"crash","who":0,"backS":0.1,"atS":29.4,"forS":1}]}`,
  `{"seed":1,"nodes":3,"bootS":1,"jobs":[{"atS":0,"kind":"array","tasks":1,"runS":100,"limited":false,"chained":false,"cancelAtS":12.3},{"atS":0,"kind":"array","tasks":1,"runS":2,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"refuse-leader","atS":14.2,"forS":38.3,"hold":false,"peers":true,"side":true},{"kind":"outage","atS":17.5,"forS":35},{"kind":"kept-reports","share":0.5,"afterMs":5,"atS":8.4,"forS":30},{"kind":"machine-hang","atS":10.4,"forS":9,"count":1},{"kind":"refuse-leader","atS":14.4,"forS":25,"hold":false,"peers":true,"side":false},{"kind":"mute","atS":15.4,"forS":12,"count":1},{"kind":"deaf","atS":6,"forS":8,"count":1},{"kind":"crash","who":0,"backS":5,"atS":8,"forS":1}]}`,
];

describe('histories of concurrent faults', () => {
  it('histories that once lost a job or broke a rule no longer do', () => {
    for (const history of formerFailures)
      assert.deepEqual(playHistory(JSON.parse(history) as History).broken, []);
  });

  it('no random history of concurrent faults breaks a rule or loses an accepted job, and the faults do coincide', () => {
    const met = new Set<string>();
    fc.assert(
      fc.property(historyArbitrary, (history) => {
        const verdict = playHistory(history);
        for (const combination of FAULT_COMBINATIONS) if (verdict.met[combination] > 0) met.add(combination);
        assert.deepEqual(verdict.broken, []);
      }),
      { ...SAMPLING, numRuns: 220, seed: 11 },
    );
    const frequent = FAULT_COMBINATIONS.filter((m) => !RARE_COMBINATIONS.includes(m));
    assert.deepEqual(
      frequent.filter((m) => !met.has(m)),
      [],
    );
  });
});

describe('the experiment command', () => {
  it('a wrong option or file is reported with exit code 2, and a history that breaks no rule exits with 0', async () => {
    const runExperiment = (...args: string[]): Promise<{ code: number; text: string }> =>
      new Promise((done) =>
        execFile(
          'node',
          ['--import', 'tsx', 'scripts/experiments/run.ts', 'meetings', ...args],
          (e, out, err) => done({ code: e === null ? 0 : Number(e.code), text: out + err }),
        ),
      );
    const [flag, number, file, good] = await Promise.all([
      runExperiment('--sooner'),
      runExperiment('--histories', 'many'),
      runExperiment('--replay', 'package.json'),
      runExperiment('--histories', '1'),
    ]);
    assert.deepEqual([flag.code, number.code, file.code, good.code], [2, 2, 2, 0]);
    assert.match(flag.text, /unknown option '--sooner'/);
    assert.match(number.text, /a whole number/);
    assert.match(file.text, /^meetings: package.json is no history: .*\n$/);
    assert.match(good.text, /\nmeetings: histories=1 met=\d+ rules_broken=0 not_played=\d\n$/);
  });
});
