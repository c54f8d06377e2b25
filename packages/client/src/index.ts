// The library's public entry.
export { Client, type ClientOptions, type SubmitOptions, type Submitted } from './client.ts';
export type { Torn } from './outbox.ts';
export { newId } from './request.ts';
export {
  BadRequest,
  type JobRequest,
  type JobState,
  OutboxError,
  type Outcome,
  type Phase,
} from './types.ts';
