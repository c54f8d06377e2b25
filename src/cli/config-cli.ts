// Registers the commands of operators for the configuration: config plan, apply, rollback, show, status, history.
import type { Command } from 'commander';

/** A file of its own beside main.js: a controller does not load it. */
const CONFIG_COMMANDS = './config-command.js';
type ConfigCommands = typeof import('./config-command.ts');
type ConfigFlags = Parameters<ConfigCommands['show']>[0];
type ApplyFlags = Parameters<ConfigCommands['apply']>[1];

const loadCommands = async (): Promise<ConfigCommands> => (await import(CONFIG_COMMANDS)) as ConfigCommands;

const withSettings = (command: Command): Command =>
  command.requiredOption('--config <file>', 'settings file of any controller (JSON)');

const withChangeOptions = (command: Command): Command =>
  withSettings(command)
    .option('--id <id>', 'of the change: repeated with it after a lost answer, nothing is changed twice')
    .option('--wait', 'return when it is in force everywhere')
    .option('--within <seconds>', 'with --wait: give up after so long (60)');

/** Commands that only show something, with their descriptions. */
const READERS = [
  ['show', 'the configuration, and where each part comes from'],
  ['status', 'the newest change, and whether it is in force'],
  ['history', 'the last changes'],
] as const;

/** Registers the commands. */
export function registerConfigCommands(program: Command): void {
  const config = program.command('config').description('configuration that changes while the service runs');
  withSettings(
    config.command('plan <file>').description('what a file (HCL) would change, and which jobs would wait'),
  ).action(async (file: string, flags: ConfigFlags) => (await loadCommands()).plan(file, flags));
  withChangeOptions(
    config.command('apply <file>').description('make what a file (HCL) says the configuration'),
  ).action(async (file: string, flags: ApplyFlags) => (await loadCommands()).apply(file, flags));
  withChangeOptions(
    config.command('rollback <number>').description('back to how it was after that change; 0: no documents'),
  ).action(async (number: string, flags: ApplyFlags) => (await loadCommands()).rollback(number, flags));
  for (const [name, description] of READERS) {
    withSettings(config.command(name).description(description))
      .option('--json', 'as JSON')
      .action(async (flags: ConfigFlags) => (await loadCommands())[name](flags));
  }
}
