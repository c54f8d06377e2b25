// Runs the command of a task as a child process. Nothing is isolated: it runs as the user who started the
// local cluster, in a directory of its own.
import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, mkdirSync, openSync } from 'node:fs';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { ProcessGuard } from './process-guard.ts';
import type { TaskFiles } from './task-files.ts';

/** A command and the task that it is of. */
export interface TaskCommand {
  readonly task: TaskId;
  readonly attempt: number;
  /** Program and arguments. */
  readonly command: readonly string[];
  /** Tasks of the job. */
  readonly tasks: number;
  /** Tasks of its gang, in their order; null if it is not of a gang. */
  readonly gang: readonly TaskId[] | null;
}

/** Starts the command. `onExit` gets its exit code; null if it could not be started or was killed. */
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

function environmentOf({ task, attempt, tasks, gang }: TaskCommand, files: TaskFiles): NodeJS.ProcessEnv {
  const { job, index } = parseTaskId(task);
  const environment: NodeJS.ProcessEnv = {
    PATH: process.env.PATH,
    HOME: process.env.HOME,
    LANG: process.env.LANG,
    SWIFTFORD_JOB: job,
    SWIFTFORD_TASK: String(index),
    SWIFTFORD_TASKS: String(tasks),
    SWIFTFORD_ATTEMPT: String(attempt),
    SWIFTFORD_CHECKPOINT: files.checkpoint(task),
  };
  // The directories of a gang's tasks are all on this disk.
  if (gang !== null) environment.SWIFTFORD_PEERS = gang.map((peer) => files.workDir(peer, attempt)).join(':');
  return environment;
}
