// The controllers of the scale experiment: real processes that are restarted when they end and report their
// status over HTTP.
import type { ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  endGroup,
  type NodeAddress,
  nodeAddresses,
  type ProcessGuard,
  settingsFile,
  spawnController,
} from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';
import type { Settings } from '../../../src/core/base/model.ts';
import { HttpClient } from '../../../src/http/client.ts';
import { parseSettings } from '../../../src/protocol/settings.ts';

const RESTART_DELAY_MS = 1500;
const STATUS_TIMEOUT_MS = 1000;
const RESPONSE_MAX_BYTES = 4 << 20;
const CONNECTIONS_PER_CONTROLLER = 16;
/** The limit of open sockets in the settings of a controller. */
const MAX_SOCKETS = 12_000;

/** A controller, and its process while it is running. */
export interface ControllerProcess extends NodeAddress {
  process: ChildProcess | null;
  /** How often the process ended by itself, without a signal. */
  unexpectedExits: number;
  /** Sends status requests and users' requests to the node. */
  client: HttpClient;
}

/** The status that a node reports; see Controller.describe. */
export interface NodeStatus {
  owner: string | null;
  recovered: boolean | null;
  process?: { heapMb?: number };
  [field: string]: unknown;
}

/** Settings with which controllers are started. */
export interface ControllerGroupOptions {
  cluster: LocalClusterOptions;
  /** The daemon: program and arguments before `serve`. */
  program: string[];
  /** Directory of their settings and logs. */
  dir: string;
  /** Ends the processes of controllers when this process ends. */
  guard: ProcessGuard;
}

/** Addresses of the services that controllers depend on: the key-value store and the cloud. */
export interface ServiceAddresses {
  state: string;
  cloud: string;
}

/** Starts controllers and keeps them running. */
export class ControllerGroup {
  readonly all: ControllerProcess[] = [];
  private isStopping = false;

  constructor(private readonly options: ControllerGroupOptions) {}

  /** Starts all controllers. */
  async start(services: ServiceAddresses): Promise<void> {
    const { cluster, dir } = this.options;
    const nodes = await nodeAddresses(cluster.lab.controllers, cluster.lab.zones);
    for (const node of nodes) {
      writeFileSync(this.settingsPath(node.name), settingsFile(cluster, node, nodes, services, MAX_SOCKETS));
      const client = new HttpClient(node.addr, CONNECTIONS_PER_CONTROLLER, RESPONSE_MAX_BYTES);
      const controller: ControllerProcess = { ...node, process: null, unexpectedExits: 0, client };
      this.all.push(controller);
      this.startProcess(controller, dir);
    }
  }

  /** The settings of the first controller. */
  settings(): Settings {
    const path = this.settingsPath(this.all[0]!.name);
    return parseSettings(path, readFileSync(path, 'utf8'));
  }

  /** Requests the status of a controller; null without a valid response. */
  status({ client }: ControllerProcess): Promise<NodeStatus | null> {
    const request = { method: 'GET', path: '/status', body: null, timeoutMs: STATUS_TIMEOUT_MS } as const;
    return new Promise((resolve) =>
      client.call(request, (reply) => {
        try {
          resolve(reply?.status === 200 ? (JSON.parse(reply.body.toString('utf8')) as NodeStatus) : null);
        } catch {
          resolve(null);
        }
      }),
    );
  }

  /** The controller that reports that it is the leader and has received heartbeats of all machines. */
  async leaderOf(controllers: readonly ControllerProcess[]): Promise<ControllerProcess | null> {
    const statuses = await Promise.all(controllers.map((controller) => this.status(controller)));
    const index = statuses.findIndex(
      (status, i) => status?.owner === controllers[i]!.name && status.recovered === true,
    );
    return controllers[index] ?? null;
  }

  /** Kills the process of a controller; it is restarted after a delay. */
  kill(controller: ControllerProcess): void {
    if (controller.process?.pid !== undefined) endGroup(controller.process.pid);
  }

  /** Suspends the process of a controller for `ms` milliseconds. */
  freeze(controller: ControllerProcess, ms: number): void {
    const pid = controller.process?.pid;
    if (pid === undefined) return;
    endGroup(pid, 'SIGSTOP');
    setTimeout(() => controller.process?.pid === pid && endGroup(pid, 'SIGCONT'), ms);
  }

  /** Stops restarting controllers, and returns the processes that are running. */
  stopRestarting(): ChildProcess[] {
    this.isStopping = true;
    return this.all.map((controller) => controller.process).filter((child) => child !== null);
  }

  /** Closes the connections to controllers. */
  close(): void {
    for (const { client } of this.all) client.close();
  }

  private settingsPath(name: string): string {
    return join(this.options.dir, `${name}.json`);
  }

  private startProcess(controller: ControllerProcess, dir: string): void {
    if (this.isStopping || controller.process !== null) return;
    const { program, guard } = this.options;
    const child = spawnController(controller.name, dir, program, guard);
    controller.process = child;
    child.once('exit', (_code, signal) => {
      controller.process = null;
      if (signal === null) controller.unexpectedExits++;
      setTimeout(() => this.startProcess(controller, dir), RESTART_DELAY_MS);
    });
  }
}
