// The controllers of the scale experiment: real processes, started again when they end, asked about
// themselves over HTTP.
import type { ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  endGroup,
  type Guard,
  type NodeAddress,
  nodeAddresses,
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
/** Sockets that a controller may have open. */
const MAX_SOCKETS = 12_000;

/** A controller, and its process if it runs. */
export interface ControllerProcess extends NodeAddress {
  process: ChildProcess | null;
  /** Ends that nobody asked for. */
  unexpectedExits: number;
  /** Asks the node about itself, and makes users' requests. */
  client: HttpClient;
}

/** What a node says of itself; see Controller.describe. */
export interface NodeStatus {
  owner: string | null;
  recovered: boolean | null;
  process?: { heapMb?: number };
  [field: string]: unknown;
}

/** How controllers are started. */
export interface ControllerGroupOptions {
  cluster: LocalClusterOptions;
  /** The daemon: program and arguments before `serve`. */
  program: string[];
  /** Where their settings and logs are. */
  dir: string;
  /** Ends what it was given when this process ends. */
  guard: Guard;
}

/** Addresses of what controllers depend on. */
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
  async start(outside: ServiceAddresses): Promise<void> {
    const { cluster, dir } = this.options;
    const nodes = await nodeAddresses(cluster.lab.controllers, cluster.lab.zones);
    for (const node of nodes) {
      writeFileSync(this.settingsPath(node.name), settingsFile(cluster, node, nodes, outside, MAX_SOCKETS));
      const client = new HttpClient(node.addr, CONNECTIONS_PER_CONTROLLER, RESPONSE_MAX_BYTES);
      const controller: ControllerProcess = { ...node, process: null, unexpectedExits: 0, client };
      this.all.push(controller);
      this.startProcess(controller, dir);
    }
  }

  /** What the first controller was started with. */
  settings(): Settings {
    const path = this.settingsPath(this.all[0]!.name);
    return parseSettings(path, readFileSync(path, 'utf8'));
  }

  /** Asks a controller about itself; null if it does not say. */
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

  /** The one of these controllers that leads and has heard all machines, as it says itself. */
  async leaderOf(controllers: readonly ControllerProcess[]): Promise<ControllerProcess | null> {
    const statuses = await Promise.all(controllers.map((controller) => this.status(controller)));
    const index = statuses.findIndex(
      (status, i) => status?.owner === controllers[i]!.name && status.recovered === true,
    );
    return controllers[index] ?? null;
  }

  /** Ends a controller at once; it is started again. */
  kill(controller: ControllerProcess): void {
    if (controller.process?.pid !== undefined) endGroup(controller.process.pid);
  }

  /** Stops a controller's process for so long. */
  freeze(controller: ControllerProcess, ms: number): void {
    const pid = controller.process?.pid;
    if (pid === undefined) return;
    endGroup(pid, 'SIGSTOP');
    setTimeout(() => controller.process?.pid === pid && endGroup(pid, 'SIGCONT'), ms);
  }

  /** No controller is started again from now on; returns those processes that run. */
  stopRestarting(): ChildProcess[] {
    this.isStopping = true;
    return this.all.map((controller) => controller.process).filter((child) => child !== null);
  }

  /** Closes connections to controllers. */
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
