// The controllers of a local cluster: real processes, started again when they end.
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
  /** Where users and workers reach it. */
  addr: string;
  /** Null between its end and its next start. */
  process: ChildProcess | null;
  /** How often it was started again. */
  restarts: number;
}

/** What the controllers need around them. */
export interface ControllerGroupDependencies {
  readonly clock: RealClock;
  readonly random: Random;
  readonly guard: ProcessGuard;
  /** How many there are. */
  readonly count: number;
  /** The daemon: program and arguments before `serve`. */
  readonly program: readonly string[];
  /** Where their settings and logs are. */
  readonly dir: string;
  readonly log: (line: string) => void;
}

const RESTART_DELAY_MS = 1500;
const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 1000;
const CONNECTIONS = 64;
const MAX_RESPONSE_BYTES = 4 << 20;

/** All controllers, with connections to them. */
export class ControllerGroup {
  /** The names of all controllers, also before they are started. */
  readonly names: readonly string[];
  readonly controllers: Controller[] = [];
  private readonly connections = new Map<string, HttpClient>();

  constructor(private readonly dependencies: ControllerGroupDependencies) {
    this.names = Array.from({ length: dependencies.count }, (_, index) => controllerName(index));
  }

  /** Starts a controller whose settings file is written. */
  start(name: string, addr: string): void {
    const controller: Controller = { name, addr, process: null, restarts: 0 };
    this.controllers.push(controller);
    this.connections.set(name, new HttpClient(addr, CONNECTIONS, MAX_RESPONSE_BYTES));
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
      log(`${controller.name} has ended (${signal ?? code}) and is started again`);
      controller.restarts++;
      clock.after(RESTART_DELAY_MS, () => this.spawn(controller));
    });
  }

  /** Sends a request to a controller. */
  call(name: string, call: ClientCall, done: ClientDone): void {
    this.connections.get(name)!.call(call, done);
  }

  /** Whether a controller is ready for users within so many milliseconds. */
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

  /** A controller that is up: the one of this name, or any. Throws FaultTargetError if there is none. */
  pickRunning(name: string | undefined): Controller {
    const running = this.controllers.filter(
      (controller) => controller.process !== null && (name === undefined || controller.name === name),
    );
    if (running.length === 0) throw new FaultTargetError(`${name ?? 'no controller'} is not up`);
    return running[this.dependencies.random.below(running.length)]!;
  }

  /** Kills all controllers, and resolves when they have ended. */
  async stop(): Promise<void> {
    const running = this.controllers.flatMap(({ process: child }) => (child === null ? [] : [child]));
    const ended = running.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const { pid } of running) if (pid !== undefined) endGroup(pid);
    await Promise.all(ended);
  }

  /** Closes the connections. */
  close(): void {
    for (const connection of this.connections.values()) connection.close();
  }
}
