// The script that the experiment `client` repeatedly kills and restarts. It submits its jobs by key, cancels
// some of them and waits for all of them. It appends each outcome to a file when the client reports it, so
// that the outcomes reported to successive incarnations of the script can be compared.
import { appendFileSync } from 'node:fs';
import { Client } from '../../packages/client/src/index.ts';
import { hasUnknownTeam, tasksOf } from './client-jobs.ts';

/** Maximum number of submissions that wait for a response. */
const PENDING_MAX = 100;
/** One in this many jobs is cancelled by its user. */
const CANCELLED_EVERY = 10;
const CANCELLED_REMAINDER = 5;

const [outbox, outcomes, jobs, rate, ...nodes] = process.argv.slice(2) as [
  string,
  string,
  string,
  string,
  ...string[],
];

/** Waits for the outcome of a job and appends it to the outcomes file. */
async function recordOutcome(client: Client, key: string, id: string): Promise<void> {
  const outcome = await client.wait(id);
  appendFileSync(outcomes, `${JSON.stringify({ key, id, kind: outcome.kind })}\n`);
}

/** Submits a job, cancels it if it is one of those to be cancelled, and waits for its outcome. */
async function runJob(client: Client, n: number): Promise<void> {
  const key = `job-${n}`;
  const { id } = await client.submit(
    {
      team: hasUnknownTeam(n) ? 'nobody' : 'demo',
      class: 'drill',
      tasks: tasksOf(n),
      cpus: 1,
      memoryGb: 1,
      image: `img-${n % 5}`,
      imageGb: 0.2,
      estimateS: 1 + (n % 4) * 4,
      spot: n % 2 === 0,
    },
    { key },
  );
  if (n % CANCELLED_EVERY === CANCELLED_REMAINDER) await client.cancel(id);
  await recordOutcome(client, key, id);
}

const client = await Client.open({ nodes, outbox, pending: PENDING_MAX });
const running: Promise<void>[] = [];
for (let n = 0; n < Number(jobs); n++) {
  // Jobs submitted by an earlier incarnation are not subject to the submission rate.
  const isKnown = client.jobs().some((job) => job.key === `job-${n}`);
  if (!isKnown) await new Promise((resolve) => setTimeout(resolve, 1000 / Number(rate)));
  running.push(runJob(client, n));
}
await Promise.all(running);
await client.close();
