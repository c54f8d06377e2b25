// A cluster on one machine: stand-ins for the key-value store, the cloud and workers on loopback, and
// controllers as real processes.
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { seededRandom } from '../../../src/runtime/random.ts';
import type { TaskId } from '../../../src/types/index.ts';
import { ClusterStorage } from './cluster-storage.ts';
import { type ClusterView, ControlApi, type ControllableCluster } from './control-api.ts';
import { type Controller, ControllerGroup } from './controller-group.ts';
import { nodeAddresses } from './controller-process.ts';
import { NotReadyError } from './errors.ts';
import type { FakeCloud } from './fake-cloud.ts';
import type { FakeStore } from './fake-store.ts';
import { FaultInjector } from './fault-injector.ts';
import { type Listening, listen, type RequestHandler } from './json-server.ts';
import { LocalMachines } from './local-machines.ts';
import type { Fault, LocalClusterOptions } from './options.ts';
import { OutsideServices } from './outside-services.ts';
import { ProcessGuard } from './process-guard.ts';
import { RealClock } from './real-clock.ts';
import { settingsFile } from './settings-file.ts';
import type { OutputStream } from './task-files.ts';
import type { JobDescription, Run } from './task-run.ts';

/** Program, directories and log of a local cluster. */
export interface LocalClusterSetup {
  /** Command line of the daemon before the `serve` argument. */
  program: string[];
  /** Directory for settings, logs and task files. */
  dir: string;
  /** Directory for records that survive a restart of the cluster; without it nothing is recorded. */
  data?: string;
  /** Called with a line of text for each event. */
  log: (line: string) => void;
}

const READY_TIMEOUT_MS = 30_000;

/** A running cluster; `stop` ends all processes and servers that it started. */
export class LocalCluster implements ControllableCluster {
  readonly store: FakeStore;
  readonly cloud: FakeCloud;
  /** Address of the cluster's own HTTP API. */
  addr = '';
  private readonly clock = new RealClock();
  private readonly guard = new ProcessGuard();
  private readonly controllerGroup: ControllerGroup;
  private readonly machines: LocalMachines;
  private readonly services: OutsideServices;
  private readonly faults: FaultInjector;
  private readonly servers: Listening[] = [];
  private storage: ClusterStorage | null = null;

  private constructor(
    private readonly options: LocalClusterOptions,
    private readonly setup: LocalClusterSetup,
  ) {
    const { clock, guard } = this;
    const { lab } = options;
    const { dir, program, log } = setup;
    const random = seededRandom(lab.seed);
    const controllers = new ControllerGroup({
      clock,
      random,
      guard,
      count: lab.controllers,
      program,
      dir,
      log,
    });
    const machines = new LocalMachines({ options, clock, random, controllers, guard, dir });
    const services = new OutsideServices(machines, options, random, (callback) => this.whenDurable(callback));
    this.controllerGroup = controllers;
    this.machines = machines;
    this.services = services;
    this.faults = new FaultInjector({ clock, zones: lab.zones, controllers, machines, services });
    this.store = services.store;
    this.cloud = services.cloud;
  }

  /** Starts a cluster; if that fails, stops the components already started and rethrows the error. */
  static async start(options: LocalClusterOptions, setup: LocalClusterSetup): Promise<LocalCluster> {
    const cluster = new LocalCluster(options, setup);
    try {
      await cluster.startComponents();
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  private async startComponents(): Promise<void> {
    const { dir, data } = this.setup;
    mkdirSync(dir, { recursive: true });
    if (data !== undefined) await this.openStorage(data);
    const state = await this.serve(0, this.services.serveStore);
    const cloud = await this.serve(0, this.services.serveCloud);
    await this.startControllers({ state: state.addr, cloud: cloud.addr });
    const api = await this.serve(this.options.lab.port, new ControlApi(this).serve);
    this.addr = api.addr;
  }

  private async openStorage(dir: string): Promise<void> {
    mkdirSync(dir, { recursive: true });
    const storage = await ClusterStorage.open(dir, (error) =>
      this.setup.log(
        `cannot write the records in ${dir}: ${error.message}; the store and the cloud stop answering`,
      ),
    );
    this.storage = storage;
    await storage.attach(this.store);
    const { jobs, doneTasks } = await storage.readWork();
    const { tasks } = this.machines;
    for (const [job, description] of jobs) tasks.describe(job, description);
    for (const task of doneTasks) tasks.restoreDoneTask(task as TaskId);
    tasks.onDone = (task) => storage.recordDone(task);
    this.machines.onMachineCreated = () => storage.onMachineNumberUsed(this.cloud.machinesCreated);
    this.cloud.machinesCreated = await storage.reserveMachineNumbers();
  }

  private async serve(port: number, handler: RequestHandler): Promise<Listening> {
    const listening = await listen(port, handler);
    this.servers.push(listening);
    return listening;
  }

  private async startControllers(outside: { state: string; cloud: string }): Promise<void> {
    const { options, setup } = this;
    const addresses = await nodeAddresses(this.controllerGroup.names.length, options.lab.zones);
    for (const address of addresses) {
      const file = join(setup.dir, `${address.name}.json`);
      writeFileSync(file, settingsFile(options, address, addresses, outside));
      this.controllerGroup.start(address.name, address.addr);
    }
  }

  /** Calls `callback` when all changes made so far are on disk; never after `stop`. */
  private async whenDurable(callback: () => void): Promise<void> {
    if (this.storage !== null) await this.storage.flush();
    if (!this.clock.isStopped) callback();
  }

  /**
   * Resolves when a controller is ready for users, and schedules the faults of the options. Throws
   * NotReadyError if none is ready within `withinMs`.
   */
  async ready(withinMs = READY_TIMEOUT_MS): Promise<void> {
    if (await this.controllerGroup.waitUntilReady(withinMs)) return this.scheduleFaults();
    throw new NotReadyError(
      `no controller became ready within ${withinMs} ms; see the logs in ${this.setup.dir}`,
    );
  }

  /** Schedules the faults of the options, once: their times count from when the cluster is first ready. */
  private scheduleFaults(): void {
    for (const { atS, fault } of this.options.faults.splice(0))
      this.clock.after(atS * 1000, () => {
        try {
          this.fault(fault);
        } catch (error) {
          this.setup.log((error as Error).message);
        }
      });
  }

  /** The controllers and their processes. */
  get controllers(): readonly Controller[] {
    return this.controllerGroup.controllers;
  }

  /** The task attempts launched so far. */
  get runs(): readonly Run[] {
    return this.machines.tasks.runs;
  }

  /** The value of a key in the store; undefined if there is none. */
  storedValue(key: string): unknown {
    return this.store.entries.get(key)?.value;
  }

  // ---- operations of the HTTP API

  view(): ClusterView {
    return {
      controllers: this.controllers.map(({ name, addr, process: child }) => ({
        name,
        addr,
        up: child !== null,
      })),
      machines: this.machines.workers.size,
      dir: this.setup.dir,
    };
  }

  describeJob(job: string, description: JobDescription, onDurable: () => void): void {
    this.machines.tasks.describe(job, description);
    this.storage?.recordJob(job, description);
    this.whenDurable(onDurable);
  }

  logFile(task: TaskId, stream: OutputStream): string | null {
    return this.machines.tasks.logFile(task, stream);
  }

  /**
   * Injects a fault, and returns a sentence that describes the effect. Throws FaultTargetError if the zone
   * that it names does not exist or no matching controller is running.
   */
  fault(fault: Fault): string {
    const effect = this.faults.inject(fault);
    this.setup.log(effect);
    return effect;
  }

  // ---- stop

  /** Ends all processes and servers that were started, and closes the records. */
  async stop(): Promise<void> {
    this.clock.stop();
    this.machines.stop();
    await this.controllerGroup.stop();
    this.controllerGroup.close();
    for (const server of this.servers) server.close();
    await this.storage?.close();
    this.guard.close();
  }
}
