// Public interface of the library.
export { Client } from './client.ts';
export type { ClientOptions, JournalSummary, SubmitOptions, Submitted } from './client-options.ts';
export * from './deprecated.ts';
export { newId } from './request.ts';
export type { TornTail } from './request-journal.ts';
export {
  InvalidRequestError,
  type JobPhase,
  type JobRequest,
  type JobState,
  JournalError,
  type Outcome,
} from './types.ts';
