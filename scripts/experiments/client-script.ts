// The script that the experiment `client` kills and starts again: submits its jobs by key, cancels some,
// waits for all. Every outcome is written down as it is told, to be compared with what later incarnations are
// told.
import { appendFileSync } from 'node:fs';
import { Client } from '../../packages/client/src/index.ts';
import { hasUnknownTeam, tasksOf } from './client-jobs.ts';

/** At most so many submissions wait for a response. */
const PENDING_MAX = 100;
/** Of so many jobs one is cancelled by its user. */
const CANCELLED_EVERY = 10;
const CANCELLED_REMAINDER = 5;

const [outbox, outcomes, jobs, rate, ...nodes] = process.argv.slice(2) as [
  string,
  string,
  string,
  string,
  ...string[],
];

/** Waits for the outcome of a job and writes it down. */
async function recordOutcome(client: Client, key: string, id: string): Promise<void> {
  const outcome = await client.wait(id);
  appendFileSync(outcomes, `${JSON.stringify({ key, id, kind: outcome.kind })}\n`);
}

/** Submits a job, perhaps cancels it, and waits for its outcome. */
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
  // What an earlier incarnation has submitted is not waited for.
  const isKnown = client.jobs().some((job) => job.key === `job-${n}`);
  if (!isKnown) await new Promise((resolve) => setTimeout(resolve, 1000 / Number(rate)));
  running.push(runJob(client, n));
}
await Promise.all(running);
await client.close();
