// The library's public entry.
export { Client, type ClientOptions, type SubmitOptions, type Submitted } from './client.ts';
export { newId } from './request.ts';
export type { TornTail as Torn } from './request-journal.ts';
export {
  InvalidRequestError as BadRequest,
  type JobPhase as Phase,
  type JobRequest,
  type JobState,
  JournalError as OutboxError,
  type Outcome,
} from './types.ts';
