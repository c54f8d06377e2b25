// The fleet drill's world: the core with the lab's stand-ins on a simulated clock, no processes and no sockets. It checks
// the users' rules while it runs, and writes down what each job and each team got.
import { build as histogram } from 'hdr-histogram-js';
import { FakeCloud } from '../../packages/local-cluster/src/fake-cloud.ts';
import { FakeStore } from '../../packages/local-cluster/src/fake-store.ts';
import { FakeWorker, type RunningTask } from '../../packages/local-cluster/src/fake-worker.ts';
import { Tasks } from '../../packages/local-cluster/src/task-runner.ts';
import type { Effect, Input, Random } from '../../src/core/base/io.ts';
import type {
  CloudReply,
  Heartbeat,
  HeartbeatResponse,
  JobSpec,
  Settings,
  StoreReply,
  UserResponse,
  WorkerReply,
} from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { SchedulerOptions } from '../../src/core/scheduling/scheduler.ts';
import { dominantShare, maxMinShares } from '../../src/core/teams/max-min-fairness.ts';
import type {
  Instant,
  MachineId,
  NodeId,
  TaskId,
  TypeName,
  WallTime,
  ZoneName,
} from '../../src/types/index.ts';
import { EventQueue } from '../../test/support/event-queue.ts';
import { type Arrival, arrivals, type Day, OBJECTIVES, room, TYPES, teamName, ZONES } from './fleet-days.ts';

/** What is taken of a version of the program. */
export interface Lib {
  Controller: new (s: Settings, o: SchedulerOptions, r: Random) => Controller;
  seededRandom: (seed: number) => Random;
}

export interface Setup {
  machines: number;
  teams: number;
  seed: number;
  /** Jobs arrive for so long, and the day ends so much later. */
  arriveS: number;
  drainS: number;
  options: SchedulerOptions;
}

/** Waits in seconds, of jobs until their first task runs. */
interface Served {
  jobs: number;
  done: number;
  wait: { p50: number; p90: number; p99: number; max: number };
}

export interface Played {
  side: string;
  machines: number;
  day: string;
  seed: number;
  out: Outcome;
}

export interface Outcome {
  classes: Record<string, Served>;
  teams: Record<string, Served>;
  /** Mean part of its fair share that each team had while it kept asking and there was not room for all. */
  fair: Record<string, number>;
  /** Jain's index of the teams' served parts. */
  jain: number;
  fetches: number;
  fetchedGb: number;
  /** CPU seconds of tasks that ended otherwise than done, as a part of all. */
  lostWork: number;
  killedByLease: number;
  broken: string[];
  cpuS: number;
}

const NODES = ['node-0', 'node-1', 'node-2'];
export const REPORT_MS = 4000;
const LEASE_MS = 20_000;
const SAMPLE_MS = 5000;
/** What has been asked for this long could have been started: a report period, a task's end, and an image's fetch. */
const ASKED_MS = 20_000;
/** A team that keeps asking for less than a minute in all tells nothing. */
const LEAST_SAMPLES = 12;
const RETRY_FOR_MS = 60_000;

/** A service is served when so much of its replicas was up. */
const UP = 0.5;
const CANCEL_MS = 49_000;

interface Followed {
  a: Arrival;
  acceptedAt: number | null;
  startedAt: number | null;
  left: number;
  done: Set<number>;
  /** Of services: how often they were looked at, and the mean part of their replicas that was up; when they were cancelled. */
  up: { sum: number; n: number };
  cancelledAt: number | null;
}

export class FleetWorld {
  now = 0;
  readonly reportMs = REPORT_MS;
  readonly leaseMs = LEASE_MS;
  readonly nodeNames = NODES;
  readonly workers = new Map<string, FakeWorker>();
  private readonly agenda = new EventQueue();
  private readonly state: FakeStore;
  private readonly cloud: FakeCloud;
  private readonly tasks: Tasks;
  private readonly nodes = new Map<string, Controller>();
  private readonly lives = new Map<string, number>();
  private readonly answers = new Map<number, (a: never) => void>();
  private readonly jobs = new Map<string, Followed>();
  private readonly where = new Map<TaskId, FakeWorker>();
  private readonly cutZones = new Set<ZoneName>();
  private readonly slow = new Map<string, number>();
  private readonly random: Random;
  private readonly fair = new Map<string, { sum: number; n: number }>();
  private req = 1;
  private readonly broken: string[] = [];
  private readonly rented: FakeWorker[] = [];

  constructor(
    private readonly lib: Lib,
    day: Day,
    private readonly setup: Setup,
  ) {
    this.random = lib.seededRandom(setup.seed);
    this.state = new FakeStore(this);
    this.cloud = new FakeCloud(this);
    this.cloud.types = structuredClone(TYPES);
    this.cloud.room = (type, zone) => room(setup.machines, type, zone);
    this.cloud.bootMs = (type) => TYPES.find((t) => t.name === type)!.bootS * (700 + this.random.below(600));
    const guard = { add: () => {} } as never;
    this.tasks = new Tasks(this, '', guard, { speed: 1, gangWaitS: 35, gangPeerS: 6 });
    NODES.forEach((name, i) => {
      this.after(i * 7, () => this.start(name));
    });
    for (const a of arrivals(day, setup.machines, setup.teams, setup.arriveS, this.random))
      this.agenda.add(2000 + a.atS * 1000, () => this.arrive(a));
    for (const t of day.troubles) this.agenda.add(t.atS * 1000, () => this.trouble(t));
  }

  after(ms: number, run: () => void): void {
    this.agenda.add(this.now + ms, run);
  }

  play(): Outcome {
    const end = (this.setup.arriveS + this.setup.drainS) * 1000;
    this.after(SAMPLE_MS, () => this.sample());
    const began = process.cpuUsage();
    for (let e = this.agenda.next(end); e !== null; e = this.agenda.next(end)) {
      this.now = Math.max(this.now, e.at);
      e.run();
    }
    const used = process.cpuUsage(began);
    return this.outcome((used.user + used.system) / 1e6);
  }

  // ---- controllers

  private settings(node: string): Settings {
    const { machines, teams } = this.setup;
    return {
      node: node as NodeId,
      zone: ZONES[1]!,
      listen: '10.0.0.1:80',
      peerListen: '10.0.0.1:81',
      peers: NODES.filter((n) => n !== node).map((n) => ({
        node: n as NodeId,
        zone: ZONES[1]!,
        addr: '10.0.0.2:81',
      })),
      cloudAddr: '10.0.0.9:1',
      storeAddr: '10.0.0.8:1',
      zones: ZONES,
      teams: Array.from({ length: teams }, (_, i) => ({
        name: teamName(i),
        cpus: 0,
        cpusMax: 0,
        // Every third team is guaranteed accelerators, and nothing else.
        gpus: i % 3 === 0 ? Math.round(machines / (4 * teams)) : 0,
        gpusMax: 0,
      })),
      objectives: OBJECTIVES,
      workers: {
        heartbeatS: REPORT_MS / 1000,
        leaseS: LEASE_MS / 1000,
        gangWaitS: 35,
        gangPeerS: 6,
        cancelS: 49,
      },
      store: {
        requestsPerS: 100 + machines / 5,
        writesPerS: 40 + machines / 20,
        maxValueKb: 8,
        maxTransactionOps: 24,
      },
      currentWritesPerS: 40 + machines / 20,
      cloud: { requestsPerS: 8, listLagS: 2 },
      sockets: 10_000,
      ramMb: null,
    };
  }

  private start(name: string): void {
    const life = (this.lives.get(name) ?? 0) + 1;
    this.lives.set(name, life);
    const core = new this.lib.Controller(
      this.settings(name),
      this.setup.options,
      this.lib.seededRandom(this.setup.seed * 31 + name.length + life),
    );
    this.nodes.set(name, core);
    for (const other of this.nodes.keys()) {
      if (other === name) continue;
      this.input(name, { kind: 'peer-up', node: other as NodeId });
      this.input(other, { kind: 'peer-up', node: name as NodeId });
    }
    const tick = (): void => {
      if (this.lives.get(name) !== life || !this.nodes.has(name)) return;
      this.input(name, { kind: 'tick' });
      this.after(100, tick);
    };
    tick();
  }

  private input(name: string, input: Input): void {
    const core = this.nodes.get(name);
    if (core === undefined) return;
    const life = this.lives.get(name)!;
    for (const e of core.step(this.now as Instant, (1e9 + this.now) as WallTime, input))
      this.effect(name, life, e);
  }

  private effect(name: string, life: number, e: Effect): void {
    const give = (ms: number, input: () => Input): void =>
      this.after(ms, () => {
        if (this.lives.get(name) === life && this.nodes.has(name)) this.input(name, input());
      });
    switch (e.kind) {
      case 'store': {
        let open = true;
        const answer = (reply: StoreReply): void => {
          if (open) give(4, () => ({ kind: 'store', tag: e.tag, reply }));
          open = false;
        };
        if (this.state.down) this.after(e.timeoutMs, () => answer({ kind: 'no-answer' }));
        return this.after(2, () => this.state.serve(name, e.request, answer));
      }
      case 'cloud':
        return this.after(40, () => {
          const reply: CloudReply = this.cloud.serve(e.request);
          give(40, () => ({ kind: 'cloud', tag: e.tag, reply }));
        });
      case 'probe': {
        const w = this.workers.get(e.addr.slice(e.addr.indexOf(':') + 1));
        const lost = (): void =>
          give(e.timeoutMs, () => ({ kind: 'worker', tag: e.tag, reply: { kind: 'no-answer' } }));
        if (w === undefined || this.cutZones.has(w.zone)) return lost();
        return this.after(2, () =>
          w.orders(e.fencingToken, e.agentEpoch, [], (reply: WorkerReply) =>
            give(2, () => ({ kind: 'worker', tag: e.tag, reply })),
          ),
        );
      }
      case 'peer':
        return this.after(1, () =>
          this.input(e.node, { kind: 'peer', node: name as NodeId, message: e.message }),
        );
      case 'user-response':
      case 'heartbeat-response': {
        const answer = this.answers.get(e.requestId);
        this.answers.delete(e.requestId);
        return answer?.(e.response as never);
      }
    }
  }

  get owner(): string | null {
    for (const [name, c] of this.nodes) if (c.election.holdsLease) return name;
    return null;
  }

  // ---- users

  private arrive(a: Arrival): void {
    this.jobs.set(a.spec.id, {
      a,
      acceptedAt: null,
      startedAt: null,
      left: a.spec.tasks,
      done: new Set(),
      up: { sum: 0, n: 0 },
      cancelledAt: null,
    });
    const { kind, tasks, image, imageGb } = a.spec;
    this.tasks.describe(a.spec.id, { kind, tasks, image, imageGb, runS: a.runS, command: null });
    this.submit(a, this.now);
  }

  private submit(a: Arrival, since: number): void {
    const up = [...this.nodes.keys()];
    const again = (ms: number): void => {
      if (this.now + ms - since < RETRY_FOR_MS) this.after(ms, () => this.submit(a, since));
    };
    if (up.length === 0) return again(1000);
    const requestId = this.req++;
    let open = true;
    this.answers.set(requestId, ((answer: UserResponse) => {
      if (!open) return;
      open = false;
      if (answer.kind === 'retry') again(Math.max(1000, answer.afterS * 1000));
      else if (answer.kind === 'accepted' || answer.kind === 'known') {
        this.jobs.get(a.spec.id)!.acceptedAt ??= this.now;
        if (a.spec.kind === 'service') this.after(a.runS * 1000, () => this.cancel(a));
      } else this.broken.push(`${a.spec.id} was answered ${answer.kind}`);
    }) as (a: never) => void);
    this.after(5000, () => {
      if (open) again(1000);
      open = false;
    });
    this.input(up[this.random.below(up.length)]!, {
      kind: 'user',
      requestId,
      request: { op: 'submit', spec: a.spec },
    });
  }

  /** Asked again and again until it is answered. */
  private cancel(a: Arrival): void {
    const f = this.jobs.get(a.spec.id)!;
    if (f.cancelledAt !== null) return;
    const up = [...this.nodes.keys()];
    this.after(3000, () => this.cancel(a));
    if (up.length === 0) return;
    const requestId = this.req++;
    this.answers.set(requestId, ((answer: UserResponse) => {
      if (answer.kind === 'ended' && answer.status === 'cancelled') f.cancelledAt ??= this.now;
    }) as (a: never) => void);
    const request = { op: 'cancel', id: a.spec.id } as const;
    this.input(up[this.random.below(up.length)]!, { kind: 'user', requestId, request });
  }

  // ---- machines

  machine(id: string, type: TypeName, zone: ZoneName, spot: boolean): FakeWorker {
    const w = new FakeWorker(this, id as MachineId, type, zone, spot, this.random.below(NODES.length));
    this.workers.set(id, w);
    this.rented.push(w);
    return w;
  }

  sendReport(
    w: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    done: (a: HeartbeatResponse | null) => void,
  ): void {
    let open = true;
    const finish = (a: HeartbeatResponse | null): void => {
      if (open) done(a);
      open = false;
    };
    this.after(timeoutMs, () => finish(null));
    if (this.cutZones.has(w.zone)) return;
    this.after(1, () => {
      if (!this.nodes.has(node)) return finish(null);
      const requestId = this.req++;
      this.answers.set(requestId, ((a: HeartbeatResponse) => {
        this.after(1, () => {
          if (!this.cutZones.has(w.zone)) finish(a);
        });
      }) as (a: never) => void);
      this.input(node, { kind: 'heartbeat', requestId, heartbeat });
    });
  }

  launch(
    w: FakeWorker,
    task: TaskId,
    attempt: number,
    end: (why: 'done') => void,
    is: (s: 'fetching' | 'waiting' | 'running') => void,
  ): RunningTask {
    const f = this.jobs.get(jobOf(task));
    const type = TYPES.find((t) => t.name === w.type)!;
    const machine = {
      id: w.id,
      fetchGbPerS: type.fetchGbPerS,
      cacheGb: type.cacheGb,
      slow: this.slow.get(w.id) ?? 1,
    };
    const over = (): void => {
      if (this.where.get(task) === w) this.where.delete(task);
    };
    const work = this.tasks.launch(
      machine,
      task,
      attempt,
      (why) => {
        over();
        if (why === 'done') this.completed(task);
        end(why as 'done');
      },
      (s) => {
        if (s === 'running' && f !== undefined) f.startedAt ??= this.now;
        is(s);
      },
    );
    return {
      kill: () => {
        over();
        work.kill();
      },
      stop: (graceS, ended) =>
        work.stop(graceS, (saved) => {
          over();
          ended(saved);
        }),
    };
  }

  private completed(task: TaskId): void {
    const f = this.jobs.get(jobOf(task));
    const index = Number(task.slice(task.lastIndexOf('/') + 1));
    if (f === undefined || f.done.has(index)) return;
    f.done.add(index);
    f.left--;
  }

  gone(): void {}

  /** The rules that a start can break. */
  placed(w: FakeWorker, task: TaskId): void {
    const f = this.jobs.get(jobOf(task));
    const fault = (what: string): void =>
      void this.broken.push(`${(this.now / 1000).toFixed(1)} ${what}: ${task} on ${w.id}`);
    if (f === undefined) return fault('invented');
    const before = this.where.get(task);
    if (before !== undefined && !before.over) fault(`ran_twice with ${before.id}`);
    this.where.set(task, w);
    if (f.cancelledAt !== null && this.now > f.cancelledAt + CANCEL_MS) fault('ran_cancelled');
    if (f.a.spec.spread) {
      let there = 0;
      for (let i = 0; i < f.a.spec.tasks; i++) {
        const other = this.where.get(`${f.a.spec.id}/${i}` as TaskId);
        if (other !== undefined && !other.over && other.zone === w.zone) there++;
      }
      if (there > Math.ceil(f.a.spec.tasks / 2)) fault(`wrong_place: ${there} in ${w.zone}`);
    }
    if (!f.a.spec.oneZone) return;
    for (let i = 0; i < f.a.spec.tasks; i++) {
      const other = this.where.get(`${f.a.spec.id}/${i}` as TaskId);
      if (other !== undefined && !other.over && other.zone !== w.zone)
        fault(`wrong_place beside ${other.id}`);
    }
  }

  // ---- troubles

  private trouble(t: Day['troubles'][number]): void {
    const up = [...this.workers.values()].filter((w) => w.up && !w.dead);
    if (t.kind === 'owner-ends') {
      const name = this.owner;
      if (name === null) return this.after(1000, () => this.trouble(t));
      this.nodes.delete(name);
      this.lives.set(name, this.lives.get(name)! + 1);
      for (const other of this.nodes.keys()) this.input(other, { kind: 'peer-down', node: name as NodeId });
      this.after(6000, () => this.start(name));
    } else if (t.kind === 'store') this.state.outage(t.forS);
    else if (t.kind === 'zone') {
      const zone = ZONES[t.zone]!;
      this.cutZones.add(zone);
      this.after(t.forS * 1000, () => this.cutZones.delete(zone));
    } else
      for (let n = Math.round(up.length * t.part); n > 0 && up.length > 0; n--) {
        const [w] = up.splice(this.random.below(up.length), 1);
        if (t.kind === 'die') w!.die();
        else if (t.kind === 'hang') w!.hang(t.forS * 1000);
        else this.slow.set(w!.id, t.factor);
      }
  }

  // ---- what is written down

  /** Compares what teams have with their fair shares of what they have and have been asking for. */
  private sample(): void {
    this.after(SAMPLE_MS, () => this.sample());
    const capacity = [0, 0, 0];
    for (const w of this.workers.values()) {
      if (!w.up || w.dead) continue;
      const t = TYPES.find((x) => x.name === w.type)!;
      [t.cpus, t.gpus, t.memoryGb].forEach((n, r) => {
        capacity[r] = capacity[r]! + n;
      });
    }
    const used = new Map<string, number[]>();
    const demand = new Map<string, number[]>();
    const add = (to: Map<string, number[]>, s: JobSpec, n: number): void => {
      const sum = to.get(s.team) ?? [0, 0, 0];
      to.set(s.team, sum);
      [s.cpus, s.gpus, s.memoryGb].forEach((x, r) => {
        sum[r] = sum[r]! + x * n;
      });
    };
    const running = new Map<string, number>();
    for (const task of this.where.keys()) {
      const id = jobOf(task);
      const { spec } = this.jobs.get(id)!.a;
      add(used, spec, 1);
      add(demand, spec, 1);
      running.set(id, (running.get(id) ?? 0) + 1);
    }
    for (const [id, f] of this.jobs) {
      if (f.acceptedAt === null || this.now - f.acceptedAt < ASKED_MS || f.cancelledAt !== null) continue;
      if (f.a.spec.kind === 'service') {
        f.up.n++;
        f.up.sum += (running.get(id) ?? 0) / f.a.spec.tasks;
      }
      const waiting = f.left - (running.get(id) ?? 0);
      if (waiting > 0) add(demand, f.a.spec, waiting);
    }
    const names = [...demand.keys()];
    const parts = names.map((n) => ({ demand: demand.get(n)!, guaranteed: [0, 0, 0], weight: 1 }));
    const got = maxMinShares(parts, capacity);
    // Only while there is not room for all do shares say anything.
    if (this.now > this.setup.arriveS * 1000 || got.every((f) => f > 0.999)) return;
    names.forEach((name, i) => {
      const fair = got[i]! * dominantShare(parts[i]!.demand, capacity);
      const has = dominantShare(used.get(name) ?? [0, 0, 0], capacity);
      if (fair <= 0) return;
      const f = this.fair.get(name) ?? { sum: 0, n: 0 };
      this.fair.set(name, { sum: f.sum + Math.min(1, has / fair), n: f.n + 1 });
    });
  }

  private outcome(cpuS: number): Outcome {
    const group = (by: (s: JobSpec) => string): Record<string, Served> => {
      const sets = new Map<string, Followed[]>();
      for (const f of this.jobs.values()) {
        if (f.acceptedAt === null) continue;
        const list = sets.get(by(f.a.spec)) ?? [];
        list.push(f);
        sets.set(by(f.a.spec), list);
      }
      return Object.fromEntries([...sets].sort().map(([name, list]) => [name, this.served(list)]));
    };
    const teams = group((s) => s.team);
    const parts = Object.values(teams).map((t) => t.done / t.jobs);
    const sum = parts.reduce((a, b) => a + b, 0);
    let all = 0;
    let lost = 0;
    let fetches = 0;
    let fetchedGb = 0;
    const seen = new Map<string, Set<string>>();
    for (const r of this.tasks.runs) {
      const spec = this.jobs.get(jobOf(r.task))?.a.spec;
      if (spec === undefined) continue;
      const cpu = (((r.to ?? this.now) - r.from) / 1000) * spec.cpus;
      all += cpu;
      if (r.to !== null && r.why !== 'done') lost += cpu;
      const has = seen.get(r.machine) ?? new Set();
      seen.set(r.machine, has);
      if (has.has(spec.image)) continue;
      has.add(spec.image);
      fetches++;
      fetchedGb += spec.imageGb;
    }
    return {
      classes: group((s) => s.class),
      teams,
      fair: Object.fromEntries(
        [...this.fair].filter(([, f]) => f.n >= LEAST_SAMPLES).map(([name, f]) => [name, f.sum / f.n]),
      ),
      jain: parts.length === 0 ? 1 : sum ** 2 / (parts.length * parts.reduce((a, b) => a + b * b, 0)),
      fetches,
      fetchedGb,
      lostWork: all === 0 ? 0 : lost / all,
      killedByLease: this.rented.reduce((n, w) => n + w.lostByLease, 0),
      broken: this.broken,
      cpuS,
    };
  }

  private served(list: Followed[]): Served {
    const h = histogram({ lowestDiscernibleValue: 1, highestTrackableValue: 36_000_000 });
    for (const f of list) h.recordValue(Math.max(1, Math.round((f.startedAt ?? this.now) - f.acceptedAt!)));
    const at = (p: number): number => h.getValueAtPercentile(p) / 1000;
    return {
      jobs: list.length,
      done: list.filter(isServed).length,
      wait: { p50: at(50), p90: at(90), p99: at(99), max: h.maxValue / 1000 },
    };
  }
}

const isServed = ({ a, left, up }: Followed): boolean =>
  a.spec.kind === 'service' ? up.n === 0 || up.sum >= UP * up.n : left === 0;

const jobOf = (task: TaskId): string => task.slice(0, task.lastIndexOf('/'));
