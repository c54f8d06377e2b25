// The fleet drill's world at a size that CI can play: whole days with failures, and nothing broken, lost or unserved.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { arrivals, DAYS } from '../scripts/experiments/fleet-days.ts';
import { FleetWorld, REPORT_MS, type Setup } from '../scripts/experiments/fleet-world.ts';
import { defaults, schedulerOptions } from '../src/cli/options.ts';
import { Controller } from '../src/core/controller.ts';
import { seededRandom } from '../src/runtime/random.ts';

const setup: Setup = {
  machines: 50,
  teams: 6,
  seed: 3,
  arriveS: 320,
  drainS: 200,
  options: schedulerOptions(defaults(), REPORT_MS / 1000),
};

for (const day of DAYS)
  test(`a day of a whole fleet, ${day.name}: ${day.about}`, () => {
    const o = new FleetWorld({ Controller, seededRandom }, day, setup).play();
    assert.deepEqual(o.broken, []);
    for (const [name, s] of [...Object.entries(o.classes), ...Object.entries(o.teams)])
      assert.ok(s.done >= s.jobs * 0.5, `${name}: ${s.done} of ${s.jobs}`);
    const jobs = Object.values(o.classes).reduce((n, c) => n + c.jobs, 0);
    assert.equal(
      jobs,
      arrivals(day, setup.machines, setup.teams, setup.arriveS, seededRandom(setup.seed)).length,
      'a job was never accepted',
    );
  });
