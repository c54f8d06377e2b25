// One connection of the HTTP server: reads requests, has them handled one at a time, enforces limits of time
// and size.
import type { Socket } from 'node:net';
import { type BodyLimit, type HttpMessage, HttpParseError, HttpParser } from './parser.ts';
import { formatResponse, type ServerResponse } from './response.ts';
import type { Urgency, WorkQueue } from './work-queue.ts';

/** Sends the response to a request; further calls are ignored. */
export type Respond = (response: ServerResponse) => void;

/** Responds to a request, immediately or later. */
export type Handler = (request: HttpMessage, respond: Respond) => void;

/** Scheduling class of a request, determined before it is parsed. */
export interface RequestClass {
  urgency: Urgency;
  /** Milliseconds after which the sender of the request has timed out. */
  uselessAfterMs: number;
}

/** Determines the class of a request from its first bytes. */
export type RequestClassifier = (bytes: Buffer) => RequestClass;

/** Limits of time and size; times in milliseconds. */
export interface ServerLimits {
  maxConnections: number;
  maxBody: BodyLimit;
  /** Time within which a request must be complete. */
  requestMs: number;
  /** Time after which a connection without a request is closed. */
  idleMs: number;
}

/** Why a request was refused before it was handled; its connection is closed after the response. */
export interface RequestRefusal {
  status: number;
  reason: string;
  /** Its target; null if its first line has not been read. */
  target: string | null;
}

/** Options shared by all connections of a server. */
export interface ConnectionContext {
  handler: Handler;
  limits: ServerLimits;
  queue: WorkQueue;
  classify: RequestClassifier;
  /** Called for every request that is refused. */
  onRefused: (refusal: RequestRefusal) => void;
}

/**
 * Class of further bytes of an incomplete request: they may be part of its body, so they are not classified.
 */
const REST_OF_REQUEST: RequestClass = { urgency: 0, uselessAfterMs: Number.POSITIVE_INFINITY };
const CONTINUE_RESPONSE = 'HTTP/1.1 100 Continue\r\n\r\n';

/** One connection of the HTTP server. */
export class ServerConnection {
  private readonly parser: HttpParser;
  /** Requests waiting for the response to the previous one. */
  private readonly queuedRequests: HttpMessage[] = [];
  private isHandlingRequest = false;
  private isClosing = false;
  /** Received bytes that wait in the work queue to be parsed. */
  private readonly receivedChunks: Buffer[] = [];
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

  /**
   * Closes the connection if it is idle too long or its request takes too long; called about once a second.
   */
  enforceTimeouts(nowMs: number): void {
    if (this.isHandlingRequest || this.receivedChunks.length > 0 || this.socket.destroyed) return;
    const { requestMs, idleMs } = this.context.limits;
    const ageMs = nowMs - this.lastActiveMs;
    if (this.isClosing) {
      if (ageMs > requestMs) this.socket.destroy();
    } else if (this.parser.isMidMessage && ageMs > requestMs) {
      this.refuse(408, 'request took too long');
    } else if (ageMs > idleMs) {
      this.socket.destroy();
    }
  }

  private enqueue(data: Buffer): void {
    if (this.isClosing) return;
    // At most one work item per connection, so that bytes are parsed in the order in which they were
    // received.
    if (this.receivedChunks.push(data) > 1) return;
    const { urgency, uselessAfterMs } = this.parser.isMidMessage
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
    for (const data of this.receivedChunks.splice(0)) {
      if (!this.socket.destroyed) this.read(data);
    }
  }

  private read(data: Buffer): void {
    if (this.isClosing) return;
    if (!this.parser.isMidMessage) this.lastActiveMs = performance.now();
    try {
      this.queuedRequests.push(...this.parser.feed(data));
      // A request that is refused because of its head, for example because of its Content-Length, has thrown
      // by now: its sender does not get `100 Continue`.
      if (this.parser.takeExpectsContinue() && !this.isHandlingRequest) this.socket.write(CONTINUE_RESPONSE);
    } catch (error) {
      const { status, message } =
        error instanceof HttpParseError ? error : new HttpParseError(400, 'bad request', { cause: error });
      this.refuse(status, message);
      return;
    }
    this.handleNext();
  }

  private refuse(status: number, reason: string): void {
    this.isClosing = true;
    this.context.onRefused({ status, reason, target: this.parser.currentTarget });
    this.socket.end(formatResponse({ status, body: JSON.stringify({ error: reason }) }, false));
  }

  private handleNext(): void {
    if (this.isHandlingRequest || this.isClosing) return;
    const request = this.queuedRequests.shift();
    if (request === undefined) return;
    this.isHandlingRequest = true;
    let responded = false;
    this.context.handler(request, (response) => {
      if (responded) return;
      responded = true;
      this.send(response, request.keepAlive);
    });
  }

  private send(response: ServerResponse, keepAlive: boolean): void {
    this.isHandlingRequest = false;
    this.lastActiveMs = performance.now();
    if (this.socket.destroyed) return;
    this.socket.write(formatResponse(response, keepAlive));
    if (keepAlive) {
      this.handleNext();
      return;
    }
    this.isClosing = true;
    this.socket.end();
  }
}
