// Unsolicited messages to the other controllers: a hello on a new connection or term change, and load
// reports.
import { NO_REVISION, type NodeId, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerMessage } from '../base/model.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';

/** The message that reports this controller's load to the other controllers. */
export type LoadMessage = Extract<PeerMessage, { kind: 'load' }>;

/** Sends hellos and load messages to the other controllers. */
export class PeerAnnouncer {
  constructor(
    private readonly io: ControllerIo,
    private readonly self: NodeId,
    private readonly peers: PeerRegistry,
  ) {}

  /** Sends one controller the features that this version supports, and this controller's term if it leads. */
  sendHello(node: NodeId, term: Revision | null): void {
    this.io.emit({
      kind: 'peer',
      node,
      message: {
        kind: 'hello',
        node: this.self,
        leaderTerm: term ?? NO_REVISION,
        supportsDependencies: true,
        supportsForwarding: true,
        supportsConfigDocuments: true,
      },
    });
  }

  /** Notifies all connected controllers that this controller has begun or ended a term. */
  announceTerm(term: Revision | null): void {
    for (const node of this.peers.connectedPeers) this.sendHello(node, term);
  }

  /**
   * Sends the load to all controllers that accept forwarded heartbeats; older versions lack the load message.
   */
  broadcastLoad(load: Omit<LoadMessage, 'kind' | 'leaderTerm'>, term: Revision | null): void {
    for (const node of this.peers.forwardingPeers)
      this.io.emit({
        kind: 'peer',
        node,
        message: { kind: 'load', ...load, leaderTerm: term ?? NO_REVISION },
      });
  }
}
