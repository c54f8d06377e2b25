// What each team, and each class of jobs, gets at least while there is not room for all. In one sentence: of the machines
// that its work may use, a team that keeps asking gets at least `team` times, and a class that keeps asking at least `class`
// times, its weighted max-min share in the dominant resource, whatever the others of the same priority ask. Who is below
// that goes first until it has it; beyond it the order is that of the jobs themselves. While there is room for all nobody is
// owed anything.
import type { Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { dominantShare, maxMinShares, type ShareDemand } from '../teams/max-min-fairness.ts';
import { addResources, type ClassUsage, type Resources, resourcesOf, type Usage } from '../teams/usage.ts';
import type { MachineSet } from './machine-sets.ts';

export interface FairShareFloors {
  /** Part of its fair share that a team, or a class, is never kept below. 0: none. */
  team: number;
  class: number;
}

/** What is owed in one machine set, in dominant shares of its machines. */
interface Account {
  capacity: Resources;
  teams: Side;
  classes: Side;
}
interface Side {
  floors: Map<string, number>;
  used: Map<string, Resources>;
}

const NONE: Resources = [0, 0, 0];

export class FairShare {
  private readonly accounts = new Map<MachineSet, Account>();
  private guaranteed = new Map<string, Resources>();
  private floors: FairShareFloors = { team: 0, class: 0 };

  constructor(private readonly usage: Usage) {}

  /** Guarantees and floors from now on. */
  configure(teams: Iterable<Team>, floors: FairShareFloors): void {
    this.guaranteed = new Map([...teams].map((t) => [t.name, [t.cpus, t.gpus, 0]]));
    this.floors = floors;
  }

  beginCycle(): void {
    this.accounts.clear();
  }

  /** A machine set that has less room than waits in it, `tasks` of each job. Work: the jobs, and n log n in the names. */
  isShort(machineSet: MachineSet, waiting: readonly { job: Job; tasks: number }[]): void {
    const capacity: Resources = [0, 0, 0];
    for (const p of machineSet.pools) for (let r = 0; r < 3; r++) capacity[r] = capacity[r]! + p.total[r]!;
    const teams = new Map<string, Resources>();
    const classes = new Map<string, Resources>();
    for (const { job, tasks } of waiting) {
      addResources(sumOf(teams, job.spec.team), job.spec, tasks);
      addResources(sumOf(classes, job.spec.class), job.spec, tasks);
    }
    const usedBy = (by: 'teams' | 'classes') => this.usage.on(machineSet.types, by);
    this.accounts.set(machineSet, {
      capacity,
      teams: side(teams, usedBy('teams'), capacity, this.floors.team, this.guaranteed),
      classes: side(classes, usedBy('classes'), capacity, this.floors.class, null),
    });
  }

  /** How many tasks of the job go before others, for its team's or its class's sake. */
  owedTasks(job: Job, machineSet: MachineSet): number {
    const a = this.accounts.get(machineSet);
    if (a === undefined) return 0;
    const each = dominantShare(resourcesOf(job.spec), a.capacity);
    if (each <= 0) return 0;
    const of = (s: Side, name: string): number =>
      (s.floors.get(name) ?? 0) - dominantShare(s.used.get(name) ?? NONE, a.capacity);
    const missing = Math.max(of(a.teams, job.spec.team), of(a.classes, job.spec.class));
    return Math.max(0, Math.floor(missing / each + 1e-6));
  }

  /** Tasks of the job have found a place since the accounts were made. */
  onPlaced(job: Job, machineSet: MachineSet, tasks: number): void {
    const a = this.accounts.get(machineSet);
    if (a === undefined) return;
    addResources(sumOf(a.teams.used, job.spec.team), job.spec, tasks);
    addResources(sumOf(a.classes.used, job.spec.class), job.spec, tasks);
  }
}

function side(
  wanted: Map<string, Resources>,
  using: Map<string, ClassUsage>,
  capacity: Resources,
  floor: number,
  guaranteed: Map<string, Resources> | null,
): Side {
  const floors = new Map<string, number>();
  const used = new Map([...using].map(([name, u]) => [name, u.sum]));
  if (floor <= 0) return { floors, used };
  // Who asks for nothing more keeps what it has: that is not shared out.
  const names = [...new Set([...wanted.keys(), ...using.keys()])];
  const parts: ShareDemand[] = names.map((name) => {
    const want = wanted.get(name) ?? NONE;
    const use = used.get(name) ?? NONE;
    return {
      demand: [want[0] + use[0], want[1] + use[1], want[2] + use[2]],
      guaranteed: guaranteed?.get(name) ?? NONE,
      weight: 1,
    };
  });
  const got = maxMinShares(parts, capacity);
  names.forEach((name, i) => {
    if (wanted.has(name)) floors.set(name, got[i]! * dominantShare(parts[i]!.demand, capacity) * floor);
  });
  return { floors, used };
}

function sumOf(by: Map<string, Resources>, name: string): Resources {
  let sum = by.get(name);
  if (sum === undefined) {
    sum = [0, 0, 0];
    by.set(name, sum);
  }
  return sum;
}
