// Runs commands with the client library: its nodes, its end on Ctrl-C, errors and exit codes.
import { BadRequest, Client, type ClientOptions } from '../../packages/client/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import type { JobFile } from './job-file.ts';
import { EXIT } from './job-outcome.ts';
import { askLocalCluster, type LocalClusterAddrFlags, localClusterAddrOf } from './local-cluster-client.ts';
import { printError } from './output.ts';

/** Options of the client's commands. */
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
  if (!(seconds > 0)) throw new InvalidSettingsError(`--${option}: a number of seconds above 0`);
  return seconds;
}

/** The nodes that are named, or those of the local cluster. */
async function nodesOf(flags: ClientFlags): Promise<string[]> {
  if (flags.node !== undefined) return flags.node;
  const addr = localClusterAddrOf(flags);
  if (addr === undefined) throw new InvalidSettingsError('name the nodes with --node, or use --lab');
  const { controllers } = (await askLocalCluster(addr, 'GET', '/lab')) as {
    controllers: { addr: string }[];
  };
  return controllers.map((controller) => controller.addr);
}

/** Tells the local cluster, before a job is submitted, what its tasks are to run; null without a local cluster. */
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
    await askLocalCluster(addr, 'PUT', `/jobs/${id}`, {
      kind: request.kind ?? 'array',
      tasks: request.tasks ?? 1,
      image: request.image,
      imageGb: request.imageGb,
      runS: request.estimateS,
      command: commands.get(jobKey ?? '') ?? null,
    });
  };
}

/** Runs an action with a client, which is closed in any case; Ctrl-C ends the waiting and leaves the jobs as they are. */
export async function withClient(
  flags: ClientFlags,
  action: ClientAction,
  prepare: Prepare | null = null,
): Promise<void> {
  const abort = new AbortController();
  const onInterrupt = (): void =>
    abort.abort(new DOMException('stopped; jobs that were sent go on', 'AbortError'));
  process.once('SIGINT', onInterrupt);
  let client: Client | null = null;
  try {
    client = await Client.open({
      nodes: await nodesOf(flags),
      ...(flags.outbox === undefined ? {} : { outbox: flags.outbox }),
      ...(prepare === null ? {} : { prepare }),
    });
    if (client.torn !== null) {
      const { offset } = client.torn;
      process.stderr.write(
        `swiftford: ${flags.outbox}: an unfinished record at byte ${offset} was cut off\n`,
      );
    }
    process.exitCode = await action(client, abort.signal);
  } finally {
    process.removeListener('SIGINT', onInterrupt);
    await client?.close();
  }
}

/**
 * A command whose errors all end in one line and an exit code. They are caught here, as the classes of errors of this
 * bundle are not those of main.js.
 */
export function command<A extends unknown[]>(
  run: (...args: A) => Promise<void>,
): (...args: A) => Promise<void> {
  return async (...args) => {
    try {
      await run(...args);
    } catch (error) {
      printError(error);
      const isUsage = error instanceof BadRequest || error instanceof InvalidSettingsError;
      process.exitCode = isUsage ? EXIT.usage : EXIT.trouble;
    }
  };
}
