// Registers the commands of a cluster on this machine: local-cluster, fault, logs.
import type { Command } from 'commander';
import { reportingErrors } from './command-errors.ts';

/** A file of its own beside main.js: a controller does not load the stand-ins. */
const LOCAL_CLUSTER_COMMANDS = './local-cluster-command.js';
type LocalClusterCommands = typeof import('./local-cluster-command.ts');

/** An action that is given the module of the commands. */
const withCommands = <A extends unknown[]>(
  action: (commands: LocalClusterCommands, ...args: A) => Promise<void>,
): ((...args: A) => Promise<void>) =>
  reportingErrors(async (...args: A) =>
    action((await import(LOCAL_CLUSTER_COMMANDS)) as LocalClusterCommands, ...args),
  );

const withAddressOptions = (command: Command): Command =>
  command
    .option('--local-cluster [address]', 'address of the local cluster (127.0.0.1:7070)')
    .option('--lab [address]', 'the older name of --local-cluster');

/** Registers the commands. */
export function registerLocalClusterCommands(program: Command): void {
  program
    .command('local-cluster')
    .alias('lab')
    .description('bring up a whole cluster on this machine, until Ctrl-C')
    .option('--options <file>', 'what it is like (HCL; deploy/lab.hcl)')
    .option('--port <port>', 'port of the local cluster itself; 0 for a free one (7070)')
    .option('--dir <dir>', 'keep settings, logs and output there')
    .option('--data <dir>', 'keep the records there, and go on with them')
    .action(withCommands((commands, flags: LocalClusterFlags) => commands.localCluster(flags)));
  withAddressOptions(
    program
      .command('fault <kind>')
      .description('let something go wrong in a local cluster; docs/local-cluster.md lists the kinds'),
  )
    .option('--seconds <n>', 'how long, or how much notice (10)')
    .option('--count <n>', 'how many machines (1)')
    .option('--name <controller>', 'which controller; by default any')
    .option('--zone <zone>', 'which zone')
    .action(withCommands((commands, kind: string, flags: FaultFlags) => commands.fault(kind, flags)));
  withAddressOptions(program.command('logs <id>').description("a task's output in a local cluster"))
    .option('--task <index>', 'which task', '0')
    .option('--stderr', 'what it wrote to standard error')
    .action(withCommands((commands, id: string, flags: LogsFlags) => commands.logs(id, flags)));
}

type LocalClusterFlags = Parameters<LocalClusterCommands['localCluster']>[0];
type FaultFlags = Parameters<LocalClusterCommands['fault']>[1];
type LogsFlags = Parameters<LocalClusterCommands['logs']>[1];
