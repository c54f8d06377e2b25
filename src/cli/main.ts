#!/usr/bin/env node
// The program: a thin shell over the library.
import { Command } from 'commander';
import type { Settings } from '../core/base/model.ts';
import { HttpClient } from '../http/client.ts';
import { InvalidSettingsError, parseSettings } from '../protocol/settings.ts';
import { ControllerProcess } from '../runtime/controller-process.ts';
import { openLog } from '../runtime/log.ts';
import { randomSeed } from '../runtime/random.ts';
import { addrOf, jobIdOf, parseHcl, readText } from './files.ts';
import { defaults, KEYS, type OperatorOptions, readOptions, schedulerOptions } from './options.ts';

const VERSION = '0.9.0';
const ASK_MS = 3000;

async function readHcl(file: string | undefined): Promise<OperatorOptions> {
  if (file === undefined) return defaults();
  return readOptions(file, await parseHcl(file, readText(file)));
}

async function load(o: {
  config: string;
  options?: string;
}): Promise<{ settings: Settings; options: OperatorOptions }> {
  return { settings: parseSettings(o.config, readText(o.config)), options: await readHcl(o.options) };
}

async function serve(o: { config: string; options?: string }): Promise<void> {
  const { settings, options } = await load(o);
  const log = openLog(settings.node, process.env.LOG_LEVEL);
  new ControllerProcess(settings, {
    scheduler: schedulerOptions(options, settings.workers.heartbeatS),
    seed: randomSeed(),
    log,
  });
}

/** Asks a running node and prints its answer; exits 1 when there is none or it is not 200. */
function ask(addr: string, path: string): void {
  addrOf(addr, "a node's address looks like 10.0.0.1:8080");
  const client = new HttpClient(addr, 1, 1 << 20);
  client.call({ method: 'GET', path, body: null, timeoutMs: ASK_MS }, (r) => {
    client.close();
    if (r === null) return fail(new Error(`${addr} does not answer`));
    process.stdout.write(`${r.body.toString('utf8')}\n`);
    if (r.status !== 200) process.exitCode = 1;
  });
}

function fail(e: unknown): void {
  process.stderr.write(`swiftford: ${e instanceof Error ? e.message : String(e)}\n`);
  process.exitCode = 1;
}

/** Mistakes of the operator end in one line, not a stack. */
const guarded =
  <A extends unknown[]>(run: (...args: A) => void | Promise<void>) =>
  async (...args: A): Promise<void> => {
    try {
      await run(...args);
    } catch (e) {
      if (!(e instanceof InvalidSettingsError)) throw e;
      fail(e);
    }
  };

const program = new Command('swiftford').description('Cluster scheduler').version(VERSION);
const withFiles = (c: Command): Command =>
  c
    .requiredOption('--config <file>', 'settings file of the platform (JSON)')
    .option('--options <file>', "operators' own settings (HCL)");

withFiles(program.command('serve').description('run a controller')).action(guarded(serve));

withFiles(program.command('check').description('check settings without starting anything')).action(
  guarded(async (o: { config: string; options?: string }) => {
    const { settings, options } = await load(o);
    process.stdout.write(`${settings.node}: settings are in order; ${JSON.stringify(options)}\n`);
  }),
);

program
  .command('options')
  .description("list the keys of the operators' own settings")
  .action(() => {
    for (const k of KEYS)
      process.stdout.write(`dispatch.${k.hcl}  (default ${k.default}, ${k.min} to ${k.max})  ${k.about}\n`);
  });

program
  .command('job <node> <id>')
  .description('show the state of a job and what it awaits, asked of a node (10.0.0.1:8080)')
  .action(
    guarded((addr: string, id: string) => {
      ask(addr, `/work/${jobIdOf(id)}`);
    }),
  );

program
  .command('node <node>')
  .description("show a node's own status")
  .action(guarded((addr: string) => ask(addr, '/status')));

// The client library is in a file of its own: a controller does not load it.
const CLIENT = './client-commands.js';
type ClientCommands = typeof import('./client-commands.ts');
const asClient = (c: Command, name: 'submit' | 'run' | 'watch' | 'cancel'): Command =>
  c
    .option('-n, --node <address...>', 'nodes or their load balancer (10.0.0.1:8080)')
    .option(
      '--lab [address]',
      'the nodes of a lab on this machine (127.0.0.1:7070), which runs what `command` says',
    )
    .option('--json', 'one line of JSON for each job')
    .option('--within <seconds>', 'give up after so long; the job itself goes on')
    .action(
      guarded(async (what: string, flags: Parameters<ClientCommands['watch']>[1]) => {
        await ((await import(CLIENT)) as ClientCommands)[name](what, flags);
      }),
    );
const withOutbox = (c: Command): Command =>
  c
    .option('--outbox <file>', 'keep jobs in this file, so that the same command goes on after it was killed')
    .option('--accept-within <seconds>', 'give up if it is not accepted after so long (600)');
asClient(
  withOutbox(program.command('submit <file>'))
    .description('submit the jobs of a file (JSON, JSON lines, .hcl; - for standard input)')
    .option('--wait', 'wait for their ends'),
  'submit',
);
asClient(withOutbox(program.command('run <file>')).description('submit and wait for the ends'), 'run');
asClient(program.command('watch <id>').description('show the states of a job until it ends'), 'watch');
asClient(program.command('cancel <id>').description('cancel a job and tell how it ended'), 'cancel');

const LAB = './local-cluster-command.js';
type LabCommands = typeof import('./local-cluster-command.ts');
const inLab =
  <A extends unknown[]>(run: (c: LabCommands, ...args: A) => Promise<void>) =>
  async (...args: A): Promise<void> => {
    try {
      await run((await import(LAB)) as LabCommands, ...args);
    } catch (e) {
      fail(e);
    }
  };
program
  .command('lab')
  .description('bring up a whole cluster on this machine, until Ctrl-C')
  .option('--options <file>', 'what it is like (HCL; deploy/lab.hcl)')
  .option('--port <port>', 'port of the lab itself; 0 for a free one (7070)')
  .option('--dir <dir>', 'keep settings, logs and output there')
  .option('--data <dir>', 'keep the records there, and go on with them')
  .action(inLab((c, f: Parameters<LabCommands['localCluster']>[0]) => c.localCluster(f)));
program
  .command('fault <kind>')
  .description('let something go wrong in a lab; docs/lab.md lists the kinds')
  .option('--lab [address]', 'address of the lab')
  .option('--seconds <n>', 'how long, or how much notice (10)')
  .option('--count <n>', 'how many machines (1)')
  .option('--name <controller>', 'which controller; by default any')
  .option('--zone <zone>', 'which zone')
  .action(inLab((c, kind: string, f: Parameters<LabCommands['fault']>[1]) => c.fault(kind, f)));
program
  .command('logs <id>')
  .description("a task's output in a lab")
  .option('--lab [address]', 'address of the lab')
  .option('--task <index>', 'which task', '0')
  .option('--stderr', 'what it wrote to standard error')
  .action(inLab((c, id: string, f: Parameters<LabCommands['logs']>[1]) => c.logs(id, f)));

const CONFIG = './config-command.js';
type ConfigCommands = typeof import('./config-command.ts');
const configure = program.command('config').description('configuration that changes while the service runs');
const asConfig = (c: Command): Command =>
  c.requiredOption('--config <file>', 'settings file of any controller (JSON)');
const asChange = (c: Command): Command =>
  asConfig(c)
    .option('--id <id>', 'of the change: repeated with it after a lost answer, nothing is changed twice')
    .option('--wait', 'return when it is in force everywhere')
    .option('--within <seconds>', 'with --wait: give up after so long (60)');
asConfig(
  configure.command('plan <file>').description('what a file (HCL) would change, and which jobs would wait'),
).action(async (file: string, f: Parameters<ConfigCommands['plan']>[1]) =>
  ((await import(CONFIG)) as ConfigCommands).plan(file, f),
);
asChange(
  configure.command('apply <file>').description('make what a file (HCL) says the configuration'),
).action(async (file: string, f: Parameters<ConfigCommands['apply']>[1]) =>
  ((await import(CONFIG)) as ConfigCommands).apply(file, f),
);
asChange(
  configure.command('rollback <number>').description('back to how it was after that change; 0: no documents'),
).action(async (number: string, f: Parameters<ConfigCommands['rollback']>[1]) =>
  ((await import(CONFIG)) as ConfigCommands).rollback(number, f),
);
for (const name of ['show', 'status', 'history'] as const) {
  const about = {
    show: 'the configuration, and where each part comes from',
    status: 'the newest change, and whether it is in force',
    history: 'the last changes',
  }[name];
  asConfig(configure.command(name).description(about))
    .option('--json', 'as JSON')
    .action(async (f: Parameters<ConfigCommands['show']>[0]) =>
      ((await import(CONFIG)) as ConfigCommands)[name](f),
    );
}

program.parseAsync();
