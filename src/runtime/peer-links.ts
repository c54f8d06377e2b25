// Connections between this controller and the others. Each node connects to every other one, sends on the
// connections that it has opened and receives on those that the others have opened to it.
import { createServer, type Socket } from 'node:net';
import type { PeerMessage, Settings } from '../core/base/model.ts';
import { splitAddress } from '../http/address.ts';
import type { WorkQueue } from '../http/work-queue.ts';
import type { NodeId } from '../types/index.ts';
import { IncomingPeerLink, NewestLinks } from './incoming-peer-link.ts';
import { OutgoingPeerLink, type PeerLinksListener } from './outgoing-peer-link.ts';

export { NewestLinks } from './incoming-peer-link.ts';
export type { PeerLinksListener } from './outgoing-peer-link.ts';

/** Dependencies of the connections to other controllers. */
export interface PeerLinksDependencies {
  settings: Settings;
  listener: PeerLinksListener;
  /** The queue in which forwarded heartbeats wait for processor time. */
  queue: WorkQueue;
  /** Called when this node cannot listen on its address for other controllers. */
  onError: (error: Error) => void;
}

/** The connections of one controller to and from all others. */
export class PeerLinks {
  private readonly outgoing = new Map<NodeId, OutgoingPeerLink>();

  constructor({ settings, listener, queue, onError }: PeerLinksDependencies) {
    const peers = new Set(settings.peers.map((peer) => peer.node));
    const newest = new NewestLinks<Socket>();
    createServer({ noDelay: true }, (socket) => {
      new IncomingPeerLink({ socket, peers, listener, queue, newest });
    })
      .on('error', onError)
      .listen(splitAddress(settings.peerListen));
    for (const { node, addr } of settings.peers) {
      this.outgoing.set(node, new OutgoingPeerLink(node, splitAddress(addr), listener));
    }
  }

  /** Sends a message; drops it while there is no connection to the node. */
  send(node: NodeId, message: PeerMessage): void {
    this.outgoing.get(node)?.send(message);
  }
}
