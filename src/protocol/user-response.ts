// Writes what the service answers its users.
import type { JobStatus, UserResponse } from '../core/base/model.ts';

/** The names of a job's states on the wire. */
export const STATUS_NAMES: Record<JobStatus, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

/** A response as the HTTP server sends it. */
export interface HttpResponse {
  status: number;
  /** JSON. */
  body: string;
  /** Seconds after which the caller may try again, if it should. */
  retryAfterS?: number;
}

/** A response that says why a request was not served. */
export const errorResponse = (status: number, reason: string, retryAfterS?: number): HttpResponse => ({
  status,
  body: JSON.stringify({ error: reason }),
  ...(retryAfterS === undefined ? {} : { retryAfterS }),
});

type JobStatusResponse = Extract<UserResponse, { kind: 'status' }>;

function encodeStatus(response: JobStatusResponse): HttpResponse {
  const fields = {
    nameId: response.id,
    status: STATUS_NAMES[response.status],
    done: response.done,
    running: response.running,
    ...(response.dependsOn === undefined ? {} : { awaits: response.dependsOn }),
    ...(response.reason === undefined ? {} : { reason: response.reason }),
  };
  return { status: 200, body: JSON.stringify(fields) };
}

/** The response to a user's request, with the status code that stands for its kind. */
export function encodeUserResponse(response: UserResponse): HttpResponse {
  switch (response.kind) {
    case 'accepted':
      return { status: 201, body: JSON.stringify({ nameId: response.id, status: STATUS_NAMES.queued }) };
    case 'known':
    case 'ended':
      return {
        status: 200,
        body: JSON.stringify({ nameId: response.id, status: STATUS_NAMES[response.status] }),
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
