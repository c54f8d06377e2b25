// Types for the tasks of a machine that are not assignments: queued tasks, exited tasks and orphans.
import type { Attempt, Instant, JobId, TaskId } from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import type { Job } from '../jobs/job.ts';

/** A task in a machine's queue; it starts on the machine as soon as there is free capacity. */
export interface QueuedTask {
  job: Job;
  index: number;
  attempt: Attempt;
  /** When the task was added to the queue. */
  queuedAt: Instant;
}

/** An exited task that its machine lists until it executes a `forget` command. */
export interface ExitedTask {
  task: TaskId;
  attempt: Attempt;
  job: JobId;
  index: number;
  exitReason: string;
  /** Sequence number of the last heartbeat that listed the task. */
  seenSeq: Uint64;
  /** Whether the task has been removed from the machine's exited tasks. */
  isGone?: boolean;
}

/** A listed task that belongs to no open job; its machine is sent `stop` and then `forget` commands. */
export interface OrphanTask {
  task: TaskId;
  attempt: Attempt;
}

/** Key of one attempt of a task in a machine's maps. */
export const assignmentKey = (task: string, attempt: Attempt): string => `${task}@${attempt}`;
