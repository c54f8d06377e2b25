// The other controllers: which of them are connected, what their versions support, and which revision of the
// configuration each said last that it applies.
import type { NodeId, Revision } from '../../types/index.ts';
import type { PeerMessage, Settings } from '../base/model.ts';

type Hello = Extract<PeerMessage, { kind: 'hello' }>;

/** The revision of the configuration that a node applies. */
export interface PeerConfigRevision {
  node: NodeId;
  /** Null: it has not said, or is of a version without configuration documents. */
  revision: Revision | null;
  /** Whether this node has a connection to it. */
  linked: boolean;
}

/** What this node knows of the other controllers. */
export class PeerRegistry {
  /** Nodes that are connected. */
  readonly connectedPeers = new Set<NodeId>();
  /** Nodes that take forwarded heartbeats; versions before 0.3 do not. */
  readonly forwardingPeers = new Set<NodeId>();
  /** Whether nodes support dependencies, as they said last; versions before 0.2 start such a job at once. */
  private readonly dependencySupport = new Map<NodeId, boolean>();
  /** Whether nodes support configuration documents, as they said last; versions before 0.9 do not say. */
  private readonly documentSupport = new Map<NodeId, boolean>();
  private readonly appliedRevisions = new Map<NodeId, Revision>();

  constructor(private readonly peers: Settings['peers']) {}

  /** The connection to a node has come up. */
  onConnected(node: NodeId): void {
    this.connectedPeers.add(node);
  }

  /** The connection to a node has broken. */
  onDisconnected(node: NodeId): void {
    this.connectedPeers.delete(node);
    this.forwardingPeers.delete(node);
  }

  /** Returns whether the node is now known to be of a version without dependencies, and was not before. */
  onHello(hello: Hello): boolean {
    const { node, supportsDependencies } = hello;
    this.documentSupport.set(node, hello.supportsConfigDocuments);
    if (hello.supportsForwarding) this.forwardingPeers.add(node);
    else this.forwardingPeers.delete(node);
    const previous = this.dependencySupport.get(node);
    this.dependencySupport.set(node, supportsDependencies);
    return !supportsDependencies && previous !== false;
  }

  /**
   * The node has sent its load. It says hello only when its own connection comes up; after this node's
   * connection alone broke, its load says as much.
   */
  onLoad(node: NodeId, applied: Revision): void {
    this.forwardingPeers.add(node);
    this.appliedRevisions.set(node, applied);
  }

  /**
   * Connected nodes not known to support dependencies; one that has just come up says hello within a second.
   */
  peersWithoutDependencies(): NodeId[] {
    return [...this.connectedPeers].filter((node) => this.dependencySupport.get(node) !== true);
  }

  /** Null: nothing was received from it since this node started. */
  supportsConfigDocuments(node: NodeId): boolean | null {
    return this.documentSupport.get(node) ?? null;
  }

  /** What each of the other nodes applies. */
  configRevisions(): PeerConfigRevision[] {
    return this.peers.map(({ node }) => ({
      node,
      revision:
        this.supportsConfigDocuments(node) === true ? (this.appliedRevisions.get(node) ?? null) : null,
      linked: this.connectedPeers.has(node),
    }));
  }
}
