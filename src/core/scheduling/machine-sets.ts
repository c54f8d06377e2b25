// Jobs that wait for the same machines form a machine set: what can be started in it follows from what is free there, what comes
// free, and what is on its way. MachineSets may overlap; each is judged by itself.
import type { TypeName } from '../../types/index.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { RuntimeEstimates } from '../jobs/job-ordering.ts';
import { typeFits } from '../jobs/placement-constraints.ts';
import type { CapacityIndex, PendingCapacity } from '../machines/capacity-index.ts';
import type { MachinePool } from '../machines/machine.ts';
import type { Usage } from '../teams/usage.ts';
import type { Supply } from './late-job-selection.ts';

/**
 * Of what is expected to come free so much is counted on; the rest is lost to pieces that nothing fits into, to room kept for
 * larger tasks, and to work that goes first for other reasons. Measured: 0.6 is better than 1 and 0.8 (docs/results.md).
 */
const COUNTED_ON = 0.6;
/** Boots take up to about this many times their usual time. */
const BOOT_SPREAD = 1.5;
const LEAST_S = 1;
const EPS = 1e-9;

export interface MachineSet {
  /** What its tasks lack first: CPUs, or accelerators. In the order of Resources. */
  resource: 0 | 1;
  pools: MachinePool[];
  /** Types of the machines in them. */
  types: Set<TypeName>;
  /** One of its jobs, and the least that a task of any of them needs. */
  spec: JobSpec;
  least: number;
}

export class MachineSets {
  private readonly machineSets = new Map<string, MachineSet>();
  /** The machine set's name for a job, as long as there are as many pools as when it was made. */
  private readonly names = new WeakMap<Job, { pools: number; name: string }>();

  constructor(
    private readonly rooms: CapacityIndex,
    private readonly usage: Usage,
    private readonly estimates: RuntimeEstimates,
    private readonly coming: () => PendingCapacity,
  ) {}

  beginCycle(): void {
    this.machineSets.clear();
  }

  of(job: Job): MachineSet {
    const { spec } = job;
    const resource = spec.gpus > 0 ? 1 : 0;
    const needs = resource === 1 ? spec.gpus : spec.cpus;
    const name = this.nameOf(job, resource);
    let machineSet = this.machineSets.get(name);
    if (machineSet === undefined) {
      const pools = [...this.rooms.pools.values()].filter((p) => p.admits(spec));
      const types = new Set(pools.map((p) => p.type.name));
      machineSet = { resource, pools, types, spec, least: needs };
      this.machineSets.set(name, machineSet);
    }
    machineSet.least = Math.min(machineSet.least, needs);
    return machineSet;
  }

  private nameOf(job: Job, resource: number): string {
    const { size } = this.rooms.pools;
    const known = this.names.get(job);
    if (known?.pools === size) return known.name;
    let name = `${resource}`;
    for (const p of this.rooms.pools.values()) name += p.admits(job.spec) ? '1' : '0';
    this.names.set(job, { pools: size, name });
    return name;
  }

  /** What is free now in pieces that a task of the machine set fits into. */
  free({ resource: r, pools, least }: MachineSet): number {
    let free = 0;
    for (const pool of pools)
      for (const b of pool.buckets.values()) {
        const room = (r === 0 ? b.cpusBelow : b.gpusBelow) - 1;
        if (room + EPS >= Math.floor(least)) free += Math.max(0, room) * b.members.length;
      }
    return free;
  }

  /** For a machine set that has not room for all: what is free is left out, as it will be taken in this very pass. */
  supply(machineSet: MachineSet): Supply {
    const r = machineSet.resource;
    let busy = 0;
    for (const pool of machineSet.pools) busy += pool.total[r] - pool.free[r];
    const perS = busy * this.rate(machineSet) * COUNTED_ON;
    const { sum, bootS } = this.on(machineSet);
    const up = Math.max(LEAST_S, bootS * BOOT_SPREAD);
    return (withinS) => perS * withinS + sum * Math.min(1, withinS / up);
  }

  /** The part of what the machine set's machines run that ends in a second: by what runs, each class at its own mean. */
  private rate({ resource: r, types }: MachineSet): number {
    let ends = 0;
    let all = 0;
    for (const [cls, u] of this.usage.on(types, 'classes')) {
      all += u.sum[r]!;
      // Of estimate 0, services would count as ending every second, and there would always seem to be room for all.
      if (u.spec.kind === 'service') continue;
      ends += u.sum[r]! / Math.max(LEAST_S, this.estimates.meanRunS(cls, u.spec.estimatedRunS));
    }
    return all > 0 ? ends / all : 0;
  }

  private on({ spec, resource }: MachineSet): { sum: number; bootS: number } {
    let sum = 0;
    let boots = 0;
    for (const [type, n] of this.coming()) {
      if (!typeFits(type, spec)) continue;
      const here = capacityOf(type, resource) * n;
      sum += here;
      boots += here * type.bootS;
    }
    return { sum, bootS: sum > 0 ? boots / sum : 0 };
  }
}

const capacityOf = (t: MachineType, resource: 0 | 1): number => (resource === 0 ? t.cpus : t.gpus);
