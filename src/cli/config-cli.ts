// Registers the operators' commands for the configuration: config plan, apply, rollback, show, status,
// history.
import type { Command } from 'commander';

/** A separate bundle beside main.js, so that a controller does not load it. */
const CONFIG_COMMANDS = './config-command.js';
type ConfigCommands = typeof import('./config-command.ts');
type ConfigFlags = Parameters<ConfigCommands['show']>[0];
type ApplyFlags = Parameters<ConfigCommands['apply']>[1];

const loadCommands = async (): Promise<ConfigCommands> => (await import(CONFIG_COMMANDS)) as ConfigCommands;

const withSettings = (command: Command): Command =>
  command.requiredOption('--config <file>', 'settings file of any controller (JSON)');

const withChangeOptions = (command: Command): Command =>
  withSettings(command)
    .option(
      '--id <id>',
      'id of the change; repeating a command with the same id, as after a lost response, does not make the change twice',
    )
    .option(
      '--wait',
      'wait until the change is in force, so that no controller acts on an older configuration',
    )
    .option('--within <seconds>', 'with --wait: stop waiting after this time (60)');

/** Commands that only print, with their descriptions. */
const READ_ONLY_COMMANDS = [
  ['show', 'print the configuration and the origin of each quota'],
  ['status', 'print the newest change and whether it is in force'],
  ['history', 'print the last changes'],
] as const;

/** Registers the commands. */
export function registerConfigCommands(program: Command): void {
  const config = program.command('config').description('configuration that changes while the service runs');
  withSettings(
    config
      .command('plan <file>')
      .description('print what a file (HCL) would change and which jobs would have to wait'),
  ).action(async (file: string, flags: ConfigFlags) => (await loadCommands()).plan(file, flags));
  withChangeOptions(
    config.command('apply <file>').description('apply the configuration of a file (HCL)'),
  ).action(async (file: string, flags: ApplyFlags) => (await loadCommands()).apply(file, flags));
  withChangeOptions(
    config
      .command('rollback <number>')
      .description('restore the configuration as it was after a change; 0: no documents'),
  ).action(async (number: string, flags: ApplyFlags) => (await loadCommands()).rollback(number, flags));
  for (const [name, description] of READ_ONLY_COMMANDS) {
    withSettings(config.command(name).description(description))
      .option('--json', 'as JSON')
      .action(async (flags: ConfigFlags) => (await loadCommands())[name](flags));
  }
}
