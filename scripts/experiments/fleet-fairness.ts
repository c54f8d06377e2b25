// Compares the resources that the teams of the fleet experiment use with their fair shares, which are
// computed from the resources in use and the demand that has been waiting.
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { JobSpec } from '../../src/core/base/model.ts';
import { dominantShare, maxMinShares } from '../../src/core/teams/max-min-fairness.ts';
import { TYPES } from './fleet-days.ts';
import { type FleetJob, type FleetJobs, jobOf, tasksLeft } from './fleet-jobs.ts';
import type { FleetMachines } from './fleet-machines.ts';

/**
 * Demand is counted from this age on: by then, a heartbeat, the end of a task and the fetch of an image would
 * have allowed it to start.
 */
const MIN_DEMAND_AGE_MS = 20_000;
/** Teams with less than a minute of demand in total are left out, as their mean is not meaningful. */
const MIN_SAMPLES = 12;
/** From this fraction of a demand on, the demand counts as satisfied in full. */
const FULLY_SATISFIED = 0.999;

/** Amounts of CPUs, accelerators and memory, in this order. */
type Resources = number[];
const NO_RESOURCES: Resources = [0, 0, 0];

interface MeanShare {
  sum: number;
  samples: number;
}

/** The simulated world from which samples are taken. */
export interface FairnessEnvironment {
  readonly now: number;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly jobs: FleetJobs;
  readonly machines: FleetMachines;
}

/** Sums of resources by team. */
class TeamResources {
  readonly byTeam = new Map<string, Resources>();

  add(spec: JobSpec, tasks: number): void {
    const sum = this.byTeam.get(spec.team) ?? [...NO_RESOURCES];
    this.byTeam.set(spec.team, sum);
    [spec.cpus, spec.gpus, spec.memoryGb].forEach((amount, i) => {
      sum[i] = sum[i]! + amount * tasks;
    });
  }

  of(team: string): Resources {
    return this.byTeam.get(team) ?? NO_RESOURCES;
  }
}

/** Samples the shares of teams while a day runs. */
export class FleetFairness {
  private readonly shares = new Map<string, MeanShare>();

  constructor(
    private readonly environment: FairnessEnvironment,
    /** End of the arrivals, after which shares are not compared. */
    private readonly untilMs: number,
  ) {}

  /** Samples the running replicas of services and the shares of teams. */
  sample(): void {
    const capacity = this.capacity();
    const used = new TeamResources();
    const demand = new TeamResources();
    const running = this.countRunning(used, demand);
    for (const [id, job] of this.environment.jobs.byId) {
      if (!this.countsAsDemand(job)) continue;
      const { spec } = job.arrival;
      const tasks = running.get(id) ?? 0;
      if (spec.kind === 'service') {
        job.replicasUp.samples++;
        job.replicasUp.sum += tasks / spec.tasks;
      }
      const waiting = tasksLeft(job) - tasks;
      if (waiting > 0) demand.add(spec, waiting);
    }
    this.compareShares(capacity, used, demand);
  }

  /** For each team, the mean fraction of its fair share that it used. */
  meanShares(): Record<string, number> {
    return Object.fromEntries(
      [...this.shares]
        .filter(([, { samples }]) => samples >= MIN_SAMPLES)
        .map(([team, { sum, samples }]) => [team, sum / samples]),
    );
  }

  private capacity(): Resources {
    const capacity = [...NO_RESOURCES];
    for (const worker of this.environment.workers.values()) {
      if (!worker.up || worker.isTerminated) continue;
      const { cpus, gpus, memoryGb } = TYPES.find((type) => type.name === worker.type)!;
      [cpus, gpus, memoryGb].forEach((amount, i) => {
        capacity[i] = capacity[i]! + amount;
      });
    }
    return capacity;
  }

  /**
   * Adds the resources of running tasks to `used` and `demand`; returns the number of running tasks by job.
   */
  private countRunning(used: TeamResources, demand: TeamResources): Map<string, number> {
    const running = new Map<string, number>();
    for (const task of this.environment.machines.machineOf.keys()) {
      const id = jobOf(task);
      const { spec } = this.environment.jobs.byId.get(id)!.arrival;
      used.add(spec, 1);
      demand.add(spec, 1);
      running.set(id, (running.get(id) ?? 0) + 1);
    }
    return running;
  }

  private countsAsDemand({ acceptedAt, cancelledAt }: FleetJob): boolean {
    if (acceptedAt === null || cancelledAt !== null) return false;
    return this.environment.now - acceptedAt >= MIN_DEMAND_AGE_MS;
  }

  private compareShares(capacity: Resources, used: TeamResources, demand: TeamResources): void {
    const teams = [...demand.byTeam.keys()];
    const demands = teams.map((team) => ({
      demand: demand.of(team),
      guaranteed: [...NO_RESOURCES],
      weight: 1,
    }));
    const fairFractions = maxMinShares(demands, capacity);
    // Shares are only meaningful while demand exceeds capacity.
    if (this.environment.now > this.untilMs || fairFractions.every((fraction) => fraction > FULLY_SATISFIED))
      return;
    teams.forEach((team, i) => {
      const fairShare = fairFractions[i]! * dominantShare(demands[i]!.demand, capacity);
      if (fairShare <= 0) return;
      const actualShare = dominantShare(used.of(team), capacity);
      const { sum, samples } = this.shares.get(team) ?? { sum: 0, samples: 0 };
      this.shares.set(team, { sum: sum + Math.min(1, actualShare / fairShare), samples: samples + 1 });
    });
  }
}
