// A leader that is elected after the state service's 2^29th change gives its tasks attempt numbers above 2^53.
import { need, runCase, trouble } from '../lib/case.mjs';
import { jobOf, sleep } from '../lib/cluster.mjs';

/** What the state service has counted when the controllers begin; `LEDGER=0` shows that the rest does no harm. */
const ledger = Number(process.env.LEDGER ?? 2 ** 29 - 10);
const BACK_MS = 6000;
const WATCHED_MS = 60_000;
/** The state of a job may lag by this much. */
const LAG_MS = 3000;

await runCase(import.meta.url, { ledger, runMs: () => 2000 }, async (cluster) => {
  // Ordinary work, until the state service has counted past 2^29.
  for (let number = 1; number <= 6 || (ledger > 0 && cluster.state.ledger <= 2 ** 29 + 10); number++) {
    const id = `run-${String(number).padStart(6, '0')}`;
    need([200, 201].includes((await cluster.submit(jobOf({ nameId: id, pieces: 2 }), number))?.status), `${id} was not accepted`);
    need((await cluster.until(id, ['done'], 20_000, 500)) === 'done', `${id} is not done before the disruption`);
  }
  const leader = await cluster.leader();
  need(leader !== null, 'there is no leader');
  cluster.record('case', 'the state service has counted', { ledger: cluster.state.ledger });
  if (trouble) {
    await cluster.kill(leader);
    setTimeout(() => cluster.spawn(leader), BACK_MS);
    await sleep(BACK_MS + 2000);
  }
  const id = 'run-900000';
  need([200, 201].includes((await cluster.submit(jobOf({ nameId: id, pieces: 4 }), 1))?.status), `${id} was not accepted`);
  const until = performance.now() + WATCHED_MS;
  let completedAt = null;
  for (let node = 0; performance.now() < until; node++) {
    const isComplete = [0, 1, 2, 3].every((index) => cluster.results.has(`${id}/${index}`));
    if (isComplete) completedAt ??= performance.now();
    const askedAt = performance.now();
    const result = await cluster.poll(id, node);
    if (result?.status === 200 && result.json.status === 'done') return null;
    if (completedAt !== null && askedAt - completedAt > LAG_MS)
      cluster.record('checker', 'not done', { id, completedForS: (askedAt - completedAt) / 1000 });
    await sleep(2000);
  }
  const refused = cluster.events.filter(({ what, status }) => what === 'report-not-taken' && status === 400).length;
  const attempts = cluster.events.filter(({ what, piece }) => what === 'launch' && piece?.startsWith(id)).map((event) => event.try);
  need(completedAt !== null, `${id} did not complete on any worker`);
  const forS = Math.round((performance.now() - completedAt) / 1000);
  return `${id}: all tasks completed ${forS} s ago and it is not called done; ${refused} reports of workers were answered with 400; attempts ${attempts.join(' ')}`;
});
