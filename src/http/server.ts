// A small HTTP/1.1 server on net: one request at a time a connection, with time and size limits.
import { createServer, type Server, type Socket } from 'node:net';
import { HttpParseError, HttpParser, type Message } from './parser.ts';
import { type Urgency, WorkQueue } from './work-queue.ts';

export interface Reply {
  status: number;
  body: string;
  retryAfterS?: number;
}
export type Handler = (request: Message, answer: (reply: Reply) => void) => void;

/** What the first bytes of a request say of it, before it is parsed. */
export interface RequestClass {
  urgency: Urgency;
  /** After so long its sender no longer waits for the answer. */
  uselessAfterMs: number;
}

export interface ServerLimits {
  maxConnections: number;
  maxBody: number;
  /** A begun request must be complete within this. */
  requestMs: number;
  /** A connection with nothing to do is closed after this. */
  idleMs: number;
}

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  408: 'Request Timeout',
  413: 'Content Too Large',
  417: 'Expectation Failed',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  503: 'Service Unavailable',
};

export function formatReply(r: Reply, keepAlive: boolean): string {
  const retry = r.retryAfterS === undefined ? '' : `Retry-After: ${Math.ceil(r.retryAfterS)}\r\n`;
  const close = keepAlive ? '' : 'Connection: close\r\n';
  const length = Buffer.byteLength(r.body);
  return `HTTP/1.1 ${r.status} ${REASONS[r.status] ?? 'Status'}\r\nContent-Type: application/json\r\n${retry}${close}Content-Length: ${length}\r\n\r\n${r.body}`;
}

const REST: RequestClass = { urgency: 0, uselessAfterMs: Number.POSITIVE_INFINITY };
const PLAIN: RequestClass = { urgency: 1, uselessAfterMs: Number.POSITIVE_INFINITY };

class Connection {
  private readonly parser: HttpParser;
  private readonly queue: Message[] = [];
  private busy = false;
  private closing = false;
  /** Bytes that wait for their turn. */
  private readonly inbox: Buffer[] = [];
  lastActive: number;

  constructor(
    private readonly socket: Socket,
    private readonly handler: Handler,
    private readonly limits: ServerLimits,
    private readonly turns: WorkQueue,
    private readonly glance: (bytes: Buffer) => RequestClass,
    now: number,
  ) {
    this.parser = new HttpParser('request', limits.maxBody);
    this.lastActive = now;
    socket.setNoDelay(true);
    socket.on('data', (d) => this.arrive(d));
    socket.on('end', () => this.socket.end());
    socket.on('error', () => this.socket.destroy());
  }

  private arrive(data: Buffer): void {
    if (this.closing) return;
    // One turn a connection, so that its bytes are read in the order in which they came.
    if (this.inbox.push(data) > 1) return;
    // The rest of a message that has begun is not looked into: bodies hold anything.
    const { urgency, uselessAfterMs } = this.parser.midMessage ? REST : this.glance(data);
    this.turns.add({
      since: performance.now(),
      urgency,
      uselessAfterMs,
      run: () => {
        for (const d of this.inbox.splice(0)) if (!this.socket.destroyed) this.onData(d);
      },
      drop: () => this.socket.destroy(),
    });
  }

  private onData(data: Buffer): void {
    if (this.closing) return;
    if (!this.parser.midMessage) this.lastActive = performance.now();
    try {
      this.queue.push(...this.parser.feed(data));
      // A refusal by the head alone, as for a body too large, has been thrown by now: only what is read is asked for.
      if (this.parser.takeContinue() && !this.busy) this.socket.write('HTTP/1.1 100 Continue\r\n\r\n');
    } catch (e) {
      const bad = e instanceof HttpParseError ? e : new HttpParseError(400, 'bad request');
      this.refuse(bad.status, bad.message);
      return;
    }
    this.pump();
  }

  private refuse(status: number, reason: string): void {
    this.closing = true;
    this.socket.end(formatReply({ status, body: JSON.stringify({ error: reason }) }, false));
  }

  private pump(): void {
    if (this.busy || this.closing) return;
    const request = this.queue.shift();
    if (request === undefined) return;
    this.busy = true;
    let answered = false;
    this.handler(request, (reply) => {
      if (answered) return;
      answered = true;
      this.busy = false;
      this.lastActive = performance.now();
      if (this.socket.destroyed) return;
      this.socket.write(formatReply(reply, request.keepAlive));
      if (request.keepAlive) this.pump();
      else {
        this.closing = true;
        this.socket.end();
      }
    });
  }

  /** Called about once a second: slow senders and idle connections make room for others. */
  sweep(now: number): void {
    if (this.busy || this.inbox.length > 0 || this.socket.destroyed) return;
    const age = now - this.lastActive;
    if (this.closing) {
      if (age > this.limits.requestMs) this.socket.destroy();
    } else if (this.parser.midMessage && age > this.limits.requestMs)
      this.refuse(408, 'request took too long');
    else if (age > this.limits.idleMs) this.socket.destroy();
  }
}

export function serveHttp(
  host: string,
  port: number,
  limits: ServerLimits,
  handler: Handler,
  onListening: (port: number) => void,
  turns = new WorkQueue(),
  glance: (bytes: Buffer) => RequestClass = () => PLAIN,
): { server: Server; close: () => void } {
  const connections = new Set<Connection>();
  const server = createServer({ noDelay: true }, (socket) => {
    const c = new Connection(socket, handler, limits, turns, glance, performance.now());
    connections.add(c);
    socket.on('close', () => connections.delete(c));
  });
  server.maxConnections = limits.maxConnections;
  const sweeper = setInterval(() => {
    const now = performance.now();
    for (const c of connections) c.sweep(now);
  }, 1000);
  sweeper.unref();
  server.listen({ host, port, backlog: 256 }, () => onListening((server.address() as { port: number }).port));
  return {
    server,
    close: () => {
      clearInterval(sweeper);
      server.close();
    },
  };
}
