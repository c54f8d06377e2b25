// The machines of a local cluster: workers with one server socket each, and network partitions between zones
// and the controllers.
import { join } from 'node:path';
import type { Random } from '../../../src/core/base/io.ts';
import type { ExitReason, Heartbeat, HeartbeatResponse } from '../../../src/core/base/model.ts';
import type { ClientReply } from '../../../src/http/client.ts';
import {
  decodeCommands,
  decodeHeartbeatResponse,
  encodeHeartbeat,
} from '../../../src/protocol/worker-agent.ts';
import { parseJson } from '../../../src/types/exact-json.ts';
import type { MachineId, MachineTypeName, TaskId, ZoneName } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import type { ControllerGroup } from './controller-group.ts';
import type { CloudEnvironment } from './fake-cloud.ts';
import { FakeWorker, type RunningTask, type TaskProgress, type WorkerEnvironment } from './fake-worker.ts';
import { errorResponse, type Listening, listen, type Respond } from './json-server.ts';
import type { LocalClusterOptions } from './options.ts';
import type { ProcessGuard } from './process-guard.ts';
import type { RealClock } from './real-clock.ts';
import { TaskRunner } from './task-runner.ts';

/** Dependencies of {@link LocalMachines}. */
export interface LocalMachinesDependencies {
  readonly options: LocalClusterOptions;
  readonly clock: RealClock;
  readonly random: Random;
  readonly controllers: ControllerGroup;
  readonly guard: ProcessGuard;
  /** Directory of the cluster's settings, logs and task files. */
  readonly dir: string;
}

/** A network partition between a zone and the controllers. */
interface NetworkPartition {
  /** When it ends, in milliseconds. */
  readonly until: number;
  /** Whether messages are delivered when it ends, instead of being dropped. */
  readonly delaysMessages: boolean;
}

/** Workers by machine id, and the tasks that they run. */
export class LocalMachines implements CloudEnvironment, WorkerEnvironment {
  readonly workers = new Map<string, FakeWorker>();
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly nodeNames: readonly string[];
  readonly tasks: TaskRunner;
  /** Called after a machine is created. */
  onMachineCreated: () => void = () => {};
  private readonly listeners = new Map<FakeWorker, Listening>();
  private readonly partitions = new Map<string, NetworkPartition>();

  constructor(private readonly dependencies: LocalMachinesDependencies) {
    const { options, controllers, guard, dir } = dependencies;
    const { lab, workers } = options;
    this.reportMs = workers.report_s * 1000;
    this.leaseMs = workers.lease_s * 1000;
    this.nodeNames = controllers.names;
    this.tasks = new TaskRunner(this, join(dir, 'jobs'), guard, {
      speed: lab.speed,
      gangWaitS: workers.gang_wait_s,
      gangPeerS: workers.gang_peer_s,
    });
  }

  get now(): number {
    return this.dependencies.clock.now;
  }

  after(ms: number, run: () => void): void {
    this.dependencies.clock.after(ms, run);
  }

  /** Workers whose machine has booted and was not terminated. */
  runningWorkers(): FakeWorker[] {
    return [...this.workers.values()].filter((worker) => worker.up && !worker.isTerminated);
  }

  /** Terminates a machine without notice. */
  terminate(worker: FakeWorker): void {
    worker.terminate();
    this.workers.delete(worker.id);
  }

  /** Cuts a zone off from the controllers for `ms`. */
  partition(zone: string, ms: number, delaysMessages: boolean): void {
    this.partitions.set(zone, { until: this.now + ms, delaysMessages });
  }

  /** Terminates all machines. */
  stop(): void {
    for (const worker of [...this.workers.values()]) worker.terminate();
  }

  // ---- cloud environment

  createMachine(id: MachineId, type: MachineTypeName, zone: ZoneName, spot: boolean): FakeWorker {
    const { random, clock } = this.dependencies;
    const firstNode = random.below(this.nodeNames.length);
    const worker = new FakeWorker({ environment: this, id, type, zone, spot, firstNodeIndex: firstNode });
    this.workers.set(id, worker);
    this.onMachineCreated();
    listen(0, (method, path, body, respond) => this.serve(worker, { method, path, body }, respond)).then(
      (listening) => {
        worker.addr = listening.addr;
        if (worker.isTerminated || clock.isStopped) listening.close();
        else this.listeners.set(worker, listening);
      },
    );
    return worker;
  }

  // ---- requests of controllers

  private serve(
    worker: FakeWorker,
    { method, path, body }: { method: string; path: string; body: unknown },
    respond: Respond,
  ): void {
    if (!worker.up) return respond(errorResponse(503, 'it is not up yet'));
    if (method === 'GET' && path === '/inspect')
      return respond({ status: 200, body: encodeHeartbeat(worker.nextHeartbeat()) });
    if (method !== 'POST' || path !== '/orders') return respond(errorResponse(404, 'no such path'));
    this.serveCommands(worker, body, respond);
  }

  private serveCommands(worker: FakeWorker, body: unknown, respond: Respond): void {
    const { fencingToken, agentEpoch, commands } = decodeCommands(body);
    if (agentEpoch === null) return respond(errorResponse(400, 'the session is missing'));
    const partition = this.partitionOf(worker);
    if (partition !== null) {
      if (partition.delaysMessages)
        this.after(partition.until - this.now, () =>
          worker.handleCommands(fencingToken, agentEpoch, commands, () => {}),
        );
      return;
    }
    worker.handleCommands(fencingToken, agentEpoch, commands, (reply) => {
      if (reply.kind === 'heartbeat')
        respond({ status: reply.executed ? 200 : 409, body: encodeHeartbeat(reply.heartbeat) });
    });
  }

  // ---- worker environment

  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onResponse: (response: HeartbeatResponse | null) => void,
  ): void {
    const { controllers, clock } = this.dependencies;
    const call = { method: 'POST', path: '/checkin', body: encodeHeartbeat(heartbeat), timeoutMs };
    const partition = this.partitionOf(worker);
    if (partition !== null) {
      if (partition.delaysMessages)
        this.after(partition.until - this.now, () => controllers.call(node, call, () => {}));
      return this.after(timeoutMs, () => onResponse(null));
    }
    controllers.call(node, call, (reply) => {
      const response = heartbeatResponse(reply);
      if (!clock.isStopped) onResponse(response);
    });
  }

  private partitionOf(worker: FakeWorker): NetworkPartition | null {
    const partition = this.partitions.get(worker.zone);
    return partition !== undefined && this.now < partition.until ? partition : null;
  }

  onTaskPlaced(): void {}

  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: ExitReason) => void,
    onProgress: (progress: TaskProgress) => void,
  ): RunningTask {
    const type = this.dependencies.options.types[worker.type]!;
    const machine = { id: worker.id, fetchGbPerS: type.fetch_gb_per_s, cacheGb: type.cache_gb };
    return this.tasks.launch(machine, task, attempt, onExit, onProgress);
  }

  onMachineTerminated(worker: FakeWorker): void {
    this.listeners.get(worker)?.close();
    this.listeners.delete(worker);
  }
}

/** Decodes the response to a heartbeat; null if there is none or it is malformed. */
function heartbeatResponse(reply: ClientReply | null): HeartbeatResponse | null {
  if (reply === null) return null;
  try {
    return decodeHeartbeatResponse(reply.status, parseJson(reply.body.toString('utf8')));
  } catch {
    return null;
  }
}
