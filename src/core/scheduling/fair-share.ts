// Fair-share floors: the capacity that each team and each job class gets at least while capacity is short. On
// the machines that its jobs may use, a team with waiting tasks gets at least the fraction `team` of its
// max-min share of the dominant resource (with equal weights, after the teams' guarantees), and a class the
// fraction `class`, whatever other work of the same priority demands. Tasks of teams and classes below their
// floor are placed first until the floor is reached; above it, jobs are placed in the order of their ranking.
// While there is capacity for all tasks, the floors do not apply.
import type { Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { dominantShare, maxMinShares, type ShareDemand } from '../teams/max-min-fairness.ts';
import { addResources, type Resources, type ResourceUsage, resourcesOf, type Usage } from '../teams/usage.ts';
import type { MachineSet } from './machine-sets.ts';

/** Fractions of their fair share that teams, and classes, get at least; 0: no floor. */
export interface FairShareFloors {
  team: number;
  class: number;
}

/** A job with the number of its waiting tasks that its team's quota allows. */
export interface WaitingTasks {
  job: Job;
  tasks: number;
}

/** Floors of teams or classes as dominant shares of a machine set, and the resources used there, by name. */
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

/** Parameters of {@link computeShares}; names are those of teams, or of classes. */
interface ShareInputs {
  capacity: Resources;
  /** Resources that waiting tasks need, by name. */
  waiting: Map<string, Resources>;
  /** Resources in use, by name. */
  usage: Map<string, ResourceUsage>;
  /** Guaranteed resources, by name; null if there are no guarantees. */
  guaranteed: ReadonlyMap<string, Resources> | null;
  /** The fraction of its fair share that each name gets at least. */
  floor: number;
}

const NO_RESOURCES: Resources = [0, 0, 0];
/** Tolerance for fractions of tasks. */
const ROUNDING_TOLERANCE = 1e-6;

/** Computes the fair shares of teams and classes, and how many tasks they lack to reach their floors. */
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

  /** Discards the shares of the previous cycle; called at the start of each scheduling cycle. */
  beginCycle(): void {
    this.shares.clear();
  }

  /**
   * Computes the shares of a machine set whose free capacity is too small for its waiting tasks. The time is
   * linear in the number of jobs, and n log n in the number of names.
   */
  recordShortage(machineSet: MachineSet, waiting: readonly WaitingTasks[]): void {
    const capacity: Resources = [0, 0, 0];
    for (const pool of machineSet.pools)
      for (let resource = 0; resource < capacity.length; resource++)
        capacity[resource] = capacity[resource]! + pool.total[resource]!;
    const waitingByTeam = new Map<string, Resources>();
    const waitingByClass = new Map<string, Resources>();
    for (const { job, tasks } of waiting) {
      addResources(getOrCreateSum(waitingByTeam, job.spec.team), job.spec, tasks);
      addResources(getOrCreateSum(waitingByClass, job.spec.class), job.spec, tasks);
    }
    const { types } = machineSet;
    const teams = computeShares({
      capacity,
      waiting: waitingByTeam,
      usage: this.usage.totalsOn(types, 'teams'),
      guaranteed: this.guaranteed,
      floor: this.floors.team,
    });
    const classes = computeShares({
      capacity,
      waiting: waitingByClass,
      usage: this.usage.totalsOn(types, 'classes'),
      guaranteed: null,
      floor: this.floors.class,
    });
    this.shares.set(machineSet, { capacity, teams, classes });
  }

  /** How many tasks of the job are placed first because its team or its class is below its floor. */
  tasksToReachFloor(job: Job, machineSet: MachineSet): number {
    const shares = this.shares.get(machineSet);
    if (shares === undefined) return 0;
    const { capacity, teams, classes } = shares;
    const sharePerTask = dominantShare(resourcesOf(job.spec), capacity);
    if (sharePerTask <= 0) return 0;
    const missingShare = Math.max(
      shareBelowFloor(teams, job.spec.team, capacity),
      shareBelowFloor(classes, job.spec.class, capacity),
    );
    return Math.max(0, Math.floor(missingShare / sharePerTask + ROUNDING_TOLERANCE));
  }

  /** Counts tasks of the job that have been placed since the shares were computed. */
  recordPlacement(job: Job, machineSet: MachineSet, tasks: number): void {
    const shares = this.shares.get(machineSet);
    if (shares === undefined) return;
    addResources(getOrCreateSum(shares.teams.used, job.spec.team), job.spec, tasks);
    addResources(getOrCreateSum(shares.classes.used, job.spec.class), job.spec, tasks);
  }
}

/** How far a team or class is below its floor, as a dominant share; negative if it is above. */
const shareBelowFloor = ({ floors, used }: Shares, name: string, capacity: Resources): number =>
  (floors.get(name) ?? 0) - dominantShare(used.get(name) ?? NO_RESOURCES, capacity);

function computeShares({ capacity, waiting, usage, guaranteed, floor }: ShareInputs): Shares {
  const floors = new Map<string, number>();
  const used = new Map([...usage].map(([name, { sum }]) => [name, sum]));
  if (floor <= 0) return { floors, used };
  // A name without waiting tasks demands what it uses, so that this capacity is not divided among the others.
  const names = [...new Set([...waiting.keys(), ...usage.keys()])];
  const demands: ShareDemand[] = names.map((name) => {
    const needed = waiting.get(name) ?? NO_RESOURCES;
    const inUse = used.get(name) ?? NO_RESOURCES;
    return {
      demand: [needed[0] + inUse[0], needed[1] + inUse[1], needed[2] + inUse[2]],
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

/** The sum for the name; a new one starts at zero. */
function getOrCreateSum(sums: Map<string, Resources>, name: string): Resources {
  let sum = sums.get(name);
  if (sum === undefined) {
    sum = [0, 0, 0];
    sums.set(name, sum);
  }
  return sum;
}
