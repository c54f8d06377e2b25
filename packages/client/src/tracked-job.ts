// State of a job in the session, and pure functions of that state.
import {
  cancelCall,
  type JobStatusView,
  statusCall,
  submitCall,
  type UserCall,
} from '../../../src/protocol/user.ts';
import type { JobId } from '../../../src/types/index.ts';
import type { JobState, Outcome } from './types.ts';

/** Kind of request to the service about a job. */
export type Operation = 'cancel' | 'submit' | 'status';

/** A job that the session tracks. Times are in milliseconds of the session's steady clock. */
export interface TrackedJob {
  readonly id: string;
  readonly body: string | null;
  /** `ended`: the job has an outcome, and the session no longer tracks it. */
  stage: 'submitting' | 'accepted' | 'ended';
  /** No request of this job may be sent before the journal entry with this number is on disk. */
  journalSeq: number;
  /** Whether this process or an earlier one may have sent a submission of the job to the service. */
  mayHaveBeenSent: boolean;
  /** Whether another client submitted the job. If so, status 404 of the service is final. */
  isExternal: boolean;
  cancelRequested: boolean;
  readonly acceptDeadline: number;
  readonly endDeadline: number;
  /** Time at which tracking began; the interval between status polls grows with the time since then. */
  readonly trackedSinceMs: number;
  /** Failed attempts since the last successful response. */
  attempts: number;
  nextAttemptAt: number;
  lastNode: string | null;
  /** Why the last attempt failed, as text for the outcome `gave-up`. */
  lastFailure: string;
  /** Tag of the request in flight whose response counts; null if there is none. */
  requestTag: number | null;
  /** The newest status that the service reported. */
  lastStatus: JobStatusView | null;
}

/** How long the caller waits for the acceptance and the end of a job, in milliseconds. */
export interface CallerTimeouts {
  acceptMs: number;
  endMs: number;
}

/** Creates the state of a job that this process has not sent yet. */
export function newTrackedJob(
  id: string,
  body: string | null,
  timeouts: CallerTimeouts,
  now: number,
): TrackedJob {
  return {
    id,
    body,
    stage: 'submitting',
    journalSeq: 0,
    mayHaveBeenSent: false,
    isExternal: false,
    cancelRequested: false,
    acceptDeadline: now + Math.min(timeouts.acceptMs, timeouts.endMs),
    endDeadline: now + timeouts.endMs,
    trackedSinceMs: now,
    attempts: 0,
    nextAttemptAt: now,
    lastNode: null,
    lastFailure: 'it was not sent yet',
    requestTag: null,
    lastStatus: null,
  };
}

/** The time at which the job is given up: the accept deadline until it is accepted, then the end deadline. */
export const deadlineOf = (job: TrackedJob): number =>
  job.stage === 'submitting' ? job.acceptDeadline : job.endDeadline;

/**
 * The next request of a job. While a submission has no successful response, the job is submitted again even
 * if its cancellation was requested: a cancellation that overtakes a submission still on its way would have
 * no effect.
 */
export function nextOperation(job: TrackedJob): Operation {
  if (job.stage === 'submitting') return 'submit';
  return job.cancelRequested ? 'cancel' : 'status';
}

/** The protocol request of an operation. */
export function callFor(operation: Operation, job: TrackedJob): UserCall {
  const id = job.id as JobId;
  switch (operation) {
    case 'submit':
      return submitCall(job.body!);
    case 'cancel':
      return cancelCall(id);
    case 'status':
      return statusCall(id);
  }
}

/** Converts a status reported by the service to the state that the library's users see. */
export const jobStateOf = (id: string, { status, done, running }: JobStatusView): JobState => ({
  id,
  phase: status,
  done,
  running,
});

/** Whether the state that users see differs between two statuses. */
export function isNewState(before: JobStatusView | null, after: JobStatusView): boolean {
  return before?.status !== after.status || before.done !== after.done || before.running !== after.running;
}

/** The outcome of a job that is given up. `wallTime`: time of day in milliseconds. */
export function gaveUpOutcome(job: TrackedJob, wallTime: number): Outcome {
  const accepted = acceptanceOf(job);
  const timedOutWhileHealthy = accepted === true && job.attempts === 0;
  return {
    kind: 'gave-up',
    id: job.id,
    at: wallTime,
    reason: timedOutWhileHealthy
      ? `it is ${job.lastStatus?.status ?? 'accepted'} and has not ended in the time given`
      : job.lastFailure,
    accepted,
    resume: job.isExternal
      ? `ask for ${job.id} again`
      : `submit it again under the id ${job.id}: it is run once however often it is sent`,
  };
}

/** Whether the service has accepted the job; null if unknown. */
function acceptanceOf(job: TrackedJob): boolean | null {
  if (job.stage === 'accepted') return true;
  return job.mayHaveBeenSent ? null : false;
}
