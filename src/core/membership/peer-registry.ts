// The other controllers: which of them are connected, what their versions know, and what each said last of the configuration
// that it applies.
import type { NodeId, Revision } from '../../types/index.ts';
import type { PeerMessage, Settings } from '../base/model.ts';

type Hello = Extract<PeerMessage, { kind: 'hello' }>;

/** What a node said last of the configuration that it applies. */
export interface PeerConfigRevision {
  node: NodeId;
  /** Null: it has not said, or is of a version that knows no documents. */
  revision: Revision | null;
  linked: boolean;
}

export class PeerRegistry {
  /** Nodes that are connected. */
  readonly connectedPeers = new Set<NodeId>();
  /** Nodes that take reports passed on in short form; versions before 0.3 do not. */
  readonly forwardingPeers = new Set<NodeId>();
  /** Whether nodes know of jobs that await others, as they said last; versions before 0.2 start such a job at once. */
  private readonly knowChains = new Map<NodeId, boolean>();
  /** Whether nodes know configuration documents, as they said last; versions before 0.9 do not say. */
  private readonly knowDocuments = new Map<NodeId, boolean>();
  private readonly applied = new Map<NodeId, Revision>();

  constructor(private readonly peers: Settings['peers']) {}

  onConnected(node: NodeId): void {
    this.connectedPeers.add(node);
  }

  onDisconnected(node: NodeId): void {
    this.connectedPeers.delete(node);
    this.forwardingPeers.delete(node);
  }

  /** Returns whether the node is now known to be of a version without jobs that await others, and was not before. */
  onHello({ node, supportsDependencies, supportsForwarding, supportsConfigDocuments }: Hello): boolean {
    this.knowDocuments.set(node, supportsConfigDocuments);
    if (supportsForwarding) this.forwardingPeers.add(node);
    else this.forwardingPeers.delete(node);
    const before = this.knowChains.get(node);
    this.knowChains.set(node, supportsDependencies);
    return !supportsDependencies && before !== false;
  }

  /**
   * The node has told its load. It greets only when its own link comes up; after this node's link alone broke, this
   * tells as much.
   */
  onLoad(node: NodeId, applied: Revision): void {
    this.forwardingPeers.add(node);
    this.applied.set(node, applied);
  }

  /** Connected nodes not known to know jobs that await others; one that has just come up greets within a second. */
  peersWithoutDependencies(): NodeId[] {
    return [...this.connectedPeers].filter((node) => this.knowChains.get(node) !== true);
  }

  /** Null: it has not been heard of since this node began. */
  supportsConfigDocuments(node: NodeId): boolean | null {
    return this.knowDocuments.get(node) ?? null;
  }

  configRevisions(): PeerConfigRevision[] {
    return this.peers.map(({ node }) => ({
      node,
      revision: this.knowDocuments.get(node) === true ? (this.applied.get(node) ?? null) : null,
      linked: this.connectedPeers.has(node),
    }));
  }
}
