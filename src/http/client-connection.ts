// One connection of the HTTP client.
import { connect, type Socket } from 'node:net';
import type { Address } from './address.ts';
import { HttpParser } from './parser.ts';

/** A request to the client's address. */
export interface ClientCall {
  method: string;
  path: string;
  /** JSON, or null without a body. */
  body: string | null;
  /** From the call on, the time in the queue included. */
  timeoutMs: number;
}

/** A response, as the client's caller gets it. */
export interface ClientReply {
  status: number;
  /** By their names in lower case. */
  headers: Map<string, string>;
  body: Buffer;
}

/** null: no response; the request may or may not have been executed, now or later. */
export type ClientDone = (reply: ClientReply | null) => void;

/** A request that waits for a connection. */
export interface QueuedCall {
  call: ClientCall;
  done: ClientDone;
  /** On the steady clock. */
  deadlineMs: number;
}

/** What a connection needs of its client. */
export interface ClientConnectionOptions {
  address: Address;
  /** The value of the Host header. */
  hostHeader: string;
  /** The largest body of a response in bytes. */
  maxBody: number;
  /** The connection can take the next request. */
  onIdle: () => void;
  /** The connection takes no further request. */
  onClosed: () => void;
}

/** A connection that carries one request at a time. */
export class ClientConnection {
  private readonly socket: Socket;
  private readonly parser: HttpParser;
  private current: { done: ClientDone; timer: NodeJS.Timeout } | null = null;
  private closed = false;

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
    this.current = { done, timer };
    const body = call.body ?? '';
    const bodyHeaders =
      call.body === null
        ? ''
        : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
    const head = `${call.method} ${call.path} HTTP/1.1\r\nHost: ${this.options.hostHeader}\r\n${bodyHeaders}\r\n`;
    this.socket.write(`${head}${body}`);
  }

  /**
   * Closes the connection; an open request has no response. A request that timed out ends its connection, too: a late
   * response must not be taken for another's.
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
    if (this.current === null) return;
    const { done, timer } = this.current;
    this.current = null;
    clearTimeout(timer);
    done(reply);
    if (!this.closed) this.options.onIdle();
  }

  private disconnect(): void {
    if (this.closed) return;
    this.closed = true;
    this.options.onClosed();
    this.socket.destroy();
  }
}
