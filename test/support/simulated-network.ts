// The network of a simulated world: it delays, holds back and drops messages between named ends.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';

/** What becomes of messages across a cut: lost, or delivered once it is healed. */
export type CutMode = 'drop' | 'hold';

/** How long a message takes from one end to the other. */
const LATENCY_MS = 2;
/** How long a message that was held back takes once the cut is healed. */
const RELEASE_MS = 1;

interface HeldMessage {
  from: string;
  to: string;
  deliver: () => void;
}

const linkKey = (a: string, b: string): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

/**
 * Delivers messages between nodes, machines, users, the cloud (`cloud`) and the key-value store (`state`).
 */
export class SimulatedNetwork {
  /** Ends to which everything is lost, while what they send arrives. */
  readonly unreachable = new Set<string>();
  /** Further milliseconds that everything to an end takes. */
  readonly extraLatencyMs = new Map<string, number>();
  private readonly cuts = new Map<string, CutMode>();
  private readonly heldBack: HeldMessage[] = [];

  constructor(private readonly clock: SimulationClock) {}

  /** Cuts the link between two ends. */
  cut(a: string, b: string, mode: CutMode): void {
    this.cuts.set(linkKey(a, b), mode);
  }

  /** Mends the link between two ends and delivers what was held back. */
  heal(a: string, b: string): void {
    this.cuts.delete(linkKey(a, b));
    for (const message of this.heldBack.splice(0))
      if (this.isCut(message.from, message.to)) this.heldBack.push(message);
      else this.clock.after(RELEASE_MS, message.deliver);
  }

  /** Whether the link between two ends is cut, in either mode. */
  isCut(a: string, b: string): boolean {
    return this.cuts.has(linkKey(a, b));
  }

  /** Delivers, holds back or drops a message. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.unreachable.has(to)) return;
    const mode = this.cuts.get(linkKey(from, to));
    if (mode === 'hold') this.heldBack.push({ from, to, deliver });
    else if (mode === undefined) this.clock.after(LATENCY_MS + (this.extraLatencyMs.get(to) ?? 0), deliver);
  }

  /** Sends a request with a time limit; `onReply` gets null when no response came in time. */
  call<T>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: (respond: (reply: T) => void) => void,
    onReply: (reply: T | null) => void,
  ): void {
    let open = true;
    const finish = (reply: T | null): void => {
      if (open) onReply(reply);
      open = false;
    };
    this.clock.after(timeoutMs, () => finish(null));
    this.send(from, to, () => serve((reply) => this.send(to, from, () => finish(reply))));
  }
}
