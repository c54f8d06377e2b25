// Classifies HTTP requests by urgency from their first bytes, before they are parsed.
import type { RequestClass } from '../http/server.ts';

/** Number of bytes of a request that are examined. */
const PREFIX_BYTES = 64;

/**
 * `uselessAfterMs` is the time for which the sender waits for a response, less the latency of the response.
 */
const HEARTBEAT: RequestClass = { urgency: 0, uselessAfterMs: 3800 };
/**
 * Health checks are rare, and a late response makes the sender treat the node as down: they are not queued.
 */
const HEALTH_CHECK: RequestClass = { urgency: 'now', uselessAfterMs: 1000 };
const SUBMISSION: RequestClass = { urgency: 1, uselessAfterMs: 4800 };
const STATUS_QUERY: RequestClass = { urgency: 2, uselessAfterMs: 1900 };
/** All other requests, including cancellations. */
const OTHER: RequestClass = { urgency: 0, uselessAfterMs: 4800 };

/**
 * Health checks, heartbeats and cancellations have priority over submissions, and those over status queries.
 */
export function classifyRequest(bytes: Buffer): RequestClass {
  const prefix = bytes.toString('latin1', 0, PREFIX_BYTES);
  if (prefix.startsWith('POST /checkin')) return HEARTBEAT;
  if (prefix.startsWith('GET /ready')) return HEALTH_CHECK;
  if (prefix.startsWith('GET /work')) return STATUS_QUERY;
  return prefix.startsWith('POST /work ') ? SUBMISSION : OTHER;
}
