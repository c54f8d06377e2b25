// Which node is asked next. A node that refuses connections or does not answer is avoided for a while, longer
// each time, and then probed with a single request (a circuit breaker). Time and randomness come from the
// caller.

interface NodeState {
  readonly addr: string;
  /** Consecutive failures. */
  failures: number;
  /** Not to be asked before, in milliseconds. */
  avoidUntil: number;
  /** A request that finds out whether it is back is under way. */
  probing: boolean;
  /** Requests under way. */
  open: number;
}

const FIRST_AVOID_MS = 500;
const MAX_AVOID_MS = 20_000;

/** The nodes of a service, with their open requests and failures. Times are in milliseconds. */
export class NodeHealth {
  private readonly nodes: NodeState[];

  /** `maxOpen`: requests under way at one node at most; `random`: numbers from 0 to below 1. */
  constructor(
    addrs: readonly string[],
    private readonly maxOpen: number,
    private readonly random: () => number,
  ) {
    this.nodes = addrs.map((addr) => ({ addr, failures: 0, avoidUntil: 0, probing: false, open: 0 }));
  }

  /**
   * The node for a request, which counts as open until `recordAnswer` or `recordFailure`. Null: every node
   * has as many as it may, or is avoided. `avoid`: the node that has just failed this request, which goes to
   * another one if there is one.
   */
  acquire(now: number, avoid: string | null = null): string | null {
    const available = this.nodes.filter((node) => this.isAvailable(node, now));
    const others = available.filter((node) => node.addr !== avoid);
    const candidates = others.length > 0 ? others : available;
    const node = this.choose(candidates);
    if (node === undefined) return null;
    node.open++;
    node.probing = node.failures > 0;
    return node.addr;
  }

  private isAvailable(node: NodeState, now: number): boolean {
    if (node.open >= this.maxOpen) return false;
    return node.failures === 0 || (now >= node.avoidUntil && !node.probing);
  }

  private choose(candidates: NodeState[]): NodeState | undefined {
    const fewest = Math.min(...candidates.map((node) => node.open));
    const idlest = candidates.filter((node) => node.open === fewest && node.failures === 0);
    // A node that may be back is tried first, so that it is not avoided longer than needed; by one request
    // only.
    const recovering = candidates.find((node) => node.failures > 0);
    return recovering ?? idlest[Math.floor(this.random() * idlest.length)];
  }

  /** A node answered, whatever it said. */
  recordAnswer(addr: string): void {
    const node = this.node(addr);
    node.open--;
    node.failures = 0;
    node.probing = false;
  }

  /** A node did not answer. */
  recordFailure(addr: string, now: number): void {
    const node = this.node(addr);
    node.open--;
    // Requests that were open together fail together: that is one failure of the node, not many.
    if (node.failures > 0 && !node.probing) return;
    node.probing = false;
    node.failures++;
    const maxMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** (node.failures - 1));
    node.avoidUntil = now + maxMs / 2 + (this.random() * maxMs) / 2;
  }

  /** When a node may be asked again if none may now; null if that depends on answers alone. */
  nextAvailableAt(now: number): number | null {
    const avoided = this.nodes.filter(
      (node) => node.failures > 0 && !node.probing && node.open < this.maxOpen,
    );
    if (avoided.length === 0) return null;
    return Math.max(now, Math.min(...avoided.map((node) => node.avoidUntil)));
  }

  private node(addr: string): NodeState {
    return this.nodes.find((node) => node.addr === addr)!;
  }
}
