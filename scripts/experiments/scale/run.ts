// One run of the scale drill: a cluster of a given size under a given load, with troubles or without, measured and judged.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { readLabOptions } from '../../../packages/local-cluster/src/index.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import {
  type Place,
  type Room,
  RuleChecker,
  type TeamAmounts,
  UNLIMITED,
} from '../../../test/support/rule-checker.ts';
import { type ControllerProcess, type NodeStatus, ScaleCluster } from './cluster.ts';
import { type Figures, Meter } from './measure.ts';
import { type ConfigFigures, ScaleOperator } from './operator.ts';
import { Judge, LastingRooms, TrackedPlacements } from './placements.ts';
import { daemonProgram, hostsFor } from './resources.ts';
import {
  ACCELERATED,
  type Demand,
  PLAIN,
  PLAIN_PART,
  teamsFor,
  type UserFigures,
  Users,
  WAITING_TEAM,
  ZONES,
} from './workload.ts';

export interface RunSetup {
  demand: Demand;
  controllers: number;
  seed: number;
  /** Seconds from the start until it is measured, and for how long. */
  fillS: number;
  measureS: number;
  /** Starts a second in a burst beside the measurement; 0: none. */
  burst: number;
  /** Changes of the configuration a minute; 0: none, and no documents. */
  changesPerMinute: number;
  /** What goes wrong after the measurement. */
  troubles: readonly Trouble[];
  /** Seconds from the last trouble to the end. */
  calmS: number;
}

export type Trouble = { atS: number } & (
  | { kind: 'burst'; startsPerS: number; forS: number }
  | { kind: 'owner-ends' }
  | { kind: 'all-end' }
  | { kind: 'freeze-owner'; forS: number }
  | { kind: 'outage'; forS: number }
  | { kind: 'rack'; workers: number }
  | { kind: 'zone-cut'; forS: number }
  | { kind: 'restarts'; workers: number; forS: number }
  /** So many documents changed within so many seconds. */
  | { kind: 'config-burst'; documents: number; forS: number }
);

export interface RunResult {
  setup: RunSetup;
  figures: Figures;
  /** The same in the first burst of starts, with whatever goes wrong in it. */
  peak: Figures | null;
  /** Of the whole run. */
  running: number;
  peakStartsPerS: number;
  meanStartsPerS: number;
  openJobs: number;
  urgent: { n: number; p50S: number; p99S: number; maxS: number };
  /** From each end of an owner until the next has heard all machines, in seconds. */
  takeoversS: number[];
  users: UserFigures;
  broken: string[];
  unfinished: number;
  lostByLease: number;
  rented: number;
  /** Controllers that ended by themselves. */
  ended: number;
  stateRefused: number;
  config: ConfigFigures;
}

const STATE = { rps: 100, write_rps: 40, value_kb: 8, txn_ops: 24, latency_ms: 5 };
const CLOUD = { rps: 8, list_lag_s: 8, latency_ms: 80 };
const WORKERS = { report_s: 5, lease_s: 24, gang_wait_s: 35, gang_peer_s: 8, cancel_s: 49 };
const SAMPLE_MS = 1000;
const JUDGE_MS = 200;
const TAKEOVER_LOOK_MS = 100;
const TAKEOVER_MAX_S = 60;

const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

function labOptions(s: RunSetup): ReturnType<typeof readLabOptions> {
  const { workers } = s.demand;
  const plain = Math.max(1, Math.round((workers * PLAIN_PART) / ZONES.length));
  const accelerated = Math.max(1, Math.round((workers * (1 - PLAIN_PART)) / ZONES.length));
  const teams = [...teamsFor(s.demand, s.seed), WAITING_TEAM];
  return readLabOptions('(drill)', {
    lab: [{ port: 0, controllers: s.controllers, seed: s.seed, zones: ZONES }],
    team: Object.fromEntries(teams.map(({ name, ...t }) => [name, [t]])),
    type: {
      plain: [{ ...PLAIN, price: 1, boot_s: 3, count: plain, spot: 0 }],
      accelerated: [{ ...ACCELERATED, price: 2.5, boot_s: 3, count: accelerated, spot: 0 }],
    },
    workers: [WORKERS],
    state: [STATE],
    cloud: [CLOUD],
  });
}

export class ScaleRun {
  private readonly places = new Map<string, Place>();
  private readonly placements: TrackedPlacements;
  private readonly rules: RuleChecker;
  private readonly judge: Judge;
  private readonly users: Users;
  private readonly meter: Meter;
  private readonly random;
  private readonly takeoversS: number[] = [];
  private readonly limits: Map<string, TeamAmounts>;
  private readonly operator: ScaleOperator;
  private readonly lastingRooms = new LastingRooms();
  private lasting: Room[] = [];
  private sampling = true;
  private peak: Figures | null = null;

  private constructor(
    private readonly setup: RunSetup,
    readonly cluster: ScaleCluster,
    private readonly progress: (line: string) => void,
  ) {
    this.random = seededRandom(setup.seed + 1);
    const teams = teamsFor(setup.demand, setup.seed);
    const limit = (x: number): number => (x > 0 ? x : Number.POSITIVE_INFINITY);
    this.limits = new Map(
      [...teams, WAITING_TEAM].map((t) => [t.name, { cpus: limit(t.cpus_max), gpus: limit(t.gpus_max) }]),
    );
    const machineOf = (id: string): Place | undefined => this.placeOf(id);
    this.placements = new TrackedPlacements(machineOf, (job) => this.users.specOf(job));
    this.rules = new RuleChecker(
      {
        cancelMs: WORKERS.cancel_s * 1000,
        limitOf: (team, at) => this.operator.limitOf(team, at) ?? UNLIMITED,
        rooms: () => this.lasting,
      },
      this.placements,
    );
    this.judge = new Judge(this.rules, this.placements, machineOf);
    cluster.onTasks = (events) => this.judge.see(events);
    this.users = new Users(cluster, this.judge, setup.demand, teams, setup.seed);
    this.meter = new Meter(cluster);
    this.operator = new ScaleOperator(cluster.settings(), teams, this.limits, setup.seed + 2);
  }

  /** Plays it and takes everything down, whatever happens. */
  static async play(
    setup: RunSetup,
    progress: (line: string) => void,
    onCluster: (stop: () => Promise<void>) => void = () => {},
  ): Promise<RunResult> {
    const dir = mkdtempSync(join(tmpdir(), 'swiftford-scale-'));
    const cluster = await ScaleCluster.start({
      options: labOptions(setup),
      program: daemonProgram(),
      dir,
      hosts: hostsFor(setup.demand.workers),
      seed: setup.seed,
    });
    onCluster(() => cluster.stop());
    const run = new ScaleRun(setup, cluster, progress);
    try {
      return await run.play();
    } finally {
      run.sampling = false;
      run.users.stop();
      run.operator.stop();
      await cluster.stop();
      rmSync(dir, { recursive: true, force: true });
    }
  }

  private placeOf(id: string): Place | undefined {
    const known = this.places.get(id);
    if (known !== undefined) return known;
    const m = this.cluster.machines.get(id);
    if (m !== undefined) this.places.set(id, { id, type: m.type, zone: m.zone, spot: m.spot });
    return this.places.get(id);
  }

  private *rooms(): Iterable<Room> {
    for (const m of this.cluster.up) {
      const size = m.type === 'plain' ? PLAIN : ACCELERATED;
      yield this.placements.room(m, { cpus: size.cpus, gpus: size.gpus, memoryGb: size.memory_gb });
    }
  }

  private async sampleLoop(): Promise<void> {
    while (this.sampling) {
      const began = performance.now();
      const statuses = await Promise.all(this.cluster.controllers.map((c) => this.cluster.status(c)));
      this.meter.sample(statuses);
      this.placements.look();
      this.lasting = [...this.lastingRooms.look(this.rooms())];
      this.tell(statuses);
      await sleep(Math.max(0, SAMPLE_MS - (performance.now() - began)));
    }
  }

  private tell(statuses: readonly (NodeStatus | null)[]): void {
    const owner = statuses.find((s) => s !== null)?.owner ?? 'none';
    this.progress(
      `owner ${owner}, ${this.cluster.up.length} workers, ${this.judge.running} tasks on them, ` +
        `${this.users.open} jobs open, ${this.rules.broken.length} rules broken`,
    );
  }

  private async judgeLoop(): Promise<void> {
    while (this.sampling) {
      this.judge.advance(performance.timeOrigin + performance.now());
      await sleep(JUDGE_MS);
    }
  }

  private async play(): Promise<RunResult> {
    const { setup } = this;
    const loops = [this.sampleLoop(), this.judgeLoop()];
    this.users.begin();
    this.operator.begin(setup.changesPerMinute);
    await sleep(setup.fillS * 1000);
    this.meter.begin();
    if (setup.burst > 0) this.users.burst(setup.burst, setup.measureS);
    const from = Math.floor(Date.now() / 1000);
    await sleep(setup.measureS * 1000);
    const figures = this.meter.figures();
    const running = this.judge.running;
    const openJobs = this.users.open;
    const meanStartsPerS = this.startsBetween(from, from + setup.measureS) / setup.measureS;
    await this.playTroubles();
    const now = (): number => performance.timeOrigin + performance.now();
    this.judge.see([{ at: now(), kind: 'over' }]);
    await sleep(setup.calmS * 1000);
    this.sampling = false;
    await Promise.all(loops);
    this.judge.advance(now());
    this.rules.close(now());
    return this.result(figures, running, openJobs, meanStartsPerS);
  }

  private startsBetween(from: number, to: number): number {
    let n = 0;
    for (const [second, starts] of this.judge.starts) if (second >= from && second < to) n += starts;
    return n;
  }

  /** The highest mean over ten seconds. */
  private peakStarts(): number {
    const window = 10;
    let peak = 0;
    for (const second of this.judge.starts.keys())
      peak = Math.max(peak, this.startsBetween(second, second + window) / window);
    return peak;
  }

  private result(figures: Figures, running: number, openJobs: number, meanStartsPerS: number): RunResult {
    const { urgent, figures: users } = this.users;
    const s = (p: number): number => urgent.getValueAtPercentile(p) / 1000;
    return {
      setup: this.setup,
      figures,
      peak: this.peak,
      running,
      openJobs,
      peakStartsPerS: this.peakStarts(),
      meanStartsPerS,
      urgent: { n: urgent.totalCount, p50S: s(50), p99S: s(99), maxS: urgent.maxValue / 1000 },
      takeoversS: this.takeoversS,
      users,
      broken: this.rules.broken,
      unfinished: this.rules.unfinished().length,
      lostByLease: this.cluster.hosts.reduce((n, h) => n + h.counts.lostByLease, 0),
      rented: this.cluster.rented,
      ended: this.cluster.controllers.reduce((n, c) => n + c.ended, 0),
      stateRefused: this.cluster.serviceCounts?.stateRefused ?? 0,
      config: this.operator.figures(),
    };
  }

  // ---- troubles

  private async playTroubles(): Promise<void> {
    const began = performance.now();
    const under: Promise<void>[] = [];
    let endS = 0;
    for (const t of [...this.setup.troubles].sort((a, b) => a.atS - b.atS)) {
      await sleep(Math.max(0, t.atS * 1000 - (performance.now() - began)));
      this.progress(`trouble: ${JSON.stringify(t)}`);
      under.push(this.begin(t));
      endS = Math.max(endS, t.atS + ('forS' in t ? t.forS : 0));
    }
    await Promise.all(under);
    await sleep(Math.max(0, endS * 1000 - (performance.now() - began)));
  }

  private async begin(t: Trouble): Promise<void> {
    const { cluster } = this;
    switch (t.kind) {
      case 'burst':
        this.users.burst(t.startsPerS, t.forS);
        return this.measurePeak(t.forS);
      case 'owner-ends': {
        const owner = await cluster.owner();
        if (owner === null) return;
        cluster.kill(owner);
        return this.timeTakeover();
      }
      case 'all-end':
        for (const c of cluster.controllers) cluster.kill(c);
        return this.timeTakeover();
      case 'freeze-owner': {
        const owner = await cluster.owner();
        if (owner === null) return;
        cluster.freeze(owner, t.forS * 1000);
        return this.timeTakeover(owner);
      }
      case 'outage':
        cluster.outage(t.forS);
        this.operator.outage(t.forS * 1000);
        return sleep(t.forS * 1000);
      case 'rack': {
        const zone = ZONES[this.random.below(ZONES.length)];
        const rack = cluster.up.filter((m) => m.zone === zone).slice(0, t.workers);
        return cluster.loseMachines(rack.map((m) => m.id));
      }
      case 'zone-cut':
        cluster.cutZone(ZONES[this.random.below(ZONES.length)]!, t.forS * 1000);
        return sleep(t.forS * 1000);
      case 'config-burst':
        return this.operator.burst(t.documents, t.forS);
      case 'restarts':
        for (let i = 0; i < t.workers; i++) {
          const up = cluster.up;
          const m = up[this.random.below(Math.max(1, up.length))];
          if (m !== undefined) cluster.restartMachine(m.id);
          await sleep((t.forS * 1000) / t.workers);
        }
    }
  }

  private async measurePeak(seconds: number): Promise<void> {
    this.meter.begin();
    await sleep(seconds * 1000);
    this.peak ??= this.meter.figures();
  }

  /** How long until another controller owns the jobs and has heard all machines. */
  private async timeTakeover(except: ControllerProcess | null = null): Promise<void> {
    const began = performance.now();
    while (performance.now() - began < TAKEOVER_MAX_S * 1000) {
      await sleep(TAKEOVER_LOOK_MS);
      const others = this.cluster.controllers.filter((c) => c !== except && c.process !== null);
      const statuses = await Promise.all(others.map((c) => this.cluster.status(c)));
      if (statuses.some((s, i) => s?.owner === others[i]!.name && s.recovered === true)) break;
    }
    this.takeoversS.push((performance.now() - began) / 1000);
  }
}
