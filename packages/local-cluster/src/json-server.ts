// HTTP server for the stand-ins, with JSON requests and responses on loopback. Malformed requests get status
// 400.
import { serveHttp } from '../../../src/http/server.ts';
import { InvalidMessageError } from '../../../src/protocol/json-fields.ts';
import { parseJson } from '../../../src/types/exact-json.ts';

/** An HTTP response with a JSON body. */
export interface JsonResponse {
  status: number;
  body: string;
}

/** Responds to a request; null sends no response. */
export type Respond = (response: JsonResponse | null) => void;

/**
 * Handles a request with its parsed body (`{}` for an empty one). Throws InvalidMessageError if the request
 * is malformed.
 */
export type RequestHandler = (method: string, path: string, body: unknown, respond: Respond) => void;

/** A listening server. */
export interface Listening {
  /** `127.0.0.1:port`. */
  addr: string;
  /** Stops the server, and destroys its connections. */
  close(): void;
}

const LIMITS = { maxConnections: 10_000, maxBody: 4 << 20, requestMs: 10_000, idleMs: 120_000 };

/** A response with an error message. */
export const errorResponse = (status: number, message: string): JsonResponse => ({
  status,
  body: JSON.stringify({ error: message }),
});

/** Listens on a loopback port; port 0 selects a free one. Rejects if the port is in use. */
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
    const body = request.body.length === 0 ? {} : parseJson(request.body.toString('utf8'));
    handler(request.method, request.path, body, respond);
  } catch (error) {
    if (!(error instanceof InvalidMessageError) && !(error instanceof SyntaxError)) throw error;
    respond(errorResponse(400, error.message));
  }
}
