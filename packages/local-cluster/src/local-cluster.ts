// A cluster on one machine: stand-ins of the key-value store, the cloud and workers on loopback, and
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

/** Where and with what a local cluster runs. */
export interface LocalClusterSetup {
  /** The daemon: program and arguments before `serve`. */
  program: string[];
  /** Where settings, logs and what tasks write are put. */
  dir: string;
  /** Directory in which the store's records are kept over restarts of the cluster. */
  data?: string;
  /** Called with each event, for people. */
  log: (line: string) => void;
}

const READY_WITHIN_MS = 30_000;

/** A running cluster; `stop` ends all that it started. */
export class LocalCluster implements ControllableCluster {
  readonly state: FakeStore;
  readonly cloud: FakeCloud;
  /** Address of the cluster's own HTTP interface. */
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
    const services = new OutsideServices(machines, options, random, (answer) => this.whenDurable(answer));
    this.controllerGroup = controllers;
    this.machines = machines;
    this.services = services;
    this.faults = new FaultInjector({ clock, zones: lab.zones, controllers, machines, services });
    this.state = services.state;
    this.cloud = services.cloud;
  }

  /** Starts a cluster; what was started is ended again if that fails. */
  static async start(options: LocalClusterOptions, setup: LocalClusterSetup): Promise<LocalCluster> {
    const cluster = new LocalCluster(options, setup);
    try {
      await cluster.begin();
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  private async begin(): Promise<void> {
    const { dir, data } = this.setup;
    mkdirSync(dir, { recursive: true });
    if (data !== undefined) await this.openStorage(data);
    const state = await this.serve(0, this.services.serveState);
    const cloud = await this.serve(0, this.services.serveCloud);
    await this.startControllers({ state: state.addr, cloud: cloud.addr });
    const api = await this.serve(this.options.lab.port, new ControlApi(this).serve);
    this.addr = api.addr;
  }

  private async openStorage(dir: string): Promise<void> {
    mkdirSync(dir, { recursive: true });
    const storage = await ClusterStorage.open(dir, (error) =>
      this.setup.log(`records cannot be kept: ${error.message}`),
    );
    this.storage = storage;
    await storage.attach(this.state);
    const { jobs, doneTasks } = await storage.recordedWork();
    const { tasks } = this.machines;
    for (const [job, description] of jobs) tasks.describe(job, description);
    for (const task of doneTasks) tasks.remember(task as TaskId);
    tasks.onDone = (task) => storage.recordDone(task);
    this.machines.onMachineCreated = () => storage.machineNumberUsed(this.cloud.made);
    this.cloud.made = await storage.reserveMachineNumbers();
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

  /** Calls back when all changes so far are on disk. */
  private async whenDurable(callback: () => void): Promise<void> {
    if (this.storage !== null) await this.storage.flushed();
    if (!this.clock.isStopped) callback();
  }

  /** Resolves when a controller is ready for users; throws NotReadyError if none is in time. */
  async ready(withinMs = READY_WITHIN_MS): Promise<void> {
    if (await this.controllerGroup.waitUntilReady(withinMs)) return this.scheduleFaults();
    throw new NotReadyError(`no controller is ready; see the logs in ${this.setup.dir}`);
  }

  /** Faults of the options, from the first time that the cluster is ready. */
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

  /** The starts of tasks so far. */
  get runs(): readonly Run[] {
    return this.machines.tasks.runs;
  }

  /** What the store has under a key. */
  recorded(key: string): unknown {
    return this.state.keys.get(key)?.value;
  }

  // ---- for the HTTP interface

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
   * Injects a fault, and says what was done in a sentence. Throws FaultTargetError if what it names is not
   * there.
   */
  fault(fault: Fault): string {
    const done = this.faults.inject(fault);
    this.setup.log(done);
    return done;
  }

  // ---- the end

  /** Ends everything that was started. */
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
