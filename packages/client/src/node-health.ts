// Which node is asked next. A node that refuses connections or does not answer is left for a while, longer each time, and
// then tried with a single request. Pure: the caller gives time and chance.

interface NodeHealth {
  addr: string;
  /** Failures since the last answer. */
  failures: number;
  /** Not to be asked before. */
  leftUntil: number;
  /** A request that finds out whether it is back is under way. */
  probing: boolean;
  open: number;
}

const LEAVE_MS = 500;
const LEAVE_MAX_MS = 20_000;

export class Health {
  private readonly nodes: NodeHealth[];

  /** `chance` gives numbers from 0 to below 1. */
  constructor(
    addrs: readonly string[],
    private readonly maxOpen: number,
    private readonly chance: () => number,
  ) {
    this.nodes = addrs.map((addr) => ({ addr, failures: 0, leftUntil: 0, probing: false, open: 0 }));
  }

  /**
   * The node for a request, which counts as open until `answered` or `failed`. Null: every node has as many as it may, or
   * is being left. A request that has just been sent back by a node goes to another one if there is one.
   */
  take(now: number, not: string | null = null): string | null {
    const free = this.nodes.filter(
      (n) => n.open < this.maxOpen && (n.failures === 0 || (now >= n.leftUntil && !n.probing)),
    );
    const others = free.filter((n) => n.addr !== not);
    const from = others.length > 0 ? others : free;
    // A node that may be back is tried first, so that it is not left longer than needed; by one request only.
    const back = from.find((n) => n.failures > 0);
    const least = Math.min(...from.map((n) => n.open));
    const idlest = from.filter((n) => n.open === least && n.failures === 0);
    const node = back ?? idlest[Math.floor(this.chance() * idlest.length)];
    if (node === undefined) return null;
    node.open++;
    node.probing = node.failures > 0;
    return node.addr;
  }

  answered(addr: string): void {
    const n = this.of(addr);
    n.open--;
    n.failures = 0;
    n.probing = false;
  }

  failed(addr: string, now: number): void {
    const n = this.of(addr);
    n.open--;
    // Requests that were open together fail together: that is one failure of the node, not many.
    if (n.failures > 0 && !n.probing) return;
    n.probing = false;
    n.failures++;
    const most = Math.min(LEAVE_MAX_MS, LEAVE_MS * 2 ** (n.failures - 1));
    n.leftUntil = now + most / 2 + (this.chance() * most) / 2;
  }

  /** When a node may be asked again if none may now; null if that depends on answers alone. */
  nextAt(now: number): number | null {
    const times = this.nodes.filter((n) => n.failures > 0 && !n.probing && n.open < this.maxOpen);
    return times.length === 0 ? null : Math.max(now, Math.min(...times.map((n) => n.leftUntil)));
  }

  private of(addr: string): NodeHealth {
    return this.nodes.find((n) => n.addr === addr)!;
  }
}
