// Estimates the resources that the scale experiment needs, and checks that this machine has them.
import { existsSync, readFileSync } from 'node:fs';
import { totalmem } from 'node:os';
import { resolve } from 'node:path';

/** Maximum number of simulated workers in one host process. */
export const WORKERS_PER_HOST = 500;
/** Maximum number of processes of a cluster. */
export const MAX_PROCESSES = 60;
/**
 * Upper estimates of memory: a controller, a host with all its workers, and services and experiment together.
 */
const CONTROLLER_MB = 260;
const HOST_MB = 500;
const SERVICES_AND_EXPERIMENT_MB = 900;
/** Fraction of the memory of the machine that the experiment may use. */
const USABLE_MEMORY_FRACTION = 0.5;
/** Open files of a process apart from one socket for each of its peers. */
const BASE_FILES_PER_PROCESS = 500;
/** Upper estimate of the sockets of a worker: its server and its connections. */
const FILES_PER_WORKER = 3;

/** Number of host processes for `workers` simulated workers. */
export const hostCountFor = (workers: number): number => Math.ceil(workers / WORKERS_PER_HOST);

/** The command line of the daemon, with the flags that are used in production. */
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

/** Returns in one line which resource this machine lacks for such an experiment; null if it lacks none. */
export function findResourceShortage(workers: number, controllers: number): string | null {
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
