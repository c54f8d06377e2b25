// Simulated network: delays, holds back or drops messages between named endpoints.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';

/** Whether messages across a cut link are lost, or delivered when the link is healed. */
export type CutMode = 'drop' | 'hold';

/** Latency of a message between two endpoints. */
const LATENCY_MS = 2;
/** Latency of a held-back message after the link is healed. */
const RELEASE_LATENCY_MS = 1;

interface HeldMessage {
  from: string;
  to: string;
  deliver: () => void;
}

const linkKey = (a: string, b: string): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

/**
 * Delivers messages between nodes, machines, users, the cloud (endpoint `cloud`) and the key-value store
 * (endpoint `state`).
 */
export class SimulatedNetwork {
  /** Endpoints that receive no messages, while the messages that they send are delivered. */
  readonly unreachable = new Set<string>();
  /** Additional latency of all messages to an endpoint, in milliseconds. */
  readonly extraLatencyMs = new Map<string, number>();
  private readonly cuts = new Map<string, CutMode>();
  private readonly heldBack: HeldMessage[] = [];

  constructor(private readonly clock: SimulationClock) {}

  /** Cuts the link between two endpoints. */
  cut(endpointA: string, endpointB: string, mode: CutMode): void {
    this.cuts.set(linkKey(endpointA, endpointB), mode);
  }

  /** Restores the link between two endpoints and delivers the messages that were held back on it. */
  heal(endpointA: string, endpointB: string): void {
    this.cuts.delete(linkKey(endpointA, endpointB));
    for (const message of this.heldBack.splice(0))
      if (this.isCut(message.from, message.to)) this.heldBack.push(message);
      else this.clock.after(RELEASE_LATENCY_MS, message.deliver);
  }

  /** Whether the link between two endpoints is cut, in either mode. */
  isCut(endpointA: string, endpointB: string): boolean {
    return this.cuts.has(linkKey(endpointA, endpointB));
  }

  /** Delivers, holds back or drops a message. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.unreachable.has(to)) return;
    const mode = this.cuts.get(linkKey(from, to));
    if (mode === 'hold') this.heldBack.push({ from, to, deliver });
    else if (mode === undefined) this.clock.after(LATENCY_MS + (this.extraLatencyMs.get(to) ?? 0), deliver);
  }

  /** Sends a request with a timeout; `onReply` receives null if no response arrives in time. */
  call<T>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: (respond: (reply: T) => void) => void,
    onReply: (reply: T | null) => void,
  ): void {
    let isPending = true;
    const finish = (reply: T | null): void => {
      if (isPending) onReply(reply);
      isPending = false;
    };
    this.clock.after(timeoutMs, () => finish(null));
    this.send(from, to, () => serve((reply) => this.send(to, from, () => finish(reply))));
  }
}
