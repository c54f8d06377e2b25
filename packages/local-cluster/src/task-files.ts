// Where the files of tasks are: a directory for each attempt, and a checkpoint for each job.
import { statSync } from 'node:fs';
import { join } from 'node:path';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';

/** A stream of a command that is recorded. */
export type OutputStream = 'stdout' | 'stderr';

/** Paths below one directory. */
export class TaskFiles {
  /** `root`: the directory of all jobs. */
  constructor(private readonly root: string) {}

  /** The working directory of the command. */
  workDir(task: TaskId, attempt: number): string {
    return join(this.attemptDir(task, attempt), 'work');
  }

  /** The recorded output of the command. */
  output(task: TaskId, attempt: number, stream: OutputStream): string {
    return join(this.attemptDir(task, attempt), stream);
  }

  /** The file to which tasks of a job write their progress. */
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

  private attemptDir(task: TaskId, attempt: number): string {
    const { job, index } = parseTaskId(task);
    return join(this.root, job, `${index}.${attempt}`);
  }
}
