// Tells how urgent a request is from its first bytes, before it is parsed.
import type { RequestClass } from '../http/server.ts';

/** So many bytes of a request are looked at. */
const PREFIX_BYTES = 64;

/** Times are those for which senders wait for a response, less a little for its way to them. */
const HEARTBEAT: RequestClass = { urgency: 0, uselessAfterMs: 3800 };
/** Sent seldom; a node that answers late is taken for one that is gone. */
const HEALTH_CHECK: RequestClass = { urgency: 'now', uselessAfterMs: 1000 };
const SUBMISSION: RequestClass = { urgency: 1, uselessAfterMs: 4800 };
const STATUS_QUERY: RequestClass = { urgency: 2, uselessAfterMs: 1900 };
/** Cancellations among them. */
const OTHER: RequestClass = { urgency: 0, uselessAfterMs: 4800 };

/** Health checks, heartbeats and cancellations go first, then submissions, then queries of a job's status. */
export function classifyRequest(bytes: Buffer): RequestClass {
  const prefix = bytes.toString('latin1', 0, PREFIX_BYTES);
  if (prefix.startsWith('POST /checkin')) return HEARTBEAT;
  if (prefix.startsWith('GET /ready')) return HEALTH_CHECK;
  if (prefix.startsWith('GET /work')) return STATUS_QUERY;
  return prefix.startsWith('POST /work ') ? SUBMISSION : OTHER;
}
