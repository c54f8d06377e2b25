// What tests that use a local cluster share: starting one, their jobs, and waiting in real time.
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import type { TestContext } from 'node:test';
import type { JobRequest } from '../../packages/client/src/index.ts';
import { LocalCluster, readLocalClusterOptions } from '../../packages/local-cluster/src/index.ts';
import { PROGRAM } from './programs.ts';

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Directories of a cluster. */
interface ClusterDirectories {
  /** Settings, logs and task files. */
  dir: string;
  /** Records, below `dir`; without it nothing is recorded. */
  data?: string;
}

/**
 * Starts a cluster and waits until it is ready. When the test ends it is stopped, and then `dir` is removed, as
 * its processes would write there meanwhile. `options`: as in an options file.
 */
export async function startLocalCluster(
  t: TestContext,
  options: object,
  directories: ClusterDirectories,
): Promise<LocalCluster> {
  const cluster = await LocalCluster.start(readLocalClusterOptions('t', options), {
    program: [process.execPath, PROGRAM],
    log: () => {},
    ...directories,
  });
  t.after(async () => {
    await cluster.stop();
    rmSync(directories.dir, { recursive: true, force: true });
  });
  await cluster.ready();
  return cluster;
}

/** Waits until the condition holds; fails if it does not within `withinMs`. */
export async function eventually(condition: () => boolean, withinMs = 20_000): Promise<void> {
  const deadline = Date.now() + withinMs;
  while (!condition() && Date.now() < deadline) await sleep(20);
  assert.ok(condition(), `the condition does not hold within ${withinMs} ms`);
}

/** A job request of the `demo` team, which a cluster has by default. */
export const demoRequest = (imageGb: number): JobRequest => ({
  team: 'demo',
  class: 'x',
  cpus: 1,
  memoryGb: 1,
  image: 'i',
  imageGb,
  estimateS: 1,
});
