// A host process of simulated workers: each implements the complete worker protocol over its own sockets, but
// runs no programs.
import {
  FakeWorker,
  type RunningTask,
  type WorkerEnvironment,
} from '../../../packages/local-cluster/src/fake-worker.ts';
import { errorResponse, type Listening, listen } from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';
import type { ExitReason, Heartbeat, HeartbeatResponse } from '../../../src/core/base/model.ts';
import { HttpClient } from '../../../src/http/client.ts';
import {
  decodeCommands,
  decodeHeartbeatResponse,
  encodeHeartbeat,
} from '../../../src/protocol/worker-agent.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import { parseJson } from '../../../src/types/exact-json.ts';
import type { MachineId, MachineTypeName, TaskId, ZoneName } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import { HostTasks } from './host-tasks.ts';
import {
  endWithParent,
  type FromHost,
  type HostCounts,
  type RentedMachine,
  sendToParent,
  type ToHost,
} from './messages.ts';

const RESPONSE_MAX_BYTES = 4 << 20;
/** Estimated size of the HTTP headers of a heartbeat and its response together. */
const HTTP_HEADERS_BYTES = 260;

/** A controller node that workers send heartbeats to. */
interface HostNode {
  name: string;
  addr: string;
}

/** The connection of a worker to the node that it sends heartbeats to. */
interface NodeConnection {
  node: string;
  client: HttpClient;
}

/** The simulated workers of this process. */
class WorkerHost implements WorkerEnvironment {
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly nodeNames: string[];
  private readonly addresses: Map<string, string>;
  private readonly workers = new Map<string, FakeWorker>();
  private readonly servers = new Map<string, Listening>();
  private readonly connections = new Map<string, NodeConnection>();
  /** When zones that are disconnected become reachable again, in milliseconds. */
  private readonly cutOffUntil = new Map<string, number>();
  private readonly random: ReturnType<typeof seededRandom>;
  private readonly tasks: HostTasks;
  private readonly counts: HostCounts = { workers: 0, heartbeats: 0, bytes: 0, lostByLease: 0 };

  constructor({ workers }: LocalClusterOptions, nodes: readonly HostNode[], seed: number) {
    this.reportMs = workers.report_s * 1000;
    this.leaseMs = workers.lease_s * 1000;
    this.nodeNames = nodes.map((node) => node.name);
    this.addresses = new Map(nodes.map((node) => [node.name, node.addr]));
    this.random = seededRandom(seed);
    this.tasks = new HostTasks(this, workers.gang_wait_s * 1000);
  }

  get now(): number {
    return performance.timeOrigin + performance.now();
  }

  after(ms: number, run: () => void): void {
    setTimeout(run, ms);
  }

  /** Handles a message of the parent process. */
  onMessage(message: Exclude<ToHost, { kind: 'begin' }>): void {
    switch (message.kind) {
      case 'machine':
        return this.addWorker(message.machine);
      case 'boot':
        return this.workers.get(message.id)?.boot();
      case 'die':
        return this.workers.get(message.id)?.terminate();
      case 'restart':
        return this.workers.get(message.id)?.restart();
      case 'cut':
        return void this.cutOffUntil.set(message.zone, this.now + message.ms);
      case 'jobs':
        return this.tasks.addJobs(message.jobs);
      case 'remove-jobs':
        return this.tasks.removeJobs(message.ids);
      case 'gang':
        return this.tasks.onGangEvent(message.key, message.event);
      case 'count': {
        const counts = { ...this.counts, workers: this.workers.size };
        return sendToParent<FromHost>({ kind: 'counts', counts });
      }
    }
  }

  // ---- machines

  private addWorker({ id, type, zone, spot }: RentedMachine): void {
    const firstNode = this.random.below(this.nodeNames.length);
    const worker = new FakeWorker({
      environment: this,
      id: id as MachineId,
      type: type as MachineTypeName,
      zone: zone as ZoneName,
      spot,
      firstNodeIndex: firstNode,
    });
    this.workers.set(id, worker);
    listen(0, (method, path, body, respond) => {
      if (!worker.up) return respond(errorResponse(503, 'it is not up yet'));
      if (method !== 'POST' || path !== '/orders') return respond(errorResponse(404, 'no such path'));
      const { fencingToken: token, agentEpoch: session, commands } = decodeCommands(body);
      if (session === null) return respond(errorResponse(400, 'the session is missing'));
      if (this.isCutOff(worker)) return;
      worker.handleCommands(token, session, commands, (reply) => {
        if (reply.kind === 'heartbeat')
          respond({ status: reply.executed ? 200 : 409, body: encodeHeartbeat(reply.heartbeat) });
      });
    }).then((server) => this.onListening(worker, server));
  }

  private onListening(worker: FakeWorker, server: Listening): void {
    worker.addr = server.addr;
    if (worker.isTerminated) return server.close();
    this.servers.set(worker.id, server);
    sendToParent<FromHost>({ kind: 'listening', id: worker.id, addr: server.addr });
  }

  onMachineTerminated(worker: FakeWorker): void {
    this.counts.lostByLease += worker.lostByLease;
    this.servers.get(worker.id)?.close();
    this.servers.delete(worker.id);
    this.connections.get(worker.id)?.client.close();
    this.connections.delete(worker.id);
    this.workers.delete(worker.id);
  }

  private isCutOff(worker: FakeWorker): boolean {
    return this.now < (this.cutOffUntil.get(worker.zone) ?? 0);
  }

  private clientOf(worker: FakeWorker, node: string): HttpClient {
    const connection = this.connections.get(worker.id);
    if (connection?.node === node) return connection.client;
    connection?.client.close();
    const client = new HttpClient(this.addresses.get(node)!, 1, RESPONSE_MAX_BYTES);
    this.connections.set(worker.id, { node, client });
    return client;
  }

  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onReply: (response: HeartbeatResponse | null) => void,
  ): void {
    if (this.isCutOff(worker)) return this.after(timeoutMs, () => onReply(null));
    const body = encodeHeartbeat(heartbeat);
    this.counts.heartbeats++;
    this.counts.bytes += body.length + HTTP_HEADERS_BYTES;
    const request = { method: 'POST', path: '/checkin', body, timeoutMs } as const;
    this.clientOf(worker, node).call(request, (reply) => {
      this.counts.bytes += reply?.body.length ?? 0;
      if (!worker.isTerminated)
        onReply(reply === null ? null : decodeHeartbeatReply(reply.status, reply.body));
    });
  }

  // ---- tasks

  onTaskPlaced(worker: FakeWorker, task: TaskId): void {
    this.tasks.onPlaced(worker, task);
  }

  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: ExitReason) => void,
    onState: (state: 'waiting' | 'running') => void,
  ): RunningTask {
    return this.tasks.launch(worker, task, attempt, onExit, onState);
  }
}

/** Decodes the response to a heartbeat; null if it is invalid, which a worker treats as no response. */
function decodeHeartbeatReply(status: number, body: Buffer): HeartbeatResponse | null {
  try {
    return decodeHeartbeatResponse(status, parseJson(body.toString('utf8')));
  } catch {
    return null;
  }
}

endWithParent();
let host: WorkerHost | null = null;
process.on('message', (message: ToHost) => {
  if (message.kind !== 'begin') return host?.onMessage(message);
  host = new WorkerHost(message.options, message.nodes, message.seed);
  sendToParent<FromHost>({ kind: 'ready' });
});
