// The tasks of a machine beside its assignments: queued ones, exited ones and orphans.
import type { Attempt, Instant, JobId, TaskId } from '../../types/index.ts';
import type { Job } from '../jobs/job.ts';

/** A task bound to a machine's queue; it starts there as soon as there is free capacity. */
export interface QueuedTask {
  job: Job;
  index: number;
  attempt: Attempt;
  /** When it joined the queue. */
  since: Instant;
}

/** An exited task that its machine still lists, until it is commanded to forget it. */
export interface ExitedTask {
  task: TaskId;
  attempt: Attempt;
  job: JobId;
  index: number;
  exitReason: string;
  /** Sequence number of the last heartbeat that listed it. */
  seenSeq: number;
  /** The machine no longer lists it. */
  isGone?: boolean;
}

/**
 * A task that a machine lists although it belongs to no open job; it is stopped, and the machine forgets it.
 */
export interface OrphanTask {
  task: TaskId;
  attempt: Attempt;
}

/** Key of one attempt of a task in the maps of a machine. */
export const assignmentKey = (task: string, attempt: number): string => `${task}@${attempt}`;
