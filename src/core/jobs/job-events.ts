// Callbacks through which the job table reports changes of its jobs to other modules of the controller.
import type { JobId, WallTime } from '../../types/index.ts';
import type { Job } from './job.ts';

/** How a job ended. */
export type FinalStatus = 'done' | 'cancelled';

/** Observes jobs in order to update their dependents; implemented by {@link Dependencies}. */
export interface JobListener {
  /** Whether an open job depends on this one. */
  hasOpenDependents(id: JobId): boolean;
  /** A job has become open: it was accepted, or found in the store. */
  onOpened(job: Job): void;
  /** The cancellation of an open job is stored, but not yet its final state. */
  onCancelled(job: Job): void;
  /** The final state of a job is stored. */
  onClosed(job: Job, status: FinalStatus, endedAt: WallTime): void;
}

/** Lifecycle events of open jobs. The callbacks are set once, at the beginning of a leader's term. */
export interface JobEvents {
  readonly listener: JobListener | null;
  /** A job that is not cancelled has become open. */
  onAccepted(job: Job): void;
  /** No more tasks of the job may start: it has ended, or its cancellation is stored or being written. */
  onSchedulingEnded(job: Job): void;
  /** A cancellation could not be stored: the job's tasks have to be scheduled again. */
  onCancellationFailed(): void;
  /** The job's final state is stored. */
  onClosed(job: Job, status: FinalStatus): void;
}
