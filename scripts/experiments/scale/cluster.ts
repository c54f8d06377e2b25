// The processes of the scale drill: real controllers, one process with state service and cloud, and hosts of hollow workers.
// Everything that is started ends with this process, however it goes.
import { type ChildProcess, fork } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  endGroup,
  Guard,
  type NodeAddress,
  nodeAddresses,
  type ServiceCounts,
  settingsFile,
  spawnController,
} from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';
import type { Settings } from '../../../src/core/base/model.ts';
import { HttpClient } from '../../../src/http/client.ts';
import { parseSettings } from '../../../src/protocol/settings.ts';
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

export interface ClusterSetup {
  options: LocalClusterOptions;
  /** The daemon: program and arguments before `serve`. */
  program: string[];
  dir: string;
  hosts: number;
  seed: number;
}

export interface ControllerProcess extends NodeAddress {
  process: ChildProcess | null;
  /** Ends that nobody asked for. */
  ended: number;
  /** Asks the node about itself, and makes users' requests. */
  client: HttpClient;
}

interface HostProcess {
  process: ChildProcess;
  counts: HostCounts;
}

interface GangState {
  members: Set<string>;
  started: boolean;
}

/** What a node tells of itself; see Controller.describe. */
export interface NodeStatus {
  owner: string | null;
  recovered: boolean | null;
  process?: { heapMb?: number };
  [field: string]: unknown;
}

const RESTART_MS = 1500;
const STATUS_MS = 1000;
const ANSWER_MAX = 4 << 20;
const SOCKETS = 12_000;

export class ScaleCluster {
  readonly controllers: ControllerProcess[] = [];
  readonly machines = new Map<string, RentedMachine & { host: number; up: boolean }>();
  onTasks: (events: TaskEvent[]) => void = () => {};
  services: ChildProcess | null = null;
  readonly hosts: HostProcess[] = [];
  serviceCounts: ServiceCounts | null = null;
  rented = 0;
  stateAddr = '';
  private cloudAddr = '';
  private readonly guard = new Guard();
  private readonly gangs = new Map<string, GangState>();
  private stopping = false;
  private nextHost = 0;

  private constructor(private readonly setup: ClusterSetup) {}

  static async start(setup: ClusterSetup): Promise<ScaleCluster> {
    const c = new ScaleCluster(setup);
    try {
      await c.begin();
    } catch (e) {
      await c.stop();
      throw e;
    }
    return c;
  }

  private async begin(): Promise<void> {
    await this.startServices();
    await this.startControllers();
    for (let i = 0; i < this.setup.hosts; i++) await this.startHost(i);
    await this.ready();
  }

  /** A child that runs one of the drill's own modules and speaks over a channel. */
  private forked(module: string): ChildProcess {
    const child = fork(join(import.meta.dirname, module), {
      execArgv: ['--import', 'tsx'],
      serialization: 'advanced',
      detached: true,
    });
    this.guard.add(child);
    return child;
  }

  private startServices(): Promise<void> {
    const child = this.forked('services-process.ts');
    this.services = child;
    this.toServices({ kind: 'begin', options: this.setup.options });
    return new Promise((resolve, reject) => {
      child.once('exit', () => reject(new Error('the process with the state service has ended')));
      child.on('message', (m: FromServices) => {
        if (m.kind === 'ready') {
          this.stateAddr = m.state;
          this.cloudAddr = m.cloud;
          resolve();
        } else this.fromServices(m);
      });
    });
  }

  private startHost(index: number): Promise<void> {
    const child = this.forked('hollow-process.ts');
    const host: HostProcess = {
      process: child,
      counts: { workers: 0, reports: 0, bytes: 0, lostByLease: 0 },
    };
    this.hosts.push(host);
    const nodes = this.controllers.map(({ name, addr }) => ({ name, addr }));
    this.toHost(index, {
      kind: 'begin',
      options: this.setup.options,
      nodes,
      seed: this.setup.seed * 100 + index,
    });
    return new Promise((resolve, reject) => {
      child.once('exit', () => reject(new Error('a process with hollow workers has ended')));
      child.on('message', (m: FromHost) => (m.kind === 'ready' ? resolve() : this.fromHost(host, m)));
    });
  }

  private async startControllers(): Promise<void> {
    const { options, dir } = this.setup;
    const nodes = await nodeAddresses(options.lab.controllers, options.lab.zones);
    const outside = { state: this.stateAddr, cloud: this.cloudAddr };
    for (const n of nodes) {
      writeFileSync(join(dir, `${n.name}.json`), settingsFile(options, n, nodes, outside, SOCKETS));
      const client = new HttpClient(n.addr, 16, ANSWER_MAX);
      const c: ControllerProcess = { ...n, process: null, ended: 0, client };
      this.controllers.push(c);
      this.startController(c);
    }
  }

  private startController(c: ControllerProcess): void {
    if (this.stopping || c.process !== null) return;
    const { dir, program } = this.setup;
    const child = spawnController(c.name, dir, program, this.guard);
    c.process = child;
    child.once('exit', (_code, signal) => {
      c.process = null;
      if (signal === null) c.ended++;
      setTimeout(() => this.startController(c), RESTART_MS);
    });
  }

  private async ready(): Promise<void> {
    const until = Date.now() + 30_000;
    while (Date.now() < until) {
      if ((await this.owner()) !== null) return;
      await new Promise((r) => setTimeout(r, 100));
    }
    throw new Error(`no controller owns the jobs; see the logs in ${this.setup.dir}`);
  }

  // ---- messages

  private toServices(m: ToServices): void {
    if (this.services?.connected) this.services.send(m);
  }

  private toHost(index: number, m: ToHost): void {
    const { process: child } = this.hosts[index]!;
    if (child.connected) child.send(m);
  }

  private toAllHosts(m: ToHost): void {
    for (let i = 0; i < this.hosts.length; i++) this.toHost(i, m);
  }

  private toMachine(id: string, message: (id: string) => ToHost): void {
    const m = this.machines.get(id);
    if (m !== undefined) this.toHost(m.host, message(id));
  }

  private fromServices(m: FromServices): void {
    switch (m.kind) {
      case 'rented': {
        const host = this.nextHost++ % this.hosts.length;
        this.rented++;
        this.machines.set(m.machine.id, { ...m.machine, host, up: false });
        return this.toHost(host, { kind: 'machine', machine: m.machine });
      }
      case 'boot': {
        const machine = this.machines.get(m.id);
        if (machine !== undefined) machine.up = true;
        return this.toMachine(m.id, (id) => ({ kind: 'boot', id }));
      }
      case 'released':
        this.toMachine(m.id, (id) => ({ kind: 'die', id }));
        return void this.machines.delete(m.id);
      case 'counts':
        this.serviceCounts = m.counts;
    }
  }

  private fromHost(host: HostProcess, m: FromHost): void {
    switch (m.kind) {
      case 'listening':
        return this.toServices(m);
      case 'tasks':
        return this.onTasks(m.events);
      case 'gang':
        return this.gang(m);
      case 'counts':
        host.counts = m.counts;
    }
  }

  /** The tasks of a gang are on machines of several hosts. */
  private gang({ key, task, tasks, what }: Extract<FromHost, { kind: 'gang' }>): void {
    const gang = this.gangs.get(key) ?? { members: new Set<string>(), started: false };
    this.gangs.set(key, gang);
    if (what === 'joined') {
      gang.members.add(task);
      if (gang.started || gang.members.size < tasks) return;
      gang.started = true;
      return this.toAllHosts({ kind: 'gang', key, what: 'start' });
    }
    gang.members.delete(task);
    if (gang.members.size === 0) this.gangs.delete(key);
    if (!gang.started) return;
    gang.started = false;
    const noticedMs = this.setup.options.workers.gang_peer_s * 500;
    setTimeout(() => this.toAllHosts({ kind: 'gang', key, what: 'fail' }), noticedMs);
  }

  // ---- for the drill

  get up(): (RentedMachine & { host: number; up: boolean })[] {
    return [...this.machines.values()].filter((m) => m.up);
  }

  /** What the first controller was started with. */
  settings(): Settings {
    const file = join(this.setup.dir, `${this.controllers[0]!.name}.json`);
    return parseSettings(file, readFileSync(file, 'utf8'));
  }

  describe(jobs: JobDescription[]): void {
    this.toAllHosts({ kind: 'jobs', jobs });
  }

  forget(ids: string[]): void {
    this.toAllHosts({ kind: 'forget-jobs', ids });
  }

  /** Asks services and hosts for their counts; they are there a moment later. */
  askCounts(): void {
    this.toServices({ kind: 'count' });
    this.toAllHosts({ kind: 'count' });
  }

  status(c: ControllerProcess): Promise<NodeStatus | null> {
    return new Promise((resolve) =>
      c.client.call({ method: 'GET', path: '/status', body: null, timeoutMs: STATUS_MS }, (r) => {
        try {
          resolve(r?.status === 200 ? (JSON.parse(r.body.toString('utf8')) as NodeStatus) : null);
        } catch {
          resolve(null);
        }
      }),
    );
  }

  /** The controller that owns the jobs and has heard all machines, as it says itself. */
  async owner(): Promise<ControllerProcess | null> {
    const all = await Promise.all(this.controllers.map((c) => this.status(c)));
    const at = all.findIndex((s, i) => s?.owner === this.controllers[i]!.name && s.recovered === true);
    return this.controllers[at] ?? null;
  }

  kill(c: ControllerProcess): void {
    if (c.process?.pid !== undefined) endGroup(c.process.pid);
  }

  freeze(c: ControllerProcess, ms: number): void {
    const pid = c.process?.pid;
    if (pid === undefined) return;
    endGroup(pid, 'SIGSTOP');
    setTimeout(() => c.process?.pid === pid && endGroup(pid, 'SIGCONT'), ms);
  }

  /** Machines that die with all that is on them. */
  loseMachines(ids: string[]): void {
    for (const id of ids) {
      this.toMachine(id, (m) => ({ kind: 'die', id: m }));
      this.machines.delete(id);
    }
    this.toServices({ kind: 'lost', ids });
  }

  restartMachine(id: string): void {
    this.toMachine(id, (m) => ({ kind: 'restart', id: m }));
  }

  cutZone(zone: string, ms: number): void {
    this.toAllHosts({ kind: 'cut', zone, ms });
  }

  outage(seconds: number): void {
    this.toServices({ kind: 'outage', seconds });
  }

  async stop(): Promise<void> {
    this.stopping = true;
    const children = [
      ...this.controllers.map((c) => c.process),
      ...this.hosts.map((h) => h.process),
      this.services,
    ].filter((p): p is ChildProcess => p !== null && p.exitCode === null && p.signalCode === null);
    const ended = children.map((p) => new Promise<void>((resolve) => p.once('exit', () => resolve())));
    for (const p of children) if (p.pid !== undefined) endGroup(p.pid);
    await Promise.all(ended);
    for (const c of this.controllers) c.client.close();
    this.guard.close();
  }
}
