// A process that hosts hollow workers: each speaks the worker's protocol in full, over sockets of its own, and runs nothing.

import {
  FakeWorker,
  type RunningTask,
  type WorkerEnvironment,
} from '../../../packages/local-cluster/src/fake-worker.ts';
import { type Listening, listen, error as refuse } from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';
import type { ExitReason, Heartbeat, HeartbeatResponse } from '../../../src/core/base/model.ts';
import { HttpClient } from '../../../src/http/client.ts';
import {
  decodeCommands,
  decodeHeartbeatResponse,
  encodeHeartbeat,
} from '../../../src/protocol/worker-agent.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import {
  type MachineId,
  parseTaskId,
  type TaskId,
  type TypeName,
  type ZoneName,
} from '../../../src/types/index.ts';
import {
  endWithParent,
  type FromHost,
  type HostCounts,
  type JobDescription,
  type RentedMachine,
  type TaskEvent,
  type ToHost,
  tell,
} from './messages.ts';

const FLUSH_MS = 100;
const ANSWER_MAX = 4 << 20;
/** Head of a report and of its answer, in bytes. */
const HEADS_BYTES = 260;

/** A task of a gang on one of this host's machines. */
interface Member {
  task: TaskId;
  begin(): void;
  end(why: ExitReason): void;
}

/** A worker's own connection to the node that it reports to. */
interface Line {
  node: string;
  client: HttpClient;
}

class HollowHost implements WorkerEnvironment {
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly nodeNames: string[];
  private readonly addrs: Map<string, string>;
  private readonly gangWaitMs: number;
  private readonly workers = new Map<string, FakeWorker>();
  private readonly ends = new Map<string, Listening>();
  private readonly lines = new Map<string, Line>();
  private readonly jobs = new Map<string, JobDescription>();
  private readonly gangs = new Map<string, Map<TaskId, Member>>();
  private readonly cuts = new Map<string, number>();
  private readonly random;
  private events: TaskEvent[] = [];
  private readonly counts: HostCounts = { workers: 0, reports: 0, bytes: 0, lostByLease: 0 };

  constructor(options: LocalClusterOptions, nodes: { name: string; addr: string }[], seed: number) {
    this.reportMs = options.workers.report_s * 1000;
    this.leaseMs = options.workers.lease_s * 1000;
    this.gangWaitMs = options.workers.gang_wait_s * 1000;
    this.nodeNames = nodes.map((n) => n.name);
    this.addrs = new Map(nodes.map((n) => [n.name, n.addr]));
    this.random = seededRandom(seed);
    setInterval(() => this.flush(), FLUSH_MS);
  }

  get now(): number {
    return performance.timeOrigin + performance.now();
  }

  after(ms: number, run: () => void): void {
    setTimeout(run, ms);
  }

  take(m: Exclude<ToHost, { kind: 'begin' }>): void {
    switch (m.kind) {
      case 'machine':
        return this.add(m.machine);
      case 'boot':
        return this.workers.get(m.id)?.boot();
      case 'die':
        return this.workers.get(m.id)?.die();
      case 'restart':
        return this.workers.get(m.id)?.restart();
      case 'cut':
        return void this.cuts.set(m.zone, this.now + m.ms);
      case 'jobs':
        for (const j of m.jobs) this.jobs.set(j.id, j);
        return;
      case 'forget-jobs':
        for (const id of m.ids) this.jobs.delete(id);
        return;
      case 'gang':
        return this.gang(m.key, m.what);
      case 'count':
        return tell<FromHost>({ kind: 'counts', counts: { ...this.counts, workers: this.workers.size } });
    }
  }

  private flush(): void {
    if (this.events.length === 0) return;
    tell<FromHost>({ kind: 'tasks', events: this.events });
    this.events = [];
  }

  // ---- machines

  private add({ id, type, zone, spot }: RentedMachine): void {
    const first = this.random.below(this.nodeNames.length);
    const w = new FakeWorker(this, id as MachineId, type as TypeName, zone as ZoneName, spot, first);
    this.workers.set(id, w);
    listen(0, (method, path, body, answer) => {
      if (!w.up) return answer(refuse(503, 'it is not up yet'));
      if (method !== 'POST' || path !== '/orders') return answer(refuse(404, 'no such path'));
      const { token, session, commands } = decodeCommands(body);
      if (session === null) return answer(refuse(400, 'the session is missing'));
      if (this.isCut(w)) return;
      w.orders(token, session, commands, (r) => {
        if (r.kind === 'heartbeat')
          answer({ status: r.executed ? 200 : 409, body: encodeHeartbeat(r.heartbeat) });
      });
    }).then((l) => {
      w.addr = l.addr;
      if (w.dead) return l.close();
      this.ends.set(id, l);
      tell<FromHost>({ kind: 'listening', id, addr: l.addr });
    });
  }

  gone(w: FakeWorker): void {
    this.counts.lostByLease += w.lostByLease;
    this.ends.get(w.id)?.close();
    this.ends.delete(w.id);
    this.lines.get(w.id)?.client.close();
    this.lines.delete(w.id);
    this.workers.delete(w.id);
  }

  private isCut(w: FakeWorker): boolean {
    return this.now < (this.cuts.get(w.zone) ?? 0);
  }

  private clientOf(w: FakeWorker, node: string): HttpClient {
    const line = this.lines.get(w.id);
    if (line?.node === node) return line.client;
    line?.client.close();
    const client = new HttpClient(this.addrs.get(node)!, 1, ANSWER_MAX);
    this.lines.set(w.id, { node, client });
    return client;
  }

  sendReport(
    w: FakeWorker,
    node: string,
    report: Heartbeat,
    timeoutMs: number,
    done: (a: HeartbeatResponse | null) => void,
  ): void {
    if (this.isCut(w)) return this.after(timeoutMs, () => done(null));
    const body = encodeHeartbeat(report);
    this.counts.reports++;
    this.counts.bytes += body.length + HEADS_BYTES;
    this.clientOf(w, node).call({ method: 'POST', path: '/checkin', body, timeoutMs }, (r) => {
      this.counts.bytes += r?.body.length ?? 0;
      if (!w.dead) done(r === null ? null : decoded(r.status, r.body));
    });
  }

  // ---- tasks

  private on(w: FakeWorker, task: TaskId): void {
    this.events.push({ at: this.now, kind: 'on', task, machine: w.id });
  }

  /** A worker whose lease is over holds nothing from its end on, however late its timer fires. */
  private off(w: FakeWorker, task: TaskId): void {
    const at = Math.min(this.now, w.leaseEndsAt);
    this.events.push({ at, kind: 'off', task, machine: w.id });
  }

  placed(w: FakeWorker, task: TaskId): void {
    this.on(w, task);
    // Nothing is launched for these: they end at once.
    if (w.faulty || w.results.has(task)) this.off(w, task);
  }

  launch(
    w: FakeWorker,
    task: TaskId,
    attempt: number,
    end: (why: ExitReason) => void,
    is: (state: 'waiting' | 'running') => void,
  ): RunningTask {
    const job = this.jobs.get(parseTaskId(task).job);
    let over = false;
    const close = (): boolean => {
      if (over) return false;
      over = true;
      this.off(w, task);
      return true;
    };
    const finish = (why: ExitReason): void => {
      if (over) return;
      if (why === 'done') this.events.push({ at: this.now, kind: 'done', task });
      close();
      end(why);
    };
    if (job === undefined) {
      this.after(0, () => finish('unknown'));
      return { stop: () => {}, kill: () => void close() };
    }
    if (job.kind === 'gang') return this.join(job, task, attempt, is, close, finish);
    if (job.kind === 'array') this.after(job.runMs, () => finish('done'));
    return { stop: (_graceS, ended) => close() && ended(false), kill: () => void close() };
  }

  private join(
    job: JobDescription,
    task: TaskId,
    attempt: number,
    is: (state: 'waiting' | 'running') => void,
    close: () => boolean,
    finish: (why: ExitReason) => void,
  ): RunningTask {
    const key = `${job.id}@${attempt}`;
    const members = this.gangs.get(key) ?? new Map<TaskId, Member>();
    this.gangs.set(key, members);
    let began = false;
    const leave = (): void => {
      if (!members.delete(task)) return;
      if (members.size === 0) this.gangs.delete(key);
      tell<FromHost>({ kind: 'gang', key, task, tasks: job.tasks, what: 'left' });
    };
    const end = (why: ExitReason): void => {
      if (why === 'done') members.delete(task);
      else leave();
      finish(why);
    };
    const begin = (): void => {
      began = true;
      is('running');
      this.after(job.runMs, () => members.has(task) && end('done'));
    };
    members.set(task, { task, begin, end });
    this.after(0, () => !began && members.has(task) && is('waiting'));
    this.after(this.gangWaitMs, () => !began && members.has(task) && end('alone'));
    tell<FromHost>({ kind: 'gang', key, task, tasks: job.tasks, what: 'joined' });
    return {
      stop: (_graceS, ended) => {
        leave();
        if (close()) ended(false);
      },
      kill: () => {
        leave();
        close();
      },
    };
  }

  private gang(key: string, what: 'start' | 'fail'): void {
    for (const m of [...(this.gangs.get(key)?.values() ?? [])])
      if (what === 'start') m.begin();
      else m.end('peers');
  }
}

function decoded(status: number, body: Buffer): HeartbeatResponse | null {
  try {
    return decodeHeartbeatResponse(status, JSON.parse(body.toString('utf8')));
  } catch {
    return null;
  }
}

endWithParent();
let host: HollowHost | null = null;
process.on('message', (m: ToHost) => {
  if (m.kind !== 'begin') return host?.take(m);
  host = new HollowHost(m.options, m.nodes, m.seed);
  tell<FromHost>({ kind: 'ready' });
});
