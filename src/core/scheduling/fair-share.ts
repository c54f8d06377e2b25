// What each team, and each class of jobs, gets at least while capacity is short. Of the machines that its
// work may use, a team that keeps asking gets at least `team` times, and a class at least `class` times, its
// weighted max-min share in the dominant resource, whatever others of the same priority ask for. Those below
// that floor go first until they reach it; beyond it the order is that of the jobs. While there is capacity
// for all nothing is owed.
import type { Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { dominantShare, maxMinShares, type ShareDemand } from '../teams/max-min-fairness.ts';
import { addResources, type ClassUsage, type Resources, resourcesOf, type Usage } from '../teams/usage.ts';
import type { MachineSet } from './machine-sets.ts';

/** Fractions of their fair share that teams, and classes, are never kept below; 0: no floor. */
export interface FairShareFloors {
  team: number;
  class: number;
}

/** A job with the number of its tasks that wait and that its team's quota allows. */
export interface WaitingTasks {
  job: Job;
  tasks: number;
}

/**
 * The floors of teams, or of classes, as dominant shares of a machine set, and what they use there, by name.
 */
interface Shares {
  floors: Map<string, number>;
  used: Map<string, Resources>;
}

/** The shares of one machine set in this cycle. */
interface MachineSetShares {
  capacity: Resources;
  teams: Shares;
  classes: Shares;
}

/** What {@link computeShares} needs to know. */
interface ShareInputs {
  capacity: Resources;
  /** What waits, and what is in use, by name. */
  waiting: Map<string, Resources>;
  usage: Map<string, ClassUsage>;
  /** What is guaranteed, by name; null if nothing is. */
  guaranteed: ReadonlyMap<string, Resources> | null;
  /** The fraction of its fair share that each gets at least. */
  floor: number;
}

const NO_RESOURCES: Resources = [0, 0, 0];
/** Tolerance for fractions of tasks. */
const ROUNDING_TOLERANCE = 1e-6;

/** Fair shares of teams and classes. */
export class FairShare {
  private readonly shares = new Map<MachineSet, MachineSetShares>();
  private guaranteed = new Map<string, Resources>();
  private floors: FairShareFloors = { team: 0, class: 0 };

  constructor(private readonly usage: Usage) {}

  /** Applies changed guarantees and floors. */
  configure(teams: Iterable<Team>, floors: FairShareFloors): void {
    this.guaranteed = new Map([...teams].map((team) => [team.name, [team.cpus, team.gpus, 0]]));
    this.floors = floors;
  }

  /** At the start of a scheduling cycle: no shortage is known. */
  beginCycle(): void {
    this.shares.clear();
  }

  /** The machine set has less capacity than waits for it. Work: the jobs, and n log n in the names. */
  onShortage(machineSet: MachineSet, waiting: readonly WaitingTasks[]): void {
    const capacity: Resources = [0, 0, 0];
    for (const pool of machineSet.pools)
      for (let resource = 0; resource < capacity.length; resource++)
        capacity[resource] = capacity[resource]! + pool.total[resource]!;
    const waitingByTeam = new Map<string, Resources>();
    const waitingByClass = new Map<string, Resources>();
    for (const { job, tasks } of waiting) {
      addResources(sumOf(waitingByTeam, job.spec.team), job.spec, tasks);
      addResources(sumOf(waitingByClass, job.spec.class), job.spec, tasks);
    }
    const { types } = machineSet;
    const teams = computeShares({
      capacity,
      waiting: waitingByTeam,
      usage: this.usage.on(types, 'teams'),
      guaranteed: this.guaranteed,
      floor: this.floors.team,
    });
    const classes = computeShares({
      capacity,
      waiting: waitingByClass,
      usage: this.usage.on(types, 'classes'),
      guaranteed: null,
      floor: this.floors.class,
    });
    this.shares.set(machineSet, { capacity, teams, classes });
  }

  /** How many tasks of the job go before others because its team or its class is below its floor. */
  owedTasks(job: Job, machineSet: MachineSet): number {
    const shares = this.shares.get(machineSet);
    if (shares === undefined) return 0;
    const { capacity, teams, classes } = shares;
    const perTask = dominantShare(resourcesOf(job.spec), capacity);
    if (perTask <= 0) return 0;
    const missing = Math.max(
      missingShare(teams, job.spec.team, capacity),
      missingShare(classes, job.spec.class, capacity),
    );
    return Math.max(0, Math.floor(missing / perTask + ROUNDING_TOLERANCE));
  }

  /** Tasks of the job have been placed since the shortage was noted. */
  onPlaced(job: Job, machineSet: MachineSet, tasks: number): void {
    const shares = this.shares.get(machineSet);
    if (shares === undefined) return;
    addResources(sumOf(shares.teams.used, job.spec.team), job.spec, tasks);
    addResources(sumOf(shares.classes.used, job.spec.class), job.spec, tasks);
  }
}

/** How far the name is below its floor, as a dominant share; negative above it. */
const missingShare = ({ floors, used }: Shares, name: string, capacity: Resources): number =>
  (floors.get(name) ?? 0) - dominantShare(used.get(name) ?? NO_RESOURCES, capacity);

function computeShares({ capacity, waiting, usage, guaranteed, floor }: ShareInputs): Shares {
  const floors = new Map<string, number>();
  const used = new Map([...usage].map(([name, { sum }]) => [name, sum]));
  if (floor <= 0) return { floors, used };
  // What those use that ask for nothing more counts as their demand: it is not shared out.
  const names = [...new Set([...waiting.keys(), ...usage.keys()])];
  const demands: ShareDemand[] = names.map((name) => {
    const wanted = waiting.get(name) ?? NO_RESOURCES;
    const inUse = used.get(name) ?? NO_RESOURCES;
    return {
      demand: [wanted[0] + inUse[0], wanted[1] + inUse[1], wanted[2] + inUse[2]],
      guaranteed: guaranteed?.get(name) ?? NO_RESOURCES,
      weight: 1,
    };
  });
  const fractions = maxMinShares(demands, capacity);
  names.forEach((name, index) => {
    if (!waiting.has(name)) return;
    const fairShare = fractions[index]! * dominantShare(demands[index]!.demand, capacity);
    floors.set(name, fairShare * floor);
  });
  return { floors, used };
}

/** The sum kept under the name, which begins with nothing. */
function sumOf(sums: Map<string, Resources>, name: string): Resources {
  let sum = sums.get(name);
  if (sum === undefined) {
    sum = [0, 0, 0];
    sums.set(name, sum);
  }
  return sum;
}
