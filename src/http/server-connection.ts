// One connection of the HTTP server: reads requests, answers them one at a time, enforces the limits.
import type { Socket } from 'node:net';
import { type HttpMessage, HttpParseError, HttpParser } from './parser.ts';
import { formatResponse, type ServerResponse } from './response.ts';
import type { Urgency, WorkQueue } from './work-queue.ts';

/** Sends the response to a request; only the first call counts. */
export type Respond = (response: ServerResponse) => void;

/** Answers a request, at once or later. */
export type Handler = (request: HttpMessage, respond: Respond) => void;

/** What the first bytes of a request tell about it before it is parsed. */
export interface RequestClass {
  urgency: Urgency;
  /** Milliseconds after which its sender has timed out. */
  uselessAfterMs: number;
}

/** Tells the class of a request from its first bytes. */
export type RequestClassifier = (bytes: Buffer) => RequestClass;

/** Limits of time and size; times in milliseconds. */
export interface ServerLimits {
  maxConnections: number;
  /** Bytes of a request's body. */
  maxBody: number;
  /** A request that has begun must be complete within this time. */
  requestMs: number;
  /** A connection without a request is closed after this time. */
  idleMs: number;
}

/** What the connections of a server have in common. */
export interface ConnectionContext {
  handler: Handler;
  limits: ServerLimits;
  queue: WorkQueue;
  classify: RequestClassifier;
}

/** The rest of a request that has begun: its body may hold anything, so it is not classified. */
const REST_OF_REQUEST: RequestClass = { urgency: 0, uselessAfterMs: Number.POSITIVE_INFINITY };
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';

/** One connection of the HTTP server. */
export class ServerConnection {
  private readonly parser: HttpParser;
  /** Requests that wait until the one before them is answered. */
  private readonly requests: HttpMessage[] = [];
  private busy = false;
  private closing = false;
  /** Bytes that wait in the work queue. */
  private readonly received: Buffer[] = [];
  private lastActiveMs = performance.now();

  constructor(
    private readonly socket: Socket,
    private readonly context: ConnectionContext,
  ) {
    this.parser = new HttpParser('request', context.limits.maxBody);
    socket.setNoDelay(true);
    socket.on('data', (data) => this.enqueue(data));
    socket.on('end', () => this.socket.end());
    socket.on('error', () => this.socket.destroy());
  }

  /** Called about once a second: closes idle connections and refuses slow senders. */
  sweep(nowMs: number): void {
    if (this.busy || this.received.length > 0 || this.socket.destroyed) return;
    const { requestMs, idleMs } = this.context.limits;
    const ageMs = nowMs - this.lastActiveMs;
    if (this.closing) {
      if (ageMs > requestMs) this.socket.destroy();
    } else if (this.parser.midMessage && ageMs > requestMs) {
      this.refuse(408, 'request took too long');
    } else if (ageMs > idleMs) {
      this.socket.destroy();
    }
  }

  private enqueue(data: Buffer): void {
    if (this.closing) return;
    // One work item a connection, so that its bytes are read in the order in which they came.
    if (this.received.push(data) > 1) return;
    const { urgency, uselessAfterMs } = this.parser.midMessage
      ? REST_OF_REQUEST
      : this.context.classify(data);
    this.context.queue.add({
      since: performance.now(),
      urgency,
      uselessAfterMs,
      run: () => this.readReceived(),
      drop: () => this.socket.destroy(),
    });
  }

  private readReceived(): void {
    for (const data of this.received.splice(0)) {
      if (!this.socket.destroyed) this.read(data);
    }
  }

  private read(data: Buffer): void {
    if (this.closing) return;
    if (!this.parser.midMessage) this.lastActiveMs = performance.now();
    try {
      this.requests.push(...this.parser.feed(data));
      // A request that its head alone rules out, as by too large a body, has thrown by now: its body is not asked for.
      if (this.parser.takeContinue() && !this.busy) this.socket.write(CONTINUE);
    } catch (error) {
      const { status, message } =
        error instanceof HttpParseError ? error : new HttpParseError(400, 'bad request', { cause: error });
      this.refuse(status, message);
      return;
    }
    this.handleNext();
  }

  private refuse(status: number, reason: string): void {
    this.closing = true;
    this.socket.end(formatResponse({ status, body: JSON.stringify({ error: reason }) }, false));
  }

  private handleNext(): void {
    if (this.busy || this.closing) return;
    const request = this.requests.shift();
    if (request === undefined) return;
    this.busy = true;
    let responded = false;
    this.context.handler(request, (response) => {
      if (responded) return;
      responded = true;
      this.send(response, request.keepAlive);
    });
  }

  private send(response: ServerResponse, keepAlive: boolean): void {
    this.busy = false;
    this.lastActiveMs = performance.now();
    if (this.socket.destroyed) return;
    this.socket.write(formatResponse(response, keepAlive));
    if (keepAlive) {
      this.handleNext();
      return;
    }
    this.closing = true;
    this.socket.end();
  }
}
