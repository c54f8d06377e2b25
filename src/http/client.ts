// Keep-alive HTTP client: a few connections to one address, one request at a time on each.
import { connect, type Socket } from 'node:net';
import { HttpParser } from './parser.ts';

export interface ClientCall {
  method: string;
  path: string;
  body: string | null;
  timeoutMs: number;
}
export interface ClientReply {
  status: number;
  headers: Map<string, string>;
  body: Buffer;
}
/** null: no answer; the request may or may not have been executed, now or later. */
export type ClientDone = (reply: ClientReply | null) => void;

interface Waiting {
  call: ClientCall;
  done: ClientDone;
  deadline: number;
}

class Line {
  private socket: Socket;
  private parser: HttpParser;
  private current: { done: ClientDone; timer: NodeJS.Timeout } | null = null;
  private dead = false;
  used = 0;

  constructor(
    host: string,
    port: number,
    private readonly maxBody: number,
    private readonly onIdle: (line: Line) => void,
    private readonly onDead: (line: Line) => void,
  ) {
    this.parser = new HttpParser('response', this.maxBody);
    this.socket = connect({ host, port, noDelay: true });
    this.socket.on('data', (d) => this.onData(d));
    this.socket.on('error', () => this.fail());
    this.socket.on('close', () => this.onEnd());
    this.socket.on('end', () => this.onEnd());
  }

  send(host: string, w: Waiting, now: number): void {
    this.used++;
    const { call } = w;
    const body = call.body ?? '';
    const length =
      call.body === null
        ? ''
        : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
    const timer = setTimeout(() => this.fail(), Math.max(1, w.deadline - now));
    this.current = { done: w.done, timer };
    this.socket.write(`${call.method} ${call.path} HTTP/1.1\r\nHost: ${host}\r\n${length}\r\n${body}`);
  }

  private onData(data: Buffer): void {
    try {
      for (const m of this.parser.feed(data)) {
        if (!m.keepAlive) this.kill();
        this.finish(m);
      }
    } catch {
      this.fail();
    }
  }

  private onEnd(): void {
    const last = this.parser.end();
    if (last !== null) this.finish(last);
    this.fail();
  }

  private finish(reply: ClientReply | null): void {
    const c = this.current;
    if (c === null) return;
    this.current = null;
    clearTimeout(c.timer);
    c.done(reply);
    if (!this.dead) this.onIdle(this);
  }

  private kill(): void {
    if (this.dead) return;
    this.dead = true;
    this.onDead(this);
    this.socket.destroy();
  }

  /** A request that timed out leaves its connection unusable: a late reply must not be taken for another's. */
  private fail(): void {
    this.kill();
    this.finish(null);
  }

  close(): void {
    this.fail();
  }
}

export class HttpClient {
  private readonly lines = new Set<Line>();
  private readonly idle: Line[] = [];
  private readonly queue: Waiting[] = [];
  private readonly host: string;
  private readonly port: number;

  constructor(
    private readonly addr: string,
    private readonly maxLines: number,
    private readonly maxBody: number,
  ) {
    const cut = addr.lastIndexOf(':');
    this.host = addr.slice(0, cut);
    this.port = Number(addr.slice(cut + 1));
  }

  call(call: ClientCall, done: ClientDone): void {
    this.queue.push({ call, done, deadline: performance.now() + call.timeoutMs });
    this.pump();
  }

  close(): void {
    for (const l of [...this.lines]) l.close();
  }

  private pump(): void {
    const now = performance.now();
    while (this.queue.length > 0) {
      if (this.queue[0]!.deadline <= now) {
        this.queue.shift()!.done(null);
        continue;
      }
      const line = this.idle.pop() ?? (this.lines.size < this.maxLines ? this.open() : null);
      if (line === null) return;
      line.send(this.addr, this.queue.shift()!, now);
    }
  }

  private open(): Line {
    const line = new Line(
      this.host,
      this.port,
      this.maxBody,
      (l) => {
        this.idle.push(l);
        this.pump();
      },
      (l) => {
        this.lines.delete(l);
        const i = this.idle.indexOf(l);
        if (i >= 0) this.idle.splice(i, 1);
        queueMicrotask(() => this.pump());
      },
    );
    this.lines.add(line);
    return line;
  }
}
