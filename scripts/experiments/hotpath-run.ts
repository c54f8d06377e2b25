// One measurement of `hotpath`, in a process of its own: a version's library, a number of machines, a line of
// figures.
import { pathToFileURL } from 'node:url';
import type { Lib } from './hotpath-lib.ts';
import { Load } from './hotpath-load.ts';

const [lib, machines, seconds] = process.argv.slice(2);
const load = new Load((await import(pathToFileURL(lib!).href)) as Lib, Number(machines));
process.stdout.write(`${JSON.stringify(load.day(Number(seconds)))}\n`);
