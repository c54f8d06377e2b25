// Runs one day of the fleet experiment in its own process. Arguments: path of the bundled library, name of
// the day, setup as JSON. Prints the outcome as one line of JSON.
import { pathToFileURL } from 'node:url';
import { DAYS } from './fleet-days.ts';
import type { Library, Setup } from './fleet-types.ts';
import { FleetWorld } from './fleet-world.ts';

const [libraryPath, day, setup] = process.argv.slice(2);
const world = new FleetWorld(
  (await import(pathToFileURL(libraryPath!).href)) as Library,
  DAYS.find((candidate) => candidate.name === day)!,
  JSON.parse(setup!) as Setup,
);
process.stdout.write(`${JSON.stringify(world.play())}\n`);
