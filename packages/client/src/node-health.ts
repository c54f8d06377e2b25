// Chooses the node for each request. A node that refuses connections or does not respond is avoided for a
// period that grows with each consecutive failure, and then probed with a single request (circuit breaker).
// Time and randomness come from the caller.

/** Requests and failures of one node. Times are in milliseconds. */
interface NodeState {
  readonly addr: string;
  /** Number of failures since the last response. */
  consecutiveFailures: number;
  /** After a failure, no request is sent to the node before this time. */
  avoidUntilMs: number;
  /** Whether a request that probes the node after a failure is in flight. */
  isProbing: boolean;
  /** Number of requests in flight. */
  openRequests: number;
}

const FIRST_AVOID_MS = 500;
const MAX_AVOID_MS = 20_000;

/** The nodes of a service, with their open requests and failures. Times are in milliseconds. */
export class NodeHealth {
  private readonly nodes: NodeState[];

  /**
   * `maxOpenRequests`: maximum number of requests in flight at one node; `random`: returns numbers from 0 to
   * below 1.
   */
  constructor(
    addrs: readonly string[],
    private readonly maxOpenRequests: number,
    private readonly random: () => number,
  ) {
    this.nodes = addrs.map((addr) => ({
      addr,
      consecutiveFailures: 0,
      avoidUntilMs: 0,
      isProbing: false,
      openRequests: 0,
    }));
  }

  /**
   * Chooses the node for a request, which counts as open until `recordResponse` or `recordFailure` is called.
   * Returns null if every node is avoided or has the maximum number of open requests. `failedNode`: the node
   * at which the previous attempt of the request failed; another one is preferred.
   */
  acquire(now: number, failedNode: string | null = null): string | null {
    const available = this.nodes.filter((node) => this.isAvailable(node, now));
    const otherNodes = available.filter((node) => node.addr !== failedNode);
    const candidates = otherNodes.length > 0 ? otherNodes : available;
    const node = this.choose(candidates);
    if (node === undefined) return null;
    node.openRequests++;
    node.isProbing = node.consecutiveFailures > 0;
    return node.addr;
  }

  private isAvailable(node: NodeState, now: number): boolean {
    if (node.openRequests >= this.maxOpenRequests) return false;
    return node.consecutiveFailures === 0 || (now >= node.avoidUntilMs && !node.isProbing);
  }

  private choose(candidates: NodeState[]): NodeState | undefined {
    const minOpenRequests = Math.min(...candidates.map((node) => node.openRequests));
    const leastLoaded = candidates.filter(
      (node) => node.openRequests === minOpenRequests && node.consecutiveFailures === 0,
    );
    // A node that is due for a probe comes first, so that it is not avoided longer than needed. Only one
    // request probes it.
    const probeCandidate = candidates.find((node) => node.consecutiveFailures > 0);
    return probeCandidate ?? leastLoaded[Math.floor(this.random() * leastLoaded.length)];
  }

  /** Records that a node responded, with whatever status. */
  recordResponse(addr: string): void {
    const node = this.stateOf(addr);
    node.openRequests--;
    node.consecutiveFailures = 0;
    node.isProbing = false;
  }

  /** Records that a node did not respond. */
  recordFailure(addr: string, now: number): void {
    const node = this.stateOf(addr);
    node.openRequests--;
    // When a node fails, all its open requests fail: they count as one failure.
    if (node.consecutiveFailures > 0 && !node.isProbing) return;
    node.isProbing = false;
    node.consecutiveFailures++;
    const maxAvoidMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** (node.consecutiveFailures - 1));
    node.avoidUntilMs = now + maxAvoidMs / 2 + (this.random() * maxAvoidMs) / 2;
  }

  /**
   * The earliest time at which an avoided node may be probed; null if no node is waiting for a probe, so that
   * only a response or failure makes a node available.
   */
  nextAvailableAt(now: number): number | null {
    const avoided = this.nodes.filter(
      (node) => node.consecutiveFailures > 0 && !node.isProbing && node.openRequests < this.maxOpenRequests,
    );
    if (avoided.length === 0) return null;
    return Math.max(now, Math.min(...avoided.map((node) => node.avoidUntilMs)));
  }

  private stateOf(addr: string): NodeState {
    return this.nodes.find((node) => node.addr === addr)!;
  }
}
