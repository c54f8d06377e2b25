// Starts the built program as a process of its own, and collects its output.
import { type ChildProcess, spawn } from 'node:child_process';
import type { TestContext } from 'node:test';

/** The built program, in the repository's folder. */
export const PROGRAM = 'target/main.js';

/** How a program has exited, and all its output. */
export interface ProgramExit {
  /** Null if it was ended by a signal. */
  code: number | null;
  stdout: string;
  stderr: string;
}

/** A started program. */
export interface RunningProgram {
  readonly child: ChildProcess;
  /** Its standard output so far. */
  readonly output: () => string;
  /** Resolves when it has exited and all its output was read. */
  readonly exited: Promise<ProgramExit>;
}

/** Starts the program with arguments; it is killed when the test ends, as its file would not end otherwise. */
export function startProgram(t: TestContext, args: readonly string[]): RunningProgram {
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  t.after(() => child.kill('SIGKILL'));
  let stdout = '';
  child.stdout.on('data', (data) => {
    stdout += data;
  });
  let stderr = '';
  child.stderr.on('data', (data) => {
    stderr += data;
  });
  const exited = new Promise<ProgramExit>((resolve) =>
    child.once('close', (code) => resolve({ code, stdout, stderr })),
  );
  return { child, output: () => stdout, exited };
}

/** Runs the program with arguments, and waits until it exits. */
export const runProgram = (t: TestContext, ...args: string[]): Promise<ProgramExit> =>
  startProgram(t, args).exited;
