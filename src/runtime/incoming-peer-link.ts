// A connection that another controller has made to this node.
import type { Socket } from 'node:net';
import type { WorkQueue } from '../http/work-queue.ts';
import { decodePeerMessage, FrameReader, isForwardedHeartbeat } from '../protocol/peer.ts';
import type { NodeId } from '../types/index.ts';
import type { PeerLinksListener } from './outgoing-peer-link.ts';

/** Milliseconds after which the node that forwarded a heartbeat has given it up. */
const HEARTBEAT_TIMEOUT_MS = 3400;

/**
 * Knows the newest connection of each node. A node may be back within a fraction of a second, while messages of its
 * predecessor are still on their way: none of those is read after the new one has sent its first.
 */
export class NewestLinks<L> {
  private lastNumber = 0;
  private readonly byNode = new Map<NodeId, { link: L; number: number }>();

  /** Numbers connections in the order in which they were made. */
  nextNumber(): number {
    return ++this.lastNumber;
  }

  /**
   * The connection with this number turned out to be the node's. Returns the connection that is to be closed, which
   * may be this one, or null.
   */
  onHello(node: NodeId, link: L, number: number): L | null {
    const newest = this.byNode.get(node);
    if (newest !== undefined && newest.number > number) return link;
    this.byNode.set(node, { link, number });
    return newest === undefined || newest.link === link ? null : newest.link;
  }
}

/** What an incoming connection depends on. */
export interface IncomingPeerLinkDependencies {
  socket: Socket;
  /** The controllers that the settings name. */
  peers: ReadonlySet<NodeId>;
  listener: PeerLinksListener;
  queue: WorkQueue;
  newest: NewestLinks<Socket>;
}

/** Reads the messages of one connection; its first message says which node has made it. */
export class IncomingPeerLink {
  private readonly frames = new FrameReader();
  private readonly number: number;
  private node: NodeId | null = null;

  constructor(private readonly dependencies: IncomingPeerLinkDependencies) {
    const { socket, newest } = dependencies;
    this.number = newest.nextNumber();
    socket.on('error', () => socket.destroy());
    socket.on('data', (data) => this.guarded(() => this.receive(data)));
  }

  /** Closes the connection if what it brought cannot be read. */
  private guarded(work: () => void): void {
    try {
      work();
    } catch {
      this.dependencies.socket.destroy();
    }
  }

  private receive(data: Buffer): void {
    for (const frame of this.frames.frames(data)) {
      if (isForwardedHeartbeat(frame)) this.enqueue(frame);
      else this.read(frame);
    }
  }

  /** Forwarded heartbeats queue with direct ones: after a failover those of a whole fleet come at once. */
  private enqueue(frame: Buffer): void {
    this.dependencies.queue.add({
      since: performance.now(),
      urgency: 0,
      uselessAfterMs: HEARTBEAT_TIMEOUT_MS,
      run: () => this.guarded(() => this.read(frame)),
      drop: () => {},
    });
  }

  private read(frame: Buffer): void {
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
