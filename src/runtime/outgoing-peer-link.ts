// The connection that this node makes to another controller; it is made again whenever it is lost.
import { connect, type Socket } from 'node:net';
import type { PeerMessage } from '../core/base/model.ts';
import type { Address } from '../http/address.ts';
import { encodePeerMessage } from '../protocol/peer.ts';
import type { NodeId } from '../types/index.ts';

const RECONNECT_DELAY_MS = 500;
const CONNECT_TIMEOUT_MS = 1500;
/** A connection with so much unsent is given up: behind a network partition it would swallow messages. */
const MAX_UNSENT_BYTES = 2 * 1024 * 1024;
/** Forwarded heartbeats are sent in batches: each write and each read costs more than the frame in it. */
const BATCH_DELAY_MS = 10;

/** What happens on the connections to other controllers. */
export interface PeerLinksListener {
  /** Messages can be sent to the node from now on. */
  up(node: NodeId): void;
  /** The connection to the node was lost. */
  down(node: NodeId): void;
  /** The node has sent a message. */
  message(node: NodeId, message: PeerMessage): void;
}

/** The connection to one other controller. */
export class OutgoingPeerLink {
  private socket: Socket | null = null;
  private connected = false;
  /** Frames since the last write: one write for all of them. */
  private pending: Buffer[] = [];
  private flushScheduled = false;

  constructor(
    private readonly node: NodeId,
    private readonly address: Address,
    private readonly listener: PeerLinksListener,
  ) {
    this.connect();
  }

  /** Sends a message, or drops it while there is no connection. */
  send(message: PeerMessage): void {
    if (!this.connected || this.socket === null) return;
    const isFirst = this.pending.push(encodePeerMessage(message)) === 1;
    // Forwarded heartbeats and their responses wait for a batch; what a user waits for takes them along at once.
    if (isBatched(message)) {
      if (isFirst) setTimeout(() => this.flush(), BATCH_DELAY_MS);
    } else if (!this.flushScheduled) {
      this.flushScheduled = true;
      setImmediate(() => this.flush());
    }
  }

  private connect(): void {
    const socket = connect({ ...this.address, noDelay: true });
    this.socket = socket;
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(timer);
      this.connected = true;
      this.listener.up(this.node);
    });
    socket.on('data', () => {});
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      if (this.connected) this.listener.down(this.node);
      this.connected = false;
      setTimeout(() => this.connect(), RECONNECT_DELAY_MS);
    });
  }

  private flush(): void {
    const frames = this.pending;
    this.pending = [];
    this.flushScheduled = false;
    if (frames.length === 0) return;
    if (!this.connected || this.socket === null) return;
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.socket.destroy();
    else this.socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
  }
}

const isBatched = (message: PeerMessage): boolean =>
  message.kind === 'forwarded-heartbeat' || message.kind === 'forwarded-heartbeat-response';
