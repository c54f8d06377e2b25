// The processes of the scale experiment: real controllers, one process with the key-value store and the
// cloud, and hosts, which are processes with simulated workers. When this process ends for any reason, all of
// them end.
import { type ChildProcess, fork } from 'node:child_process';
import { join } from 'node:path';
import { endGroup, ProcessGuard, type ServiceCounts } from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';
import { FailedRunError } from '../../errors.ts';
import { ControllerGroup, type ServiceAddresses } from './controller-group.ts';
import { GangCoordinator } from './gang-coordinator.ts';
import type {
  FromHost,
  FromServices,
  HostCounts,
  JobDescription,
  RentedMachine,
  TaskEvent,
  ToHost,
  ToServices,
} from './messages.ts';

/** The size and the settings of a cluster. */
export interface ClusterSetup {
  options: LocalClusterOptions;
  /** The daemon: program and arguments before `serve`. */
  program: string[];
  /** Directory of the controllers' settings and logs. */
  dir: string;
  hostCount: number;
  seed: number;
}

/** A process that hosts simulated workers, and its last reported counts. */
export interface HostProcess {
  process: ChildProcess;
  counts: HostCounts;
}

/** A machine that the cloud has rented out, and the index of the host process that simulates it. */
export interface ClusterMachine extends RentedMachine {
  hostIndex: number;
  isUp: boolean;
}

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_INTERVAL_MS = 100;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** A cluster of real controllers and simulated workers. */
export class ScaleCluster {
  readonly controllers: ControllerGroup;
  readonly machines = new Map<string, ClusterMachine>();
  readonly hosts: HostProcess[] = [];
  services: ChildProcess | null = null;
  serviceCounts: ServiceCounts | null = null;
  /** How many machines have been rented so far, including those that were released. */
  rentedCount = 0;
  /** Called with batches of events of tasks on machines. */
  onTaskEvents: (events: TaskEvent[]) => void = () => {};
  private readonly guard = new ProcessGuard();
  private readonly gangCoordinator: GangCoordinator;
  private nextHostIndex = 0;

  private constructor(private readonly setup: ClusterSetup) {
    const { options, program, dir } = setup;
    this.controllers = new ControllerGroup({ cluster: options, program, dir, guard: this.guard });
    // The members of a gang must end within gang_peer_s after a loss; simulated ones end after half of that.
    this.gangCoordinator = new GangCoordinator(options.workers.gang_peer_s * 500, (key, event) =>
      this.sendToAllHosts({ kind: 'gang', key, event }),
    );
  }

  /** Starts all processes, and waits until a controller has become leader. */
  static async start(setup: ClusterSetup): Promise<ScaleCluster> {
    const cluster = new ScaleCluster(setup);
    try {
      await cluster.startProcesses();
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    const children = [
      ...this.controllers.stopRestarting(),
      ...this.hosts.map((host) => host.process),
      ...(this.services === null ? [] : [this.services]),
    ].filter((child) => child.exitCode === null && child.signalCode === null);
    const exits = children.map(
      (child) => new Promise<void>((resolve) => child.once('exit', () => resolve())),
    );
    for (const { pid } of children) if (pid !== undefined) endGroup(pid);
    await Promise.all(exits);
    this.controllers.close();
    this.guard.close();
  }

  /** Machines that are up. */
  get upMachines(): ClusterMachine[] {
    return [...this.machines.values()].filter((machine) => machine.isUp);
  }

  /** Sends the descriptions of jobs to the hosts, which need them to run the tasks. */
  addJobs(jobs: JobDescription[]): void {
    this.sendToAllHosts({ kind: 'jobs', jobs });
  }

  /** Removes jobs that have ended from the hosts. */
  removeJobs(ids: string[]): void {
    this.sendToAllHosts({ kind: 'remove-jobs', ids });
  }

  /** Requests the counts of services and hosts; the responses arrive asynchronously. */
  requestCounts(): void {
    this.sendToServices({ kind: 'count' });
    this.sendToAllHosts({ kind: 'count' });
  }

  // ---- faults

  /** Terminates machines together with all tasks on them. */
  killMachines(ids: string[]): void {
    for (const id of ids) {
      this.sendToHostOf(id, { kind: 'die', id });
      this.machines.delete(id);
    }
    this.sendToServices({ kind: 'lost', ids });
  }

  /** Restarts the worker agent of a machine; it is available again at once. */
  restartMachine(id: string): void {
    this.sendToHostOf(id, { kind: 'restart', id });
  }

  /** Disconnects the machines of a zone from all controllers for `ms` milliseconds. */
  cutZone(zone: string, ms: number): void {
    this.sendToAllHosts({ kind: 'cut', zone, ms });
  }

  /** Makes the key-value store unavailable for `seconds`. */
  beginStoreOutage(seconds: number): void {
    this.sendToServices({ kind: 'outage', seconds });
  }

  // ---- processes

  private async startProcesses(): Promise<void> {
    await this.controllers.start(await this.startServices());
    for (let i = 0; i < this.setup.hostCount; i++) await this.startHost(i);
    await this.waitForLeader();
  }

  /**
   * Starts a child process that runs a module of the experiment and exchanges messages over an IPC channel.
   */
  private forkModule(module: string): ChildProcess {
    const child = fork(join(import.meta.dirname, module), {
      execArgv: ['--import', 'tsx'],
      serialization: 'advanced',
      detached: true,
    });
    this.guard.add(child);
    return child;
  }

  private startServices(): Promise<ServiceAddresses> {
    const child = this.forkModule('services-process.ts');
    this.services = child;
    this.sendToServices({ kind: 'begin', options: this.setup.options });
    return new Promise((resolve, reject) => {
      child.once('exit', () =>
        reject(
          new FailedRunError('the process of the key-value store and the cloud exited before it was ready'),
        ),
      );
      child.on('message', (message: FromServices) => {
        if (message.kind === 'ready') resolve({ state: message.state, cloud: message.cloud });
        else this.onServicesMessage(message);
      });
    });
  }

  private startHost(index: number): Promise<void> {
    const child = this.forkModule('worker-process.ts');
    const host: HostProcess = {
      process: child,
      counts: { workers: 0, heartbeats: 0, bytes: 0, lostByLease: 0 },
    };
    this.hosts.push(host);
    const { options, seed } = this.setup;
    const nodes = this.controllers.all.map(({ name, addr }) => ({ name, addr }));
    this.sendToHost(index, { kind: 'begin', options, nodes, seed: seed * 100 + index });
    return new Promise((resolve, reject) => {
      child.once('exit', () =>
        reject(new FailedRunError(`process ${index} of the simulated workers exited before it was ready`)),
      );
      child.on('message', (message: FromHost) =>
        message.kind === 'ready' ? resolve() : this.onHostMessage(host, message),
      );
    });
  }

  private async waitForLeader(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < deadline) {
      if ((await this.controllers.leaderOf(this.controllers.all)) !== null) return;
      await sleep(READY_POLL_INTERVAL_MS);
    }
    throw new FailedRunError(
      `no controller became leader within ${READY_TIMEOUT_MS / 1000} s; see the logs in ${this.setup.dir}`,
    );
  }

  // ---- messages

  private sendToServices(message: ToServices): void {
    if (this.services?.connected) this.services.send(message);
  }

  private sendToHost(index: number, message: ToHost): void {
    const { process: child } = this.hosts[index]!;
    if (child.connected) child.send(message);
  }

  private sendToAllHosts(message: ToHost): void {
    for (let i = 0; i < this.hosts.length; i++) this.sendToHost(i, message);
  }

  private sendToHostOf(id: string, message: ToHost): void {
    const machine = this.machines.get(id);
    if (machine !== undefined) this.sendToHost(machine.hostIndex, message);
  }

  private onServicesMessage(message: FromServices): void {
    switch (message.kind) {
      case 'rented': {
        const { machine } = message;
        const hostIndex = this.nextHostIndex++ % this.hosts.length;
        this.rentedCount++;
        this.machines.set(machine.id, { ...machine, hostIndex, isUp: false });
        return this.sendToHost(hostIndex, { kind: 'machine', machine });
      }
      case 'boot': {
        const machine = this.machines.get(message.id);
        if (machine !== undefined) machine.isUp = true;
        return this.sendToHostOf(message.id, { kind: 'boot', id: message.id });
      }
      case 'released':
        this.sendToHostOf(message.id, { kind: 'die', id: message.id });
        return void this.machines.delete(message.id);
      case 'counts':
        this.serviceCounts = message.counts;
    }
  }

  private onHostMessage(host: HostProcess, message: FromHost): void {
    switch (message.kind) {
      case 'listening':
        return this.sendToServices(message);
      case 'tasks':
        return this.onTaskEvents(message.events);
      case 'gang':
        return this.gangCoordinator.onMembershipChange(message);
      case 'counts':
        host.counts = message.counts;
    }
  }
}
