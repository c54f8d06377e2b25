// HTTP for the stand-ins: JSON in and out, on loopback; malformed requests are answered with 400.
import { serveHttp } from '../../../src/http/server.ts';
import { InvalidMessageError } from '../../../src/protocol/json-fields.ts';

/** A response with a JSON body. */
export interface JsonResponse {
  /** HTTP status. */
  status: number;
  body: string;
}

/** Answers a request; null: no answer at all. */
export type Respond = (response: JsonResponse | null) => void;

/**
 * Handles a request with its parsed body (`{}` for none). Throws InvalidMessageError for one that is
 * malformed.
 */
export type RequestHandler = (method: string, path: string, body: unknown, respond: Respond) => void;

/** A server that listens. */
export interface Listening {
  /** `127.0.0.1:port`. */
  addr: string;
  /** Stops it, and destroys its connections. */
  close(): void;
}

const LIMITS = { maxConnections: 10_000, maxBody: 4 << 20, requestMs: 10_000, idleMs: 120_000 };

/** A response that says what went wrong. */
export const errorResponse = (status: number, message: string): JsonResponse => ({
  status,
  body: JSON.stringify({ error: message }),
});

/** Listens on a port of loopback; 0 takes a free one. Rejects if the port is taken. */
export function listen(port: number, handler: RequestHandler): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const sockets = new Set<{ destroy(): void }>();
    const { server, close } = serveHttp({
      host: '127.0.0.1',
      port,
      limits: LIMITS,
      handler: ({ method, target, body }, reply) => {
        handle(handler, { method, path: target, body }, (response) => {
          if (response !== null) reply(response);
        });
      },
      onListening: (boundPort) =>
        resolve({
          addr: `127.0.0.1:${boundPort}`,
          close: () => {
            close();
            for (const socket of sockets) socket.destroy();
          },
        }),
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    server.once('error', reject);
  });
}

interface RawRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

function handle(handler: RequestHandler, request: RawRequest, respond: Respond): void {
  try {
    const body = request.body.length === 0 ? {} : JSON.parse(request.body.toString('utf8'));
    handler(request.method, request.path, body, respond);
  } catch (error) {
    if (!(error instanceof InvalidMessageError) && !(error instanceof SyntaxError)) throw error;
    respond(errorResponse(400, error.message));
  }
}

/** A port of this machine that nobody listens on just now. */
export async function freePort(): Promise<number> {
  const listening = await listen(0, () => {});
  listening.close();
  return Number(listening.addr.split(':')[1]);
}
