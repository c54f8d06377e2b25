// The processes of the scale experiment: real controllers, one process with key-value store and cloud, and
// hosts of simulated workers. Everything that is started ends with this process, however it goes.
import { type ChildProcess, fork } from 'node:child_process';
import { join } from 'node:path';
import { endGroup, Guard, type ServiceCounts } from '../../../packages/local-cluster/src/index.ts';
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

/** The size of a cluster, and where it is. */
export interface ClusterSetup {
  options: LocalClusterOptions;
  /** The daemon: program and arguments before `serve`. */
  program: string[];
  dir: string;
  hostCount: number;
  seed: number;
}

/** A process that hosts simulated workers, and what it has counted. */
export interface HostProcess {
  process: ChildProcess;
  counts: HostCounts;
}

/** A machine that the cloud has rented out, and the host that it is on. */
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
  /** Machines that were ever rented. */
  rentedCount = 0;
  /** Is told of tasks on machines, in batches. */
  onTaskEvents: (events: TaskEvent[]) => void = () => {};
  private readonly guard = new Guard();
  private readonly gangCoordinator: GangCoordinator;
  private nextHostIndex = 0;

  private constructor(private readonly setup: ClusterSetup) {
    const { options, program, dir } = setup;
    this.controllers = new ControllerGroup({ cluster: options, program, dir, guard: this.guard });
    // Members notice a loss within half of the time after which they end.
    this.gangCoordinator = new GangCoordinator(options.workers.gang_peer_s * 500, (key, what) =>
      this.sendToAllHosts({ kind: 'gang', key, what }),
    );
  }

  /** Starts all processes, and waits until a controller leads. */
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
    const ended = children.map(
      (child) => new Promise<void>((resolve) => child.once('exit', () => resolve())),
    );
    for (const { pid } of children) if (pid !== undefined) endGroup(pid);
    await Promise.all(ended);
    this.controllers.close();
    this.guard.close();
  }

  /** Machines that are up. */
  get upMachines(): ClusterMachine[] {
    return [...this.machines.values()].filter((machine) => machine.isUp);
  }

  /** Says what the tasks of jobs are like. */
  addJobs(jobs: JobDescription[]): void {
    this.sendToAllHosts({ kind: 'jobs', jobs });
  }

  /** These jobs are over. */
  removeJobs(ids: string[]): void {
    this.sendToAllHosts({ kind: 'forget-jobs', ids });
  }

  /** Asks services and hosts for their counts; they are there a moment later. */
  requestCounts(): void {
    this.sendToServices({ kind: 'count' });
    this.sendToAllHosts({ kind: 'count' });
  }

  // ---- faults

  /** Machines that die with all that is on them. */
  killMachines(ids: string[]): void {
    for (const id of ids) {
      this.sendToHostOf(id, { kind: 'die', id });
      this.machines.delete(id);
    }
    this.sendToServices({ kind: 'lost', ids });
  }

  /** The machine's agent ends and is back at once. */
  restartMachine(id: string): void {
    this.sendToHostOf(id, { kind: 'restart', id });
  }

  /** The machines of a zone reach no controller for so long. */
  cutZone(zone: string, ms: number): void {
    this.sendToAllHosts({ kind: 'cut', zone, ms });
  }

  /** The key-value store answers nobody for so long. */
  beginStoreOutage(seconds: number): void {
    this.sendToServices({ kind: 'outage', seconds });
  }

  // ---- processes

  private async startProcesses(): Promise<void> {
    await this.controllers.start(await this.startServices());
    for (let i = 0; i < this.setup.hostCount; i++) await this.startHost(i);
    await this.waitForLeader();
  }

  /** A child that runs one of the experiment's own modules and speaks over a channel. */
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
        reject(new FailedRunError('the process with the key-value store has ended before its time')),
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
        reject(new FailedRunError('a process with simulated workers has ended before its time')),
      );
      child.on('message', (message: FromHost) =>
        message.kind === 'ready' ? resolve() : this.onHostMessage(host, message),
      );
    });
  }

  private async waitForLeader(): Promise<void> {
    const until = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < until) {
      if ((await this.controllers.leaderOf(this.controllers.all)) !== null) return;
      await sleep(READY_POLL_INTERVAL_MS);
    }
    throw new FailedRunError(`no controller owns the jobs; see the logs in ${this.setup.dir}`);
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
        const host = this.nextHostIndex++ % this.hosts.length;
        this.rentedCount++;
        this.machines.set(machine.id, { ...machine, hostIndex: host, isUp: false });
        return this.sendToHost(host, { kind: 'machine', machine });
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
