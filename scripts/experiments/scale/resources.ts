// What the scale experiment takes of the machine that it runs on, and whether that is there.
import { existsSync, readFileSync } from 'node:fs';
import { totalmem } from 'node:os';
import { resolve } from 'node:path';

/** Simulated workers in one process. */
export const WORKERS_PER_HOST = 500;
/** Processes of a cluster. */
export const MAX_PROCESSES = 60;
/** Upper estimates, in MB: a controller, a host full of workers, the services and the experiment itself. */
const CONTROLLER_MB = 260;
const HOST_MB = 500;
const SERVICES_AND_EXPERIMENT_MB = 900;
const USABLE_MEMORY_FRACTION = 0.5;
/** Files that a process has open beside one socket for each of its peers. */
const BASE_FILES_PER_PROCESS = 500;
/** A worker's own server, and its connection. */
const FILES_PER_WORKER = 3;

/** How many processes so many simulated workers take. */
export const hostCountFor = (workers: number): number => Math.ceil(workers / WORKERS_PER_HOST);

/** The daemon with the flags that production gives it. */
export const daemonProgram = (): string[] => [
  process.execPath,
  '--max-old-space-size=4096',
  '--initial-old-space-size=24',
  '--max-semi-space-size=2',
  resolve('target/main.js'),
];

function openFilesLimit(): number {
  const line = readFileSync('/proc/self/limits', 'utf8')
    .split('\n')
    .find((candidate) => candidate.startsWith('Max open files'));
  const limit = line?.split(/\s{2,}/)[1];
  return limit === undefined || limit === 'unlimited' ? Number.POSITIVE_INFINITY : Number(limit);
}

/** Why the machine can't carry it, in one line; null if it can. */
export function lacking(workers: number, controllers: number): string | null {
  if (!existsSync(daemonProgram().at(-1)!)) return 'target/main.js is missing: npm run build';
  const hosts = hostCountFor(workers);
  const processes = hosts + controllers + 2;
  if (processes > MAX_PROCESSES) return `it takes ${processes} processes, of ${MAX_PROCESSES} at most`;
  const needMb = controllers * CONTROLLER_MB + hosts * HOST_MB + SERVICES_AND_EXPERIMENT_MB;
  const haveMb = (totalmem() / 1e6) * USABLE_MEMORY_FRACTION;
  if (needMb > haveMb)
    return `it takes about ${Math.round(needMb)} MB, and half of the memory is ${Math.round(haveMb)} MB`;
  const files = Math.max(WORKERS_PER_HOST * FILES_PER_WORKER, workers) + BASE_FILES_PER_PROCESS;
  if (files > openFilesLimit())
    return `a process needs ${files} open files, and the limit is ${openFilesLimit()}`;
  return null;
}
