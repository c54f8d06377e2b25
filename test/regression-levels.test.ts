// Tests which results in the bench's journal `npm run regress` reports as failures or as suspected falls.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  findingsOf,
  fixedFall,
  type Level,
  type PlayedDay,
  type PlayedSite,
} from '../scripts/regression-levels.ts';

const playedDay = (overrides: Partial<PlayedDay> = {}): PlayedDay => ({
  name: 'rough',
  seed: 7,
  score: 0.6,
  rules: {},
  fault: null,
  ...overrides,
});
const playedSite = (overrides: Partial<PlayedSite> = {}): PlayedSite => ({
  site: 'a',
  score: 0.6,
  error: null,
  days: [playedDay()],
  ...overrides,
});

describe('regression levels', () => {
  it('a broken rule, a failed day and an empty run fail at any score; a score below the level by more than noise is a suspected fall', () => {
    assert.deepEqual(findingsOf(playedSite(), 0.62), []);
    assert.deepEqual(findingsOf(playedSite(), null), []);
    assert.match(
      JSON.stringify(findingsOf(playedSite({ days: [playedDay({ rules: { quota: 2 } })] }), 0.1)),
      /rough.*quota 2/,
    );
    assert.match(
      JSON.stringify(findingsOf(playedSite({ days: [playedDay({ fault: 'no answers' })] }), 0.1)),
      /no answers/,
    );
    assert.equal(findingsOf(playedSite({ days: [playedDay({ score: 0 })] }), 0.1).length, 1);
    const withStarted = (started: number) =>
      playedSite({ days: [playedDay({ served: [['team red', 0.3, started]] })] });
    assert.match(JSON.stringify(findingsOf(withStarted(0.49), 0.1)), /team red served 0.49/);
    assert.deepEqual(findingsOf(withStarted(0.5), 0.6), []);
    assert.equal(findingsOf(playedSite({ error: 'not built', days: [] }), 0.1).length, 2);
    assert.deepEqual(findingsOf(playedSite({ score: 0.58 }), 0.62), [
      { kind: 'lower', site: 'a', score: 0.58, level: 0.62 },
    ]);
  });

  it('a suspected fall is measured on the fixed days that have a level, and is null if none has one', () => {
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
    const fall = fixedFall(level, [
      playedDay({ score: 0.5 }),
      playedDay({ name: 'calm', seed: 8, score: 0.78 }),
    ]);
    assert.ok(fall !== null && Math.abs(fall - 0.06) < 1e-9);
    assert.equal(fixedFall(level, [playedDay({ name: 'zone', seed: 9 })]), null);
  });
});
