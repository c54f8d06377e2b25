// What goes in and out of a session: inputs, effects, and the entries of the journal that outlive the
// process.
import type { UserCall } from '../../../src/protocol/user.ts';
import type { JobState, Outcome } from './types.ts';

/**
 * One entry of the request journal, in the form in which it is stored. A job without an `over` entry is
 * resumed by whoever opens the journal next.
 */
export type JournalEntry =
  | { op: 'submit'; id: string; key: string | null; body: string }
  | { op: 'accepted'; id: string }
  | { op: 'cancel'; id: string }
  | { op: 'over'; id: string; outcome: Outcome };

/** A job as the entries of the journal describe it. */
export interface JournaledJob {
  id: string;
  /** The caller's own name for it. */
  key: string | null;
  /** Body of the submission; null once the job has ended, as it is not sent any more. */
  body: string | null;
  accepted: boolean;
  cancelRequested: boolean;
  outcome: Outcome | null;
}

/** What the service answered to one request. */
export interface ServiceResponse {
  /** HTTP status. */
  status: number;
  body: string;
  /** Seconds of the `Retry-After` header; null without one. */
  retryAfterS: number | null;
}

/** What happens to a session. */
export type Input =
  /** `acceptMs` and `endMs`: how long the caller waits for acceptance and for the end. */
  | { kind: 'submit'; id: string; key: string | null; body: string; acceptMs: number; endMs: number }
  /** A job of an earlier run, or one that others submitted (`body` null and nothing in the journal). */
  | { kind: 'resume'; job: JournaledJob; acceptMs: number; endMs: number }
  | { kind: 'cancel'; id: string }
  /** The entries of `persist` effects up to this number are on disk. */
  | { kind: 'persisted'; upTo: number }
  /** The answer to the `send` of this tag; null: none came. */
  | { kind: 'response'; tag: number; response: ServiceResponse | null }
  /** Time has passed. */
  | { kind: 'wake' };

/** What a session asks of its driver. */
export type Effect =
  /** Append this entry to the journal, and answer with `persisted`. */
  | { kind: 'persist'; seq: number; entry: JournalEntry }
  /** Send this request to a node, and answer with `response`. */
  | { kind: 'send'; tag: number; node: string; call: UserCall; timeoutMs: number }
  | { kind: 'accepted'; id: string }
  | { kind: 'state-changed'; state: JobState }
  /**
   * To be published once entry `after` is on disk (0: at once), so that a later run cannot find another
   * outcome.
   */
  | { kind: 'outcome'; outcome: Outcome; after: number };

/** A request to a node. */
export type SendEffect = Extract<Effect, { kind: 'send' }>;
