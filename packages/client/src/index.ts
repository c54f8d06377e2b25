// The library's public entry.
export { Client } from './client.ts';
export type { ClientOptions, JournalSummary, SubmitOptions, Submitted } from './client-options.ts';
export { newId } from './request.ts';
/** @deprecated Use TornTail. */
export type { TornTail, TornTail as Torn } from './request-journal.ts';
/** @deprecated Use JobPhase. */
export type { JobPhase as Phase } from './types.ts';
/** @deprecated Use InvalidRequestError. */
/** @deprecated Use JournalError. */
export {
  InvalidRequestError,
  InvalidRequestError as BadRequest,
  type JobPhase,
  type JobRequest,
  type JobState,
  JournalError,
  JournalError as OutboxError,
  type Outcome,
} from './types.ts';
