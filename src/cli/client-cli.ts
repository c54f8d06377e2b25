// Registers the commands for users: submit, run, watch, cancel.
import type { Command } from 'commander';
import { reportingInvalidSettings } from './command-errors.ts';

/** A separate bundle beside main.js, so that a controller does not load the client library. */
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
      .option('--wait', 'wait until all jobs have ended'),
  );
  register(
    'run',
    withOutboxOptions(program.command('run <file>')).description(
      'submit the jobs of a file and wait until all have ended',
    ),
  );
  register('watch', program.command('watch <id>').description('print the states of a job until it ends'));
  register('cancel', program.command('cancel <id>').description('cancel a job and print how it ended'));
}

const withOutboxOptions = (command: Command): Command =>
  command
    .option(
      '--outbox <file>',
      'keep submitted jobs in this file, so that the same command resumes after a crash',
    )
    .option('--accept-within <seconds>', 'give up on a job that is not accepted within this time (600)');

/** Adds the options that all these commands have, and the action, which loads the bundle of the commands. */
function register(name: CommandName, command: Command): void {
  const run = async (argument: string, flags: Flags): Promise<void> => {
    const commands = (await import(CLIENT_COMMANDS)) as ClientCommands;
    await commands[name](argument, flags);
  };
  command
    .option('-n, --node <address...>', 'addresses of nodes, or of their load balancer (10.0.0.1:8080)')
    .option(
      '--local-cluster [address]',
      'use the nodes of a local cluster (127.0.0.1:7070), whose tasks run the `command` of the job',
    )
    .option('--lab [address]', 'the older name of --local-cluster')
    .option('--json', 'one line of JSON for each job')
    .option('--within <seconds>', 'stop waiting after this time; the job itself continues')
    .action(reportingInvalidSettings(run));
}
