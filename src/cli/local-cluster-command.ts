// `swiftford local-cluster` (`lab`), `fault` and `logs`: commands for a cluster on this machine.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  defaults,
  LocalCluster,
  type LocalClusterOptions,
  readLocalClusterOptions,
} from '../../packages/local-cluster/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import { parseHcl, readText } from './files.ts';
import {
  type LocalClusterAddrFlags,
  localClusterAddrOf,
  requestLocalCluster,
} from './local-cluster-client.ts';
import { print } from './output.ts';

/** Options of `swiftford local-cluster`. */
export interface LocalClusterFlags {
  options?: string;
  port?: string;
  dir?: string;
  data?: string;
}

/** Options of `swiftford fault`. */
export interface FaultFlags extends LocalClusterAddrFlags {
  seconds?: string;
  name?: string;
  zone?: string;
  count?: string;
}

/** Options of `swiftford logs`. */
export interface LogsFlags extends LocalClusterAddrFlags {
  task: string;
  stderr?: boolean;
}

const MAX_PORT = 65_535;
const DEFAULT_PORT_SUFFIX = ':7070';
const DEFAULT_FAULT_S = 10;
const DEFAULT_FAULT_COUNT = 1;

/**
 * The command line of a controller, with production's V8 flags; main.js is in the directory of this bundle.
 */
export const controllerCommandLine = (): string[] => [
  process.execPath,
  '--max-old-space-size=4096',
  '--initial-old-space-size=24',
  '--max-semi-space-size=2',
  fileURLToPath(new URL('./main.js', import.meta.url)),
];

async function resolveOptions(flags: LocalClusterFlags): Promise<LocalClusterOptions> {
  const { options: file } = flags;
  const options =
    file === undefined ? defaults() : readLocalClusterOptions(file, await parseHcl(file, readText(file)));
  if (flags.port === undefined) return options;
  const port = Number(flags.port);
  if (!Number.isInteger(port) || port < 0 || port > MAX_PORT)
    throw new InvalidSettingsError(
      `--port: expected a whole number from 0 to ${MAX_PORT}, got ${flags.port}`,
    );
  return { ...options, lab: { ...options.lab, port } };
}

/** Runs a cluster until a signal arrives, then ends all processes that it started. */
export async function localCluster(flags: LocalClusterFlags): Promise<void> {
  const options = await resolveOptions(flags);
  const dir = flags.dir ?? mkdtempSync(join(tmpdir(), 'swiftford-lab-'));
  const log = (line: string): void => print(`${new Date().toISOString().slice(11, 19)}  ${line}`);
  const data = flags.data === undefined ? {} : { data: flags.data };
  const cluster = await LocalCluster.start(options, { program: controllerCommandLine(), dir, log, ...data });
  let isStopping = false;
  const stop = async (): Promise<void> => {
    if (isStopping) return;
    isStopping = true;
    await cluster.stop();
    if (flags.dir === undefined) rmSync(dir, { recursive: true, force: true });
    process.exit(0);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, stop);
  try {
    await cluster.ready();
  } catch (error) {
    if (isStopping) return;
    await cluster.stop();
    throw error;
  }
  printCluster(cluster, dir);
}

function printCluster(cluster: LocalCluster, dir: string): void {
  const { addr, controllers } = cluster;
  print(`local cluster at ${addr}; commands of jobs run under your user account, without isolation`);
  for (const controller of controllers) print(`  ${controller.name}  ${controller.addr}`);
  print(`  settings, logs and output of tasks: ${dir}`);
  const argument = addr.endsWith(DEFAULT_PORT_SUFFIX) ? '' : ` ${addr}`;
  print(`try: swiftford run FILE --lab${argument}   Ctrl-C stops the cluster`);
}

/** Injects a fault into a local cluster. */
export async function fault(kind: string, flags: FaultFlags): Promise<void> {
  const seconds = Number(flags.seconds ?? DEFAULT_FAULT_S);
  const count = Number(flags.count ?? DEFAULT_FAULT_COUNT);
  if (!(seconds > 0) || !(count > 0))
    throw new InvalidSettingsError('--seconds and --count: expected numbers above 0');
  const body = {
    kind,
    seconds,
    count,
    ...(flags.zone === undefined ? {} : { zone: flags.zone }),
    ...(flags.name === undefined ? {} : { name: flags.name }),
  };
  const addr = localClusterAddrOf(flags) ?? true;
  const { done } = (await requestLocalCluster(addr, 'POST', '/faults', body)) as { done: string };
  print(done);
}

/** Prints the output of a task of a local cluster. */
export async function logs(id: string, flags: LogsFlags): Promise<void> {
  const path = `/logs/${id}/${flags.task}${flags.stderr ? '?stderr' : ''}`;
  const { text } = (await requestLocalCluster(localClusterAddrOf(flags) ?? true, 'GET', path)) as {
    text: string;
  };
  process.stdout.write(text);
}
