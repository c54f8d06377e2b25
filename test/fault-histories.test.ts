// Plays histories of concurrent faults (docs/safety.md, point 15): some that once broke a rule, and random
// ones. Tests the command that searches for more of them.
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
 * Histories that once failed, shrunk by the search. In the first two no leader was elected again. In the
 * third a gang was done on one machine and waited on another. In the fourth a former leader received messages
 * of its peers again, but none saying that one of them was the leader, and started tasks of a cancelled job.
 * In the fifth an old heartbeat listed a task that was in a machine's queue: it was queued and started twice.
 */
const formerFailures = [
  `{"seed":1,"nodes":2,"jobs":[{"atS":0,"kind":"array","tasks":1,"runS":30,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"crash-all","backS":0.1,"atS":31.6,"forS":5},{"kind":"late-writes","share":0.9,"atS":34,"forS":1.1},{"kind":"crash-all","backS":0.1,"atS":4,"forS":0.5}]}`,
  `{"seed":1,"nodes":2,"jobs":[{"atS":0,"kind":"array","tasks":1,"runS":30,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"deaf","atS":6,"forS":8,"count":1},{"kind":"crash","who":0,"backS":0.1,"atS":8,"forS":1},{"kind":"late-writes","share":0.9,"atS":4,"forS":20}]}`,
  `{"seed":1,"nodes":2,"jobs":[{"atS":3.3,"kind":"gang","tasks":3,"runS":2,"limited":false,"chained":false,"cancelAtS":null},{"atS":0,"kind":"array","tasks":2,"runS":10,"limited":false,"chained":false,"cancelAtS":null},{"atS":0,"kind":"array","tasks":1,"runS":2,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"refuse-leader","atS":6,"forS":37.9,"hold":false,"peers":true,"side":true},{"kind":"outage","atS":8.9,"forS":35},{"kind":"deaf","atS":27.4,"forS":8,"count":1},{"kind":"crash","who":0,"backS":0.1,"atS":29.4,"forS":1}]}`,
  `{"seed":1,"nodes":3,"bootS":1,"jobs":[{"atS":0,"kind":"array","tasks":1,"runS":100,"limited":false,"chained":false,"cancelAtS":12.3},{"atS":0,"kind":"array","tasks":1,"runS":2,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"refuse-leader","atS":14.2,"forS":38.3,"hold":false,"peers":true,"side":true},{"kind":"outage","atS":17.5,"forS":35},{"kind":"kept-reports","share":0.5,"afterMs":5,"atS":8.4,"forS":30},{"kind":"machine-hang","atS":10.4,"forS":9,"count":1},{"kind":"refuse-leader","atS":14.4,"forS":25,"hold":false,"peers":true,"side":false},{"kind":"mute","atS":15.4,"forS":12,"count":1},{"kind":"deaf","atS":6,"forS":8,"count":1},{"kind":"crash","who":0,"backS":5,"atS":8,"forS":1}]}`,
  `{"seed":1,"nodes":2,"bootS":1,"jobs":[{"atS":0,"kind":"array","tasks":2,"runS":30,"limited":false,"chained":false,"cancelAtS":null},{"atS":0,"kind":"array","tasks":1,"runS":2,"limited":false,"chained":false,"cancelAtS":null}],"troubles":[{"kind":"quota","afterS":2.5,"cpus":2,"stop":false,"atS":28.1,"forS":0.5},{"kind":"machine-cut","atS":17.5,"forS":13.8,"count":1,"hold":true},{"kind":"crash","who":0,"backS":0.1,"atS":19.5,"forS":1}]}`,
];

describe('histories of concurrent faults', () => {
  it('histories that once lost a job or broke a rule no longer do', () => {
    for (const history of formerFailures)
      assert.deepEqual(playHistory(JSON.parse(history) as History).broken, []);
  });

  it('no random history breaks a rule or loses an accepted job, and every frequent combination of faults occurs', () => {
    const covered = new Set<string>();
    fc.assert(
      fc.property(historyArbitrary, (history) => {
        const result = playHistory(history);
        for (const combination of FAULT_COMBINATIONS)
          if (result.met[combination] > 0) covered.add(combination);
        assert.deepEqual(result.broken, []);
      }),
      { ...SAMPLING, numRuns: 220, seed: 11 },
    );
    const frequent = FAULT_COMBINATIONS.filter((name) => !RARE_COMBINATIONS.includes(name));
    assert.deepEqual(
      frequent.filter((name) => !covered.has(name)),
      [],
    );
  });
});

describe('the experiment command', () => {
  it('an invalid option or file is reported with exit code 2, and a run without broken rules exits with 0', async () => {
    const runExperiment = (...args: string[]): Promise<{ code: number; text: string }> =>
      new Promise((done) =>
        execFile(
          'node',
          ['--import', 'tsx', 'scripts/experiments/run.ts', 'meetings', ...args],
          (error, stdout, stderr) =>
            done({ code: error === null ? 0 : Number(error.code), text: stdout + stderr }),
        ),
      );
    const [unknownOption, invalidNumber, invalidFile, success] = await Promise.all([
      runExperiment('--sooner'),
      runExperiment('--histories', 'many'),
      runExperiment('--replay', 'package.json'),
      runExperiment('--histories', '1'),
    ]);
    assert.deepEqual([unknownOption.code, invalidNumber.code, invalidFile.code, success.code], [2, 2, 2, 0]);
    assert.match(unknownOption.text, /unknown option '--sooner'/);
    assert.match(invalidNumber.text, /a whole number/);
    assert.match(invalidFile.text, /^meetings: package.json is no history: .*\n$/);
    assert.match(success.text, /\nmeetings: histories=1 met=\d+ rules_broken=0 not_played=\d\n$/);
  });
});
