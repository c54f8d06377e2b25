// Former names of exports, kept as deprecated aliases for existing scripts.
import type { TornTail } from './request-journal.ts';
import { InvalidRequestError, type JobPhase, JournalError } from './types.ts';

/** @deprecated Use InvalidRequestError. */
export const BadRequest = InvalidRequestError;
/** @deprecated Use InvalidRequestError. */
export type BadRequest = InvalidRequestError;

/** @deprecated Use JournalError. */
export const OutboxError = JournalError;
/** @deprecated Use JournalError. */
export type OutboxError = JournalError;

/** @deprecated Use JobPhase. */
export type Phase = JobPhase;

/** @deprecated Use TornTail. */
export type Torn = TornTail;
