// The connection that this node opens to another controller, and reopens whenever it is lost.
import { connect, type Socket } from 'node:net';
import type { PeerMessage } from '../core/base/model.ts';
import type { Address } from '../http/address.ts';
import { encodePeerMessage } from '../protocol/peer.ts';
import type { NodeId } from '../types/index.ts';

const RECONNECT_DELAY_MS = 500;
const CONNECT_TIMEOUT_MS = 1500;
/** A connection with more unsent bytes is closed: in a network partition it would only buffer messages. */
const MAX_UNSENT_BYTES = 2 * 1024 * 1024;
/**
 * Forwarded heartbeats are sent in batches: a write or a read costs more processor time than the frame in it.
 */
const BATCH_DELAY_MS = 10;

/** Receives the events of the connections to and from other controllers. */
export interface PeerLinksListener {
  /** The connection to the node was established: messages can be sent to it. */
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
  /** Frames since the last write; the next flush sends them all in one write. */
  private pendingFrames: Buffer[] = [];
  private flushScheduled = false;

  constructor(
    private readonly node: NodeId,
    private readonly address: Address,
    private readonly listener: PeerLinksListener,
  ) {
    this.connect();
  }

  /** Sends a message; drops it while there is no connection. */
  send(message: PeerMessage): void {
    if (!this.connected || this.socket === null) return;
    const isFirst = this.pendingFrames.push(encodePeerMessage(message)) === 1;
    // Forwarded heartbeats and their responses are held back for a batch. Other messages, for which users may
    // be waiting, are sent in this turn of the event loop, together with the frames held back.
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
    const frames = this.pendingFrames;
    this.pendingFrames = [];
    this.flushScheduled = false;
    if (frames.length === 0) return;
    if (!this.connected || this.socket === null) return;
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.socket.destroy();
    else this.socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
  }
}

const isBatched = (message: PeerMessage): boolean =>
  message.kind === 'forwarded-heartbeat' || message.kind === 'forwarded-heartbeat-response';
