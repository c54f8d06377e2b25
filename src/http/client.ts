// An HTTP client with keep-alive: a few connections to one address, one request at a time on each.
import { type Address, splitAddress } from './address.ts';
import { type ClientCall, ClientConnection, type ClientDone, type QueuedCall } from './client-connection.ts';

export type { ClientCall, ClientDone, ClientReply } from './client-connection.ts';

/** Sends requests to one address; those that find no free connection wait in a queue. */
export class HttpClient {
  private readonly connections = new Set<ClientConnection>();
  private readonly idle: ClientConnection[] = [];
  private readonly queue: QueuedCall[] = [];
  private readonly address: Address;

  /** `addr`: such as `10.0.0.1:8080`. `maxBody`: the largest body of a response in bytes. */
  constructor(
    private readonly addr: string,
    private readonly maxConnections: number,
    private readonly maxBody: number,
  ) {
    this.address = splitAddress(addr);
  }

  /** Sends a request, or queues it; `done` is called once, in any case. */
  call(call: ClientCall, done: ClientDone): void {
    this.queue.push({ call, done, deadlineMs: performance.now() + call.timeoutMs });
    this.sendQueued();
  }

  /** Closes all connections; requests that are open have no response. */
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

  /** A new connection, or null if there are as many as there may be. */
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
      onClosed: () => this.forget(connection),
    });
    this.connections.add(connection);
    return connection;
  }

  private forget(connection: ClientConnection): void {
    this.connections.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    queueMicrotask(() => this.sendQueued());
  }
}
