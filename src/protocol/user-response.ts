// Encodes the service's responses to its users.
import type { JobStatus, UserResponse } from '../core/base/model.ts';

/** Names of job statuses on the wire. */
export const JOB_STATUS_NAMES: Record<JobStatus, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

/** A response to be sent by the HTTP server. */
export interface HttpResponse {
  status: number;
  /** JSON. */
  body: string;
  /** Seconds after which the caller should retry; absent if it should not. */
  retryAfterS?: number;
}

/** Encodes a response with the reason why a request was not served. */
export const errorResponse = (status: number, reason: string, retryAfterS?: number): HttpResponse => ({
  status,
  body: JSON.stringify({ error: reason }),
  ...(retryAfterS === undefined ? {} : { retryAfterS }),
});

type JobStatusResponse = Extract<UserResponse, { kind: 'status' }>;

function encodeStatus(response: JobStatusResponse): HttpResponse {
  const fields = {
    nameId: response.id,
    status: JOB_STATUS_NAMES[response.status],
    done: response.done,
    running: response.running,
    ...(response.dependsOn === undefined ? {} : { awaits: response.dependsOn }),
    ...(response.reason === undefined ? {} : { reason: response.reason }),
  };
  return { status: 200, body: JSON.stringify(fields) };
}

/** Encodes the response to a user's request, with the HTTP status code for its kind. */
export function encodeUserResponse(response: UserResponse): HttpResponse {
  switch (response.kind) {
    case 'accepted':
      return { status: 201, body: JSON.stringify({ nameId: response.id, status: JOB_STATUS_NAMES.queued }) };
    case 'known':
    case 'ended':
      return {
        status: 200,
        body: JSON.stringify({ nameId: response.id, status: JOB_STATUS_NAMES[response.status] }),
      };
    case 'status':
      return encodeStatus(response);
    case 'too-large':
      return errorResponse(400, response.reason);
    case 'impossible':
      return errorResponse(422, response.reason);
    case 'not-found':
      return errorResponse(404, 'no such job');
    case 'retry':
      return errorResponse(response.overload ? 429 : 503, response.reason, response.afterS);
  }
}
