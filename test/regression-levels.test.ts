// What `npm run regress` calls a failure, told from the bench's journal.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  findingsOf,
  fixedFall,
  type Level,
  type PlayedDay,
  type PlayedSite,
} from '../scripts/regression-levels.ts';

const day = (over: Partial<PlayedDay> = {}): PlayedDay => ({
  name: 'rough',
  seed: 7,
  score: 0.6,
  rules: {},
  fault: null,
  ...over,
});
const played = (over: Partial<PlayedSite> = {}): PlayedSite => ({
  site: 'a',
  score: 0.6,
  error: null,
  days: [day()],
  ...over,
});

describe('regression levels', () => {
  it('a broken rule, a failed day and an empty run fail whatever the figure; a fall beyond noise is a suspicion', () => {
    assert.deepEqual(findingsOf(played(), 0.62), []);
    assert.deepEqual(findingsOf(played(), null), []);
    assert.match(
      JSON.stringify(findingsOf(played({ days: [day({ rules: { quota: 2 } })] }), 0.1)),
      /rough.*quota 2/,
    );
    assert.match(
      JSON.stringify(findingsOf(played({ days: [day({ fault: 'no answers' })] }), 0.1)),
      /no answers/,
    );
    assert.equal(findingsOf(played({ days: [day({ score: 0 })] }), 0.1).length, 1);
    const served = (part: number) => played({ days: [day({ served: [['team red', 0.3, part]] })] });
    assert.match(JSON.stringify(findingsOf(served(0.49), 0.1)), /team red served 0.49/);
    assert.deepEqual(findingsOf(served(0.5), 0.6), []);
    assert.equal(findingsOf(played({ error: 'not built', days: [] }), 0.1).length, 2);
    assert.deepEqual(findingsOf(played({ score: 0.58 }), 0.62), [
      { kind: 'lower', site: 'a', score: 0.58, level: 0.62 },
    ]);
  });

  it('a suspected fall is judged by the fixed plays that have a level, and by nothing when none has', () => {
    const level: Level = {
      file: 'a.toml',
      quick: null,
      full: null,
      fixed: [
        { day: 'rough', seed: 7, score: 0.6 },
        { day: 'calm', seed: 8, score: 0.8 },
        { day: 'zone', seed: 9, score: null },
      ],
    };
    const fall = fixedFall(level, [day({ score: 0.5 }), day({ name: 'calm', seed: 8, score: 0.78 })]);
    assert.ok(fall !== null && Math.abs(fall - 0.06) < 1e-9);
    assert.equal(fixedFall(level, [day({ name: 'zone', seed: 9 })]), null);
  });
});
