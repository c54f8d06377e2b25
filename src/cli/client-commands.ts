// `swiftford submit`, `run`, `watch` and `cancel`: the client library on the command line.
import { readFileSync } from 'node:fs';
import { SingleBar } from 'cli-progress';
import {
  BadRequest,
  Client,
  type ClientOptions,
  type JobState,
  type Outcome,
} from '../../packages/client/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import { jobIdOf, parseHcl, readText } from './files.ts';
import { type FileJob, fromHcl, fromJson, type JobFile } from './job-file.ts';
import { askLocalCluster } from './local-cluster-client.ts';

/** Documented in docs/client.md; of several jobs the highest counts. */
export const EXIT = { done: 0, trouble: 1, usage: 2, cancelled: 3, refused: 4, gaveUp: 5 } as const;

export interface ClientFlags {
  node?: string[];
  lab?: string | true;
  outbox?: string;
  wait?: boolean;
  json?: boolean;
  within?: string;
  acceptWithin?: string;
}

const codeOf = (o: Outcome | null): number =>
  o === null || o.kind === 'done'
    ? EXIT.done
    : o.kind === 'cancelled'
      ? EXIT.cancelled
      : o.kind === 'refused'
        ? EXIT.refused
        : EXIT.gaveUp;

function seconds(name: string, value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const n = Number(value);
  if (!(n > 0)) throw new InvalidSettingsError(`--${name}: a number of seconds above 0`);
  return n;
}

const print = (line: string): void => void process.stdout.write(`${line}\n`);

function say(name: string | null, id: string, o: Outcome | null, json: boolean): void {
  if (json)
    return print(JSON.stringify({ ...(name === null ? {} : { name }), id, ...(o ?? { kind: 'accepted' }) }));
  const what =
    o === null
      ? 'accepted'
      : o.kind === 'refused'
        ? `refused${o.status === null ? '' : ` (${o.status})`}: ${o.reason}`
        : o.kind === 'gave-up'
          ? `given up: ${o.reason}; ${o.resume}`
          : o.kind;
  print(`${id}${name === null ? '' : `  ${name}`}  ${what}`);
}

/** The nodes that are named, or those of the lab. */
async function nodesOf(f: ClientFlags): Promise<string[]> {
  if (f.node !== undefined) return f.node;
  if (f.lab === undefined) throw new InvalidSettingsError('name the nodes with --node, or use --lab');
  const { controllers } = (await askLocalCluster(f.lab, 'GET', '/lab')) as {
    controllers: { addr: string }[];
  };
  return controllers.map((c) => c.addr);
}

/** A job's tasks are told what to run before it is submitted. */
function uploads(f: ClientFlags, { jobs, key: all, pipeline }: JobFile): ClientOptions['prepare'] | null {
  const { lab } = f;
  if (lab === undefined) {
    const with_ = jobs.find((j) => j.command !== null);
    if (with_ !== undefined)
      throw new InvalidSettingsError(`${with_.name}: a command is run by a lab only (--lab)`);
    return null;
  }
  const commands = new Map(jobs.map((j) => [pipeline ? `${all}/${j.name}` : j.key, j.command]));
  return async (id, r, key) => {
    await askLocalCluster(lab, 'PUT', `/jobs/${id}`, {
      kind: r.kind ?? 'array',
      tasks: r.tasks ?? 1,
      image: r.image,
      imageGb: r.imageGb,
      runS: r.estimateS,
      command: commands.get(key ?? '') ?? null,
    });
  };
}

/** Runs with a client, which is closed on every way out; Ctrl-C ends the waiting and leaves the jobs as they are. */
async function withClient(
  f: ClientFlags,
  run: (c: Client, signal: AbortSignal) => Promise<number>,
  prepare: ClientOptions['prepare'] | null = null,
): Promise<void> {
  const stop = new AbortController();
  const onInt = (): void => stop.abort(new DOMException('stopped; jobs that were sent go on', 'AbortError'));
  process.once('SIGINT', onInt);
  let client: Client | null = null;
  try {
    client = await Client.open({
      nodes: await nodesOf(f),
      ...(f.outbox === undefined ? {} : { outbox: f.outbox }),
      ...(prepare === null ? {} : { prepare }),
    });
    if (client.torn !== null)
      process.stderr.write(
        `swiftford: ${f.outbox}: an unfinished record at byte ${client.torn.offset} was cut off\n`,
      );
    process.exitCode = await run(client, stop.signal);
  } finally {
    process.removeListener('SIGINT', onInt);
    await client?.close();
  }
}

/** Every mistake ends in one line and an exit code: here, as the program's own classes of errors are not this bundle's. */
const command =
  <A extends unknown[]>(run: (...args: A) => Promise<void>) =>
  async (...args: A): Promise<void> => {
    try {
      await run(...args);
    } catch (e) {
      process.stderr.write(`swiftford: ${(e as Error).message}\n`);
      process.exitCode =
        e instanceof BadRequest || e instanceof InvalidSettingsError ? EXIT.usage : EXIT.trouble;
    }
  };

async function jobsOf(file: string) {
  const text = file === '-' ? readFileSync(0, 'utf8') : readText(file);
  return file.endsWith('.hcl') ? fromHcl(file, await parseHcl(file, text)) : fromJson(file, text);
}

export const submit = command(async (file: string, f: ClientFlags): Promise<void> => {
  const given = await jobsOf(file);
  const { jobs, pipeline } = given;
  const times = {
    acceptWithinS: seconds('accept-within', f.acceptWithin),
    withinS: seconds('within', f.within),
  };
  const options = Object.fromEntries(Object.entries(times).filter(([, v]) => v !== undefined));
  const wait = f.wait === true || pipeline;
  const prepare = uploads(f, given);
  await withClient(
    f,
    async (client, signal) => {
      const bar =
        f.json || !process.stderr.isTTY
          ? null
          : new SingleBar({ format: '{bar} {value}/{total} jobs', hideCursor: true });
      bar?.start(jobs.length, 0);
      let code = 0;
      const end = (name: string, id: string, o: Outcome | null): void => {
        code = Math.max(code, codeOf(o));
        if (bar === null) say(name, id, o, f.json === true);
        bar?.increment();
      };
      const bad: { name: string; id: string; outcome: Outcome }[] = [];
      const note = (j: FileJob, id: string, o: Outcome | null): void => {
        if (o !== null && o.kind !== 'done') bad.push({ name: j.name, id, outcome: o });
        end(j.name, id, o);
      };
      try {
        if (pipeline) {
          const named = Object.fromEntries(jobs.map((j) => [j.name, j.request]));
          const outcomes = await client.pipeline(named, { ...options, key: given.key, signal });
          for (const j of jobs) note(j, outcomes[j.name]!.id, outcomes[j.name]!);
        } else
          await Promise.all(
            jobs.map(async (j) => {
              const s = await client.submit(j.request, { ...options, key: j.key, signal });
              note(j, s.id, s.outcome ?? (wait ? await client.wait(s.id, { signal }) : null));
            }),
          );
      } finally {
        bar?.stop();
      }
      if (bar !== null) for (const b of bad) say(b.name, b.id, b.outcome, false);
      return code;
    },
    prepare,
  );
});

/** One job given by its fields on the command line or a file with one job; waits for its end. */
export const run = (file: string, f: ClientFlags): Promise<void> => submit(file, { ...f, wait: true });

export const watch = command(async (id: string, f: ClientFlags): Promise<void> => {
  jobIdOf(id);
  const withinS = seconds('within', f.within);
  await withClient(f, async (client, signal) => {
    const states = client.watch(id, { signal, ...(withinS === undefined ? {} : { withinS }) });
    for (;;) {
      const { value, done } = await states.next();
      if (done) {
        say(null, id, value as Outcome, f.json === true);
        return codeOf(value as Outcome);
      }
      const s = value as JobState;
      print(f.json ? JSON.stringify(s) : `${id}  ${s.phase}  ${s.done} done, ${s.running} running`);
    }
  });
});

export const cancel = command(async (id: string, f: ClientFlags): Promise<void> => {
  jobIdOf(id);
  const withinS = seconds('within', f.within) ?? 120;
  await withClient(f, async (client, signal) => {
    const o = await client.cancel(id, { signal, withinS });
    say(null, id, o, f.json === true);
    // Here a job that is cancelled is what was asked for.
    return o.kind === 'cancelled' ? EXIT.done : codeOf(o);
  });
});
