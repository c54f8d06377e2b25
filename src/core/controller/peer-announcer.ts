// What this controller tells the others unasked: its hello on a new connection or term, and its load.
import type { NodeId, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerMessage } from '../base/model.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';

/** The message that tells the other controllers of this one's load. */
export type LoadMessage = Extract<PeerMessage, { kind: 'load' }>;

const NO_TERM = 0 as Revision;

/** Sends hellos and load messages to the other controllers. */
export class PeerAnnouncer {
  constructor(
    private readonly io: ControllerIo,
    private readonly self: NodeId,
    private readonly peers: PeerRegistry,
  ) {}

  /** Tells one controller what this version supports, and the term that it leads under, if it does. */
  sendHello(node: NodeId, term: Revision | null): void {
    this.io.emit({
      kind: 'peer',
      node,
      message: {
        kind: 'hello',
        node: this.self,
        leaderTerm: term ?? NO_TERM,
        supportsDependencies: true,
        supportsForwarding: true,
        supportsConfigDocuments: true,
      },
    });
  }

  /** Tells all connected controllers that this one has begun or ended a term. */
  announceTerm(term: Revision | null): void {
    for (const node of this.peers.connectedPeers) this.sendHello(node, term);
  }

  /**
   * Tells its load to all controllers that take forwarded heartbeats; older versions don't know the message.
   */
  broadcastLoad(load: Omit<LoadMessage, 'kind' | 'leaderTerm'>, term: Revision | null): void {
    for (const node of this.peers.forwardingPeers)
      this.io.emit({ kind: 'peer', node, message: { kind: 'load', ...load, leaderTerm: term ?? NO_TERM } });
  }
}
