// Registers the commands of users: submit, run, watch, cancel.
import type { Command } from 'commander';
import { reportingInvalidSettings } from './command-errors.ts';

/** A file of its own beside main.js: a controller does not load the client library. */
const CLIENT_COMMANDS = './client-commands.js';
type ClientCommands = typeof import('./client-commands.ts');
type CommandName = 'submit' | 'run' | 'watch' | 'cancel';
type Flags = Parameters<ClientCommands['watch']>[1];

/** Registers the commands. */
export function registerClientCommands(program: Command): void {
  register(
    'submit',
    withOutboxOptions(program.command('submit <file>'))
      .description('submit the jobs of a file (JSON, JSON lines, .hcl; - for standard input)')
      .option('--wait', 'wait for their ends'),
  );
  register(
    'run',
    withOutboxOptions(program.command('run <file>')).description('submit and wait for the ends'),
  );
  register('watch', program.command('watch <id>').description('show the states of a job until it ends'));
  register('cancel', program.command('cancel <id>').description('cancel a job and tell how it ended'));
}

const withOutboxOptions = (command: Command): Command =>
  command
    .option('--outbox <file>', 'keep jobs in this file, so that the same command goes on after it was killed')
    .option('--accept-within <seconds>', 'give up if it is not accepted after so long (600)');

/** Adds the options that all these commands have, and what the command does. */
function register(name: CommandName, command: Command): void {
  const run = async (argument: string, flags: Flags): Promise<void> => {
    const commands = (await import(CLIENT_COMMANDS)) as ClientCommands;
    await commands[name](argument, flags);
  };
  command
    .option('-n, --node <address...>', 'nodes or their load balancer (10.0.0.1:8080)')
    .option(
      '--local-cluster [address]',
      'the nodes of a cluster on this machine (127.0.0.1:7070), which runs what `command` says',
    )
    .option('--lab [address]', 'the older name of --local-cluster')
    .option('--json', 'one line of JSON for each job')
    .option('--within <seconds>', 'give up after so long; the job itself goes on')
    .action(reportingInvalidSettings(run));
}
