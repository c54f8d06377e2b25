// The controllers of a local cluster: real processes, restarted when they exit.
import type { ChildProcess } from 'node:child_process';
import type { Random } from '../../../src/core/base/io.ts';
import { type ClientCall, type ClientDone, HttpClient } from '../../../src/http/client.ts';
import { controllerName, spawnController } from './controller-process.ts';
import { FaultTargetError } from './errors.ts';
import type { ProcessGuard } from './process-guard.ts';
import { endGroup } from './process-guard.ts';
import type { RealClock } from './real-clock.ts';

/** A controller and its process. */
export interface Controller {
  name: string;
  /** Address for users and workers. */
  addr: string;
  /** Null between the exit of the process and its restart. */
  process: ChildProcess | null;
  /** Number of restarts. */
  restarts: number;
}

/** Dependencies of {@link ControllerGroup}. */
export interface ControllerGroupDependencies {
  readonly clock: RealClock;
  readonly random: Random;
  readonly guard: ProcessGuard;
  /** Number of controllers. */
  readonly count: number;
  /** Command line of the daemon before the `serve` argument. */
  readonly program: readonly string[];
  /** Directory of their settings files and logs. */
  readonly dir: string;
  readonly log: (line: string) => void;
}

const RESTART_DELAY_MS = 1500;
const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 1000;
const CONNECTIONS_PER_CONTROLLER = 64;
const MAX_RESPONSE_BYTES = 4 << 20;

/** All controllers of the cluster, and an HTTP client for each. */
export class ControllerGroup {
  /** The names of all controllers, including those that are not started yet. */
  readonly names: readonly string[];
  readonly controllers: Controller[] = [];
  private readonly connections = new Map<string, HttpClient>();

  constructor(private readonly dependencies: ControllerGroupDependencies) {
    this.names = Array.from({ length: dependencies.count }, (_, index) => controllerName(index));
  }

  /** Starts a controller; its settings file must exist. */
  start(name: string, addr: string): void {
    const controller: Controller = { name, addr, process: null, restarts: 0 };
    this.controllers.push(controller);
    this.connections.set(name, new HttpClient(addr, CONNECTIONS_PER_CONTROLLER, MAX_RESPONSE_BYTES));
    this.spawn(controller);
  }

  private spawn(controller: Controller): void {
    const { clock, guard, dir, program, log } = this.dependencies;
    if (clock.isStopped) return;
    const child = spawnController(controller.name, dir, program, guard);
    controller.process = child;
    child.once('error', (error) => log(`${controller.name} cannot be started: ${error.message}`));
    child.once('exit', (code, signal) => {
      controller.process = null;
      if (clock.isStopped) return;
      log(`${controller.name} exited (${signal ?? code}); restarting it in ${RESTART_DELAY_MS} ms`);
      controller.restarts++;
      clock.after(RESTART_DELAY_MS, () => this.spawn(controller));
    });
  }

  /** Sends a request to a controller. */
  call(name: string, call: ClientCall, done: ClientDone): void {
    this.connections.get(name)!.call(call, done);
  }

  /** Waits up to `withinMs` for any controller to be ready for users; returns whether one is. */
  async waitUntilReady(withinMs: number): Promise<boolean> {
    const { clock } = this.dependencies;
    const deadline = clock.now + withinMs;
    while (clock.now < deadline && !clock.isStopped) {
      for (const controller of this.controllers) if (await this.isReady(controller)) return true;
      await new Promise<void>((resolve) => clock.after(READY_POLL_MS, resolve));
    }
    return false;
  }

  private isReady({ name }: Controller): Promise<boolean> {
    const call = { method: 'GET', path: '/ready', body: null, timeoutMs: READY_TIMEOUT_MS };
    return new Promise((resolve) => this.call(name, call, (reply) => resolve(reply?.status === 200)));
  }

  /**
   * Returns the running controller of this name, or a random running one without a name. Throws
   * FaultTargetError if there is none.
   */
  pickRunning(name: string | undefined): Controller {
    const running = this.controllers.filter(
      (controller) => controller.process !== null && (name === undefined || controller.name === name),
    );
    if (running.length === 0) throw new FaultTargetError(`${name ?? 'no controller'} is not up`);
    return running[this.dependencies.random.below(running.length)]!;
  }

  /** Kills all controllers, and resolves when their processes have exited. */
  async stop(): Promise<void> {
    const running = this.controllers.flatMap(({ process: child }) => (child === null ? [] : [child]));
    const ended = running.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const { pid } of running) if (pid !== undefined) endGroup(pid);
    await Promise.all(ended);
  }

  /** Closes the connections to the controllers. */
  close(): void {
    for (const connection of this.connections.values()) connection.close();
  }
}
