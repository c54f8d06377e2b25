// Programs of the tests that use a local cluster: they are started as processes, and waited for.
import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import type { TestContext } from 'node:test';
import type { JobRequest } from '../../packages/client/src/index.ts';

/** The built program, in the repository's folder. */
export const PROGRAM = 'target/main.js';

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until the condition holds; fails if it does not within `withinMs`. */
export async function eventually(condition: () => boolean, withinMs = 20_000): Promise<void> {
  const deadline = Date.now() + withinMs;
  while (!condition() && Date.now() < deadline) await sleep(20);
  assert.ok(condition(), `the condition does not hold within ${withinMs} ms`);
}

/** A started program and its standard output so far. */
export interface RunningProgram {
  readonly child: ChildProcess;
  readonly output: () => string;
  /** Resolves with the exit code when all output was read. */
  readonly closed: Promise<number | null>;
}

/** Starts the program with arguments; it is killed when the test ends, as its file would not end otherwise. */
export function startProgram(t: TestContext, args: string[]): RunningProgram {
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  t.after(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout!.on('data', (data) => {
    output += data;
  });
  const closed = new Promise<number | null>((resolve) => child.once('close', (code) => resolve(code)));
  return { child, output: () => output, closed };
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
