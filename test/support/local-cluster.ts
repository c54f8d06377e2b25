// What tests that use a local cluster share: their jobs, and waiting in real time.
import assert from 'node:assert/strict';
import type { JobRequest } from '../../packages/client/src/index.ts';

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

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
