// Heartbeats of a simulated world on their way to nodes, with copies that arrive late or once another leader
// begins.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { Heartbeat, HeartbeatResponse } from '../../src/core/base/model.ts';
import type { SimulatedControllers } from './simulated-controllers.ts';
import type { SimulatedNetwork } from './simulated-network.ts';

/** What a simulated world offers its machines' heartbeats, and the faults that it has them meet. */
export interface HeartbeatEnvironment extends SimulationClock {
  readonly network: SimulatedNetwork;
  readonly controllers: SimulatedControllers;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  /** Machines that reach no controller, while direct commands reach them. */
  readonly mute: ReadonlySet<string>;
  /** Which heartbeats are kept, to arrive once more at every controller as soon as another one leads. */
  readonly keepReport: (() => boolean) | null;
  /** Of which heartbeats a copy arrives once more: milliseconds later, or null for none. */
  readonly copyMs: (() => number | null) | null;
}

/** Whether the machine has sent a newer heartbeat than this. */
const isOutdated = (worker: FakeWorker, heartbeat: Heartbeat): boolean =>
  worker.session > heartbeat.agentEpoch || worker.seq > heartbeat.seq;

/** Carries heartbeats from machines to nodes. */
export class SimulatedHeartbeats {
  /** Copies that arrived after a newer heartbeat of the machine. */
  outdatedCopies = 0;
  /** Kept heartbeats that were older than the machine's last, as they arrived. */
  outdatedKept = 0;
  private kept: Heartbeat[] = [];

  constructor(private readonly environment: HeartbeatEnvironment) {}

  /** Sends a heartbeat and its copies; `onReply` gets null if no response came in time. */
  send(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onReply: (response: HeartbeatResponse | null) => void,
  ): void {
    const { environment } = this;
    if (environment.mute.has(worker.id)) return environment.after(timeoutMs, () => onReply(null));
    if (environment.keepReport?.() === true) this.kept.push(structuredClone(heartbeat));
    const copyMs = environment.copyMs?.() ?? null;
    if (copyMs !== null) environment.after(copyMs, () => this.deliverCopy(worker, node, heartbeat));
    environment.network.call<HeartbeatResponse>(
      worker.id,
      node,
      timeoutMs,
      (respond) => {
        // Nobody listens there: the connection is refused.
        if (!environment.controllers.nodes.has(node)) return respond(null as never);
        this.request(node, heartbeat, respond);
      },
      onReply,
    );
  }

  /** Has a copy of a heartbeat reach a node; nobody waits for the response. */
  deliver(node: string, heartbeat: Heartbeat): void {
    if (this.environment.controllers.nodes.has(node)) this.request(node, heartbeat, () => {});
  }

  /** Has all heartbeats that were kept reach every node. */
  deliverKept(): void {
    for (const heartbeat of this.kept.splice(0)) {
      const worker = this.environment.workers.get(heartbeat.machine);
      if (worker === undefined || isOutdated(worker, heartbeat)) this.outdatedKept++;
      for (const node of [...this.environment.controllers.nodes.keys()]) this.deliver(node, heartbeat);
    }
  }

  private deliverCopy(worker: FakeWorker, node: string, heartbeat: Heartbeat): void {
    if (isOutdated(worker, heartbeat)) this.outdatedCopies++;
    this.deliver(node, heartbeat);
  }

  /** What is sent shares no memory with the sender, nor with what has been read of it. */
  private request(
    node: string,
    heartbeat: Heartbeat,
    onResponse: (response: HeartbeatResponse) => void,
  ): void {
    this.environment.controllers.request(
      node,
      (requestId) => ({ kind: 'heartbeat', requestId, heartbeat: structuredClone(heartbeat) }),
      onResponse,
    );
  }
}
