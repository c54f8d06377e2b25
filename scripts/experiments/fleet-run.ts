// One day of the fleet drill, in a process of its own: a version's library and a setup; a line of figures.
import { pathToFileURL } from 'node:url';
import { DAYS } from './fleet-days.ts';
import { FleetWorld, type Lib, type Setup } from './fleet-world.ts';

const [lib, day, setup] = process.argv.slice(2);
const world = new FleetWorld(
  (await import(pathToFileURL(lib!).href)) as Lib,
  DAYS.find((d) => d.name === day)!,
  JSON.parse(setup!) as Setup,
);
process.stdout.write(`${JSON.stringify(world.play())}\n`);
