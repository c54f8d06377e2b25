// A job as the session tracks it, and what follows from its state alone.
import {
  cancelCall,
  type JobStatusView,
  statusCall,
  submitCall,
  type UserCall,
} from '../../../src/protocol/user.ts';
import type { JobId } from '../../../src/types/index.ts';
import type { JobState, Outcome } from './types.ts';

/** What can be asked of the service for a job. */
export type Operation = 'cancel' | 'submit' | 'status';

/** A job without an outcome. Times are milliseconds of the session's steady clock. */
export interface TrackedJob {
  readonly id: string;
  readonly body: string | null;
  stage: 'submitting' | 'accepted' | 'ended';
  /** Nothing of this job may be sent before the journal entry of this number is on disk. */
  journalSeq: number;
  /** A submission may have reached the service, in this process or in an earlier one. */
  maybeSent: boolean;
  /** Submitted by others: an answer that it does not exist is believed. */
  foreign: boolean;
  cancelRequested: boolean;
  readonly acceptDeadline: number;
  readonly endDeadline: number;
  /** When it was taken up; decides how often its status is polled. */
  readonly trackedSince: number;
  /** Attempts since the last successful answer. */
  attempts: number;
  nextAttemptAt: number;
  lastNode: string | null;
  /** Why the last attempt failed, for people. */
  lastFailure: string;
  /** Tag of the request whose answer counts; null if none is under way. */
  requestTag: number | null;
  /** The newest status that the service gave. */
  lastStatus: JobStatusView | null;
}

/** How long the caller waits for acceptance and for the end of a job, in milliseconds. */
export interface CallerTimeouts {
  acceptMs: number;
  endMs: number;
}

/** A job that was not sent by this process yet. */
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
    maybeSent: false,
    foreign: false,
    cancelRequested: false,
    acceptDeadline: now + Math.min(timeouts.acceptMs, timeouts.endMs),
    endDeadline: now + timeouts.endMs,
    trackedSince: now,
    attempts: 0,
    nextAttemptAt: now,
    lastNode: null,
    lastFailure: 'it was not sent yet',
    requestTag: null,
    lastStatus: null,
  };
}

/** When the caller stops waiting for what the job waits for now. */
export const deadlineOf = (job: TrackedJob): number =>
  job.stage === 'submitting' ? job.acceptDeadline : job.endDeadline;

/**
 * What is asked for next. A job that may have been sent is submitted until that is settled, also if it is to
 * be cancelled: a cancellation that overtook a submission still under way would cancel nothing.
 */
export function nextOperation(job: TrackedJob): Operation {
  if (job.stage === 'submitting') return 'submit';
  return job.cancelRequested ? 'cancel' : 'status';
}

/** The request for an operation, as the protocol has it. */
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

/** A status of the service in the terms of the library's users. */
export const jobStateOf = (id: string, { status, done, running }: JobStatusView): JobState => ({
  id,
  phase: status,
  done,
  running,
});

/** Whether users would see another state than before. */
export function isNewState(before: JobStatusView | null, after: JobStatusView): boolean {
  return before?.status !== after.status || before.done !== after.done || before.running !== after.running;
}

/** The outcome of a job whose caller waits no longer; `wallTime` in milliseconds of the time of day. */
export function gaveUpOutcome(job: TrackedJob, wallTime: number): Outcome {
  const accepted = knownAccepted(job);
  const timedOutWhileHealthy = accepted === true && job.attempts === 0;
  return {
    kind: 'gave-up',
    id: job.id,
    at: wallTime,
    reason: timedOutWhileHealthy
      ? `it is ${job.lastStatus?.status ?? 'accepted'} and has not ended in the time given`
      : job.lastFailure,
    accepted,
    resume: job.foreign
      ? `ask for ${job.id} again`
      : `submit it again under the id ${job.id}: it is run once however often it is sent`,
  };
}

/** Whether the service has accepted the job; null if that is not known. */
function knownAccepted(job: TrackedJob): boolean | null {
  if (job.stage === 'accepted') return true;
  return job.maybeSent ? null : false;
}
