// The fleet experiment's world at a size that CI can play: whole days with failures, and nothing broken, lost
// or unserved.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { arrivals } from '../scripts/experiments/fleet-arrivals.ts';
import { DAYS, HEARTBEAT_INTERVAL_MS } from '../scripts/experiments/fleet-days.ts';
import type { Setup } from '../scripts/experiments/fleet-types.ts';
import { FleetWorld } from '../scripts/experiments/fleet-world.ts';
import { defaults, schedulerOptions } from '../src/cli/options.ts';
import { Controller } from '../src/core/controller.ts';
import { seededRandom } from '../src/runtime/random.ts';

const setup: Setup = {
  machines: 50,
  teams: 6,
  seed: 3,
  arriveS: 320,
  drainS: 200,
  options: schedulerOptions(defaults(), HEARTBEAT_INTERVAL_MS / 1000),
};

describe('the fleet experiment', () => {
  for (const day of DAYS)
    it(`a day of a whole fleet, ${day.name}: ${day.about}`, () => {
      const outcome = new FleetWorld({ Controller, seededRandom }, day, setup).play();
      assert.deepEqual(outcome.broken, []);
      for (const [name, served] of [...Object.entries(outcome.classes), ...Object.entries(outcome.teams)])
        assert.ok(served.done >= served.jobs * 0.5, `${name}: ${served.done} of ${served.jobs}`);
      const accepted = Object.values(outcome.classes).reduce((total, served) => total + served.jobs, 0);
      const { machines, teams, arriveS, seed } = setup;
      const drawn = arrivals(day, machines, teams, arriveS, seededRandom(seed));
      assert.equal(accepted, drawn.length, 'a job was never accepted');
    });
});
