// Runs the command of a task as a child process. It is not isolated: it runs as the user who started the
// local cluster, in its own working directory.
import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, mkdirSync, openSync } from 'node:fs';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import type { ProcessGuard } from './process-guard.ts';
import type { TaskFiles } from './task-files.ts';

/** The command of a task attempt. */
export interface TaskCommand {
  readonly task: TaskId;
  readonly attempt: Uint64;
  /** Program and arguments. */
  readonly command: readonly string[];
  /** Number of tasks of the job. */
  readonly taskCount: number;
  /** Tasks of its gang, ordered by index; null if the job is not a gang. */
  readonly gangTasks: readonly TaskId[] | null;
}

/** Starts the command. `onExit` gets its exit code, or null if it failed to start or was killed. */
export function startCommand(
  taskCommand: TaskCommand,
  files: TaskFiles,
  guard: ProcessGuard,
  onExit: (code: number | null) => void,
): ChildProcess {
  const { task, attempt, command } = taskCommand;
  const cwd = files.workDir(task, attempt);
  mkdirSync(cwd, { recursive: true });
  const stdout = openSync(files.output(task, attempt, 'stdout'), 'w');
  const stderr = openSync(files.output(task, attempt, 'stderr'), 'w');
  const [program, ...args] = command;
  const child = spawn(program!, args, {
    cwd,
    detached: true,
    stdio: ['ignore', stdout, stderr],
    env: environmentOf(taskCommand, files),
  });
  closeSync(stdout);
  closeSync(stderr);
  guard.add(child);
  child.once('error', () => onExit(null));
  child.once('exit', (code) => onExit(code));
  return child;
}

function environmentOf(
  { task, attempt, taskCount, gangTasks }: TaskCommand,
  files: TaskFiles,
): NodeJS.ProcessEnv {
  const { job, index } = parseTaskId(task);
  const environment: NodeJS.ProcessEnv = {
    PATH: process.env.PATH,
    HOME: process.env.HOME,
    LANG: process.env.LANG,
    SWIFTFORD_JOB: job,
    SWIFTFORD_TASK: String(index),
    SWIFTFORD_TASKS: String(taskCount),
    SWIFTFORD_ATTEMPT: String(attempt),
    SWIFTFORD_CHECKPOINT: files.checkpoint(task),
  };
  // The working directories of all the gang's tasks are on this machine's disk.
  if (gangTasks !== null)
    environment.SWIFTFORD_PEERS = gangTasks.map((peer) => files.workDir(peer, attempt)).join(':');
  return environment;
}
