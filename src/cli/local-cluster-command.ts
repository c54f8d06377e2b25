// `swiftford local-cluster` (`lab`), `fault` and `logs`: a cluster on this machine.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { defaults, Lab, type LabOptions, readLabOptions } from '../../packages/local-cluster/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import { parseHcl, readText } from './files.ts';
import { askLocalCluster, type LocalClusterAddrFlags, localClusterAddrOf } from './local-cluster-client.ts';
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

/** The command line of a controller with the flags of production; main.js is in the folder of this file. */
export const daemon = (): string[] => [
  process.execPath,
  '--max-old-space-size=4096',
  '--initial-old-space-size=24',
  '--max-semi-space-size=2',
  fileURLToPath(new URL('./main.js', import.meta.url)),
];

async function optionsOf(flags: LocalClusterFlags): Promise<LabOptions> {
  const { options: file } = flags;
  const options =
    file === undefined ? defaults() : readLabOptions(file, await parseHcl(file, readText(file)));
  if (flags.port === undefined) return options;
  const port = Number(flags.port);
  if (!Number.isInteger(port) || port < 0 || port > MAX_PORT)
    throw new InvalidSettingsError('--port: 0 to 65535');
  return { ...options, lab: { ...options.lab, port } };
}

/** Runs a cluster until it is interrupted, and ends all processes that it started. */
export async function localCluster(flags: LocalClusterFlags): Promise<void> {
  const options = await optionsOf(flags);
  const dir = flags.dir ?? mkdtempSync(join(tmpdir(), 'swiftford-lab-'));
  const log = (line: string): void => print(`${new Date().toISOString().slice(11, 19)}  ${line}`);
  const data = flags.data === undefined ? {} : { data: flags.data };
  const cluster = await Lab.start(options, { program: daemon(), dir, log, ...data });
  let ending = false;
  const end = async (): Promise<void> => {
    if (ending) return;
    ending = true;
    await cluster.stop();
    if (flags.dir === undefined) rmSync(dir, { recursive: true, force: true });
    process.exit(0);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, end);
  try {
    await cluster.ready();
  } catch (error) {
    if (ending) return;
    await cluster.stop();
    throw error;
  }
  printCluster(cluster, dir);
}

function printCluster(cluster: Lab, dir: string): void {
  const { addr, controllers } = cluster;
  print(`lab at ${addr}; commands of jobs run as you, isolated from nothing`);
  for (const controller of controllers) print(`  ${controller.name}  ${controller.addr}`);
  print(`  settings, logs and output of tasks: ${dir}`);
  const argument = addr.endsWith(DEFAULT_PORT_SUFFIX) ? '' : ` ${addr}`;
  print(`try: swiftford run FILE --lab${argument}   Ctrl-C ends it`);
}

/** Injects a fault into a local cluster. */
export async function fault(kind: string, flags: FaultFlags): Promise<void> {
  const seconds = Number(flags.seconds ?? DEFAULT_FAULT_S);
  const count = Number(flags.count ?? DEFAULT_FAULT_COUNT);
  if (!(seconds > 0) || !(count > 0))
    throw new InvalidSettingsError('--seconds and --count are numbers above 0');
  const body = {
    kind,
    seconds,
    count,
    ...(flags.zone === undefined ? {} : { zone: flags.zone }),
    ...(flags.name === undefined ? {} : { name: flags.name }),
  };
  const addr = localClusterAddrOf(flags) ?? true;
  const { done } = (await askLocalCluster(addr, 'POST', '/faults', body)) as { done: string };
  print(done);
}

/** Prints the output of a task of a local cluster. */
export async function logs(id: string, flags: LogsFlags): Promise<void> {
  const path = `/logs/${id}/${flags.task}${flags.stderr ? '?stderr' : ''}`;
  const { text } = (await askLocalCluster(localClusterAddrOf(flags) ?? true, 'GET', path)) as {
    text: string;
  };
  process.stdout.write(text);
}
