// Responses to users that several modules create.
import type { UserResponse } from './model.ts';

/** A response that tells the user to retry after `afterS` seconds. */
export const retryLater = (reason: string, afterS = 1, overload = false): UserResponse => ({
  kind: 'retry',
  afterS,
  reason,
  overload,
});

/** The response to a repeated submission of a job, given the response to a request for its status. */
export const asSubmissionResponse = (response: UserResponse): UserResponse =>
  response.kind === 'status' || response.kind === 'ended'
    ? { kind: 'known', id: response.id, status: response.status }
    : response;
