// Paths of task files: a directory for each attempt, and a checkpoint file for each job.
import { statSync } from 'node:fs';
import { join } from 'node:path';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';

/** An output stream of a command. */
export type OutputStream = 'stdout' | 'stderr';

/** Paths of the task files below one directory. */
export class TaskFiles {
  /** `root`: the directory of all jobs. */
  constructor(private readonly root: string) {}

  /** The working directory of the command. */
  workDir(task: TaskId, attempt: Uint64): string {
    return join(this.attemptDir(task, attempt), 'work');
  }

  /** The file that records an output stream of the command. */
  output(task: TaskId, attempt: Uint64, stream: OutputStream): string {
    return join(this.attemptDir(task, attempt), stream);
  }

  /** The checkpoint file, which all tasks of a job share. */
  checkpoint(task: TaskId): string {
    return join(this.root, parseTaskId(task).job, 'checkpoint');
  }

  /** Whether the checkpoint was written since `time`, in milliseconds since the epoch. */
  hasCheckpointSince(task: TaskId, time: number): boolean {
    try {
      return statSync(this.checkpoint(task)).mtimeMs >= time;
    } catch {
      return false;
    }
  }

  private attemptDir(task: TaskId, attempt: Uint64): string {
    const { job, index } = parseTaskId(task);
    return join(this.root, job, `${index}.${attempt}`);
  }
}
