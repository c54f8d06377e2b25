// When each peer last sent something to this node, and when the link to it was last lost.
import { elapsedMs, type Instant, LONG_AGO, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

/** Peers send something every second; one that was active within this time is alive. */
const ALIVE_MS = 2500;
/** A peer that has sent nothing for this long is silent: its link may be cut without notice. */
const SILENT_MS = 3000;
/** A peer whose link was lost within this time has probably ended: agents would find nobody there. */
const DISCONNECTED_RECENTLY_MS = 5000;

/** Decides from the activity of peers which of them are alive. */
export class PeerLiveness {
  private readonly lastActivityAt = new Map<NodeId, Instant>();
  private readonly disconnectedAt = new Map<NodeId, Instant>();

  constructor(private readonly io: ControllerIo) {}

  /** The peer has sent a message. */
  recordActivity(node: NodeId): void {
    this.lastActivityAt.set(node, this.io.now);
  }

  /** The link to the peer is lost. */
  recordDisconnect(node: NodeId): void {
    this.disconnectedAt.set(node, this.io.now);
  }

  /** Milliseconds since the last message of the peer; infinite if there was none. */
  silentMs(node: NodeId): number {
    return elapsedMs(this.io.now, this.lastActivityAt.get(node) ?? LONG_AGO);
  }

  /** Whether the peer has sent nothing for some seconds. */
  isSilent(node: NodeId): boolean {
    return this.silentMs(node) >= SILENT_MS;
  }

  /** Whether the peer has sent something within the last seconds. */
  isAlive(node: NodeId): boolean {
    return this.silentMs(node) < ALIVE_MS;
  }

  /** Whether the link to the peer was lost a moment ago. */
  disconnectedRecently(node: NodeId): boolean {
    const at = this.disconnectedAt.get(node);
    return at !== undefined && elapsedMs(this.io.now, at) < DISCONNECTED_RECENTLY_MS;
  }

  /** A peer other than `excluded` that is certainly alive and linked; null if there is none. */
  findAlivePeer(excluded: NodeId | null): NodeId | null {
    for (const node of this.lastActivityAt.keys())
      if (node !== excluded && this.isAlive(node) && !this.disconnectedRecently(node)) return node;
    return null;
  }
}
