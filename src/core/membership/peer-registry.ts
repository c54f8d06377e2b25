// Tracks the other controllers: which of them are connected, which features their versions support, and which
// configuration revision each last reported as applied.
import type { NodeId, Revision } from '../../types/index.ts';
import type { PeerMessage, Settings } from '../base/model.ts';

type Hello = Extract<PeerMessage, { kind: 'hello' }>;

/** The revision of the configuration that a node applies. */
export interface PeerConfigRevision {
  node: NodeId;
  /** Null if the node has not reported one, or if its version has no configuration documents. */
  revision: Revision | null;
  /** Whether the node that reports this is connected to `node`. */
  linked: boolean;
}

/** Connection state, features and applied configuration of the other controllers. */
export class PeerRegistry {
  /** Nodes to which this node is connected. */
  readonly connectedPeers = new Set<NodeId>();
  /** Nodes that accept forwarded heartbeats; versions before 0.3 do not. */
  readonly forwardingPeers = new Set<NodeId>();
  /**
   * Whether nodes support dependencies, by their last hello. Versions before 0.2 start a job with
   * dependencies at once.
   */
  private readonly dependencySupport = new Map<NodeId, boolean>();
  /**
   * Whether nodes support configuration documents, by their last hello; versions before 0.9 do not report it.
   */
  private readonly documentSupport = new Map<NodeId, boolean>();
  private readonly appliedRevisions = new Map<NodeId, Revision>();

  constructor(private readonly peers: Settings['peers']) {}

  /** The connection to a node has been established. */
  onConnected(node: NodeId): void {
    this.connectedPeers.add(node);
  }

  /** The connection to a node has been lost. */
  onDisconnected(node: NodeId): void {
    this.connectedPeers.delete(node);
    this.forwardingPeers.delete(node);
  }

  /** Returns whether the node is now known not to support dependencies and was not known to before. */
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
   * The node has sent its load and the configuration revision that it applies. It sends a hello only when its
   * own connection is established. If only this node's connection was lost, no hello follows; the load
   * message then shows that the node accepts forwarded heartbeats.
   */
  onLoad(node: NodeId, applied: Revision): void {
    this.forwardingPeers.add(node);
    this.appliedRevisions.set(node, applied);
  }

  /**
   * Connected nodes not known to support dependencies; a newly connected node sends its hello within a
   * second.
   */
  peersWithoutDependencies(): NodeId[] {
    return [...this.connectedPeers].filter((node) => this.dependencySupport.get(node) !== true);
  }

  /**
   * Whether the node supports configuration documents; null if no hello was received from it since this node
   * started.
   */
  supportsConfigDocuments(node: NodeId): boolean | null {
    return this.documentSupport.get(node) ?? null;
  }

  /** The configuration revision that each of the other nodes applies. */
  configRevisions(): PeerConfigRevision[] {
    return this.peers.map(({ node }) => ({
      node,
      revision:
        this.supportsConfigDocuments(node) === true ? (this.appliedRevisions.get(node) ?? null) : null,
      linked: this.connectedPeers.has(node),
    }));
  }
}
