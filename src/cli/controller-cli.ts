// Registers the commands that run a controller and query running ones: serve, check, options, job, node.
import type { Command } from 'commander';
import type { Settings } from '../core/base/model.ts';
import { HttpClient } from '../http/client.ts';
import { parseSettings } from '../protocol/settings.ts';
import { ControllerProcess } from '../runtime/controller-process.ts';
import { openLog } from '../runtime/log.ts';
import { randomSeed } from '../runtime/random.ts';
import { SwiftfordError } from '../types/errors.ts';
import { checkAddress, checkJobId } from './arguments.ts';
import { fail, reportingInvalidSettings } from './command-errors.ts';
import { parseHcl, readText } from './files.ts';
import { defaults, OPTION_KEYS, type OperatorOptions, readOptions, schedulerOptions } from './options.ts';

const REQUEST_TIMEOUT_MS = 3000;
const MAX_REPLY_BYTES = 1 << 20;

interface ControllerFlags {
  config: string;
  options?: string;
}

/** Thrown if the node that a command queries does not respond. */
export class NodeUnavailableError extends SwiftfordError {
  readonly code = 'NODE_UNAVAILABLE';
}

/** Registers the commands. */
export function registerControllerCommands(program: Command): void {
  withSettingsOptions(program.command('serve').description('run a controller')).action(
    reportingInvalidSettings(serve),
  );
  withSettingsOptions(
    program.command('check').description('check settings without starting anything'),
  ).action(reportingInvalidSettings(check));
  program.command('options').description("list the keys of the operators' own settings").action(listOptions);
  program
    .command('job <node> <id>')
    .description('query a node (10.0.0.1:8080) for the state of a job and what the job waits for')
    .action(reportingInvalidSettings((addr: string, id: string) => query(addr, `/work/${checkJobId(id)}`)));
  program
    .command('node <node>')
    .description("print a node's own status")
    .action(reportingInvalidSettings((addr: string) => query(addr, '/status')));
}

const withSettingsOptions = (command: Command): Command =>
  command
    .requiredOption('--config <file>', 'settings file of the platform (JSON)')
    .option('--options <file>', "operators' own settings (HCL)");

async function readOptionsFile(file: string | undefined): Promise<OperatorOptions> {
  if (file === undefined) return defaults();
  return readOptions(file, await parseHcl(file, readText(file)));
}

async function load(flags: ControllerFlags): Promise<{ settings: Settings; options: OperatorOptions }> {
  const settings = parseSettings(flags.config, readText(flags.config));
  return { settings, options: await readOptionsFile(flags.options) };
}

async function serve(flags: ControllerFlags): Promise<void> {
  const { settings, options } = await load(flags);
  const log = openLog(settings.node, process.env.LOG_LEVEL);
  new ControllerProcess(settings, {
    scheduler: schedulerOptions(options, settings.workers.heartbeatS),
    seed: randomSeed(),
    log,
  });
}

async function check(flags: ControllerFlags): Promise<void> {
  const { settings, options } = await load(flags);
  process.stdout.write(`${settings.node}: settings are valid; ${JSON.stringify(options)}\n`);
}

function listOptions(): void {
  for (const key of OPTION_KEYS) {
    const bounds = `(default ${key.default}, ${key.min} to ${key.max})`;
    process.stdout.write(`dispatch.${key.hclName}  ${bounds}  ${key.description}\n`);
  }
}

/** Sends a query to a node and prints the response; the exit code is 1 unless the response has status 200. */
function query(addr: string, path: string): void {
  checkAddress(addr, "a node's address looks like 10.0.0.1:8080");
  const client = new HttpClient(addr, 1, MAX_REPLY_BYTES);
  client.call({ method: 'GET', path, body: null, timeoutMs: REQUEST_TIMEOUT_MS }, (response) => {
    client.close();
    if (response === null) {
      fail(new NodeUnavailableError(`the node at ${addr} did not respond`));
      return;
    }
    process.stdout.write(`${response.body.toString('utf8')}\n`);
    if (response.status !== 200) process.exitCode = 1;
  });
}
