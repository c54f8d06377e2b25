// After a change of leader, no question is answered about jobs that still await another one, until the final
// states of all ended jobs that any of them names have been read one by one.
import { need, runCase, trouble } from '../lib/case.mjs';
import { jobOf, sleep } from '../lib/cluster.mjs';

const BILLS = 30;
const HAULS_PER_BILL = 76;
const LONG_JOB = 'run-100000';
const BACK_MS = 6000;
/** Once the troubles are over, a job about which no question is answered for this long counts as forgotten. */
const FORGOTTEN_MS = 75_000;
const POLL_MS = 5000;

const options = {
  capacity: 4,
  runMs: (id) => (id === LONG_JOB ? Number.POSITIVE_INFINITY : 50),
  // 100 requests a second as in BRIEF; more changes a second, so that the hauls of a day fit into the time.
  state: { rps: 100, writeRps: 400 },
};

await runCase(import.meta.url, options, async (cluster) => {
  const isAccepted = (result) => result !== null && [200, 201].includes(result.status);
  need(isAccepted(await cluster.submit(jobOf({ nameId: LONG_JOB, guessS: 600 }))), 'the long job was not accepted');
  const hauls = Array.from({ length: BILLS }, (_, bill) =>
    Array.from({ length: HAULS_PER_BILL }, (_, haul) => `run-${200_000 + bill * 1000 + haul}`),
  );
  const all = hauls.flat();
  const queue = [...all];
  const submitHauls = async () => {
    for (let id = queue.shift(); id !== undefined; id = queue.shift())
      need(isAccepted(await cluster.submit(jobOf({ nameId: id, cores: 0.5, memoryGb: 1, guessS: 1 }))), `${id} was not accepted`);
  };
  await Promise.all(Array.from({ length: 40 }, submitHauls));
  const bills = hauls.map((_, bill) => `run-${900_000 + bill}`);
  for (const [bill, id] of bills.entries())
    need(isAccepted(await cluster.submit(jobOf({ nameId: id, awaits: [...hauls[bill], LONG_JOB] }))), `${id} was not accepted`);
  const preparedUntil = performance.now() + 20_000;
  while (all.some((id) => !cluster.results.has(`${id}/0`))) {
    need(performance.now() < preparedUntil, 'the hauls did not complete');
    await sleep(200);
  }
  // The hauls' users get their last answer.
  await sleep(3000);
  for (const id of [all[0], all[all.length >> 1], all.at(-1)])
    need((await cluster.until(id, ['done'], 10_000, 300)) === 'done', `${id} is not done`);
  need((await cluster.until(bills[0], ['pending'], 5000, 300)) === 'pending', 'no answer before the disruption');
  const leader = await cluster.leader();
  need(leader !== null, 'there is no leader');
  if (trouble) {
    await cluster.kill(leader);
    await sleep(BACK_MS);
    cluster.spawn(leader);
    await cluster.untilAllAnswer(10_000);
  }
  // The troubles are over. Each user asks about its job every five seconds, a different node each time.
  const overAt = performance.now();
  const asked = [bills[0], bills[BILLS >> 1], bills.at(-1), LONG_JOB, all[0]];
  const answeredAt = new Map(asked.map((id) => [id, overAt]));
  const longest = new Map(asked.map((id) => [id, 0]));
  const answers = new Map(asked.map((id) => [id, 0]));
  const lastAt = overAt + FORGOTTEN_MS + 500;
  for (let round = 0; ; round++) {
    const isLast = performance.now() >= lastAt;
    await Promise.all(
      asked.map(async (id, index) => {
        const result = await cluster.poll(id, round + index);
        const now = performance.now();
        longest.set(id, Math.max(longest.get(id), now - answeredAt.get(id)));
        if (result?.status !== 200) return;
        answeredAt.set(id, now);
        answers.set(id, answers.get(id) + 1);
      }),
    );
    if (isLast) break;
    await sleep(Math.max(0, Math.min(POLL_MS, lastAt - performance.now())));
  }
  const forgotten = asked.filter((id) => longest.get(id) > FORGOTTEN_MS);
  cluster.record('checker', 'answers', { answers: Object.fromEntries(answers), longestMs: Object.fromEntries(longest) });
  if (forgotten.length === 0) return null;
  const others = asked.filter((id) => !forgotten.includes(id)).map((id) => `${id} ${answers.get(id)} times`);
  return `no question about ${forgotten.join(', ')} was answered for ${Math.round(longest.get(forgotten[0]) / 1000)} s after the controller was back; answered meanwhile: ${others.join(', ')}`;
});
