// The load that `hotpath` puts on a core: machines, records and users on a simulated clock, as plain as can be, so
// that what is measured is the core. Only time spent in it and in the codecs beside it is counted.

import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import type * as autoscaler from '../../src/core/autoscaling/autoscaler.ts';
import type { Effect, Input } from '../../src/core/base/io.ts';
import type {
  CloudReply,
  CloudRequest,
  Heartbeat,
  PeerMessage,
  Settings,
  StoreItem,
  StoreReply,
  StoreRequest,
  Team,
} from '../../src/core/base/model.ts';
import type * as controller from '../../src/core/controller.ts';
import type * as taskListDelta from '../../src/core/heartbeats/task-list-delta.ts';
import type * as scheduler from '../../src/core/scheduling/scheduler.ts';
import type * as parser from '../../src/http/parser.ts';
import type * as jobCodec from '../../src/protocol/job.ts';
import type * as peerCodec from '../../src/protocol/peer.ts';
import type * as userCodec from '../../src/protocol/user-response.ts';
import type * as workerCodec from '../../src/protocol/worker.ts';
import type * as random from '../../src/runtime/random.ts';
import type { NodeId, TeamName, ZoneName } from '../../src/types/index.ts';
import { EventQueue } from '../../test/support/event-queue.ts';

type Controller = controller.Controller;

/** What is measured of a bundle of the library. */
export type Lib = Pick<typeof controller, 'Controller'> &
  Pick<typeof scheduler, 'Scheduler'> &
  Pick<typeof autoscaler, 'Autoscaler'> &
  Pick<typeof parser, 'HttpParser'> &
  Pick<typeof workerCodec, 'parseHeartbeat' | 'encodeHeartbeatResponse'> &
  Pick<typeof jobCodec, 'parseJob'> &
  Pick<typeof userCodec, 'encodeUserResponse'> &
  Pick<typeof peerCodec, 'encodePeerMessage' | 'PeerDecoder'> &
  Pick<typeof taskListDelta, 'diffTaskLists'> &
  Pick<typeof random, 'seededRandom'>;

export type Kind = 'report' | 'submit' | 'poll' | 'write' | 'pass' | 'plan' | 'tick';
export interface Figures {
  /** Microseconds of processor time an input of each kind. */
  us: Record<Kind, number>;
  n: Record<Kind, number>;
  /** Milliseconds of processor time from the new owner's term to all machines heard, and simulated seconds. */
  takeoverMs: number;
  takeoverS: number;
  heapMb: number;
}

const REPORT_MS = 5000;
const CHANGE_MS = 500;
const BOOT_MS = 20_000;

interface Piece {
  piece: string;
  try: number;
  status: string;
  cause?: string;
  ends: number;
}
interface Worker {
  berth: string;
  tally: number;
  baton: number;
  pieces: Map<string, Piece>;
  sentAt: number;
  dueAt: number;
  waiting: boolean;
  scheduled: number;
  /** It speaks to another node, which passes its reports on; what the owner has read of it through that node. */
  fronted: boolean;
  read: Heartbeat | null;
  sent: Heartbeat | null;
}

const team = (name: string): Team => ({
  name: name as TeamName,
  cpus: 0,
  cpusMax: 0,
  gpus: 0,
  gpusMax: 0,
});

const settingsFor = (node: string): Settings => ({
  node: node as NodeId,
  zone: 'east' as ZoneName,
  listen: '10.0.0.1:80',
  peerListen: '10.0.0.1:81',
  peers: [],
  cloudAddr: '10.0.0.9:1',
  storeAddr: '10.0.0.8:1',
  zones: ['east', 'west'] as ZoneName[],
  teams: [team('a'), team('b')],
  objectives: [{ kind: 'wait', class: 'joint', withinS: 20, share: 0.9, times: null }],
  workers: { heartbeatS: REPORT_MS / 1000, leaseS: 24, gangWaitS: 35, gangPeerS: 8, cancelS: 49 },
  store: { requestsPerS: 1000, writesPerS: 600, maxValueKb: 8, maxTransactionOps: 24 },
  currentWritesPerS: 600,
  cloud: { requestsPerS: 50, listLagS: 1 },
  sockets: 10_000,
  ramMb: null,
});

const none = (): Record<Kind, number> => ({
  report: 0,
  submit: 0,
  poll: 0,
  write: 0,
  pass: 0,
  plan: 0,
  tick: 0,
});

export class Load {
  now = 0;
  private readonly agenda = new EventQueue();
  private readonly keys = new Map<string, { v: unknown; stamp: number }>();
  private sorted: string[] | null = null;
  private ledger = 100;
  private readonly watches: { prefix: string; from: number; tag: number; to: Controller; ends: number }[] =
    [];
  private log: { key: string; stamp: number }[] = [];
  private readonly workers = new Map<string, Worker>();
  private core: Controller;
  private readonly random: ReturnType<typeof random.seededRandom>;
  private readonly answers = new Map<number, (a: never) => void>();
  private req = 1;
  private made = 0;
  private submitted = 0;
  private readonly openJobs: string[] = [];
  readonly spent: Record<Kind, number> = none();
  readonly count: Record<Kind, number> = none();
  private inner = 0;
  measuring = false;
  private hold = 1;

  constructor(
    private readonly lib: Lib,
    private readonly machines: number,
  ) {
    this.random = lib.seededRandom(7);
    this.wrap(lib.Scheduler.prototype, 'runCycle', 'pass');
    this.wrap(lib.Autoscaler.prototype, 'tick', 'plan');
    this.core = this.start('n-0');
  }

  /** Time spent in a method is counted for itself, not for the input that led to it. */
  private wrap<T extends object>(proto: T, name: keyof T & string, kind: Kind): void {
    const of = proto as unknown as Record<string, (...a: unknown[]) => unknown>;
    const inner = of[name]!;
    const load = this;
    of[name] = function (...a: unknown[]) {
      const t = process.hrtime.bigint();
      const r = inner.apply(this, a);
      const d = Number(process.hrtime.bigint() - t) / 1000;
      load.inner += d;
      if (load.measuring && r !== false) {
        load.spent[kind] += d;
        load.count[kind]++;
      }
      return r;
    };
  }

  private start(node: string): Controller {
    const core = new this.lib.Controller(
      settingsFor(node),
      schedulerOptions(defaults(), REPORT_MS / 1000),
      this.lib.seededRandom(3),
    );
    const tick = (): void => {
      if (this.core !== core) return;
      this.step(core, { kind: 'tick' }, 'tick');
      this.agenda.add(this.now + 100, tick);
    };
    this.agenda.add(this.now, tick);
    return core;
  }

  private step(core: Controller, input: Input, kind: Kind): Effect[] {
    const inner = this.inner;
    const t = process.hrtime.bigint();
    const effects = core.step(this.now as never, (1e12 + this.now) as never, input);
    const d = Number(process.hrtime.bigint() - t) / 1000 - (this.inner - inner);
    if (this.measuring) {
      this.spent[kind] += d;
      this.count[kind]++;
    }
    for (const e of effects) this.carryOut(core, e);
    return effects;
  }

  /** Codec work beside the core, counted with the input that it belongs to. */
  private beside<T>(kind: Kind, work: () => T): T {
    const t = process.hrtime.bigint();
    const r = work();
    if (this.measuring) this.spent[kind] += Number(process.hrtime.bigint() - t) / 1000;
    return r;
  }

  private carryOut(core: Controller, e: Effect): void {
    const later = (ms: number, input: () => Input) =>
      this.agenda.add(this.now + ms, () => {
        if (this.core === core) this.step(core, input(), 'write');
      });
    switch (e.kind) {
      case 'store': {
        if (e.request.kind === 'watch') {
          const ends = this.now + e.request.waitMs;
          const w = { prefix: e.request.prefix, from: e.request.after, tag: e.tag, to: core, ends };
          this.watches.push(w);
          this.agenda.add(ends, () => this.wake());
          return this.wake();
        }
        const reply = this.serveState(e.request);
        later(4, () => ({ kind: 'store', tag: e.tag, reply }));
        return this.wake();
      }
      case 'cloud': {
        const reply = this.serveCloud(e.request);
        return later(40, () => ({ kind: 'cloud', tag: e.tag, reply }));
      }
      case 'peer':
        return this.fronted(e.message);
      case 'probe':
        return later(2, () => ({ kind: 'worker', tag: e.tag, reply: { kind: 'no-answer' } }));
      case 'user-response': {
        this.beside('submit', () => this.lib.encodeUserResponse(e.response));
        return this.answer(e.requestId, e.response);
      }
      case 'heartbeat-response': {
        const body = this.beside('report', () => this.lib.encodeHeartbeatResponse(e.response));
        return this.answer(e.requestId, body);
      }
    }
  }

  private answer(req: number, a: unknown): void {
    const done = this.answers.get(req);
    this.answers.delete(req);
    done?.(a as never);
  }

  // ---- records

  private wake(): void {
    for (const w of [...this.watches]) {
      const news = this.log.filter((l) => l.stamp > w.from && l.key.startsWith(w.prefix));
      if (news.length === 0 && this.now < w.ends) continue;
      this.watches.splice(this.watches.indexOf(w), 1);
      if (w.to !== this.core) continue;
      const names = [...new Set(news.map((l) => l.key))];
      const puts = names.filter((k) => this.keys.has(k)).map((k) => this.item(k));
      const deletes = names.filter((k) => !this.keys.has(k));
      const reply: StoreReply = { kind: 'changes', revision: this.ledger as never, puts, deletes };
      this.agenda.add(this.now + 1, () => {
        if (this.core === w.to) this.step(w.to, { kind: 'store', tag: w.tag, reply }, 'write');
      });
    }
    this.log = this.log.filter((l) => l.stamp > this.ledger - 500);
  }

  private item(key: string): StoreItem {
    const k = this.keys.get(key)!;
    return { key, value: k.v, revision: k.stamp as never };
  }

  private serveState(op: Exclude<StoreRequest, { kind: 'watch' }>): StoreReply {
    switch (op.kind) {
      case 'get':
        return this.keys.has(op.key) ? { kind: 'item', item: this.item(op.key) } : { kind: 'missing' };
      case 'list': {
        this.sorted ??= [...this.keys.keys()].sort();
        const { prefix, after } = op;
        const names = this.sorted.filter((k) => k.startsWith(prefix) && (after === null || k > after));
        const items = names.slice(0, 500).map((k) => this.item(k));
        return { kind: 'items', items, more: names.length > 500, revision: this.ledger as never };
      }
      case 'grant-lease':
        return { kind: 'lease-granted', lease: this.hold++ as never };
      case 'renew-lease':
      case 'revoke-lease':
        return { kind: 'ok' };
      case 'compare-and-swap': {
        const failed = op.conditions
          .filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.revision)
          .map((c) => c.key);
        if (failed.length > 0) return { kind: 'conflict', failed };
        if (op.puts.length + op.deletes.length > 0) this.ledger++;
        for (const p of op.puts) this.change(p.key, p.value);
        for (const k of op.deletes) this.change(k, undefined);
        return { kind: 'committed', revision: this.ledger as never };
      }
    }
  }

  private change(key: string, v: unknown): void {
    this.sorted = null;
    if (v === undefined) this.keys.delete(key);
    else this.keys.set(key, { v: JSON.parse(JSON.stringify(v)), stamp: this.ledger });
    this.log.push({ key, stamp: this.ledger });
  }

  // ---- machines

  private serveCloud(op: CloudRequest): CloudReply {
    if (op.kind === 'types') {
      const box = {
        cpus: 16,
        gpus: 0,
        memoryGb: 64,
        cacheGb: 60,
        fetchGbPerS: 0.3,
        price: 1,
        spotPrice: 0.3,
      };
      const type = (name: string, over: object) => ({
        ...box,
        name,
        bootS: 20,
        zones: ['east', 'west'],
        ...over,
      });
      return {
        kind: 'types',
        types: [type('box', {}), type('gpu', { gpus: 2, price: 4, spotPrice: 1.4 })] as never,
      };
    }
    if (op.kind === 'list') return { kind: 'listed', machines: [], more: false };
    if (op.kind === 'release') return { kind: 'released' };
    const ids: string[] = [];
    for (let i = 0; i < op.count && this.made < this.machines; i++) {
      const berth = `i-${String(++this.made).padStart(6, '0')}`;
      ids.push(berth);
      this.agenda.add(this.now + BOOT_MS + this.random.below(2000), () => this.boot(berth, op.type, op.zone));
    }
    return ids.length === 0 ? { kind: 'no-capacity' } : { kind: 'rented', machines: ids as never };
  }

  private boot(berth: string, type: string, zone: string): void {
    const w: Worker = {
      berth,
      tally: 0,
      baton: 0,
      pieces: new Map(),
      sentAt: 0,
      dueAt: 0,
      waiting: false,
      scheduled: 0,
      // With three controllers the owner keeps one worker in nine.
      fronted: this.workers.size % 9 !== 0,
      read: null,
      sent: null,
    };
    this.workers.set(berth, w);
    this.places.set(berth, { type, zone });
    this.schedule(w, this.now);
  }
  private readonly places = new Map<string, { type: string; zone: string }>();

  private schedule(w: Worker, at: number): void {
    if (w.scheduled > this.now && w.scheduled <= at) return;
    w.scheduled = at;
    this.agenda.add(at, () => {
      if (w.scheduled === at && !w.waiting) this.report(w);
    });
  }

  private report(w: Worker): void {
    const core = this.core;
    w.tally++;
    w.sentAt = this.now;
    w.waiting = true;
    const pieces = [...w.pieces.values()].map(({ ends: _, ...p }) => p);
    const place = this.places.get(w.berth)!;
    const body = JSON.stringify({
      berth: w.berth,
      endpoint: '10.1.0.1:9000',
      berthkind: place.type,
      yard: place.zone,
      loaners: true,
      shift: 1,
      tally: w.tally,
      baton: w.baton,
      recallS: null,
      pieces,
    });
    const head = `POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n`;
    const bytes = Buffer.from(head + body);
    const requestId = this.req++;
    this.answers.set(requestId, ((a: { status: number; body: string }) => this.answered(w, a)) as never);
    if (w.fronted) return this.passOn(w, requestId, JSON.parse(body));
    const parsed = this.beside('report', () => {
      const m = new this.lib.HttpParser('request', 65_536).feed(bytes)[0]!;
      return this.lib.parseHeartbeat(JSON.parse(m.body.toString('utf8')));
    });
    this.step(core, { kind: 'heartbeat', requestId, heartbeat: parsed }, 'report');
  }

  /** As the node that the worker speaks to does; only what the owner has to do with the frame is counted. */
  private passOn(w: Worker, id: number, body: unknown): void {
    const { diffTaskLists, encodePeerMessage, PeerDecoder } = this.lib;
    const r = this.lib.parseHeartbeat(body);
    const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS } = r;
    const change = w.read === null ? null : diffTaskLists(w.read.tasks, r.tasks);
    w.sent = change === null ? r : { ...r, tasks: change.tasks };
    const heartbeat =
      change === null
        ? { kind: 'full' as const, heartbeat: r }
        : {
            kind: 'delta' as const,
            machine,
            agentEpoch,
            seq,
            fencingToken,
            preemptionNoticeS,
            baseSeq: w.read!.seq,
            ...change,
          };
    const frame = encodePeerMessage({ kind: 'forwarded-heartbeat', id, heartbeat });
    const [message] = this.beside('report', () => new PeerDecoder().feed(frame));
    this.step(this.core, { kind: 'peer', node: 'n-9' as never, message: message! }, 'report');
  }

  private fronted(message: PeerMessage): void {
    if (message.kind !== 'forwarded-heartbeat-response') return;
    this.beside('report', () => this.lib.encodePeerMessage(message));
    const a = message.response;
    const told =
      a?.kind === 'commands'
        ? this.lib.encodeHeartbeatResponse(a)
        : { status: a === null ? 421 : 409, body: '' };
    this.answer(message.id, told);
  }

  private answered(w: Worker, a: { status: number; body: string }): void {
    w.waiting = false;
    let changed = false;
    if (w.fronted) w.read = a.status === 200 ? w.sent : null;
    if (a.status === 200) {
      const { baton, orders } = JSON.parse(a.body) as {
        baton: number;
        orders: { verb: string; piece: string; try: number }[];
      };
      changed = baton > w.baton;
      w.baton = Math.max(baton, w.baton);
      for (const o of orders) {
        const key = `${o.piece}@${o.try}`;
        const p = w.pieces.get(key);
        changed = true;
        if (o.verb === 'reap') w.pieces.delete(key);
        else if (o.verb === 'kill' && p !== undefined) Object.assign(p, { status: 'ended', cause: 'halted' });
        else if (o.verb === 'launch' && p === undefined) this.launch(w, key, o.piece, o.try);
      }
    }
    this.schedule(w, changed ? Math.max(this.now + 1, w.sentAt + CHANGE_MS) : w.sentAt + REPORT_MS);
  }

  private launch(w: Worker, key: string, piece: string, attempt: number): void {
    const ends = this.now + 20_000 + this.random.below(40_000);
    const p: Piece = { piece, try: attempt, status: 'running', ends };
    w.pieces.set(key, p);
    this.agenda.add(ends, () => {
      if (w.pieces.get(key) !== p || p.status === 'ended') return;
      Object.assign(p, { status: 'ended', cause: 'done' });
      if (!w.waiting) this.schedule(w, Math.max(this.now + 1, w.sentAt + CHANGE_MS));
    });
  }

  // ---- users

  private submit(): void {
    const n = ++this.submitted;
    const kind = n % 3;
    const nameId = `run-${String(n).padStart(6, '0')}`;
    const base = {
      nameId,
      owner: n % 2 === 0 ? 'a' : 'b',
      urgency: 'normal',
      bundle: `img-${n % 12}`,
      sizeGb: 2.5,
      berthkinds: null,
      yard: null,
      samePlace: false,
      scatter: false,
      loaners: true,
      guessS: 40.0,
      snapshotS: 20.0,
      flushS: 2.0,
      dueS: kind === 0 ? 150.0 : null,
    };
    const body = Buffer.from(
      JSON.stringify(
        kind === 0
          ? {
              ...base,
              jobclass: 'many',
              shape: 'batch',
              pieces: 120,
              cores: 1.0,
              accelerators: 0.0,
              memoryGb: 2.4,
            }
          : kind === 1
            ? {
                ...base,
                jobclass: 'joint',
                shape: 'gang',
                pieces: 3,
                cores: 15.0,
                accelerators: 0.0,
                memoryGb: 51.0,
                samePlace: true,
              }
            : {
                ...base,
                jobclass: 'photo',
                shape: 'batch',
                pieces: 25,
                cores: 6.0,
                accelerators: 1.0,
                memoryGb: 48.0,
              },
      ),
    );
    const spec = this.beside('submit', () => this.lib.parseJob(JSON.parse(body.toString('utf8'))));
    this.answers.set(this.req, (() => this.openJobs.push(nameId)) as never);
    this.step(this.core, { kind: 'user', requestId: this.req++, request: { op: 'submit', spec } }, 'submit');
  }

  private poll(): void {
    const id = this.openJobs[this.random.below(this.openJobs.length)];
    if (id === undefined) return;
    const request = { op: 'status', id } as never;
    this.step(this.core, { kind: 'user', requestId: this.req++, request }, 'poll');
  }

  // ---- the day

  private run(ms: number): void {
    const end = this.now + ms;
    let stop = false;
    this.agenda.add(end, () => {
      stop = true;
    });
    while (!stop) {
      const e = this.agenda.next()!;
      this.now = Math.max(this.now, e.at);
      e.run();
    }
  }

  /** Work arrives in step with the number of machines, so that about as much of each is busy at any size. */
  private arrivals(): void {
    const everyMs = 1_200_000 / this.machines;
    const next = (): void => {
      this.submit();
      this.agenda.add(this.now + everyMs, next);
    };
    for (let i = 0; i < this.machines / 8; i++) this.submit();
    next();
    const ask = (): void => {
      this.poll();
      this.agenda.add(this.now + 60_000 / this.machines, ask);
    };
    ask();
  }

  day(seconds: number): Figures {
    this.run(2000);
    this.arrivals();
    this.run(50_000);
    this.measuring = true;
    this.run(seconds * 1000);
    this.measuring = false;
    const us = {} as Record<Kind, number>;
    for (const k of Object.keys(this.spent) as Kind[]) us[k] = this.spent[k] / Math.max(1, this.count[k]);
    const n = { ...this.count };
    const { takeoverMs, takeoverS } = this.takeover();
    globalThis.gc?.();
    return { us, n, takeoverMs, takeoverS, heapMb: process.memoryUsage().heapUsed / 1e6 };
  }

  /** The owner is gone, and its key with it; a new core takes the share over. */
  private takeover(): { takeoverMs: number; takeoverS: number } {
    this.change('share/0', undefined);
    for (const w of this.workers.values())
      if (w.waiting) {
        w.waiting = false;
        this.schedule(w, this.now + this.random.below(4000));
      }
    this.answers.clear();
    for (const w of this.workers.values()) w.read = null;
    for (const k of Object.keys(this.spent) as Kind[]) this.spent[k] = 0;
    this.core = this.start('n-1');
    const began = this.now;
    this.measuring = true;
    while (this.core.leaderTerm?.failover.isComplete !== true && this.now - began < 60_000) this.run(100);
    this.measuring = false;
    const takeoverMs = Object.values(this.spent).reduce((a, b) => a + b, 0) / 1000;
    return { takeoverMs, takeoverS: (this.now - began) / 1000 };
  }
}
