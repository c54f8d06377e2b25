// Delivery of machine heartbeats to nodes in a simulated world, including duplicates that arrive late or when
// a new leader starts.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { Heartbeat, HeartbeatResponse } from '../../src/core/base/model.ts';
import type { SimulatedControllers } from './simulated-controllers.ts';
import type { SimulatedNetwork } from './simulated-network.ts';
import type { Transport } from './transport.ts';

/** The parts of a simulated world that deliver heartbeats, and the faults that affect them. */
export interface HeartbeatEnvironment extends SimulationClock {
  readonly network: SimulatedNetwork;
  readonly controllers: SimulatedControllers;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  /** Machines whose heartbeats reach no controller, while direct commands still reach them. */
  readonly silencedMachines: ReadonlySet<string>;
  /** Selects heartbeats that are delivered again, to every controller, after the next leader change. */
  readonly shouldKeepHeartbeat: (() => boolean) | null;
  /** Delay in milliseconds after which a heartbeat is delivered a second time; null for no duplicate. */
  readonly heartbeatCopyDelayMs: (() => number | null) | null;
  readonly transport: Transport;
}

/** Whether the machine has already sent a newer heartbeat than this one. */
const isOutdated = (worker: FakeWorker, heartbeat: Heartbeat): boolean =>
  worker.agentEpoch > heartbeat.agentEpoch || worker.seq > heartbeat.seq;

/** Delivers heartbeats from machines to nodes. */
export class SimulatedHeartbeats {
  /** Duplicates that were delivered after the machine had sent a newer heartbeat. */
  outdatedCopyCount = 0;
  /** Kept heartbeats that were delivered after the machine had sent a newer one. */
  outdatedKeptCount = 0;
  private keptHeartbeats: Heartbeat[] = [];

  constructor(private readonly environment: HeartbeatEnvironment) {}

  /** Sends a heartbeat and its duplicates; `onReply` receives null if no response arrives in time. */
  send(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onReply: (response: HeartbeatResponse | null) => void,
  ): void {
    const { environment } = this;
    if (environment.silencedMachines.has(worker.id)) return environment.after(timeoutMs, () => onReply(null));
    if (environment.shouldKeepHeartbeat?.() === true) this.keptHeartbeats.push(structuredClone(heartbeat));
    const copyMs = environment.heartbeatCopyDelayMs?.() ?? null;
    if (copyMs !== null) environment.after(copyMs, () => this.deliverCopy(worker, node, heartbeat));
    environment.network.call<HeartbeatResponse>(
      worker.id,
      node,
      timeoutMs,
      (respond) => {
        // The node does not run: the connection is refused.
        if (!environment.controllers.nodes.has(node)) return respond(null as never);
        this.request(node, heartbeat, respond);
      },
      onReply,
    );
  }

  /** Delivers a duplicate of a heartbeat to a node and discards the response. */
  deliver(node: string, heartbeat: Heartbeat): void {
    if (this.environment.controllers.nodes.has(node)) this.request(node, heartbeat, () => {});
  }

  /** Delivers all kept heartbeats to every node. */
  deliverKept(): void {
    for (const heartbeat of this.keptHeartbeats.splice(0)) {
      const worker = this.environment.workers.get(heartbeat.machine);
      if (worker === undefined || isOutdated(worker, heartbeat)) this.outdatedKeptCount++;
      for (const node of [...this.environment.controllers.nodes.keys()]) this.deliver(node, heartbeat);
    }
  }

  private deliverCopy(worker: FakeWorker, node: string, heartbeat: Heartbeat): void {
    if (isOutdated(worker, heartbeat)) this.outdatedCopyCount++;
    this.deliver(node, heartbeat);
  }

  private request(
    node: string,
    heartbeat: Heartbeat,
    onResponse: (response: HeartbeatResponse) => void,
  ): void {
    const { controllers, transport } = this.environment;
    const received = transport.heartbeat(heartbeat);
    controllers.request(
      node,
      (requestId) => ({ kind: 'heartbeat', requestId, heartbeat: received }),
      (response: HeartbeatResponse) => onResponse(transport.heartbeatResponse(response)),
    );
  }
}
