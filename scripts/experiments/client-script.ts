// The script that the drill `client` kills and starts again: submits its jobs by key, cancels some, waits for all. Every
// outcome is written down as it is heard, to be compared with what later lives hear.
import { appendFileSync } from 'node:fs';
import { Client } from '../../packages/client/src/index.ts';

const [outbox, told, jobs, rate, ...nodes] = process.argv.slice(2) as [
  string,
  string,
  string,
  string,
  ...string[],
];
const client = await Client.open({ nodes, outbox, pending: 100 });
const hear = async (key: string, id: string): Promise<void> => {
  const o = await client.wait(id);
  appendFileSync(told, `${JSON.stringify({ key, id, kind: o.kind })}\n`);
};
const all: Promise<void>[] = [];
for (let n = 0; n < Number(jobs); n++) {
  const key = `job-${n}`;
  // What an earlier life has submitted is not waited for.
  const old = client.jobs().find((j) => j.key === key);
  if (old === undefined) await new Promise((r) => setTimeout(r, 1000 / Number(rate)));
  const work = client.submit(
    {
      team: n % 7 === 3 ? 'nobody' : 'demo',
      class: 'drill',
      tasks: 1 + (n % 3),
      cpus: 1,
      memoryGb: 1,
      image: `img-${n % 5}`,
      imageGb: 0.2,
      estimateS: 1 + (n % 4) * 4,
      spot: n % 2 === 0,
    },
    { key },
  );
  all.push(
    work.then(async ({ id }) => {
      if (n % 10 === 5) await client.cancel(id);
      await hear(key, id);
    }),
  );
}
await Promise.all(all);
await client.close();
