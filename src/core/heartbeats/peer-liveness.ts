// Tracks when each peer last sent a message to this node, and when the link to it was last lost.
import { elapsedMs, type Instant, LONG_AGO, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

/** Peers send a message every second; one that has sent a message within this time is alive. */
const ALIVE_WINDOW_MS = 2500;
/** A peer that has sent nothing for this long is silent: its link may be broken although it is not closed. */
const SILENT_AFTER_MS = 3000;
/** A peer whose link was lost within this time has probably stopped: agents could not connect to it. */
const RECENT_DISCONNECT_WINDOW_MS = 5000;

/** Decides from the messages received from peers which of them are alive. */
export class PeerLiveness {
  private readonly lastActivityAt = new Map<NodeId, Instant>();
  private readonly lastDisconnectedAt = new Map<NodeId, Instant>();

  constructor(private readonly io: ControllerIo) {}

  /** Records that the peer has sent a message. */
  recordActivity(node: NodeId): void {
    this.lastActivityAt.set(node, this.io.now);
  }

  /** Records that the link to the peer was lost. */
  recordDisconnect(node: NodeId): void {
    this.lastDisconnectedAt.set(node, this.io.now);
  }

  /** Milliseconds since the last message of the peer; infinite if there was none. */
  silenceMs(node: NodeId): number {
    return elapsedMs(this.io.now, this.lastActivityAt.get(node) ?? LONG_AGO);
  }

  /** Whether the peer has sent nothing for some seconds. */
  isSilent(node: NodeId): boolean {
    return this.silenceMs(node) >= SILENT_AFTER_MS;
  }

  /** Whether the peer has sent a message within the last seconds. */
  isAlive(node: NodeId): boolean {
    return this.silenceMs(node) < ALIVE_WINDOW_MS;
  }

  /** Whether the link to the peer was lost within the last seconds. */
  wasDisconnectedRecently(node: NodeId): boolean {
    const at = this.lastDisconnectedAt.get(node);
    return at !== undefined && elapsedMs(this.io.now, at) < RECENT_DISCONNECT_WINDOW_MS;
  }

  /** A peer other than `excluded` that is alive and did not lose its link recently; null if there is none. */
  findAlivePeer(excluded: NodeId | null): NodeId | null {
    for (const node of this.lastActivityAt.keys())
      if (node !== excluded && this.isAlive(node) && !this.wasDisconnectedRecently(node)) return node;
    return null;
  }
}
