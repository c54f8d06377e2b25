// Jobs of many small tasks come 2.5 times as often: all of them fit on one machine, its report does not fit into a body.
import { fileURLToPath } from 'node:url';
import { now, sleep } from '../lib-2/net.mjs';
import { runCase } from '../lib-2/case.mjs';

const NORMAL = 2;
const TIMES = 2.5; // site file signet-tas-grown: job_burst, class = "scanverify", factor = 2.5
const WATCH_S = 90;

runCase(fileURLToPath(import.meta.url), { site: 'signet-tas', runS: () => 15 }, async (world, trouble) => {
  world.verbose = true;
  world.quietPieces = true;
  const jobs = [];
  for (let i = 0; i < Math.round(NORMAL * (trouble ? TIMES : 1)); i++) {
    const job = world.job({ owner: 'trustops', jobclass: 'scanverify', pieces: 250, cores: 0.07, memoryGb: 0.4, guessS: 15, berthkinds: ['bignode'] });
    const reply = await world.submit(job);
    if (reply === null || reply.status >= 300) throw new Error(`a job was not accepted: ${reply?.status}`);
    jobs.push(job);
  }
  const accepted = now();
  const ended = new Map();
  while (now() - accepted < WATCH_S * 1000 && ended.size < jobs.length) {
    for (const { nameId } of jobs) {
      if (ended.has(nameId)) continue;
      const reply = await world.poll(nameId);
      if (reply?.status === 200 && reply.json.status === 'done') ended.set(nameId, (now() - accepted) / 1000);
    }
    await sleep(2500);
  }
  const workers = [...world.cloud.machines.values()].flatMap((machine) => machine.worker ?? []);
  const refused = workers.reduce((sum, worker) => sum + (worker.statuses.get(413) ?? 0), 0);
  const leases = workers.reduce((sum, worker) => sum + worker.leasesLost, 0);
  world.log('seen', {
    accepted: jobs.length,
    done: ended.size,
    machines: workers.map((worker) => ({
      machine: worker.id,
      leasesLost: worker.leasesLost,
      largestReportBytes: worker.largestReport,
      largestAnswerBytes: worker.largestAnswer,
      answersByStatus: Object.fromEntries(worker.statuses),
    })),
  });
  // Every task runs for 15 s, one machine has room for all of them, and nothing is down.
  if (ended.size < jobs.length && refused > 0 && leases >= 3)
    world.presence.fail('not_run', `${jobs.length - ended.size} of ${jobs.length} accepted jobs not done after ${WATCH_S} s; reports refused with 413: ${refused}, leases lost with all tasks: ${leases}`);
  for (const worker of workers)
    if (worker.largestAnswer > 65_536) world.presence.fail('line', `an answer to ${worker.id} is a line of ${worker.largestAnswer} bytes`);
});
