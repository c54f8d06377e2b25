// One connection of the HTTP client.
import { connect, type Socket } from 'node:net';
import type { Address } from './address.ts';
import { HttpParser } from './parser.ts';

/** A request to the client's address. */
export interface ClientCall {
  method: string;
  path: string;
  /** JSON, or null for no body. */
  body: string | null;
  /** Time for the whole call, including the time in the queue. */
  timeoutMs: number;
}

/** A response to a call. */
export interface ClientReply {
  status: number;
  /** Header values by their names in lower case. */
  headers: Map<string, string>;
  body: Buffer;
}

/**
 * Called with the response, or with null if there was none: the server may have executed the request or may
 * yet do so.
 */
export type ClientDone = (reply: ClientReply | null) => void;

/** A request waiting for a connection. */
export interface QueuedCall {
  call: ClientCall;
  done: ClientDone;
  /** Time on the monotonic clock at which the call fails. */
  deadlineMs: number;
}

/** Options that a client passes to its connections. */
export interface ClientConnectionOptions {
  address: Address;
  /** The value of the Host header. */
  hostHeader: string;
  /** Maximum size of a response body in bytes. */
  maxBody: number;
  /** Called when the connection can send the next request. */
  onIdle: () => void;
  /** Called when the connection can send no further request. */
  onClosed: () => void;
}

/** A connection with at most one outstanding request. */
export class ClientConnection {
  private readonly socket: Socket;
  private readonly parser: HttpParser;
  private currentCall: { done: ClientDone; timer: NodeJS.Timeout } | null = null;
  private isClosed = false;

  constructor(private readonly options: ClientConnectionOptions) {
    this.parser = new HttpParser('response', options.maxBody);
    this.socket = connect({ ...options.address, noDelay: true });
    this.socket.on('data', (data) => this.onData(data));
    this.socket.on('error', () => this.close());
    this.socket.on('close', () => this.onEnd());
    this.socket.on('end', () => this.onEnd());
  }

  /** Sends a request; the connection must be idle. */
  send(queued: QueuedCall, nowMs: number): void {
    const { call, done, deadlineMs } = queued;
    const timer = setTimeout(() => this.close(), Math.max(1, deadlineMs - nowMs));
    this.currentCall = { done, timer };
    const body = call.body ?? '';
    const bodyHeaders =
      call.body === null
        ? ''
        : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
    const head = `${call.method} ${call.path} HTTP/1.1\r\nHost: ${this.options.hostHeader}\r\n${bodyHeaders}\r\n`;
    this.socket.write(`${head}${body}`);
  }

  /**
   * Closes the connection; an outstanding request completes without a response. Also called when a request
   * times out, so that its late response cannot be taken for the response to the next request.
   */
  close(): void {
    this.disconnect();
    this.finish(null);
  }

  private onData(data: Buffer): void {
    try {
      for (const message of this.parser.feed(data)) {
        if (!message.keepAlive) this.disconnect();
        this.finish(message);
      }
    } catch {
      this.close();
    }
  }

  private onEnd(): void {
    const last = this.parser.end();
    if (last !== null) this.finish(last);
    this.close();
  }

  private finish(reply: ClientReply | null): void {
    if (this.currentCall === null) return;
    const { done, timer } = this.currentCall;
    this.currentCall = null;
    clearTimeout(timer);
    done(reply);
    if (!this.isClosed) this.options.onIdle();
  }

  private disconnect(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.onClosed();
    this.socket.destroy();
  }
}
