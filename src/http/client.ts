// HTTP client with keep-alive: a bounded number of connections to one address, one request at a time on each.
import { type Address, splitAddress } from './address.ts';
import { type ClientCall, ClientConnection, type ClientDone, type QueuedCall } from './client-connection.ts';

export type { ClientCall, ClientDone, ClientReply } from './client-connection.ts';

/** Sends requests to one address; while no connection is free, requests wait in a queue. */
export class HttpClient {
  private readonly connections = new Set<ClientConnection>();
  private readonly idle: ClientConnection[] = [];
  private readonly queue: QueuedCall[] = [];
  private readonly address: Address;

  /** `addr`: such as `10.0.0.1:8080`. `maxBody`: maximum size of a response body in bytes. */
  constructor(
    private readonly addr: string,
    private readonly maxConnections: number,
    private readonly maxBody: number,
  ) {
    this.address = splitAddress(addr);
  }

  /** Sends or queues a request; `done` is called exactly once, with or without a response. */
  call(call: ClientCall, done: ClientDone): void {
    this.queue.push({ call, done, deadlineMs: performance.now() + call.timeoutMs });
    this.sendQueued();
  }

  /** Closes all connections; outstanding requests complete without a response. */
  close(): void {
    for (const connection of [...this.connections]) connection.close();
  }

  private sendQueued(): void {
    const nowMs = performance.now();
    while (this.queue.length > 0) {
      if (this.queue[0]!.deadlineMs <= nowMs) {
        this.queue.shift()!.done(null);
        continue;
      }
      const connection = this.idle.pop() ?? this.connect();
      if (connection === null) return;
      connection.send(this.queue.shift()!, nowMs);
    }
  }

  /** Opens a connection; returns null if the maximum number of connections is open. */
  private connect(): ClientConnection | null {
    if (this.connections.size >= this.maxConnections) return null;
    const connection = new ClientConnection({
      address: this.address,
      hostHeader: this.addr,
      maxBody: this.maxBody,
      onIdle: () => {
        this.idle.push(connection);
        this.sendQueued();
      },
      onClosed: () => this.removeConnection(connection),
    });
    this.connections.add(connection);
    return connection;
  }

  private removeConnection(connection: ClientConnection): void {
    this.connections.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    queueMicrotask(() => this.sendQueued());
  }
}
