// Real controllers on a store that has counted far. Guards the whole way over HTTP and between processes: from
// 2^29 changes on no job was called done any more after a failover, and from 2^53 on no controller could lead.
import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it, type TestContext } from 'node:test';
import { ClassicLevel } from 'classic-level';
import type { LocalCluster } from '../packages/local-cluster/src/index.ts';
import { demoRequest, eventually, startLocalCluster } from './support/local-cluster.ts';
import { startProgram } from './support/programs.ts';

const TASKS_PER_ROUND = 5;
const FAILOVERS = 2;

/** Starts a cluster whose store has counted this many changes. */
async function startCluster(t: TestContext, dir: string, changes: bigint): Promise<LocalCluster> {
  const data = join(dir, 'data');
  const records = new ClassicLevel<string, string>(data, { valueEncoding: 'utf8' });
  await records.put('m/revision', String(changes));
  await records.close();
  const options = {
    lab: [{ port: 0, speed: 20 }],
    workers: [{ report_s: 0.5 }],
    cloud: [{ list_lag_s: 0 }],
  };
  return startLocalCluster(t, options, { dir, data });
}

/** Runs an array and a gang to their ends; `onStarted` is called when all their tasks have been started. */
async function runJobs(
  t: TestContext,
  cluster: LocalCluster,
  file: string,
  onStarted: () => void,
): Promise<void> {
  const request = { ...demoRequest(0), command: 'sleep 2' };
  const jobs = [
    { ...request, name: 'array', tasks: 3 },
    { ...request, name: 'gang', kind: 'gang', tasks: 2 },
  ];
  writeFileSync(file, JSON.stringify(jobs));
  const runsBefore = cluster.runs.length;
  const program = startProgram(t, ['run', file, '--lab', cluster.addr, '--json']);
  await eventually(() => cluster.runs.length >= runsBefore + TASKS_PER_ROUND);
  onStarted();
  const exit = await program.exited;
  assert.equal(exit.code, 0, exit.stdout + exit.stderr);
}

function killLeader(cluster: LocalCluster): void {
  const { node } = cluster.storedValue('share/0') as { node: string };
  cluster.fault({ kind: 'kill-controller', name: node, seconds: 1, count: 1 });
}

describe('a cluster', { concurrency: true }, () => {
  for (const changes of [2n ** 29n, 2n ** 63n])
    it(`runs jobs over two failovers if its store has counted ${changes} changes`, async (t) => {
      const dir = mkdtempSync(join(tmpdir(), 'swiftford-counted-'));
      const cluster = await startCluster(t, dir, changes);
      const file = join(dir, 'jobs.json');
      for (let failover = 1; failover <= FAILOVERS; failover++)
        await runJobs(t, cluster, file, () => killLeader(cluster));
      const runsBefore = cluster.runs.length;
      await runJobs(t, cluster, file, () => {});
      const tasks = new Set(cluster.runs.map((run) => run.task));
      assert.equal(tasks.size, TASKS_PER_ROUND * (FAILOVERS + 1));
      assert.ok(cluster.runs.every((run) => run.attempt < 2n ** 64n));
      const lastRuns = cluster.runs.slice(runsBefore);
      for (const { attempt } of cluster.runs.slice(0, TASKS_PER_ROUND))
        assert.ok(
          lastRuns.every((run) => run.attempt > attempt),
          `${attempt} is not below all later attempts`,
        );
    });
});
