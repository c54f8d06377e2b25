// Runs one measurement of `hotpath` in its own process. Arguments: path of the bundled library, number of
// machines, simulated seconds. Prints the figures as one line of JSON.
import { pathToFileURL } from 'node:url';
import type { Library } from './hotpath-lib.ts';
import { Load } from './hotpath-load.ts';

const [libraryPath, machines, seconds] = process.argv.slice(2);
const load = new Load((await import(pathToFileURL(libraryPath!).href)) as Library, Number(machines));
process.stdout.write(`${JSON.stringify(load.measure(Number(seconds)))}\n`);
