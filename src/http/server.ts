// A small HTTP/1.1 server on TCP: one request at a time a connection, with limits of time and size.
import { createServer, type Server } from 'node:net';
import { type ConnectionContext, type RequestClass, ServerConnection } from './server-connection.ts';
import { WorkQueue } from './work-queue.ts';

export { formatResponse, type ServerResponse } from './response.ts';
export type { Handler, RequestClass, RequestClassifier, Respond, ServerLimits } from './server-connection.ts';

const SWEEP_INTERVAL_MS = 1000;
const BACKLOG = 256;
const DEFAULT_CLASS: RequestClass = { urgency: 1, uselessAfterMs: Number.POSITIVE_INFINITY };

/** What an HTTP server needs. */
export interface HttpServerOptions extends Pick<ConnectionContext, 'handler' | 'limits'> {
  host: string;
  /** 0 for any free port. */
  port: number;
  /** Called with the port once the server listens. */
  onListening?: (port: number) => void;
  /** Where requests wait for processor time; a queue of the server's own by default. */
  queue?: ConnectionContext['queue'];
  /** Without it all requests are of one class, which never times out. */
  classify?: ConnectionContext['classify'];
}

/** A server that was started. */
export interface HttpServer {
  server: Server;
  /** Stops listening; open connections go on. */
  close(): void;
}

/** Starts a server. An address that cannot be used is an `error` event of `server`. */
export function serveHttp(options: HttpServerOptions): HttpServer {
  const { host, port, handler, limits, onListening } = options;
  const context: ConnectionContext = {
    handler,
    limits,
    queue: options.queue ?? new WorkQueue(),
    classify: options.classify ?? (() => DEFAULT_CLASS),
  };
  const connections = new Set<ServerConnection>();
  const server = createServer({ noDelay: true }, (socket) => {
    const connection = new ServerConnection(socket, context);
    connections.add(connection);
    socket.on('close', () => connections.delete(connection));
  });
  server.maxConnections = limits.maxConnections;
  const sweeper = setInterval(() => {
    const nowMs = performance.now();
    for (const connection of connections) connection.sweep(nowMs);
  }, SWEEP_INTERVAL_MS);
  sweeper.unref();
  server.listen({ host, port, backlog: BACKLOG }, () =>
    onListening?.((server.address() as { port: number }).port),
  );
  const close = (): void => {
    clearInterval(sweeper);
    server.close();
  };
  return { server, close };
}
