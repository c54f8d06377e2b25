// A worker's side of the protocol: reports, tokens, leases, sessions, commands. What runs, and what checks it, is its place's.
import type {
  Command,
  ExitReason,
  Heartbeat,
  HeartbeatResponse,
  ListedMachine,
  TaskStatus,
  WorkerReply,
} from '../../../src/core/base/model.ts';
import {
  type FencingToken,
  type MachineId,
  parseTaskId,
  type TaskId,
  type TypeName,
  type ZoneName,
} from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';

/** A task under way on a machine. */
export interface RunningTask {
  /** Asks it to end, with so many seconds to save; `ended` says whether its progress was saved. */
  stop(graceS: number, ended: (saved: boolean) => void): void;
  /** Ends it at once and for good, as when its machine is gone. */
  kill(): void;
}

export interface WorkerEnvironment extends SimulationClock {
  /** How often workers report when nothing changes, and how long they go on unanswered. */
  readonly reportMs: number;
  readonly leaseMs: number;
  /** Controllers, in the order in which workers try them. */
  readonly nodeNames: readonly string[];
  /** Null: no answer within the time, or nobody there. */
  sendReport(
    worker: FakeWorker,
    node: string,
    report: Heartbeat,
    timeoutMs: number,
    done: (a: HeartbeatResponse | null) => void,
  ): void;
  /** A task is put on a machine; the place may look whether it is allowed there. */
  placed(worker: FakeWorker, task: TaskId): void;
  /** Runs a task; `end` is called when it ends by itself, `is` when its state changes before (it begins as running). */
  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: number,
    end: (why: ExitReason) => void,
    is: (state: 'fetching' | 'waiting' | 'running') => void,
  ): RunningTask;
  /** The machine and all that is on it are no more. */
  gone(worker: FakeWorker): void;
}

interface Running {
  task: TaskId;
  job: string;
  attempt: number;
  state: TaskStatus['state'];
  why: TaskStatus['exitReason'];
  saved: boolean;
  work: RunningTask | null;
}
const WAIT_MS = 4000;
/** An answer to a machine with work comes at once, if nothing holds it up. */
const LATE_MS = 1000;
/** Before it tries the next node. */
const TURN_MS = 1000;
/** A change is told no sooner after the last report. */
const CHANGE_MS = 500;

export class FakeWorker {
  addr: string;
  /** When it was rented. */
  private readonly since: number;
  session = 1;
  seq = 0;
  token = 0;
  up = false;
  /** When it came up, in milliseconds. */
  upSince = Number.NEGATIVE_INFINITY;
  dead = false;
  noticeS: number | null = null;
  /** Every task started here fails at once. */
  faulty = false;
  readonly tasks = new Map<string, Running>();
  readonly results = new Set<string>();
  starts = 0;
  /** Tasks that it ended because nobody had answered it. */
  lostByLease = 0;
  /** How often it went to another node, sent there or not. */
  moves = 0;
  /** Stop commands for tasks that ran. */
  readonly stops: { task: TaskId; graceS: number; at: number }[] = [];
  private inFlight = false;
  private leaseFrom = 0;
  private reportNo = 0;
  private changed = false;
  private lastReport = 0;
  private armedAt = Number.POSITIVE_INFINITY;
  private hanging = false;
  /** Answers that came while it hung; it reads them as it goes on. */
  private unread: (() => void)[] = [];
  /** Commands carried out long after the report that they answer. */
  lateCommands = 0;

  constructor(
    private readonly place: WorkerEnvironment,
    readonly id: MachineId,
    readonly type: TypeName,
    readonly zone: ZoneName,
    readonly spot: boolean,
    private target: number,
  ) {
    this.addr = `10.1.0.1:${id}`;
    this.since = place.now;
  }

  listed(now: number): ListedMachine {
    return {
      id: this.id,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      status: this.up ? 'running' : 'booting',
      ageS: Math.max(1, (now - this.since) / 1000),
    };
  }
  /** The node that it reports to. */
  get node(): string {
    return this.place.nodeNames[this.target]!;
  }
  /** Nothing of it is left: it is gone, or nobody has answered it for so long that its lease is over, hanging or not. */
  get over(): boolean {
    return this.dead || this.place.now - this.leaseFrom > this.place.leaseMs;
  }
  /** When its lease ends if nobody answers it from now on, in milliseconds. */
  get leaseEndsAt(): number {
    return this.leaseFrom + this.place.leaseMs;
  }
  live(): Running[] {
    return [...this.tasks.values()].filter((t) => t.state !== 'exited');
  }
  boot(): void {
    if (this.dead) return;
    this.up = true;
    this.upSince = this.place.now;
    this.leaseFrom = this.place.now;
    this.act();
  }
  die(): void {
    if (this.dead) return;
    this.dead = true;
    this.drop();
    this.place.gone(this);
  }

  private drop(): void {
    for (const t of this.tasks.values()) if (t.state !== 'exited') t.work?.kill();
    this.tasks.clear();
  }

  /** When it has something to do next: nothing is polled, as a fleet of ten thousand would do little else. */
  private dueAt(): number {
    const report = this.lastReport + (this.changed ? CHANGE_MS : this.place.reportMs);
    return Math.min(
      this.leaseFrom + this.place.leaseMs + 1,
      this.inFlight ? Number.POSITIVE_INFINITY : report,
    );
  }

  private arm(): void {
    if (this.dead || !this.up) return;
    const at = Math.max(this.place.now, this.dueAt());
    if (at >= this.armedAt) return;
    this.armedAt = at;
    this.place.after(at - this.place.now, () => {
      if (this.armedAt !== at) return;
      this.armedAt = Number.POSITIVE_INFINITY;
      this.act();
    });
  }

  private act(): void {
    if (this.dead) return;
    if (this.hanging) return;
    if (this.place.now - this.leaseFrom > this.place.leaseMs) this.newSession();
    if (!this.inFlight && this.place.now >= this.dueAt()) this.reportNow();
    this.arm();
  }

  /** It does nothing for a while, and then goes on as if no time had passed. */
  hang(ms: number): void {
    this.hanging = true;
    this.place.after(ms, () => {
      this.hanging = false;
      for (const read of this.unread.splice(0)) read();
      this.act();
    });
  }

  /** Its machine was restarted within a moment: nothing is left on it, and it counts from the beginning. */
  restart(): void {
    this.drop();
    this.results.clear();
    this.session = 1;
    this.seq = 0;
    this.token = 0;
    this.reportNo++;
    this.inFlight = false;
    this.leaseFrom = this.place.now;
    this.changed = true;
    this.arm();
  }

  private newSession(): void {
    this.session++;
    this.lostByLease += this.live().length;
    this.drop();
    this.leaseFrom = this.place.now;
    this.changed = true;
  }

  report(): Heartbeat {
    this.seq++;
    const tasks = [...this.tasks.values()].map((t) => ({
      task: t.task,
      attempt: t.attempt as never,
      state: t.state,
      exitReason: t.why,
      checkpointed: t.saved,
    }));
    return {
      machine: this.id,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.session,
      seq: this.seq,
      fencingToken: this.token as FencingToken,
      preemptionNoticeS: this.noticeS,
      tasks,
    };
  }

  private reportNow(): void {
    const no = ++this.reportNo;
    const session = this.session;
    const sentAt = this.place.now;
    this.inFlight = true;
    this.changed = false;
    this.lastReport = sentAt;
    const r = this.report();
    const read = (a: HeartbeatResponse | null): void => {
      if (no !== this.reportNo || this.dead) return;
      if (this.hanging) {
        this.unread.push(() => {
          // Read late, it still counts, but not after the time for which a worker waits.
          read(this.place.now - sentAt <= WAIT_MS ? a : null);
        });
        return;
      }
      this.inFlight = false;
      if (a === null) this.moveOn();
      else if (a.kind === 'redirect') this.follow(a.node);
      else if (session === this.session && a.fencingToken >= this.token) {
        this.see(a.fencingToken);
        this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        if (this.place.now - sentAt > LATE_MS) this.lateCommands += a.commands.length;
        for (const c of a.commands) this.execute(c);
      }
      this.arm();
    };
    this.place.sendReport(this, this.node, r, WAIT_MS, read);
  }

  private moveOn(): void {
    this.moves++;
    this.target = (this.target + 1) % this.place.nodeNames.length;
    this.lastReport = this.place.now - this.place.reportMs + TURN_MS;
  }
  private follow(node: string | null): void {
    const i = this.place.nodeNames.indexOf(node ?? '');
    if (i < 0 || i === this.target) return this.moveOn();
    this.moves++;
    this.target = i;
    this.changed = true;
  }
  private see(token: number): void {
    if (token > this.token) this.changed = true;
    this.token = token;
  }

  orders(token: number, session: number, commands: Command[], reply: (r: WorkerReply) => void): void {
    if (this.dead || !this.up || this.hanging) return;
    const ok = token >= this.token && session === this.session;
    if (ok) {
      this.see(token);
      for (const c of commands) this.execute(c);
    }
    this.arm();
    reply({ kind: 'heartbeat', heartbeat: this.report(), executed: ok });
  }

  private execute(c: Command): void {
    const key = `${c.task}@${c.attempt}`;
    const t = this.tasks.get(key);
    if (c.op === 'forget') {
      if (t?.state === 'exited') this.tasks.delete(key);
    } else if (c.op === 'stop') {
      if (t !== undefined && t.state !== 'exited') {
        this.stops.push({ task: c.task, graceS: c.graceS, at: this.place.now });
        this.stop(t, c.graceS);
      }
    } else if (t === undefined) this.startTask(c.task, c.attempt, key);
    this.changed = true;
  }

  private stop(t: Running, graceS: number): void {
    // Told once more while it saves, it is ended.
    if (t.state === 'saving' && graceS > 0) return;
    t.state = 'saving';
    t.work?.stop(graceS, (saved) => {
      if (t.state === 'exited') return;
      t.saved = saved;
      this.exit(t, 'stopped');
    });
  }

  private startTask(task: TaskId, attempt: number, key: string): void {
    const job = parseTaskId(task).job;
    const t: Running = { task, job, attempt, state: 'running', why: null, saved: false, work: null };
    this.place.placed(this, task);
    this.starts++;
    this.tasks.set(key, t);
    if (this.faulty) return this.exit(t, 'error');
    if (this.results.has(task)) return this.exit(t, 'done');
    const isOver = (): boolean => this.dead || this.tasks.get(key) !== t || t.state === 'exited';
    const end = (why: ExitReason): void => {
      if (isOver()) return;
      if (why === 'done') this.results.add(task);
      this.exit(t, why);
    };
    t.work = this.place.launch(this, task, attempt, end, (state) => {
      if (isOver() || t.state === 'saving') return;
      t.state = state;
      this.changed = true;
      this.arm();
    });
  }

  private exit(t: Running, why: ExitReason): void {
    t.state = 'exited';
    t.why = why;
    this.changed = true;
    this.arm();
  }
}
