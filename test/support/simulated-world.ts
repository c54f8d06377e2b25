// A small world in memory: state service, cloud, workers and controllers on one simulated clock, joined by
// a network that can delay, hold, drop and cut. It checks the users' rules while it runs.

import type { CloudEnvironment } from '../../packages/local-cluster/src/fake-cloud.ts';
import { FakeCloud } from '../../packages/local-cluster/src/fake-cloud.ts';
import { FakeStore } from '../../packages/local-cluster/src/fake-store.ts';
import type { RunningTask, WorkerEnvironment } from '../../packages/local-cluster/src/fake-worker.ts';
import { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import type { Effect, Input } from '../../src/core/base/io.ts';
import type {
  CloudReply,
  ExitReason,
  Heartbeat,
  HeartbeatResponse,
  JobSpec,
  PeerMessage,
  Settings,
  StoreReply,
  StoreRequest,
  UserRequest,
  UserResponse,
  WorkerReply,
} from '../../src/core/base/model.ts';
import { Controller } from '../../src/core/controller.ts';
import { CONFIGURED_LEADER_KEY, LEADER_KEY } from '../../src/core/storage/keys.ts';
import { seededRandom } from '../../src/runtime/random.ts';
import {
  type Instant,
  type JobId,
  type MachineId,
  type NodeId,
  parseTaskId,
  type TaskId,
  type TeamName,
  type TypeName,
  type WallTime,
  type ZoneName,
} from '../../src/types/index.ts';
import { EventQueue } from './event-queue.ts';
import type { RuleChecker } from './rule-checker.ts';

type Cut = 'drop' | 'hold';
const isOwnerKey = (key: string): boolean => key === LEADER_KEY || key === CONFIGURED_LEADER_KEY;

interface Member {
  done: () => void;
  exit: (why: ExitReason) => void;
  is: (state: 'waiting' | 'running') => void;
}

export const settings = (
  node: string,
  over: Partial<Settings> = {},
  names: readonly string[] = ['node-0', 'node-1', 'node-2'],
): Settings => ({
  node: node as NodeId,
  zone: 'north' as ZoneName,
  listen: '10.0.0.1:80',
  peerListen: '10.0.0.1:81',
  peers: names
    .filter((n) => n !== node)
    .map((n) => ({ node: n as NodeId, zone: 'north' as ZoneName, addr: '10.0.0.2:81' })),
  cloudAddr: '10.0.0.9:1',
  storeAddr: '10.0.0.8:1',
  zones: ['north', 'south'] as ZoneName[],
  teams: [
    { name: 'open' as TeamName, cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
    { name: 'small' as TeamName, cpus: 0, cpusMax: 6, gpus: 0, gpusMax: 0 },
  ],
  objectives: [],
  workers: { heartbeatS: 1, leaseS: 10, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
  store: { requestsPerS: 200, writesPerS: 100, maxValueKb: 8, maxTransactionOps: 24 },
  currentWritesPerS: 100,
  cloud: { requestsPerS: 5, listLagS: 2 },
  sockets: 100,
  ramMb: null,
  ...over,
});

export const job = (id: string, over: Partial<JobSpec> = {}): JobSpec => ({
  id: id as JobId,
  class: 'plain',
  team: 'open' as TeamName,
  kind: 'array',
  priority: 1,
  tasks: 1,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 0,
  machineTypes: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimatedRunS: 5,
  checkpointIntervalS: 0,
  checkpointDurationS: 0,
  deadlineS: null,
  ...over,
});

export type EffectListener = (nowMs: number, node: string, effect: Effect) => void;

export class SimulatedWorld implements CloudEnvironment, WorkerEnvironment {
  now = 0;
  readonly state = new FakeStore(this);
  readonly cloud = new FakeCloud(this);
  readonly workers = new Map<string, FakeWorker>();
  readonly nodes = new Map<string, Controller>();
  readonly nodeNames: string[] = ['node-0', 'node-1', 'node-2'];
  leaseMs = 10_000;
  readonly jobs = new Map<string, { spec: JobSpec; cancelledAt: number | null }>();
  readonly broken: string[] = [];
  readonly logs: string[] = [];
  private readonly frozen = new Map<string, Input[]>();
  /** Machines whose reports arrive, while answers and direct commands to them are lost. */
  readonly deaf = new Set<string>();
  /** Machines that reach no controller, while direct commands reach them. */
  readonly mute = new Set<string>();
  /** Which reports are kept, to arrive once more at every controller as soon as another one owns the share. */
  keepReport: (() => boolean) | null = null;
  private keptReports: Heartbeat[] = [];
  /** Kept reports that were older than what their machine had said since, as they arrived. */
  keptDelivered = 0;
  /** Milliseconds from the beginning of a term until what was kept arrives. */
  keptMs = 150;
  /** Machines to which everything is held up for so long. */
  readonly heldUpMs = new Map<string, number>();
  /** Of which reports a copy arrives once more: milliseconds later, or null for none. */
  copyMs: (() => number | null) | null = null;
  /** Copies that arrived after a newer report of the machine. */
  oldCopies = 0;
  /** When tasks that run end by themselves. */
  readonly endsAt = new Map<string, number>();
  /** How long the tasks of a job run, if not `runS`. */
  readonly runOf = new Map<string, number>();
  /** Hears of what happens, to judge it by the users' rules; see rules.ts. */
  rules: RuleChecker | null = null;
  /** Hears of every task that ends by itself. */
  onEnd: ((task: TaskId) => void) | null = null;
  /** Hears of everything that a controller sends, before it is delivered. */
  private readonly onEffect: EffectListener | null;
  /** Hears of every answer to a user. */
  onTold: ((a: UserResponse) => void) | null = null;
  private readonly gangs = new Map<string, Map<string, Member>>();
  /** Whether workers begin at all nodes in turn, rather than at the one that owns first. */
  spread = true;
  /** How long the state service takes beyond the network. */
  stateSlowMs = 0;
  /** How often workers report when nothing changes. */
  reportMs = 1000;
  /** How long tasks run. */
  runS = 5;
  private readonly events = new EventQueue();
  private readonly cuts = new Map<string, Cut>();
  private readonly heldBack: { a: string; b: string; run: () => void }[] = [];
  private readonly lives = new Map<string, number>();
  private readonly answers = new Map<number, (a: unknown) => void>();
  private nextReq = 1;
  private readonly over: Partial<Settings>;

  constructor(
    over: Partial<Settings> = {},
    names: string[] = ['node-0', 'node-1', 'node-2'],
    onEffect: EffectListener | null = null,
  ) {
    this.over = over;
    this.onEffect = onEffect;
    if (names.length > this.nodeNames.length) this.nodeNames = names;
    this.state.onChange = (c) => {
      if ('key' in c && isOwnerKey(c.key) && c.kept !== null)
        this.after(this.keptMs, () => this.deliverKept());
    };
    for (const name of names) this.start(name);
  }

  // ---- time

  at(ms: number, run: () => void): void {
    this.events.add(ms, run);
  }
  after(ms: number, run: () => void): void {
    this.at(this.now + ms, run);
  }
  run(seconds: number): void {
    const end = this.now + seconds * 1000;
    for (let e = this.events.next(end); e !== null; e = this.events.next(end)) {
      this.now = Math.max(this.now, e.at);
      e.run();
    }
    this.now = end;
  }
  until(what: () => boolean, seconds = 120): boolean {
    for (let i = 0; i < seconds * 5 && !what(); i++) this.run(0.2);
    return what();
  }

  // ---- network

  cut(a: string, b: string, mode: Cut): void {
    this.cuts.set(a < b ? `${a}|${b}` : `${b}|${a}`, mode);
  }
  heal(a: string, b: string): void {
    this.cuts.delete(a < b ? `${a}|${b}` : `${b}|${a}`);
    for (const h of this.heldBack.splice(0))
      if (!this.cutBetween(h.a, h.b)) this.after(1, h.run);
      else this.heldBack.push(h);
  }
  private cutBetween(a: string, b: string): Cut | undefined {
    return this.cuts.get(a < b ? `${a}|${b}` : `${b}|${a}`);
  }
  isCut(a: string, b: string): boolean {
    return this.cutBetween(a, b) !== undefined;
  }
  /** Delivers, holds or drops a message. */
  send(from: string, to: string, run: () => void): void {
    if (this.deaf.has(to)) return;
    const cut = this.cutBetween(from, to);
    if (cut === 'hold') this.heldBack.push({ a: from, b: to, run });
    else if (cut === undefined) this.after(2 + (this.heldUpMs.get(to) ?? 0), run);
  }
  /** A request with a time limit; null when no answer came in time. */
  call<T>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: (reply: (r: T) => void) => void,
    done: (r: T | null) => void,
  ): void {
    let open = true;
    const finish = (r: T | null) => {
      if (open) done(r);
      open = false;
    };
    this.after(timeoutMs, () => finish(null));
    this.send(from, to, () => serve((r) => this.send(to, from, () => finish(r))));
  }

  // ---- controllers

  start(name: string): void {
    const core = new Controller(
      settings(name, this.over, this.nodeNames),
      { ...schedulerOptions(defaults(), 1), threshold: 2 },
      seededRandom(name.length + this.events.n),
    );
    this.nodes.set(name, core);
    const life = (this.lives.get(name) ?? 0) + 1;
    this.lives.set(name, life);
    for (const other of this.nodes.keys()) {
      if (other === name) continue;
      this.input(name, { kind: 'peer-up', node: other as NodeId });
      this.input(other, { kind: 'peer-up', node: name as NodeId });
    }
    const tick = () => {
      if (this.lives.get(name) !== life || !this.nodes.has(name)) return;
      this.input(name, { kind: 'tick', memory: this.memory.get(name) ?? 0 });
      this.after(100 + (this.slowTicks.get(name) ?? 0), tick);
    };
    tick();
  }
  crash(name: string): void {
    this.nodes.delete(name);
    this.frozen.delete(name);
    this.lives.set(name, (this.lives.get(name) ?? 0) + 1);
    for (const other of this.nodes.keys()) this.input(other, { kind: 'peer-down', node: name as NodeId });
  }
  /** It does nothing from now on, and its links stay up; what comes waits for it. */
  freeze(name: string): void {
    if (!this.frozen.has(name)) this.frozen.set(name, []);
  }
  thaw(name: string): void {
    const waited = this.frozen.get(name) ?? [];
    this.frozen.delete(name);
    for (const input of waited) this.input(name, input);
  }
  /** Who the record says owns the share, under the key of shares with configuration documents or without. */
  get ownerOnRecord(): { node: string; term: number } | null {
    for (const key of [CONFIGURED_LEADER_KEY, LEADER_KEY]) {
      const kept = this.state.keys.get(key);
      const node = (kept?.value as { node?: string } | undefined)?.node;
      if (kept !== undefined && node !== undefined) return { node, term: kept.revision };
    }
    return null;
  }
  get owner(): string | undefined {
    for (const [name, c] of this.nodes) if (!this.frozen.has(name) && c.election.holdsLease) return name;
    return undefined;
  }
  input(name: string, input: Input): void {
    const core = this.nodes.get(name);
    if (core === undefined) return;
    const waiting = this.frozen.get(name);
    if (waiting !== undefined) {
      if (input.kind !== 'tick') waiting.push(input);
      return;
    }
    const life = this.lives.get(name);
    for (const e of core.step(this.now as Instant, (1e9 + this.now) as WallTime, input))
      this.effect(name, life, e);
  }
  private effect(name: string, life: number | undefined, e: Effect): void {
    this.onEffect?.(this.now, name, e);
    const alive = () => this.lives.get(name) === life && this.nodes.has(name);
    const give = (input: Input) => {
      if (alive()) this.input(name, input);
    };
    switch (e.kind) {
      case 'store':
        return this.call<StoreReply>(
          name,
          'state',
          e.timeoutMs,
          (reply) => this.after(this.stateSlowMs, () => this.state.serve(name, e.request, reply)),
          (r) => give({ kind: 'store', tag: e.tag, reply: r ?? { kind: 'no-answer' } }),
        );
      case 'cloud':
        return this.call<CloudReply>(
          name,
          'cloud',
          e.timeoutMs,
          (r) => r(this.cloud.serve(e.request)),
          (r) => give({ kind: 'cloud', tag: e.tag, reply: r ?? { kind: 'no-answer' } }),
        );
      case 'probe': {
        const w = [...this.workers.values()].find((x) => x.addr === e.addr);
        const serve = (r: (x: WorkerReply) => void) => w?.orders(e.fencingToken, e.agentEpoch, [], r);
        return this.call<WorkerReply>(name, w?.id ?? '?', e.timeoutMs, serve, (r) =>
          give({ kind: 'worker', tag: e.tag, reply: r ?? { kind: 'no-answer' } }),
        );
      }
      case 'peer':
        if (this.tapPeer?.(e.message) === false) return;
        return this.send(name, e.node, () => {
          const old = e.message.kind === 'hello' && this.oldForm.has(name);
          // What is sent shares no memory with the sender.
          const sent = structuredClone(e.message);
          const message = old
            ? {
                ...e.message,
                supportsDependencies: false,
                supportsForwarding: false,
                supportsConfigDocuments: false,
              }
            : sent;
          this.input(e.node, { kind: 'peer', node: name as NodeId, message });
        });
      case 'user-response':
      case 'heartbeat-response': {
        const answer = this.answers.get(e.requestId);
        this.answers.delete(e.requestId);
        return answer?.(e.response);
      }
      case 'log':
        this.logs.push(`${(this.now / 1000).toFixed(2)} ${name} ${e.message} ${JSON.stringify(e.fields)}`);
    }
  }
  request(name: string, make: (req: number) => Input, answer: (a: never) => void): void {
    const req = this.nextReq++;
    this.answers.set(req, answer as (a: unknown) => void);
    this.input(name, make(req));
  }

  /** Whether the record says that the job is done. */
  doneOnRecord(id: string): boolean {
    return (this.state.keys.get(`f/${id}`)?.value as { s?: string } | undefined)?.s === 'done';
  }
  /** Looks at what controllers say to each other; false loses the message. */
  tapPeer: ((m: PeerMessage) => boolean) | null = null;
  /** Nodes whose timers fire late, by so many milliseconds. */
  readonly slowTicks = new Map<string, number>();
  /** The part of their memory that nodes use. */
  readonly memory = new Map<string, number>();
  /** Nodes that greet others as versions before chained jobs do. */
  readonly oldForm = new Set<string>();

  // ---- users

  ask(name: string, request: UserRequest): { answer: UserResponse | null } {
    const box: { answer: UserResponse | null } = { answer: null };
    const sentAt = this.now;
    this.rules?.asked(this.now, request);
    if (request.op === 'submit')
      this.jobs.set(
        request.spec.id,
        this.jobs.get(request.spec.id) ?? { spec: request.spec, cancelledAt: null },
      );
    this.call<UserResponse>(
      'user',
      name,
      request.op === 'status' ? 2000 : 5000,
      (reply) => {
        this.request(
          name,
          (requestId) => ({ kind: 'user', requestId, request }),
          (a: UserResponse) => reply(a),
        );
      },
      (a) => {
        box.answer = a;
        if (a !== null) this.rules?.told(this.now, sentAt, request, a);
        if (a !== null) this.onTold?.(a);
        if (a?.kind === 'ended' && a.status === 'cancelled') {
          const j = this.jobs.get(a.id);
          if (j !== undefined) j.cancelledAt ??= this.now;
        }
      },
    );
    return box;
  }
  /** Asks until it is answered with something else than to come back later. */
  insist(request: UserRequest, node = 'node-0', seconds = 30): UserResponse | null {
    for (let i = 0; i < seconds; i++) {
      const box = this.ask(node, request);
      this.until(() => box.answer !== null, 5);
      if (box.answer !== null && box.answer.kind !== 'retry') return box.answer;
      this.run(1);
    }
    return null;
  }
  submit(spec: JobSpec, node = 'node-0'): UserResponse | null {
    return this.insist({ op: 'submit', spec }, node);
  }
  status(id: string, node = 'node-0'): UserResponse | null {
    return this.insist({ op: 'status', id: id as JobId }, node);
  }
  isDone(id: string, node = 'node-0'): boolean {
    const a = this.status(id, node);
    return a?.kind === 'ended' && a.status === 'done';
  }

  // ---- machines

  machine(id: string, type: TypeName, zone: ZoneName, spot: boolean): FakeWorker {
    const w = new FakeWorker(
      this,
      id as MachineId,
      type,
      zone,
      spot,
      this.spread ? this.workers.size % this.nodeNames.length : 0,
    );
    this.workers.set(id, w);
    return w;
  }
  sendReport(
    worker: FakeWorker,
    node: string,
    report: Heartbeat,
    timeoutMs: number,
    done: (a: HeartbeatResponse | null) => void,
  ): void {
    if (this.mute.has(worker.id)) return this.after(timeoutMs, () => done(null));
    if (this.keepReport?.() === true) this.keptReports.push(structuredClone(report));
    const copyMs = this.copyMs?.() ?? null;
    // What is sent shares no memory with the sender, nor with what has been read of it.
    const copy = (): Input & { kind: 'heartbeat' } => ({
      kind: 'heartbeat',
      requestId: 0,
      heartbeat: structuredClone(report),
    });
    if (copyMs !== null)
      this.after(copyMs, () => {
        if (worker.session > report.agentEpoch || worker.seq > report.seq) this.oldCopies++;
        this.deliver(node, report);
      });
    this.call<HeartbeatResponse>(
      worker.id,
      node,
      timeoutMs,
      (reply) => {
        // Nobody listens there: the connection is refused.
        if (!this.nodes.has(node)) return reply(null as never);
        this.request(
          node,
          (requestId) => ({ ...copy(), requestId }),
          (a: HeartbeatResponse) => reply(a),
        );
      },
      done,
    );
  }
  /** A copy of a report reaches a node; nobody waits for the answer. */
  deliver(node: string, report: Heartbeat): void {
    if (!this.nodes.has(node)) return;
    this.request(
      node,
      (requestId) => ({ kind: 'heartbeat', requestId, heartbeat: structuredClone(report) }),
      () => {},
    );
  }
  private deliverKept(): void {
    for (const report of this.keptReports.splice(0)) {
      const worker = this.workers.get(report.machine);
      if (worker === undefined || worker.session > report.agentEpoch || worker.seq > report.seq)
        this.keptDelivered++;
      for (const node of [...this.nodes.keys()]) this.deliver(node, report);
    }
  }
  launch(
    _worker: FakeWorker,
    task: TaskId,
    attempt: number,
    ended: (why: ExitReason) => void,
    is: (state: 'waiting' | 'running') => void,
  ): RunningTask {
    const { job } = parseTaskId(task);
    const spec = this.jobs.get(job)?.spec;
    const runMs = (this.runOf.get(job) ?? this.runS) * 1000;
    const done = () => {
      this.rules?.completed(task);
      this.onEnd?.(task);
      ended('done');
    };
    if (spec?.kind === 'gang') return this.join(spec, task, attempt, runMs, { done, exit: ended, is });
    if (spec?.kind !== 'service') {
      this.endsAt.set(task, this.now + runMs);
      this.after(runMs, done);
    }
    return { stop: (_graceS, over) => over(false), kill: () => {} };
  }

  /** The tasks of a gang find one another by their attempt: they run, complete and end together. */
  private join(spec: JobSpec, task: TaskId, attempt: number, runMs: number, m: Member): RunningTask {
    const key = `${spec.id}@${attempt}`;
    const gang = this.gangs.get(key) ?? new Map<string, Member>();
    this.gangs.set(key, gang);
    gang.set(task, m);
    const { gangWaitS, gangPeerS } = settings('node-0', this.over).workers;
    if (gang.size === spec.tasks) {
      for (const x of gang.values()) x.is('running');
      this.after(runMs, () => {
        if (gang.size === spec.tasks) for (const x of [...gang.values()]) x.done();
      });
    } else {
      // Told as what it is at the next moment: it begins as running.
      this.after(0, () => gang.get(task) === m && gang.size < spec.tasks && m.is('waiting'));
      this.after(gangWaitS * 1000, () => gang.get(task) === m && gang.size < spec.tasks && m.exit('alone'));
    }
    const leave = () => {
      const ran = gang.size === spec.tasks;
      if (gang.get(task) === m) gang.delete(task);
      if (ran)
        this.after(gangPeerS * 1000, () => {
          for (const [t, x] of [...gang]) if (gang.delete(t)) x.exit('peers');
        });
    };
    return {
      stop: (_graceS, over) => {
        leave();
        over(false);
      },
      kill: leave,
    };
  }
  gone(): void {}

  /** The rules that a start can break. */
  placed(worker: FakeWorker, task: TaskId): void {
    this.rules?.placing(this.now, task, worker);
    const { job } = parseTaskId(task);
    const fault = (what: string) =>
      this.broken.push(`${(this.now / 1000).toFixed(2)} ${what}: ${task} on ${worker.id}`);
    for (const w of this.workers.values())
      if (w.live().some((t) => t.task === task)) fault(`ran_twice with ${w.id}`);
    const j = this.jobs.get(job);
    if (j === undefined) return void fault('unknown job');
    if (j.cancelledAt !== null && this.now > j.cancelledAt + 40_000) fault('ran_cancelled');
    const { spec } = j;
    for (const id of spec.dependsOn ?? []) if (!this.doneOnRecord(id)) fault(`too_early for ${id}`);
    if (
      (spec.machineTypes !== null && !spec.machineTypes.includes(worker.type)) ||
      (worker.spot && !spec.spot)
    )
      fault('wrong_place');
    if (spec.zone !== null && spec.zone !== worker.zone) fault('wrong_place');
    const zones = [...this.workers.values()].flatMap((w) =>
      w
        .live()
        .filter((t) => t.job === job)
        .map(() => w.zone),
    );
    if (spec.oneZone && zones.some((z) => z !== worker.zone)) fault('wrong_place');
    if (spec.spread && zones.filter((z) => z === worker.zone).length >= Math.ceil(spec.tasks / 2))
      fault('wrong_place');
    const used = [...this.workers.values()]
      .flatMap((w) => w.live())
      .reduce((n, t) => {
        const s = this.jobs.get(t.job)?.spec;
        return s?.team === spec.team ? n + s.cpus : n;
      }, spec.cpus);
    if (spec.team === 'small' && used > 6) fault(`quota ${used}`);
  }

  /** Machines that hold a task of the job, in any state but exited. */
  holders(id: string): string[] {
    return [...this.workers.values()].filter((w) => w.live().some((t) => t.job === id)).map((w) => w.id);
  }
  stateOps(kind: StoreRequest['kind']): number {
    return this.state.served.filter((op) => op.kind === kind).length;
  }
}
