// A worker's side of the protocol: reports, tokens, leases, sessions, commands; it checks the rules on every start.
import type {
  Command,
  ListedMachine,
  Report,
  TaskReport,
  WorkerAnswer,
  WorkerReply,
} from '../../src/core/model.ts';
import {
  type MachineId,
  splitTask,
  type TaskId,
  type Token,
  type TypeName,
  type ZoneName,
} from '../../src/types/index.ts';
import type { World } from './world.ts';

interface Running {
  task: TaskId;
  job: string;
  attempt: number;
  state: TaskReport['state'];
  why: TaskReport['why'];
  saved: boolean;
}
const WAIT_MS = 4000;

export class FakeWorker {
  readonly addr: string;
  session = 1;
  seq = 0;
  token = 0;
  up = false;
  dead = false;
  noticeS: number | null = null;
  /** Every task started here fails at once. */
  faulty = false;
  readonly tasks = new Map<string, Running>();
  readonly results = new Set<string>();
  starts = 0;
  /** How often it went to another node, sent there or not. */
  moves = 0;
  /** Stop commands for tasks that ran. */
  readonly stops: { task: TaskId; graceS: number; at: number }[] = [];
  private target: number;
  private inFlight = false;
  private leaseFrom = 0;
  private reportNo = 0;
  private changed = false;
  private lastReport = 0;

  constructor(
    private readonly world: World,
    readonly id: MachineId,
    readonly type: TypeName,
    readonly zone: ZoneName,
    readonly spot: boolean,
  ) {
    this.addr = `10.1.0.1:${id}`;
    this.target = world.spread ? world.workers.size % 3 : 0;
  }

  listed(): ListedMachine {
    return {
      id: this.id,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      status: this.up ? 'running' : 'booting',
      ageS: 1,
    };
  }
  /** The node that it reports to. */
  get node(): string {
    return `node-${this.target}`;
  }
  live(): Running[] {
    return [...this.tasks.values()].filter((t) => t.state !== 'exited');
  }
  boot(): void {
    if (this.dead) return;
    this.up = true;
    this.leaseFrom = this.world.now;
    this.loop();
  }
  die(): void {
    this.dead = true;
    this.tasks.clear();
  }

  private loop(): void {
    if (this.dead) return;
    const due =
      this.world.now - this.lastReport >= this.world.reportMs ||
      (this.changed && this.world.now - this.lastReport >= 500);
    if (this.world.now - this.leaseFrom > 10_000) this.newSession();
    if (!this.inFlight && due) this.reportNow();
    this.world.after(100, () => this.loop());
  }

  private newSession(): void {
    this.session++;
    this.tasks.clear();
    this.leaseFrom = this.world.now;
    this.changed = true;
  }

  report(): Report {
    this.seq++;
    const tasks = [...this.tasks.values()].map((t) => ({
      task: t.task,
      attempt: t.attempt as never,
      state: t.state,
      why: t.why,
      saved: t.saved,
    }));
    return {
      machine: this.id,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      session: this.session,
      seq: this.seq,
      token: this.token as Token,
      noticeS: this.noticeS,
      tasks,
    };
  }

  private reportNow(): void {
    const name = `node-${this.target}`;
    const no = ++this.reportNo;
    const session = this.session;
    const sentAt = this.world.now;
    this.inFlight = true;
    this.changed = false;
    this.lastReport = sentAt;
    const r = this.report();
    this.world.call<WorkerAnswer>(
      this.id,
      name,
      WAIT_MS,
      (reply) => {
        // Nobody listens there: the connection is refused.
        if (!this.world.nodes.has(name)) return reply(null as never);
        this.world.request(
          name,
          (req) => ({ kind: 'report', req, report: r }),
          (a: WorkerAnswer) => reply(a),
        );
      },
      (a) => {
        if (no !== this.reportNo || this.dead) return;
        this.inFlight = false;
        if (a === null) this.moveOn();
        else if (a.kind === 'elsewhere') this.follow(a.node);
        else if (session === this.session && a.token >= this.token) {
          this.see(a.token);
          this.leaseFrom = Math.max(this.leaseFrom, sentAt);
          for (const c of a.commands) this.execute(c);
        }
      },
    );
  }

  private moveOn(): void {
    this.moves++;
    this.target = (this.target + 1) % 3;
    this.lastReport = this.world.now;
  }
  private follow(node: string | null): void {
    if (node === null || node === `node-${this.target}`) return this.moveOn();
    this.moves++;
    this.target = Number(node.slice(5));
    this.changed = true;
  }
  private see(token: number): void {
    if (token > this.token) this.changed = true;
    this.token = token;
  }

  orders(token: number, session: number, commands: Command[], reply: (r: WorkerReply) => void): void {
    if (this.dead || !this.up) return;
    const ok = token >= this.token && session === this.session;
    if (ok) {
      this.see(token);
      for (const c of commands) this.execute(c);
    }
    reply({ kind: 'report', report: this.report(), executed: ok });
  }

  private execute(c: Command): void {
    const key = `${c.task}@${c.attempt}`;
    const t = this.tasks.get(key);
    if (c.op === 'forget') {
      if (t?.state === 'exited') this.tasks.delete(key);
    } else if (c.op === 'stop') {
      if (t !== undefined && t.state !== 'exited') {
        this.stops.push({ task: c.task, graceS: c.graceS, at: this.world.now });
        this.exit(t, 'stopped');
      }
    } else if (t === undefined) this.startTask(c.task, c.attempt, key);
    this.changed = true;
  }

  private startTask(task: TaskId, attempt: number, key: string): void {
    const job = splitTask(task).job;
    const t: Running = { task, job, attempt, state: 'running', why: null, saved: false };
    this.check(task, job);
    this.starts++;
    this.tasks.set(key, t);
    const spec = this.world.jobs.get(job)?.spec;
    if (this.faulty) this.exit(t, 'error');
    else if (this.results.has(task)) this.exit(t, 'done');
    else if (spec?.kind !== 'service')
      this.world.after(this.world.runS * 1000, () => {
        if (this.dead || this.tasks.get(key) !== t || t.state === 'exited') return;
        this.results.add(task);
        this.exit(t, 'done');
      });
  }

  private exit(t: Running, why: NonNullable<TaskReport['why']>): void {
    t.state = 'exited';
    t.why = why;
    this.changed = true;
  }

  /** The rules that a start can break. */
  private check(task: TaskId, job: string): void {
    const { world } = this;
    const fault = (what: string) =>
      world.broken.push(`${(world.now / 1000).toFixed(2)} ${what}: ${task} on ${this.id}`);
    for (const w of world.workers.values())
      if (w.live().some((t) => t.task === task)) fault(`ran_twice with ${w.id}`);
    const j = world.jobs.get(job);
    if (j === undefined) return void fault('unknown job');
    if (j.cancelledAt !== null && world.now > j.cancelledAt + 40_000) fault('ran_cancelled');
    const { spec } = j;
    for (const id of spec.awaits ?? []) if (!world.doneOnRecord(id)) fault(`too_early for ${id}`);
    if ((spec.types !== null && !spec.types.includes(this.type)) || (this.spot && !spec.spot))
      fault('wrong_place');
    if (spec.zone !== null && spec.zone !== this.zone) fault('wrong_place');
    const zones = [...world.workers.values()].flatMap((w) =>
      w
        .live()
        .filter((t) => t.job === job)
        .map(() => w.zone),
    );
    if (spec.oneZone && zones.some((z) => z !== this.zone)) fault('wrong_place');
    if (spec.spread && zones.filter((z) => z === this.zone).length >= Math.ceil(spec.tasks / 2))
      fault('wrong_place');
    const used = [...world.workers.values()]
      .flatMap((w) => w.live())
      .reduce((n, t) => {
        const s = world.jobs.get(t.job)?.spec;
        return s?.team === spec.team ? n + s.cpus : n;
      }, spec.cpus);
    if (spec.team === 'small' && used > 6) fault(`quota ${used}`);
  }
}
