// One run of the scale experiment: a cluster of a given size under a given load, with faults or without,
// measured and checked.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  type FreeCapacity,
  type MachineInfo,
  RuleChecker,
  type TeamAmounts,
  UNLIMITED,
} from '../../../test/support/rule-checker.ts';
import { ScaleCluster } from './cluster.ts';
import type { NodeStatus } from './controller-group.ts';
import { type Figures, Meter } from './measure.ts';
import { ObservationQueue } from './observation-queue.ts';
import { ScaleOperator } from './operator.ts';
import { LastingFreeCapacity, TrackedPlacements } from './placements.ts';
import { daemonProgram, hostCountFor } from './resources.ts';
import { RunFaults } from './run-faults.ts';
import {
  clusterOptions,
  type RunResult,
  type RunSetup,
  type UrgentFigures,
  WORKER_SETTINGS,
} from './run-setup.ts';
import { sleep, wallClock } from './time.ts';
import { Users } from './users.ts';
import { ACCELERATED, PLAIN, type TeamLimits, teamsFor, WAITING_TEAM } from './workload.ts';

export type { RunResult, RunSetup, ScaleFault } from './run-setup.ts';

const SAMPLE_INTERVAL_MS = 1000;
const CHECK_INTERVAL_MS = 200;
/** A peak is the highest mean over this many seconds. */
const PEAK_WINDOW_S = 10;

/** Results of the measurement. */
interface Measurement {
  figures: Figures;
  running: number;
  openJobs: number;
  meanStartsPerS: number;
}

/** A limit of 0 in the settings means no limit. */
const limitOrInfinity = (amount: number): number => (amount > 0 ? amount : Number.POSITIVE_INFINITY);

const limitsOf = (teams: readonly TeamLimits[]): Map<string, TeamAmounts> =>
  new Map(
    teams.map(({ name, cpus_max, gpus_max }) => [
      name,
      { cpus: limitOrInfinity(cpus_max), gpus: limitOrInfinity(gpus_max) },
    ]),
  );

/** Executes one run. */
export class ScaleRun {
  private readonly placesById = new Map<string, MachineInfo>();
  private readonly placements: TrackedPlacements;
  private readonly rules: RuleChecker;
  private readonly observations: ObservationQueue;
  private readonly users: Users;
  private readonly meter: Meter;
  private readonly operator: ScaleOperator;
  private readonly faults: RunFaults;
  private readonly lastingFreeCapacity = new LastingFreeCapacity();
  /** Free capacity of machines that has lasted long enough to be checked by the rules. */
  private lastingCapacities: FreeCapacity[] = [];
  private isSampling = true;

  private constructor(
    private readonly setup: RunSetup,
    private readonly cluster: ScaleCluster,
    private readonly onProgress: (line: string) => void,
  ) {
    const { demand, seed } = setup;
    const teams = teamsFor(demand, seed);
    const machineOf = (id: string): MachineInfo | undefined => this.placeOf(id);
    this.placements = new TrackedPlacements(machineOf, (job) => this.users.specOf(job));
    this.rules = new RuleChecker(
      {
        cancelMs: WORKER_SETTINGS.cancel_s * 1000,
        limitOf: (team, at) => this.operator.limitOf(team, at) ?? UNLIMITED,
        rooms: () => this.lastingCapacities,
      },
      this.placements,
    );
    this.observations = new ObservationQueue(this.rules, this.placements, machineOf);
    cluster.onTaskEvents = (events) => this.observations.add(events);
    this.users = new Users(cluster, this.observations, demand, teams, seed);
    this.meter = new Meter(cluster);
    const limits = limitsOf([...teams, WAITING_TEAM]);
    this.operator = new ScaleOperator(cluster.controllers.settings(), teams, limits, seed + 2);
    const { users, operator, meter } = this;
    this.faults = new RunFaults({ cluster, users, operator, meter, seed, onProgress });
  }

  /**
   * Executes a run and ends all its processes, also after an error. `registerStop` receives a function to end
   * them.
   */
  static async run(
    setup: RunSetup,
    onProgress: (line: string) => void,
    registerStop: (stop: () => Promise<void>) => void = () => {},
  ): Promise<RunResult> {
    const dir = mkdtempSync(join(tmpdir(), 'swiftford-scale-'));
    const cluster = await ScaleCluster.start({
      options: clusterOptions(setup),
      program: daemonProgram(),
      dir,
      hostCount: hostCountFor(setup.demand.workers),
      seed: setup.seed,
    });
    registerStop(() => cluster.stop());
    const run = new ScaleRun(setup, cluster, onProgress);
    try {
      return await run.execute();
    } finally {
      run.isSampling = false;
      run.users.stop();
      run.operator.stop();
      await cluster.stop();
      rmSync(dir, { recursive: true, force: true });
    }
  }

  private async execute(): Promise<RunResult> {
    const { setup } = this;
    const loops = [this.sampleLoop(), this.checkLoop()];
    this.users.start();
    this.operator.start(setup.changesPerMinute);
    const measurement = await this.measure();
    await this.faults.injectAll(setup.troubles);
    this.observations.add([{ at: wallClock(), kind: 'over' }]);
    await sleep(setup.calmS * 1000);
    this.isSampling = false;
    await Promise.all(loops);
    this.observations.advance(wallClock());
    this.rules.checkAnyTaskStarted(wallClock());
    return this.result(measurement);
  }

  private async measure(): Promise<Measurement> {
    const { fillS, measureS, burst } = this.setup;
    await sleep(fillS * 1000);
    this.meter.reset();
    if (burst > 0) this.users.burst(burst, measureS);
    const from = Math.floor(Date.now() / 1000);
    await sleep(measureS * 1000);
    return {
      figures: this.meter.figures(),
      running: this.observations.runningTasks,
      openJobs: this.users.openJobs,
      meanStartsPerS: this.startsBetween(from, from + measureS) / measureS,
    };
  }

  // ---- loops

  private async sampleLoop(): Promise<void> {
    const { controllers } = this.cluster;
    while (this.isSampling) {
      const startedAt = performance.now();
      const statuses = await Promise.all(controllers.all.map((controller) => controllers.status(controller)));
      this.meter.sample(statuses);
      this.placements.sampleUse();
      this.lastingCapacities = [...this.lastingFreeCapacity.sample(this.freeCapacities())];
      this.reportProgress(statuses);
      await sleep(Math.max(0, SAMPLE_INTERVAL_MS - (performance.now() - startedAt)));
    }
  }

  private async checkLoop(): Promise<void> {
    while (this.isSampling) {
      this.observations.advance(wallClock());
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  private reportProgress(statuses: readonly (NodeStatus | null)[]): void {
    const leader = statuses.find((status) => status !== null)?.owner ?? 'none';
    this.onProgress(
      `leader ${leader}, ${this.cluster.upMachines.length} workers, ${this.observations.runningTasks} tasks on them, ` +
        `${this.users.openJobs} jobs open, ${this.rules.violations.length} rules broken`,
    );
  }

  private placeOf(id: string): MachineInfo | undefined {
    const cached = this.placesById.get(id);
    if (cached !== undefined) return cached;
    const machine = this.cluster.machines.get(id);
    if (machine === undefined) return undefined;
    const { type, zone, spot } = machine;
    const place = { id, type, zone, spot };
    this.placesById.set(id, place);
    return place;
  }

  private *freeCapacities(): Iterable<FreeCapacity> {
    for (const machine of this.cluster.upMachines) {
      const { cpus, gpus, memory_gb } = machine.type === 'plain' ? PLAIN : ACCELERATED;
      yield this.placements.freeCapacityOf(machine, { cpus, gpus, memoryGb: memory_gb });
    }
  }

  // ---- figures

  private startsBetween(fromSecond: number, toSecond: number): number {
    let total = 0;
    for (const [second, starts] of this.observations.startsBySecond)
      if (second >= fromSecond && second < toSecond) total += starts;
    return total;
  }

  /** The highest mean of starts a second over a window of `PEAK_WINDOW_S`. */
  private peakStartsPerS(): number {
    let peak = 0;
    for (const second of this.observations.startsBySecond.keys())
      peak = Math.max(peak, this.startsBetween(second, second + PEAK_WINDOW_S) / PEAK_WINDOW_S);
    return peak;
  }

  private urgentFigures(): UrgentFigures {
    const { urgentDelaysMs } = this.users;
    const seconds = (percentile: number): number => urgentDelaysMs.getValueAtPercentile(percentile) / 1000;
    const { totalCount, maxValue } = urgentDelaysMs;
    return { n: totalCount, p50S: seconds(50), p99S: seconds(99), maxS: maxValue / 1000 };
  }

  private result({ figures, running, openJobs, meanStartsPerS }: Measurement): RunResult {
    const { cluster, rules } = this;
    return {
      setup: this.setup,
      figures,
      peak: this.faults.burstFigures,
      running,
      openJobs,
      peakStartsPerS: this.peakStartsPerS(),
      meanStartsPerS,
      urgent: this.urgentFigures(),
      takeoversS: this.faults.takeoversS,
      users: this.users.figures,
      broken: rules.violations,
      unfinished: rules.unfinishedJobs().length,
      lostByLease: cluster.hosts.reduce((total, host) => total + host.counts.lostByLease, 0),
      rented: cluster.rentedCount,
      ended: cluster.controllers.all.reduce((total, controller) => total + controller.unexpectedExits, 0),
      stateRefused: cluster.serviceCounts?.stateRefused ?? 0,
      config: this.operator.figures(),
    };
  }
}
