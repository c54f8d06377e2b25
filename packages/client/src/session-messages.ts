// Inputs and effects of a session, and the entries of the journal, which persist beyond the process.
import type { UserCall } from '../../../src/protocol/user.ts';
import type { JobState, Outcome } from './types.ts';

/**
 * One entry of the request journal, in the form in which it is stored. A job without an `over` entry is
 * resumed when the journal is opened again.
 */
export type JournalEntry =
  | { op: 'submit'; id: string; key: string | null; body: string }
  | { op: 'accepted'; id: string }
  | { op: 'cancel'; id: string }
  | { op: 'over'; id: string; outcome: Outcome };

/** State of a job, built from its journal entries. */
export interface JournaledJob {
  id: string;
  /** The caller's own name for the job; null without one. */
  key: string | null;
  /** Body of the submission; null after the job has ended, as it is not needed any more. */
  body: string | null;
  accepted: boolean;
  cancelRequested: boolean;
  outcome: Outcome | null;
}

/** Response of the service to one request. */
export interface ServiceResponse {
  /** HTTP status code. */
  status: number;
  body: string;
  /** Value of the `Retry-After` header in seconds; null without one. */
  retryAfterS: number | null;
}

/** Input of a session. */
export type Input =
  /** Submits a job. `acceptMs` and `endMs`: how long the caller waits for its acceptance and its end. */
  | { kind: 'submit'; id: string; key: string | null; body: string; acceptMs: number; endMs: number }
  /** Tracks a job of an earlier run, or one of another client (`body` is null and the journal lacks it). */
  | { kind: 'resume'; job: JournaledJob; acceptMs: number; endMs: number }
  /** Requests the cancellation of a job. */
  | { kind: 'cancel'; id: string }
  /** The entries of all `persist` effects up to the number `upTo` are on disk. */
  | { kind: 'persisted'; upTo: number }
  /** The request of the `send` effect with this tag has ended; `response` is null without a response. */
  | { kind: 'response'; tag: number; response: ServiceResponse | null }
  /** The time given by `nextWake` has come. */
  | { kind: 'wake' };

/** Output of a session, to be executed by its driver. */
export type Effect =
  /** Append this entry to the journal, then pass `persisted` with its number to the session. */
  | { kind: 'persist'; seq: number; entry: JournalEntry }
  /** Send this request to a node, then pass `response` with its tag to the session. */
  | { kind: 'send'; tag: number; node: string; call: UserCall; timeoutMs: number }
  /** Publish that the service has accepted a job. */
  | { kind: 'accepted'; id: string }
  /** Publish a new state of a job. */
  | { kind: 'state-changed'; state: JobState }
  /**
   * Publish an outcome when the journal entry with the number `afterSeq` is on disk (0: immediately), so that
   * a later run cannot publish a different outcome.
   */
  | { kind: 'outcome'; outcome: Outcome; afterSeq: number };

/** Effect that sends a request to a node. */
export type SendEffect = Extract<Effect, { kind: 'send' }>;
