// HTTP/1.1 server on TCP sockets: one request at a time on each connection, with limits of time and size.
import { createServer, type Server } from 'node:net';
import { type ConnectionContext, type RequestClass, ServerConnection } from './server-connection.ts';
import { WorkQueue } from './work-queue.ts';

export { formatResponse, type ServerResponse } from './response.ts';
export type {
  Handler,
  RequestClass,
  RequestClassifier,
  RequestRefusal,
  Respond,
  ServerLimits,
} from './server-connection.ts';

const TIMEOUT_CHECK_INTERVAL_MS = 1000;
const BACKLOG = 256;
const DEFAULT_CLASS: RequestClass = { urgency: 1, uselessAfterMs: Number.POSITIVE_INFINITY };

/** Options of an HTTP server. */
export interface HttpServerOptions extends Pick<ConnectionContext, 'handler' | 'limits'> {
  host: string;
  /** 0 for any free port. */
  port: number;
  /** Called with the port once the server listens. */
  onListening?: (port: number) => void;
  /** The queue in which requests wait for processor time; by default the server creates its own. */
  queue?: ConnectionContext['queue'];
  /** By default all requests have the same class, which never times out. */
  classify?: ConnectionContext['classify'];
  /** By default nothing is done. */
  onRefused?: ConnectionContext['onRefused'];
}

/** A running server. */
export interface HttpServer {
  server: Server;
  /** Stops listening; open connections stay open. */
  close(): void;
}

/** Starts a server. If it cannot listen on the address, `server` emits an `error` event. */
export function serveHttp(options: HttpServerOptions): HttpServer {
  const { host, port, handler, limits, onListening } = options;
  const context: ConnectionContext = {
    handler,
    limits,
    queue: options.queue ?? new WorkQueue(),
    classify: options.classify ?? (() => DEFAULT_CLASS),
    onRefused: options.onRefused ?? (() => {}),
  };
  const connections = new Set<ServerConnection>();
  const server = createServer({ noDelay: true }, (socket) => {
    const connection = new ServerConnection(socket, context);
    connections.add(connection);
    socket.on('close', () => connections.delete(connection));
  });
  server.maxConnections = limits.maxConnections;
  const timeoutTimer = setInterval(() => {
    const nowMs = performance.now();
    for (const connection of connections) connection.enforceTimeouts(nowMs);
  }, TIMEOUT_CHECK_INTERVAL_MS);
  timeoutTimer.unref();
  server.listen({ host, port, backlog: BACKLOG }, () =>
    onListening?.((server.address() as { port: number }).port),
  );
  const close = (): void => {
    clearInterval(timeoutTimer);
    server.close();
  };
  return { server, close };
}
