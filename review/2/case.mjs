// A task that fails once on the only machine is never started again: it avoids that machine, and the plan for
// new machines takes that machine's room for it.
import { need, runCase, trouble } from '../lib/case.mjs';
import { jobOf, sleep } from '../lib/cluster.mjs';

const SICK_MS = 10_000;
/** Once the troubles are over, no job may wait for so long while a machine that fits has room. */
const WAITING_MS = 90_000;
const JOB = 'run-000002';

await runCase(import.meta.url, { runMs: () => 1000 }, async (cluster) => {
  const isAccepted = (result) => result !== null && [200, 201].includes(result.status);
  need(isAccepted(await cluster.submit(jobOf({ nameId: 'run-000001' }))), 'the first job was not accepted');
  need((await cluster.until('run-000001', ['done'], 15_000, 500)) === 'done', 'the first job is not done');
  let isSick = trouble;
  cluster.fails = () => isSick;
  const sickUntil = performance.now() + SICK_MS;
  if (trouble) cluster.record('case', 'the machines fail every task that they start', { machines: [...cluster.cloud.machines.keys()] });
  need(isAccepted(await cluster.submit(jobOf({ nameId: JOB }))), `${JOB} was not accepted`);
  if (trouble) {
    await sleep(Math.max(0, sickUntil - performance.now()));
    isSick = false;
    cluster.record('case', 'the machines run tasks again');
  }
  // The troubles are over.
  const room = () => [...cluster.cloud.machines.values()].find(({ worker }) => worker !== null && worker.used('cores') + 1 <= 16);
  let since = performance.now();
  for (let node = 0; performance.now() - since <= WAITING_MS; node++) {
    const result = await cluster.poll(JOB, node);
    if (result?.status === 200 && result.json.status === 'done') return null;
    // The wait counts only while a machine has room.
    if (room() === undefined) since = performance.now();
    await sleep(1000);
  }
  const { id, worker } = room();
  const starts = cluster.events.filter(({ what, piece }) => what === 'start' && piece === `${JOB}/0`).length;
  return `${JOB} has waited for more than 90 s since the trouble was over, while ${id} uses ${worker.used('cores')} of 16 cores; started ${starts} time(s) in all; ${cluster.cloud.machines.size} machine(s) rented of the ${cluster.cloud.capacity} that each zone has`;
});
