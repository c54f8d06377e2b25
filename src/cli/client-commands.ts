// `swiftford submit`, `run`, `watch` and `cancel`: the client library on the command line.
import { readFileSync } from 'node:fs';
import type { Client, JobState, Outcome, SubmitOptions } from '../../packages/client/src/index.ts';
import { checkJobId } from './arguments.ts';
import { type ClientFlags, commandUpload, parseSeconds, withClient, withExitCode } from './client-session.ts';
import { parseHcl, readText } from './files.ts';
import { fromHcl, fromJson, type JobFile } from './job-file.ts';
import { EXIT, exitCodeOf, printJob } from './job-outcome.ts';
import { print } from './output.ts';
import { SubmissionProgress } from './submission-progress.ts';

export type { ClientFlags } from './client-session.ts';

const DEFAULT_CANCEL_S = 120;
const STDIN = 0;

async function readJobFile(file: string): Promise<JobFile> {
  const text = file === '-' ? readFileSync(STDIN, 'utf8') : readText(file);
  return file.endsWith('.hcl') ? fromHcl(file, await parseHcl(file, text)) : fromJson(file, text);
}

type Deadlines = Pick<SubmitOptions, 'acceptWithinS' | 'withinS'>;

/** The deadlines that the flags set. */
function deadlinesOf(flags: ClientFlags): Deadlines {
  const acceptWithinS = parseSeconds('accept-within', flags.acceptWithin);
  const withinS = parseSeconds('within', flags.within);
  return {
    ...(acceptWithinS === undefined ? {} : { acceptWithinS }),
    ...(withinS === undefined ? {} : { withinS }),
  };
}

/**
 * Submits the jobs of a file; waits until they have ended if `--wait` is given or if they depend on each
 * other.
 */
export const submit = withExitCode(async (file: string, flags: ClientFlags): Promise<void> => {
  const jobFile = await readJobFile(file);
  const options = deadlinesOf(flags);
  const prepare = commandUpload(flags, jobFile);
  const submitAll = async (client: Client, signal: AbortSignal): Promise<number> => {
    const progress = new SubmissionProgress(jobFile.jobs.length, flags.json === true);
    try {
      if (jobFile.pipeline) await submitPipeline(client, jobFile, { ...options, signal }, progress);
      else await submitEach(client, jobFile, { ...options, signal }, progress, flags.wait === true);
    } finally {
      progress.stop();
    }
    progress.printNotDone();
    return progress.exitCode;
  };
  await withClient(flags, submitAll, prepare);
});

async function submitPipeline(
  client: Client,
  { jobs, key }: JobFile,
  options: SubmitOptions,
  progress: SubmissionProgress,
): Promise<void> {
  const requests = Object.fromEntries(jobs.map((job) => [job.name, job.request]));
  const outcomes = await client.pipeline(requests, { ...options, key });
  for (const { name } of jobs) {
    const outcome = outcomes[name]!;
    progress.add(name, outcome.id, outcome);
  }
}

async function submitEach(
  client: Client,
  { jobs }: JobFile,
  options: SubmitOptions,
  progress: SubmissionProgress,
  wait: boolean,
): Promise<void> {
  const { signal } = options;
  await Promise.all(
    jobs.map(async ({ name, key, request }) => {
      const { id, outcome } = await client.submit(request, { ...options, key });
      const finalOutcome = outcome ?? (wait ? await client.wait(id, { signal }) : null);
      progress.add(name, id, finalOutcome);
    }),
  );
}

/** Submits the jobs of a file and waits until they have ended. */
export const run = (file: string, flags: ClientFlags): Promise<void> =>
  submit(file, { ...flags, wait: true });

/** Prints the states of a job until it ends. */
export const watch = withExitCode(async (id: string, flags: ClientFlags): Promise<void> => {
  checkJobId(id);
  const withinS = parseSeconds('within', flags.within);
  const json = flags.json === true;
  await withClient(flags, async (client, signal) => {
    const states = client.watch(id, { signal, ...(withinS === undefined ? {} : { withinS }) });
    for (;;) {
      const { value, done } = await states.next();
      if (done) {
        const outcome = value as Outcome;
        printJob({ name: null, id, outcome }, json);
        return exitCodeOf(outcome);
      }
      const state = value as JobState;
      print(
        json ? JSON.stringify(state) : `${id}  ${state.phase}  ${state.done} done, ${state.running} running`,
      );
    }
  });
});

/** Cancels a job and prints how it ended. */
export const cancel = withExitCode(async (id: string, flags: ClientFlags): Promise<void> => {
  checkJobId(id);
  const withinS = parseSeconds('within', flags.within) ?? DEFAULT_CANCEL_S;
  await withClient(flags, async (client, signal) => {
    const outcome = await client.cancel(id, { signal, withinS });
    printJob({ name: null, id, outcome }, flags.json === true);
    // For this command a cancelled job is a success.
    return outcome.kind === 'cancelled' ? EXIT.done : exitCodeOf(outcome);
  });
});
