// Runs the commands that use the client library: resolves nodes, handles Ctrl-C, turns errors into exit
// codes.
import { BadRequest, Client, type ClientOptions } from '../../packages/client/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import type { JobFile } from './job-file.ts';
import { EXIT } from './job-outcome.ts';
import {
  type LocalClusterAddrFlags,
  localClusterAddrOf,
  requestLocalCluster,
} from './local-cluster-client.ts';
import { printError } from './output.ts';

/** Options of the commands that use the client library. */
export interface ClientFlags extends LocalClusterAddrFlags {
  node?: string[];
  outbox?: string;
  wait?: boolean;
  json?: boolean;
  within?: string;
  acceptWithin?: string;
}

/** Called with a job before it is submitted. */
export type Prepare = NonNullable<ClientOptions['prepare']>;

/** Uses a client; returns the exit code. `signal` is aborted by Ctrl-C. */
export type ClientAction = (client: Client, signal: AbortSignal) => Promise<number>;

/** The value of an option in seconds, undefined if it is not given; throws `InvalidSettingsError`. */
export function parseSeconds(option: string, value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const seconds = Number(value);
  if (!(seconds > 0))
    throw new InvalidSettingsError(`--${option}: expected a number of seconds above 0, got ${value}`);
  return seconds;
}

/** The nodes given by `--node`, or those of the local cluster. */
async function resolveNodes(flags: ClientFlags): Promise<string[]> {
  if (flags.node !== undefined) return flags.node;
  const addr = localClusterAddrOf(flags);
  if (addr === undefined)
    throw new InvalidSettingsError('name the nodes with --node, or use --local-cluster');
  const { controllers } = (await requestLocalCluster(addr, 'GET', '/lab')) as {
    controllers: { addr: string }[];
  };
  return controllers.map((controller) => controller.addr);
}

/**
 * Returns a function that uploads the command of a job to the local cluster before the job is submitted; null
 * without a local cluster.
 */
export function commandUpload(flags: ClientFlags, { jobs, key, pipeline }: JobFile): Prepare | null {
  const addr = localClusterAddrOf(flags);
  if (addr === undefined) {
    const withCommand = jobs.find((job) => job.command !== null);
    if (withCommand !== undefined)
      throw new InvalidSettingsError(`${withCommand.name}: a command is run by a lab only (--lab)`);
    return null;
  }
  const commands = new Map(jobs.map((job) => [pipeline ? `${key}/${job.name}` : job.key, job.command]));
  return async (id, request, jobKey) => {
    await requestLocalCluster(addr, 'PUT', `/jobs/${id}`, {
      kind: request.kind ?? 'array',
      tasks: request.tasks ?? 1,
      image: request.image,
      imageGb: request.imageGb,
      runS: request.estimateS,
      command: commands.get(jobKey ?? '') ?? null,
    });
  };
}

/** Runs an action with a client and closes the client; Ctrl-C ends the action, submitted jobs continue. */
export async function withClient(
  flags: ClientFlags,
  action: ClientAction,
  prepare: Prepare | null = null,
): Promise<void> {
  const abort = new AbortController();
  const onInterrupt = (): void =>
    abort.abort(new DOMException('interrupted; submitted jobs continue', 'AbortError'));
  process.once('SIGINT', onInterrupt);
  let client: Client | null = null;
  try {
    client = await Client.open({
      nodes: await resolveNodes(flags),
      ...(flags.outbox === undefined ? {} : { outbox: flags.outbox }),
      ...(prepare === null ? {} : { prepare }),
    });
    if (client.torn !== null) {
      const { offset } = client.torn;
      process.stderr.write(`swiftford: ${flags.outbox}: removed an incomplete record at byte ${offset}\n`);
    }
    process.exitCode = await action(client, abort.signal);
  } finally {
    process.removeListener('SIGINT', onInterrupt);
    await client?.close();
  }
}

/**
 * Wraps a command so that any error is printed in one line and sets the exit code. Errors are caught here and
 * not in main.js, because each bundle has its own copies of the error classes, so that `instanceof` fails
 * between bundles.
 */
export function withExitCode<A extends unknown[]>(
  run: (...args: A) => Promise<void>,
): (...args: A) => Promise<void> {
  return async (...args) => {
    try {
      await run(...args);
    } catch (error) {
      printError(error);
      const isUsageError = error instanceof BadRequest || error instanceof InvalidSettingsError;
      process.exitCode = isUsageError ? EXIT.usage : EXIT.failed;
    }
  };
}
