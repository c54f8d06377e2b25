// A cluster on one machine: stand-ins of state service, cloud and workers on loopback, and controllers as real processes.
import type { ChildProcess } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ExitReason, Heartbeat, HeartbeatResponse } from '../../../src/core/base/model.ts';
import { HttpClient } from '../../../src/http/client.ts';
import { isJobId } from '../../../src/protocol/job.ts';
import {
  decodeCommands,
  decodeHeartbeatResponse,
  encodeHeartbeat,
} from '../../../src/protocol/worker-agent.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import type { MachineId, TaskId, TypeName, ZoneName } from '../../../src/types/index.ts';
import { ClusterStorage } from './cluster-storage.ts';
import { nodeAddresses, spawnController } from './controller-process.ts';
import type { CloudEnvironment, FakeCloud } from './fake-cloud.ts';
import type { FakeStore } from './fake-store.ts';
import type { RunningTask, WorkerEnvironment } from './fake-worker.ts';
import { FakeWorker } from './fake-worker.ts';
import { error, type Listening, listen } from './json-server.ts';
import { type Fault, type LocalClusterOptions, readFault } from './options.ts';
import { OutsideServices } from './outside-services.ts';
import { endGroup, ProcessGuard } from './process-guard.ts';
import { settingsFile } from './settings-file.ts';
import { type Description, type Run, Tasks } from './task-runner.ts';

export interface LabSetup {
  /** The daemon: program and arguments before `serve`. */
  program: string[];
  /** Where settings, logs and what tasks write are put. */
  dir: string;
  /** Directory in which the state service's records are kept over restarts of the lab. */
  data?: string;
  log: (line: string) => void;
}

interface Controller {
  name: string;
  addr: string;
  process: ChildProcess | null;
  restarts: number;
}

const RESTART_MS = 1500;

export class LocalCluster implements CloudEnvironment, WorkerEnvironment {
  readonly workers = new Map<string, FakeWorker>();
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly nodeNames: string[];
  readonly state: FakeStore;
  readonly cloud: FakeCloud;
  private readonly services: OutsideServices;
  readonly controllers: Controller[] = [];
  private readonly guard = new ProcessGuard();
  private readonly tasks: Tasks;
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly serving: Listening[] = [];
  private readonly ends = new Map<FakeWorker, Listening>();
  private readonly lines = new Map<string, HttpClient>();
  private readonly random;
  /** Zones that are cut off, until when, and whether what is sent to them and from them is held. */
  private readonly cuts = new Map<string, { until: number; hold: boolean }>();
  private stopping = false;
  private data: ClusterStorage | null = null;
  /** Address of the lab itself. */
  addr = '';

  private constructor(
    private readonly options: LocalClusterOptions,
    private readonly setup: LabSetup,
  ) {
    const { lab, workers } = options;
    this.random = seededRandom(lab.seed);
    this.reportMs = workers.report_s * 1000;
    this.leaseMs = workers.lease_s * 1000;
    this.nodeNames = Array.from({ length: lab.controllers }, (_, i) => `node-${i}`);
    this.tasks = new Tasks(this, join(setup.dir, 'jobs'), this.guard, {
      speed: lab.speed,
      gangWaitS: workers.gang_wait_s,
      gangPeerS: workers.gang_peer_s,
    });
    this.services = new OutsideServices(this, options, this.random, (answer) => this.whenKept(answer));
    this.state = this.services.state;
    this.cloud = this.services.cloud;
  }

  static async start(options: LocalClusterOptions, setup: LabSetup): Promise<LocalCluster> {
    const lab = new LocalCluster(options, setup);
    try {
      await lab.begin();
    } catch (e) {
      await lab.stop();
      throw e;
    }
    return lab;
  }

  private async begin(): Promise<void> {
    const { dir } = this.setup;
    mkdirSync(dir, { recursive: true });
    if (this.setup.data !== undefined) await this.remember(this.setup.data);
    const state = await this.serve(0, this.services.serveState);
    const cloud = await this.serve(0, this.services.serveCloud);
    const at = await nodeAddresses(this.nodeNames.length, this.options.lab.zones);
    for (const n of at) {
      const file = join(dir, `${n.name}.json`);
      writeFileSync(file, settingsFile(this.options, n, at, { state: state.addr, cloud: cloud.addr }));
      const c: Controller = { name: n.name, addr: n.addr, process: null, restarts: 0 };
      this.controllers.push(c);
      this.lines.set(n.name, new HttpClient(n.addr, 64, 4 << 20));
      this.startController(c);
    }
    this.addr = (await this.serve(this.options.lab.port, (m, p, b, a) => this.serveLab(m, p, b, a))).addr;
  }

  private async remember(dir: string): Promise<void> {
    mkdirSync(dir, { recursive: true });
    const data = await ClusterStorage.open(dir, (e) =>
      this.setup.log(`records cannot be kept: ${e.message}`),
    );
    this.data = data;
    await data.attach(this.state);
    const { jobs, done } = await data.world();
    for (const [id, d] of jobs) this.tasks.describe(id, d);
    for (const t of done) this.tasks.remember(t as TaskId);
    this.tasks.onDone = (t) => data.done(t);
    this.cloud.made = await data.reserveNames();
  }

  /** Answers when what the answer tells of is on disk. */
  private async whenKept(answer: () => void): Promise<void> {
    if (this.data !== null) await this.data.kept();
    if (!this.stopping) answer();
  }

  private async serve(port: number, handler: Parameters<typeof listen>[1]): Promise<Listening> {
    const l = await listen(port, handler);
    this.serving.push(l);
    return l;
  }

  // ---- controllers

  private startController(c: Controller): void {
    if (this.stopping) return;
    const { dir, program, log } = this.setup;
    const child = spawnController(c.name, dir, program, this.guard);
    c.process = child;
    child.once('error', (e) => log(`${c.name} cannot be started: ${e.message}`));
    child.once('exit', (code, signal) => {
      c.process = null;
      if (this.stopping) return;
      log(`${c.name} has ended (${signal ?? code}) and is started again`);
      c.restarts++;
      this.after(RESTART_MS, () => this.startController(c));
    });
  }

  /** Resolves when a controller is ready for users. */
  async ready(withinMs = 30_000): Promise<void> {
    const until = this.now + withinMs;
    while (this.now < until && !this.stopping) {
      for (const c of this.controllers) if (await this.isReady(c)) return this.plan();
      await new Promise<void>((r) => this.after(100, r));
    }
    throw new Error(`no controller is ready; see the logs in ${this.setup.dir}`);
  }

  /** Faults of the options, from the first time that the lab is ready. */
  private plan(): void {
    for (const { atS, fault } of this.options.faults.splice(0))
      this.after(atS * 1000, () => {
        try {
          this.fault(fault);
        } catch (e) {
          this.setup.log((e as Error).message);
        }
      });
  }

  private isReady(c: Controller): Promise<boolean> {
    return new Promise((resolve) =>
      this.lines
        .get(c.name)!
        .call({ method: 'GET', path: '/ready', body: null, timeoutMs: 1000 }, (r) =>
          resolve(r?.status === 200),
        ),
    );
  }

  // ---- the stand-ins on sockets

  machine(id: MachineId, type: TypeName, zone: ZoneName, spot: boolean): FakeWorker {
    const w = new FakeWorker(this, id, type, zone, spot, this.random.below(this.nodeNames.length));
    this.workers.set(id, w);
    this.data?.named(this.cloud.made);
    listen(0, (method, path, body, answer) => this.serveWorker(w, method, path, body, answer)).then((l) => {
      w.addr = l.addr;
      if (w.dead || this.stopping) l.close();
      else this.ends.set(w, l);
    });
    return w;
  }

  private serveWorker(
    w: FakeWorker,
    method: string,
    path: string,
    body: unknown,
    answer: (a: Answered) => void,
  ): void {
    if (!w.up) return answer(error(503, 'it is not up yet'));
    if (method === 'GET' && path === '/inspect')
      return answer({ status: 200, body: encodeHeartbeat(w.report()) });
    if (method !== 'POST' || path !== '/orders') return answer(error(404, 'no such path'));
    const { token, session, commands } = decodeCommands(body);
    if (session === null) return answer(error(400, 'the session is missing'));
    const cut = this.cutOf(w);
    if (cut !== null) {
      if (cut.hold) this.after(cut.until - this.now, () => w.orders(token, session, commands, () => {}));
      return;
    }
    w.orders(token, session, commands, (r) => {
      if (r.kind === 'heartbeat')
        answer({ status: r.executed ? 200 : 409, body: encodeHeartbeat(r.heartbeat) });
    });
  }

  // ---- what workers need

  get now(): number {
    return performance.timeOrigin + performance.now();
  }

  after(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      if (!this.stopping) run();
    }, ms);
    this.timers.add(timer);
  }

  sendReport(
    worker: FakeWorker,
    node: string,
    report: Heartbeat,
    timeoutMs: number,
    done: (a: HeartbeatResponse | null) => void,
  ): void {
    const body = encodeHeartbeat(report);
    const cut = this.cutOf(worker);
    if (cut !== null) {
      const late = { method: 'POST', path: '/checkin', body, timeoutMs };
      if (cut.hold) this.after(cut.until - this.now, () => this.lines.get(node)!.call(late, () => {}));
      return this.after(timeoutMs, () => done(null));
    }
    this.lines.get(node)!.call({ method: 'POST', path: '/checkin', body, timeoutMs }, (r) => {
      let answer: HeartbeatResponse | null = null;
      try {
        if (r !== null) answer = decodeHeartbeatResponse(r.status, JSON.parse(r.body.toString('utf8')));
      } catch {}
      if (!this.stopping) done(answer);
    });
  }

  private cutOf(worker: FakeWorker): { until: number; hold: boolean } | null {
    const cut = this.cuts.get(worker.zone);
    return cut !== undefined && this.now < cut.until ? cut : null;
  }

  placed(): void {}

  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: number,
    end: (why: ExitReason) => void,
    is: (state: 'fetching' | 'waiting' | 'running') => void,
  ): RunningTask {
    const type = this.options.types[worker.type]!;
    const machine = { id: worker.id, fetchGbPerS: type.fetch_gb_per_s, cacheGb: type.cache_gb };
    return this.tasks.launch(machine, task, attempt, end, is);
  }

  gone(worker: FakeWorker): void {
    this.ends.get(worker)?.close();
    this.ends.delete(worker);
  }

  // ---- the lab's own address

  private serveLab(method: string, path: string, body: unknown, answer: (a: Answered) => void): void {
    const ok = (x: unknown): void => answer({ status: 200, body: JSON.stringify(x) });
    const [, what, id, index] = path.split('?', 1)[0]!.split('/');
    if (method === 'GET' && what === 'lab')
      return ok({
        controllers: this.controllers.map((c) => ({ name: c.name, addr: c.addr, up: c.process !== null })),
        machines: this.workers.size,
        dir: this.setup.dir,
      });
    if (method === 'PUT' && what === 'jobs' && isJobId(id ?? '')) {
      this.tasks.describe(id!, body as Description);
      this.data?.describe(id!, body as Description);
      this.whenKept(() => ok({}));
      return;
    }
    if (method === 'GET' && what === 'logs' && isJobId(id ?? '')) {
      const stream = path.endsWith('?stderr') ? 'stderr' : 'stdout';
      const file = this.tasks.logFile(`${id}/${index ?? '0'}` as TaskId, stream);
      if (file === null) return answer(error(404, 'this task was not started here'));
      try {
        return ok({ text: readFileSync(file, 'utf8') });
      } catch {
        return ok({ text: '' });
      }
    }
    if (method === 'POST' && what === 'faults') {
      try {
        return ok({ done: this.fault(readFault('fault', body)) });
      } catch (e) {
        return answer(error(400, (e as Error).message));
      }
    }
    answer(error(404, 'no such path'));
  }

  // ---- faults

  /** Does it and says what was done, in a sentence. */
  fault(f: Fault): string {
    const said = this.doFault(f);
    this.setup.log(said);
    return said;
  }

  private doFault(f: Fault): string {
    const ms = f.seconds * 1000;
    switch (f.kind) {
      case 'kill-controller': {
        const c = this.pick(f.name);
        endGroup(c.process!.pid!);
        return `${c.name} was killed`;
      }
      case 'freeze-controller': {
        const c = this.pick(f.name);
        const { pid } = c.process!;
        endGroup(pid!, 'SIGSTOP');
        this.after(ms, () => c.process?.pid === pid && endGroup(pid!, 'SIGCONT'));
        return `${c.name} is stopped for ${f.seconds} s`;
      }
      case 'state-outage':
        this.state.outage(f.seconds);
        return `the state service is down for ${f.seconds} s`;
      case 'state-silent':
        this.services.silentUntil = this.now + ms;
        return `the state service loses half of its answers for ${f.seconds} s`;
      case 'cloud-outage':
        this.cloud.down = true;
        this.after(ms, () => {
          this.cloud.down = false;
        });
        return `the cloud is down for ${f.seconds} s`;
      case 'machine-death': {
        const up = [...this.workers.values()].filter((w) => w.up && !w.dead);
        const dying = up.sort((a, b) => (a.id < b.id ? -1 : 1)).slice(0, f.count);
        for (const w of dying) this.takeAway(w);
        return `${dying.length} machines are gone`;
      }
      case 'spot-wave': {
        const spot = [...this.workers.values()].filter((w) => w.spot && w.up && !w.dead);
        for (const w of spot) {
          w.noticeS = f.seconds;
          this.after(ms, () => this.takeAway(w));
        }
        return `${spot.length} spot machines are taken back in ${f.seconds} s`;
      }
      case 'zone-cut':
      case 'zone-hold':
        if (f.zone === undefined || !this.options.lab.zones.includes(f.zone))
          throw new Error(`there is no zone ${f.zone}; ${this.options.lab.zones.join(', ')}`);
        this.cuts.set(f.zone, { until: this.now + ms, hold: f.kind === 'zone-hold' });
        return `zone ${f.zone} is cut off for ${f.seconds} s`;
      case 'state-late':
        this.services.lateUntil = this.now + ms;
        return `the state service executes late and does not answer, for ${f.seconds} s`;
    }
  }

  private pick(name: string | undefined): Controller {
    const up = this.controllers.filter((c) => c.process !== null && (name === undefined || c.name === name));
    if (up.length === 0) throw new Error(`${name ?? 'no controller'} is not up`);
    return up[this.random.below(up.length)]!;
  }

  private takeAway(w: FakeWorker): void {
    w.die();
    this.workers.delete(w.id);
  }

  // ---- for checks

  get runs(): readonly Run[] {
    return this.tasks.runs;
  }

  /** What the state service holds under a key. */
  recorded(key: string): unknown {
    return this.state.keys.get(key)?.value;
  }

  /** Ends everything that was started, by id. */
  async stop(): Promise<void> {
    this.stopping = true;
    for (const t of this.timers) clearTimeout(t);
    for (const w of [...this.workers.values()]) w.die();
    const ended = this.controllers.map(
      (c) => new Promise<void>((r) => (c.process === null ? r() : c.process.once('exit', () => r()))),
    );
    for (const c of this.controllers) if (c.process?.pid !== undefined) endGroup(c.process.pid);
    await Promise.all(ended);
    for (const l of this.lines.values()) l.close();
    for (const s of this.serving) s.close();
    await this.data?.close();
    this.guard.close();
  }
}

type Answered = { status: number; body: string } | null;
