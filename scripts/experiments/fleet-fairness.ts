// Compares what teams of the fleet experiment have with their fair shares of what they have and have been
// asking for.
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { JobSpec } from '../../src/core/base/model.ts';
import { dominantShare, maxMinShares } from '../../src/core/teams/max-min-fairness.ts';
import { TYPES } from './fleet-days.ts';
import { type FleetJob, type FleetJobs, jobOf, tasksLeft } from './fleet-jobs.ts';
import type { FleetMachines } from './fleet-machines.ts';

/**
 * What has been asked for this long could have been started: a heartbeat, a task's end, and an image's fetch.
 */
const ASKED_MS = 20_000;
/** A team that keeps asking for less than a minute in all tells nothing. */
const LEAST_SAMPLES = 12;
/** Shares of all that is asked for: there is room for all. */
const ROOM_FOR_ALL = 0.999;

/** CPUs, accelerators and memory. */
type Resources = number[];
const NOTHING: Resources = [0, 0, 0];

interface MeanShare {
  sum: number;
  samples: number;
}

/** What the samples are taken of. */
export interface FairnessEnvironment {
  readonly now: number;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly jobs: FleetJobs;
  readonly machines: FleetMachines;
}

/** Amounts by team. */
class TeamResources {
  readonly byTeam = new Map<string, Resources>();

  add(spec: JobSpec, tasks: number): void {
    const sum = this.byTeam.get(spec.team) ?? [...NOTHING];
    this.byTeam.set(spec.team, sum);
    [spec.cpus, spec.gpus, spec.memoryGb].forEach((amount, i) => {
      sum[i] = sum[i]! + amount * tasks;
    });
  }

  of(team: string): Resources {
    return this.byTeam.get(team) ?? NOTHING;
  }
}

/** Samples teams' shares while a day is played. */
export class FleetFairness {
  private readonly shares = new Map<string, MeanShare>();

  constructor(
    private readonly environment: FairnessEnvironment,
    /** Shares are compared until then: while jobs arrive. */
    private readonly untilMs: number,
  ) {}

  /** Takes a sample of services' replicas, and of shares. */
  sample(): void {
    const capacity = this.capacity();
    const used = new TeamResources();
    const demand = new TeamResources();
    const running = this.countRunning(used, demand);
    for (const [id, job] of this.environment.jobs.byId) {
      if (!this.isAskedFor(job)) continue;
      const { spec } = job.arrival;
      const tasks = running.get(id) ?? 0;
      if (spec.kind === 'service') {
        job.replicasUp.looks++;
        job.replicasUp.sum += tasks / spec.tasks;
      }
      const waiting = tasksLeft(job) - tasks;
      if (waiting > 0) demand.add(spec, waiting);
    }
    this.compareShares(capacity, used, demand);
  }

  /** The mean part of its fair share that each team had. */
  meanShares(): Record<string, number> {
    return Object.fromEntries(
      [...this.shares]
        .filter(([, { samples }]) => samples >= LEAST_SAMPLES)
        .map(([team, { sum, samples }]) => [team, sum / samples]),
    );
  }

  private capacity(): Resources {
    const capacity = [...NOTHING];
    for (const worker of this.environment.workers.values()) {
      if (!worker.up || worker.dead) continue;
      const { cpus, gpus, memoryGb } = TYPES.find((type) => type.name === worker.type)!;
      [cpus, gpus, memoryGb].forEach((amount, i) => {
        capacity[i] = capacity[i]! + amount;
      });
    }
    return capacity;
  }

  /** Adds up what runs; returns how many tasks of each job do. */
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

  private isAskedFor({ acceptedAt, cancelledAt }: FleetJob): boolean {
    if (acceptedAt === null || cancelledAt !== null) return false;
    return this.environment.now - acceptedAt >= ASKED_MS;
  }

  private compareShares(capacity: Resources, used: TeamResources, demand: TeamResources): void {
    const teams = [...demand.byTeam.keys()];
    const demands = teams.map((team) => ({
      demand: demand.of(team),
      guaranteed: [...NOTHING],
      weight: 1,
    }));
    const fairParts = maxMinShares(demands, capacity);
    // Only while there is not room for all do shares say anything.
    if (this.environment.now > this.untilMs || fairParts.every((part) => part > ROOM_FOR_ALL)) return;
    teams.forEach((team, i) => {
      const fair = fairParts[i]! * dominantShare(demands[i]!.demand, capacity);
      if (fair <= 0) return;
      const has = dominantShare(used.of(team), capacity);
      const { sum, samples } = this.shares.get(team) ?? { sum: 0, samples: 0 };
      this.shares.set(team, { sum: sum + Math.min(1, has / fair), samples: samples + 1 });
    });
  }
}
