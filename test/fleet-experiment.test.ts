// Plays the days of the fleet experiment, with their failures, on a fleet small enough for CI: no rule is
// broken, every job is accepted, and at least half the jobs of every class and team are done.
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
    it(`breaks no rule and serves every class and team on the day ${day.name}: ${day.about}`, () => {
      const outcome = new FleetWorld({ Controller, seededRandom }, day, setup).play();
      assert.deepEqual(outcome.broken, []);
      for (const [name, served] of [...Object.entries(outcome.classes), ...Object.entries(outcome.teams)])
        assert.ok(served.done >= served.jobs * 0.5, `${name}: ${served.done} of ${served.jobs}`);
      const accepted = Object.values(outcome.classes).reduce((total, served) => total + served.jobs, 0);
      const { machines, teams, arriveS, seed } = setup;
      const arrived = arrivals(day, machines, teams, arriveS, seededRandom(seed));
      assert.equal(accepted, arrived.length, `${accepted} of ${arrived.length} jobs were accepted`);
    });
});
