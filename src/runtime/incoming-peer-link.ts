// A connection that another controller has opened to this node.
import type { Socket } from 'node:net';
import type { WorkQueue } from '../http/work-queue.ts';
import { decodePeerMessage, FrameReader, isForwardedHeartbeat } from '../protocol/peer.ts';
import type { NodeId } from '../types/index.ts';
import type { PeerLinksListener } from './outgoing-peer-link.ts';

/** Time after which the node that forwarded a heartbeat has stopped waiting for the response. */
const HEARTBEAT_TIMEOUT_MS = 3400;

/**
 * Tracks the newest connection of each node. A controller may restart within a fraction of a second, while
 * messages of the previous process are still in transit. Once the new process has sent its first message, the
 * connection of the previous one is closed, so that none of its messages is processed any more.
 */
export class NewestLinks<L> {
  private lastNumber = 0;
  private readonly byNode = new Map<NodeId, { link: L; number: number }>();

  /** The number of a new connection; connections are numbered in the order in which they were accepted. */
  nextNumber(): number {
    return ++this.lastNumber;
  }

  /**
   * Registers a connection as one of the node, which its hello message has named. Returns the older of the
   * node's two connections, which may be this one, for the caller to close; null if there is only one.
   */
  onHello(node: NodeId, link: L, number: number): L | null {
    const newest = this.byNode.get(node);
    if (newest !== undefined && newest.number > number) return link;
    this.byNode.set(node, { link, number });
    return newest === undefined || newest.link === link ? null : newest.link;
  }
}

/** Dependencies of an incoming connection. */
export interface IncomingPeerLinkDependencies {
  socket: Socket;
  /** The other controllers of the settings file. */
  peers: ReadonlySet<NodeId>;
  listener: PeerLinksListener;
  queue: WorkQueue;
  newest: NewestLinks<Socket>;
}

/** Reads the messages of one connection; the first one, a hello, names the node that opened it. */
export class IncomingPeerLink {
  private readonly frames = new FrameReader();
  private readonly number: number;
  private node: NodeId | null = null;

  constructor(private readonly dependencies: IncomingPeerLinkDependencies) {
    const { socket, newest } = dependencies;
    this.number = newest.nextNumber();
    socket.on('error', () => socket.destroy());
    socket.on('data', (data) => this.closeOnError(() => this.receive(data)));
  }

  /** Closes the connection if received bytes cannot be decoded. */
  private closeOnError(work: () => void): void {
    try {
      work();
    } catch {
      this.dependencies.socket.destroy();
    }
  }

  private receive(data: Buffer): void {
    for (const frame of this.frames.readFrames(data)) {
      if (isForwardedHeartbeat(frame)) this.enqueue(frame);
      else this.handleFrame(frame);
    }
  }

  /** Forwarded heartbeats are queued with direct ones: after a failover, a whole fleet sends at once. */
  private enqueue(frame: Buffer): void {
    this.dependencies.queue.add({
      since: performance.now(),
      urgency: 0,
      uselessAfterMs: HEARTBEAT_TIMEOUT_MS,
      run: () => this.closeOnError(() => this.handleFrame(frame)),
      drop: () => {},
    });
  }

  private handleFrame(frame: Buffer): void {
    const { socket, peers, listener, newest } = this.dependencies;
    const message = decodePeerMessage(frame);
    if (message === null || socket.destroyed) return;
    if (message.kind === 'hello' && peers.has(message.node)) {
      this.node = message.node;
      newest.onHello(this.node, socket, this.number)?.destroy();
      if (socket.destroyed) return;
    }
    if (this.node === null) socket.destroy();
    else listener.message(this.node, message);
  }
}
