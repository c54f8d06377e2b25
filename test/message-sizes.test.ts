// Lengths of messages: a request body has at most 64 KiB, and no line of a response to a worker or a user is
// longer (PROTOCOL). These tests guard against messages that are sent longer, or refused for their length.
import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { type HttpServerOptions, serveHttp } from '../src/http/server.ts';
import { InvalidMessageLog } from '../src/runtime/invalid-message-log.ts';
import { PendingResponses } from '../src/runtime/pending-responses.ts';
import { RequestRouter } from '../src/runtime/request-router.ts';

const KIB = 1024;
const MAX_BODY_BYTES = 64 * KIB;

/** Serves requests on a free port until the test ends; resolves with the URL of the server. */
async function serve(
  t: TestContext,
  options: Pick<HttpServerOptions, 'handler' | 'onRefused'>,
): Promise<string> {
  const limits = { maxConnections: 10, maxBody: MAX_BODY_BYTES, requestMs: 10_000, idleMs: 60_000 };
  const { server, close } = serveHttp({ host: '127.0.0.1', port: 0, limits, ...options });
  t.after(close);
  await new Promise((resolve) => server.once('listening', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** The router of a controller, with the lines that it logs. */
function createRouter(): { router: RequestRouter; lines: unknown[] } {
  const lines: unknown[] = [];
  const log = (...line: unknown[]): void => {
    lines.push(line);
  };
  const router = new RequestRouter({
    controller: { ready: true, rejection: () => null, describe: () => ({}) },
    responses: new PendingResponses(),
    step: () => {},
    processStatus: () => ({}),
    log,
    invalidMessages: new InvalidMessageLog(log),
  });
  return { router, lines };
}

describe('a request that is too long', () => {
  // Without the line, a worker whose heartbeats are refused looks like one that sends none.
  it('is refused and logged', async (t) => {
    const { router, lines } = createRouter();
    const url = await serve(t, {
      handler: (request, respond) => router.handle(request, respond),
      onRefused: (refusal) => router.onRefused(refusal),
    });
    const response = await fetch(`${url}/work`, { method: 'POST', body: 'x'.repeat(MAX_BODY_BYTES + 1) });
    assert.equal(response.status, 413);
    await response.body?.cancel();
    const fields = { source: 'request', reason: '413 body too large', count: 1 };
    assert.deepEqual(lines, [['info', 'invalid message', fields]]);
  });
});
