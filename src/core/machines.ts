// The share's machines: reports, tokens, what may be on them, and when it is certainly gone.
import {
  type Attempt,
  type Instant,
  type JobId,
  later,
  type MachineId,
  NEVER,
  type Revision,
  splitTask,
  type Token,
  type ZoneName,
} from '../types/index.ts';
import type { Outbox } from './io.ts';
import { type Entry, type Job, type Jobs, Task } from './jobs.ts';
import type { Command, MachineType, Report, Settings, TaskReport } from './model.ts';
import type { Store } from './store.ts';

export const MACHINE = 'm/';
const DRIFT = 0.001;
const MARGIN_MS = 500;
/** Failures in a row, of more than one job, after which a machine is taken for faulty. */
const SICK_AFTER = 3;
const BACKOFF_MS = 1000;
const BACKOFF_MAX_MS = 20_000;

export interface Queued {
  job: Job;
  index: number;
  attempt: Attempt;
  since: Instant;
}

/** Something a machine reports that belongs to no open job; it is stopped and forgotten. */
interface Stray {
  task: TaskReport['task'];
  attempt: Attempt;
}

export class Machine {
  addr: string | null = null;
  session = 0;
  /** The session whose lease has run out. */
  endedSession = 0;
  seq = -1;
  seenToken = 0;
  /** This term's token has been seen by the machine and a report made after that has been read. */
  synced = false;
  up = false;
  /** Written in the state service, so that a later owner knows to ask it. Nothing is started before. */
  recorded: Revision | null = null;
  recording = false;
  releasing = false;
  released = false;
  readonly entries = new Map<string, Entry>();
  strays: Stray[] = [];
  readonly queue: Queued[] = [];
  /** Exited tasks to be forgotten once recorded: key to job and index. */
  readonly exited = new Map<
    string,
    { task: TaskReport['task']; attempt: Attempt; job: JobId; index: number; why: string }
  >();
  lastReport: Instant;
  /** When everything on it is gone for certain, unless it is answered again. */
  leaseEnds: Instant;
  noticeEnds: Instant | null = null;
  drain: string | null = null;
  idleSince: Instant;
  readonly images = new Map<string, number>();
  errorsInRow = 0;
  readonly erredJobs = new Set<JobId>();
  usedCpus = 0;
  usedGpus = 0;
  usedMemory = 0;

  constructor(
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
    readonly requestedAt: Instant,
    leaseEnds: Instant,
  ) {
    this.lastReport = requestedAt;
    this.idleSince = requestedAt;
    this.leaseEnds = leaseEnds;
  }

  get usable(): boolean {
    return (
      this.synced &&
      this.up &&
      this.recorded !== null &&
      !this.releasing &&
      this.drain === null &&
      this.strays.length === 0
    );
  }
  get empty(): boolean {
    return this.entries.size === 0 && this.queue.length === 0 && this.strays.length === 0;
  }
  get price(): number {
    return this.spot ? this.type.spotPrice : this.type.price;
  }
}

export const entryKey = (task: string, attempt: number): string => `${task}@${attempt}`;

export interface MachinesHost {
  /** Something changed that dispatch should look at. */
  poke(): void;
  taskStarted(e: Entry): void;
  taskCompleted(e: Entry): void;
}

export class Machines {
  readonly all = new Map<MachineId, Machine>();
  /** Machines given up for good; lists may still show them. */
  readonly buried = new Map<MachineId, Instant>();
  private readonly io: Outbox;
  private readonly settings: Settings;
  private readonly store: Store;
  private readonly jobs: Jobs;
  private readonly host: MachinesHost;
  readonly token: Token;

  constructor(io: Outbox, settings: Settings, store: Store, jobs: Jobs, host: MachinesHost, term: Revision) {
    this.io = io;
    this.settings = settings;
    this.store = store;
    this.jobs = jobs;
    this.host = host;
    this.token = term as number as Token;
  }

  add(m: Machine): void {
    this.all.set(m.id, m);
  }

  /** Records a machine so that the next owner knows that it may hold tasks. */
  record(m: Machine): void {
    if (m.recorded !== null || m.recording) return;
    m.recording = true;
    const nonce = this.store.nonce();
    const key = MACHINE + m.id;
    this.store.write({
      conditions: [{ key, revision: 0 as Revision }],
      puts: [{ key, value: { t: m.type.name, z: m.zone, s: m.spot ? 1 : 0, w: nonce } }],
      drops: [],
      check: key,
      nonce,
      urgent: false,
      done: (r) => {
        m.recording = false;
        if (r.kind === 'ok') m.recorded = r.revision;
        else if (r.kind === 'conflict' && r.item !== null) m.recorded = r.item.revision;
        this.host.poke();
      },
    });
  }

  /** Takes a report in; returns the commands that answer it, or null if it is from before what is known. */
  report(m: Machine, r: Report): Command[] | null {
    if (r.session < m.session || (r.session === m.session && r.seq <= m.seq)) return null;
    // Held back by a cut: sent in a session that is over for certain, it lists tasks that are long gone.
    if (r.session <= m.endedSession) return null;
    if (r.session > m.session) this.newSession(m, r);
    m.seq = r.seq;
    m.seenToken = r.token;
    m.addr = r.addr;
    m.up = true;
    m.lastReport = this.io.now;
    this.setNotice(m, r.noticeS);
    this.readTasks(m, r);
    if (r.token === this.token && !m.synced) {
      m.synced = true;
      this.io.log('debug', 'machine heard', { machine: m.id, tasks: m.entries.size });
      this.host.poke();
    }
    return this.commands(m);
  }

  /** The worker is answered with this node's token: its lease runs from this report at the latest. */
  answered(m: Machine): void {
    m.leaseEnds = later(this.io.now, this.settings.workers.leaseS * 1000 * (1 + DRIFT) + MARGIN_MS);
  }

  private newSession(m: Machine, r: Report): void {
    // A session begins with nothing on the machine, and nothing sent in an earlier one is carried out.
    if (m.entries.size > 0)
      this.io.log('info', 'tasks lost: session ended', { machine: m.id, tasks: m.entries.size });
    this.clear(m);
    m.session = r.session;
    m.exited.clear();
    m.strays = [];
  }

  /** Everything on the machine is certainly gone. */
  clear(m: Machine): void {
    for (const e of [...m.entries.values()]) this.gone(m, e);
    for (const q of m.queue.splice(0)) this.unqueue(q);
    m.usedCpus = 0;
    m.usedGpus = 0;
    m.usedMemory = 0;
    this.host.poke();
  }

  private unqueue(q: Queued): void {
    q.job.move(q.index, Task.Waiting);
  }

  takeBack(m: Machine, q: Queued): void {
    const at = m.queue.indexOf(q);
    if (at < 0) return;
    m.queue.splice(at, 1);
    this.unqueue(q);
  }

  takeBackAll(m: Machine): void {
    for (const q of m.queue.splice(0)) this.unqueue(q);
  }

  private setNotice(m: Machine, noticeS: number | null): void {
    if (noticeS === null) return;
    if (m.noticeEnds === null) {
      this.io.log('info', 'spot notice', { machine: m.id, noticeS });
      this.drainMachine(m, 'spot notice');
    }
    m.noticeEnds = later(this.io.now, noticeS * 1000);
  }

  drainMachine(m: Machine, why: string): void {
    if (m.drain !== null) return;
    m.drain = why;
    this.takeBackAll(m);
    this.io.log('info', 'machine draining', { machine: m.id, why });
    this.host.poke();
  }

  private readTasks(m: Machine, r: Report): void {
    const listed = new Set<string>();
    m.strays = [];
    for (const t of r.tasks) {
      const key = entryKey(t.task, t.attempt);
      listed.add(key);
      if (t.state === 'exited') this.exit(m, key, t);
      else this.present(m, key, t);
    }
    for (const [key, e] of m.entries) {
      // Commands answer one report at a time, so a later report without the task shows it was not started, or is gone.
      if (!listed.has(key) && e.sentSeq < r.seq) {
        this.io.log('info', 'task not on its machine', { machine: m.id, task: key, state: e.state });
        this.gone(m, e);
      }
    }
    for (const key of m.exited.keys()) if (!listed.has(key)) m.exited.delete(key);
    if (!m.empty) m.idleSince = this.io.now;
  }

  private present(m: Machine, key: string, t: TaskReport): void {
    let e = m.entries.get(key);
    if (e === undefined) {
      const { job: id, index } = splitTask(t.task);
      const job = this.jobs.open.get(id);
      if (job === undefined || index >= job.spec.tasks) {
        m.strays.push({ task: t.task, attempt: t.attempt });
        return;
      }
      e = this.enter(m, job, index, t.attempt, -1);
      if (job.spec.kind === 'gang') job.gangAttempt ??= t.attempt;
    }
    const state = t.state === 'exited' ? 'running' : t.state;
    if (state !== 'fetching') this.noteImage(m, e.job);
    if (state === 'running' && e.runningAt === null) {
      e.runningAt = this.io.now;
      e.job.running++;
      if (e.job.spec.kind === 'gang') e.job.gangRan = true;
      this.host.taskStarted(e);
    }
    e.state = state;
  }

  private noteImage(m: Machine, job: Job): void {
    const { image, imageGb } = job.spec;
    m.images.delete(image);
    m.images.set(image, imageGb);
    let total = 0;
    for (const gb of m.images.values()) total += gb;
    for (const [name, gb] of m.images) {
      if (total <= m.type.cacheGb) break;
      total -= gb;
      m.images.delete(name);
    }
  }

  enter(m: Machine, job: Job, index: number, attempt: Attempt, sentSeq: number): Entry {
    const e: Entry = {
      job,
      index,
      attempt,
      machine: m.id,
      state: 'sent',
      sentSeq,
      sentAt: this.io.now,
      runningAt: null,
      stopping: null,
    };
    const old = job.entries.get(index);
    if (old !== undefined)
      this.io.log('info', 'task listed by a second machine', {
        task: `${job.id}/${index}`,
        machines: [old.machine, m.id],
      });
    job.addEntry(e);
    m.entries.set(entryKey(`${job.id}/${index}`, attempt), e);
    m.usedCpus += job.spec.cpus;
    m.usedGpus += job.spec.gpus;
    m.usedMemory += job.spec.memoryGb;
    return e;
  }

  /** The task is certainly off the machine. */
  gone(m: Machine, e: Entry): void {
    const { job, index } = e;
    const key = entryKey(`${job.id}/${index}`, e.attempt);
    if (!m.entries.delete(key)) return;
    job.dropEntry(e);
    if (e.runningAt !== null) job.running--;
    m.usedCpus -= job.spec.cpus;
    m.usedGpus -= job.spec.gpus;
    m.usedMemory -= job.spec.memoryGb;
    if (job.live === 0) {
      job.gangAttempt = null;
      job.gangRan = false;
    }
    this.host.poke();
  }

  private exit(m: Machine, key: string, t: TaskReport): void {
    if (m.exited.has(key)) return;
    const { job: id, index } = splitTask(t.task);
    const job = this.jobs.open.get(id);
    m.exited.set(key, { task: t.task, attempt: t.attempt, job: id, index, why: t.why ?? 'error' });
    if (job === undefined || index >= job.spec.tasks) return;
    const e = m.entries.get(key);
    this.judge(m, job, index, t, e);
    if (e !== undefined) this.gone(m, e);
  }

  /** What an exit says about the task, its job and its machine. */
  private judge(m: Machine, job: Job, index: number, t: TaskReport, e: Entry | undefined): void {
    if (t.why === 'done') {
      this.jobs.taskDone(job, index);
      job.failures = 0;
      job.failedOn.clear();
      m.errorsInRow = 0;
      m.erredJobs.clear();
      if (e !== undefined) this.host.taskCompleted(e);
    } else if (t.why === 'error') this.failed(m, job, index);
    else if (t.why === 'no_room' || t.why === 'busy' || t.why === 'unknown')
      this.io.log('info', 'start refused', { machine: m.id, task: t.task, why: t.why });
  }

  /** A job that fails on many machines is backed off; a machine that fails many jobs is returned. */
  private failed(m: Machine, job: Job, index: number): void {
    job.failures++;
    job.failedOn.add(m.id);
    m.errorsInRow++;
    m.erredJobs.add(job.id);
    const badJob = job.failedOn.size >= 3;
    const wait = badJob ? Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** Math.min(10, job.failures)) : 0;
    job.retryAt = later(this.io.now, wait);
    this.io.log('info', 'task failed', {
      machine: m.id,
      task: `${job.id}/${index}`,
      failures: job.failures,
      waitMs: wait,
    });
    if (!badJob && m.errorsInRow >= SICK_AFTER) this.drainMachine(m, 'fails what it starts');
  }

  private commands(m: Machine): Command[] {
    const out: Command[] = [];
    for (const x of m.exited.values())
      if (x.why !== 'done' || this.jobs.recorded(this.jobs.open.get(x.job), x.index))
        out.push({ op: 'forget', task: x.task, attempt: x.attempt });
    for (const s of m.strays) out.push({ op: 'stop', task: s.task, attempt: s.attempt, graceS: 0 });
    for (const e of m.entries.values()) this.stopIfNeeded(m, e, out);
    return out;
  }

  private stopIfNeeded(m: Machine, e: Entry, out: Command[]): void {
    const task = `${e.job.id}/${e.index}` as Stray['task'];
    if (e.job.cancelled || e.job.state[e.index] === Task.Done) e.stopping = { graceS: 0 };
    else if (e.stopping === null && this.noticeNear(m, e)) e.stopping = { graceS: e.job.spec.saveS + 1 };
    if (e.stopping === null || e.state === 'sent') return;
    // Saving goes on undisturbed; only a stop without grace is repeated over it.
    if (e.state === 'saving' && e.stopping.graceS > 0) return;
    out.push({ op: 'stop', task, attempt: e.attempt, graceS: e.stopping.graceS });
  }

  /** The last report at which a task can still be told to save before its machine is taken. */
  private noticeNear(m: Machine, e: Entry): boolean {
    if (m.noticeEnds === null || e.job.spec.checkpointS === 0 || e.state !== 'running') return false;
    const left = (m.noticeEnds - this.io.now) / 1000;
    return left < e.job.spec.saveS + this.settings.workers.reportS * 1.25 + 1.5;
  }

  /** Starts queued tasks, head first, as far as the machine's report shows room. */
  startQueued(m: Machine, mayStart: (q: Queued) => boolean): Command[] {
    const out: Command[] = [];
    while (m.queue.length > 0 && m.usable) {
      const q = m.queue[0]!;
      if (!hasRoom(m, q.job) || !mayStart(q)) break;
      m.queue.shift();
      this.enter(m, q.job, q.index, q.attempt, m.seq);
      this.io.log('debug', 'task started', {
        task: `${q.job.id}/${q.index}`,
        machine: m.id,
        attempt: q.attempt,
      });
      out.push({ op: 'start', task: `${q.job.id}/${q.index}` as Stray['task'], attempt: q.attempt });
    }
    if (!m.empty) m.idleSince = this.io.now;
    return out;
  }

  /** Released, listed as failed, or its lease has run out: nothing of it is left. */
  bury(m: Machine, why: string): void {
    if (!m.empty)
      this.io.log('info', 'tasks lost with their machine', { machine: m.id, why, tasks: m.entries.size });
    this.clear(m);
    this.all.delete(m.id);
    this.buried.set(m.id, this.io.now);
    this.unrecord(m);
  }

  private unrecord(m: Machine): void {
    if (m.recorded === null) return;
    const revision = m.recorded;
    m.recorded = null;
    const key = MACHINE + m.id;
    this.store.write({
      conditions: [{ key, revision }],
      puts: [],
      drops: [key],
      check: key,
      nonce: null,
      urgent: false,
      done: () => {},
    });
  }

  /** Silent machines: once the lease has run out, what was on them is free to start elsewhere. */
  tick(): void {
    for (const m of this.all.values()) {
      if (this.io.now < m.leaseEnds) continue;
      if (m.entries.size > 0)
        this.io.log('info', 'tasks lost: lease ran out', { machine: m.id, tasks: m.entries.size });
      m.leaseEnds = NEVER;
      m.endedSession = m.session;
      this.clear(m);
      // Empty for certain: a later owner need not wait for it, and it is recorded anew if it comes back.
      this.unrecord(m);
      m.synced = true;
      this.drainMachine(m, 'silent');
    }
    for (const [id, at] of this.buried) if (this.io.now - at > 300_000) this.buried.delete(id);
  }

  newMachine(id: MachineId, type: MachineType, zone: ZoneName, spot: boolean, leaseEnds: Instant): Machine {
    const m = new Machine(id, type, zone, spot, this.io.now, leaseEnds);
    this.add(m);
    return m;
  }
}

export function hasRoom(m: Machine, job: Job): boolean {
  const { spec } = job;
  const EPS = 1e-9;
  return (
    m.type.cpus - m.usedCpus + EPS >= spec.cpus &&
    m.type.gpus - m.usedGpus + EPS >= spec.gpus &&
    m.type.memoryGb - m.usedMemory + EPS >= spec.memoryGb
  );
}
