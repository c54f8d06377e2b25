// One day of the fleet experiment, in a process of its own: a version's library and a setup; a line of
// figures.
import { pathToFileURL } from 'node:url';
import { DAYS } from './fleet-days.ts';
import type { Lib, Setup } from './fleet-types.ts';
import { FleetWorld } from './fleet-world.ts';

const [lib, day, setup] = process.argv.slice(2);
const world = new FleetWorld(
  (await import(pathToFileURL(lib!).href)) as Lib,
  DAYS.find((candidate) => candidate.name === day)!,
  JSON.parse(setup!) as Setup,
);
process.stdout.write(`${JSON.stringify(world.play())}\n`);
