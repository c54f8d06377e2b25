// `swiftford lab`, `fault` and `logs`: a cluster on this machine.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { defaults, Lab, type LabOptions, readLabOptions } from '../../packages/local-cluster/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import { parseHcl, readText } from './files.ts';
import { askLocalCluster } from './local-cluster-client.ts';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

export interface LocalClusterFlags {
  options?: string;
  port?: string;
  dir?: string;
  data?: string;
}

async function optionsOf(f: LocalClusterFlags): Promise<LabOptions> {
  let o = defaults();
  if (f.options !== undefined) {
    o = readLabOptions(f.options, await parseHcl(f.options, readText(f.options)));
  }
  if (f.port === undefined) return o;
  const port = Number(f.port);
  if (!Number.isInteger(port) || port < 0 || port > 65_535)
    throw new InvalidSettingsError('--port: 0 to 65535');
  return { ...o, lab: { ...o.lab, port } };
}

/** The flags that production gives the daemon; main.js stands beside this file. */
export const daemon = (): string[] => [
  process.execPath,
  '--max-old-space-size=4096',
  '--initial-old-space-size=24',
  '--max-semi-space-size=2',
  fileURLToPath(new URL('./main.js', import.meta.url)),
];

/** Runs until Ctrl-C, and takes all that it started with it. */
export async function localCluster(f: LocalClusterFlags): Promise<void> {
  const options = await optionsOf(f);
  const dir = f.dir ?? mkdtempSync(join(tmpdir(), 'swiftford-lab-'));
  const log = (line: string): void => print(`${new Date().toISOString().slice(11, 19)}  ${line}`);
  const data = f.data === undefined ? {} : { data: f.data };
  const cluster = await Lab.start(options, { program: daemon(), dir, log, ...data });
  let ending = false;
  const end = async (): Promise<void> => {
    if (ending) return;
    ending = true;
    await cluster.stop();
    if (f.dir === undefined) rmSync(dir, { recursive: true, force: true });
    process.exit(0);
  };
  for (const s of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(s, end);
  try {
    await cluster.ready();
  } catch (e) {
    if (ending) return;
    await cluster.stop();
    throw e;
  }
  print(`lab at ${cluster.addr}; commands of jobs run as you, isolated from nothing`);
  for (const c of cluster.controllers) print(`  ${c.name}  ${c.addr}`);
  print(`  settings, logs and output of tasks: ${dir}`);
  print(
    `try: swiftford run FILE --lab${cluster.addr.endsWith(':7070') ? '' : ` ${cluster.addr}`}   Ctrl-C ends it`,
  );
}

export interface FaultFlags {
  lab?: string | true;
  seconds?: string;
  name?: string;
  zone?: string;
  count?: string;
}

export async function fault(kind: string, f: FaultFlags): Promise<void> {
  const seconds = Number(f.seconds ?? 10);
  const count = Number(f.count ?? 1);
  if (!(seconds > 0) || !(count > 0))
    throw new InvalidSettingsError('--seconds and --count are numbers above 0');
  const body = {
    kind,
    seconds,
    count,
    ...(f.zone === undefined ? {} : { zone: f.zone }),
    ...(f.name === undefined ? {} : { name: f.name }),
  };
  const { done } = (await askLocalCluster(f.lab ?? true, 'POST', '/faults', body)) as { done: string };
  print(done);
}

export async function logs(
  id: string,
  f: { lab?: string | true; task: string; stderr?: boolean },
): Promise<void> {
  const path = `/logs/${id}/${f.task}${f.stderr ? '?stderr' : ''}`;
  const { text } = (await askLocalCluster(f.lab ?? true, 'GET', path)) as { text: string };
  process.stdout.write(text);
}
