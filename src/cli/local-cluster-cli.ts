// Registers the commands for a cluster on this machine: local-cluster, fault, logs.
import type { Command } from 'commander';
import { reportingErrors } from './command-errors.ts';

/**
 * A separate bundle beside main.js, so that a controller does not load the fake services of the local
 * cluster.
 */
const LOCAL_CLUSTER_COMMANDS = './local-cluster-command.js';
type LocalClusterCommands = typeof import('./local-cluster-command.ts');

/** Wraps an action: loads the module of the commands and passes it to the action as first argument. */
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
    .description('run a whole cluster on this machine until Ctrl-C')
    .option('--options <file>', 'options of the cluster (HCL; deploy/lab.hcl is an example)')
    .option('--port <port>', 'port of the control API of the local cluster; 0 for any free port (7070)')
    .option('--dir <dir>', 'directory for settings, logs and output of tasks; kept after the end')
    .option('--data <dir>', 'directory for the stored records; a later run with it continues from them')
    .action(withCommands((commands, flags: LocalClusterFlags) => commands.localCluster(flags)));
  withAddressOptions(
    program
      .command('fault <kind>')
      .description('inject a fault into a local cluster; docs/local-cluster.md lists the kinds'),
  )
    .option('--seconds <n>', 'duration of the fault, or notice before a preemption (10)')
    .option('--count <n>', 'number of machines (1)')
    .option('--name <controller>', 'name of the controller; by default any')
    .option('--zone <zone>', 'name of the zone')
    .action(withCommands((commands, kind: string, flags: FaultFlags) => commands.fault(kind, flags)));
  withAddressOptions(program.command('logs <id>').description("print a task's output in a local cluster"))
    .option('--task <index>', 'index of the task', '0')
    .option('--stderr', 'print standard error instead of standard output')
    .action(withCommands((commands, id: string, flags: LogsFlags) => commands.logs(id, flags)));
}

type LocalClusterFlags = Parameters<LocalClusterCommands['localCluster']>[0];
type FaultFlags = Parameters<LocalClusterCommands['fault']>[1];
type LogsFlags = Parameters<LocalClusterCommands['logs']>[1];
