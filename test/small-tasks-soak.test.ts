// Random fleets with more small tasks than heartbeats can list. The run in CI is short; a long one is started with
// SOAK_RUNS=5000 SOAK_SEED=7 node --import tsx --test test/small-tasks-soak.test.ts
import assert from 'node:assert/strict';
import { it } from 'node:test';
import fc from 'fast-check';
import { playSmallTaskFleet, smallTaskRunArbitrary } from './support/small-task-fleet.ts';

const RUNS = Number(process.env.SOAK_RUNS ?? 100);
const SEED = Number(process.env.SOAK_SEED ?? 61);

// A machine got more tasks than its heartbeats could list, and lost all of them again and again.
it('small tasks run without a message that is too long, a lost lease or a job left waiting', () => {
  fc.assert(
    fc.property(smallTaskRunArbitrary, (run) => {
      assert.deepEqual(playSmallTaskFleet(run), []);
    }),
    { numRuns: RUNS, seed: SEED },
  );
});
