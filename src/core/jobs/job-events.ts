// What the job table tells the rest of the controller about its jobs.
import type { JobId, WallTime } from '../../types/index.ts';
import type { Job } from './job.ts';

/** How a job ended. */
export type FinalStatus = 'done' | 'cancelled';

/** Follows jobs on behalf of those that depend on them; implemented by {@link Dependencies}. */
export interface JobListener {
  /** Whether an open job depends on this one. */
  isNeeded(id: JobId): boolean;
  /** A job has become open: accepted, or found in the store. */
  onOpened(job: Job): void;
  /** The cancellation of an open job is stored; its final state is not yet. */
  onCancelled(job: Job): void;
  /** The final state of a job is stored. */
  onClosed(job: Job, status: FinalStatus, endedAt: WallTime): void;
}

/** Events in the life of an open job. The callbacks are set once, by the leader's term. */
export interface JobEvents {
  readonly listener: JobListener | null;
  /** A job that is not cancelled has become open. */
  onAccepted(job: Job): void;
  /** No more tasks of the job are to start: it is over, cancelled, or about to be cancelled. */
  onEnded(job: Job): void;
  /** A cancellation could not be stored: the job goes on, and its tasks are to be scheduled again. */
  onCancellationFailed(): void;
  /** The job's final state is stored. */
  onClosed(job: Job, status: FinalStatus): void;
}
