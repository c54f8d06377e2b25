// Machine sets: the machines that a group of jobs waits for. What can be started in a set follows from what
// is free there, what comes free, and what is booting. Sets may overlap; each is considered by itself.
import type { TypeName } from '../../types/index.ts';
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { RuntimeEstimates } from '../jobs/job-ordering.ts';
import { typeFits } from '../jobs/placement-constraints.ts';
import type { CapacityIndex, PendingCapacity } from '../machines/capacity-index.ts';
import type { MachinePool } from '../machines/machine.ts';
import type { Usage } from '../teams/usage.ts';
import type { Supply } from './late-job-selection.ts';

/**
 * The fraction of the capacity expected to come free that is counted on; the rest is lost to fragments that
 * nothing fits into, to reservations for larger tasks, and to work that goes first for other reasons.
 * Measured: 0.6 is better than 1 and 0.8 (docs/results.md).
 */
const USABLE_FRACTION = 0.6;
/** Boots take up to about this many times their usual time. */
const BOOT_TIME_MARGIN = 1.5;
const MIN_DURATION_S = 1;
/** Tolerance for sums of fractional CPUs and GPUs. */
const ROUNDING_TOLERANCE = 1e-9;

/** Positions of the resources in `Resources`. */
const CPUS = 0;
const GPUS = 1;

/** The resource that a job's tasks run out of first, by its position in `Resources`. */
export type ScarceResource = typeof CPUS | typeof GPUS;

/** How much of the resource something has or needs. */
export const amountOf = (resource: ScarceResource, of: { cpus: number; gpus: number }): number =>
  resource === CPUS ? of.cpus : of.gpus;

/** The machines that some jobs may use. */
export interface MachineSet {
  resource: ScarceResource;
  pools: MachinePool[];
  /** The types of their machines. */
  types: Set<TypeName>;
  /** One of the jobs. */
  spec: JobSpec;
  /** The least of the resource that a task of any of the jobs needs. */
  smallestNeed: number;
}

/** The name of a job's machine set, valid while there are as many pools as when it was made. */
interface CachedName {
  pools: number;
  name: string;
}

/** Machines on their way: their amount of a resource, and their mean boot time, weighted by it. */
interface BootingCapacity {
  amount: number;
  bootS: number;
}

/** The machine sets of the waiting jobs. */
export class MachineSets {
  private readonly byName = new Map<string, MachineSet>();
  private readonly names = new WeakMap<Job, CachedName>();

  constructor(
    private readonly capacityIndex: CapacityIndex,
    private readonly usage: Usage,
    private readonly estimates: RuntimeEstimates,
    private readonly pendingCapacity: () => PendingCapacity,
  ) {}

  /** At the start of a scheduling cycle: sets are made anew. */
  beginCycle(): void {
    this.byName.clear();
  }

  /** The machine set of a job in this cycle. */
  of(job: Job): MachineSet {
    const { spec } = job;
    const resource = spec.gpus > 0 ? GPUS : CPUS;
    const need = amountOf(resource, spec);
    const name = this.nameOf(job, resource);
    let machineSet = this.byName.get(name);
    if (machineSet === undefined) {
      const pools = [...this.capacityIndex.pools.values()].filter((pool) => pool.admits(spec));
      const types = new Set(pools.map((pool) => pool.type.name));
      machineSet = { resource, pools, types, spec, smallestNeed: need };
      this.byName.set(name, machineSet);
    }
    machineSet.smallestNeed = Math.min(machineSet.smallestNeed, need);
    return machineSet;
  }

  /** The resource, and for each pool whether the job may use it. */
  private nameOf(job: Job, resource: ScarceResource): string {
    const { pools } = this.capacityIndex;
    const cached = this.names.get(job);
    if (cached?.pools === pools.size) return cached.name;
    let name = `${resource}`;
    for (const pool of pools.values()) name += pool.admits(job.spec) ? '1' : '0';
    this.names.set(job, { pools: pools.size, name });
    return name;
  }

  /** What is free now on machines that the smallest task of the set fits into. */
  free({ resource, pools, smallestNeed }: MachineSet): number {
    let free = 0;
    for (const pool of pools)
      for (const bucket of pool.buckets.values()) {
        const perMachine = (resource === CPUS ? bucket.cpusBelow : bucket.gpusBelow) - 1;
        if (perMachine + ROUNDING_TOLERANCE >= Math.floor(smallestNeed))
          free += Math.max(0, perMachine) * bucket.members.length;
      }
    return free;
  }

  /**
   * For a set without capacity for all: what is free now is left out, as it will be used in this very cycle.
   */
  supply(machineSet: MachineSet): Supply {
    const { resource, pools } = machineSet;
    let used = 0;
    for (const pool of pools) used += pool.total[resource] - pool.free[resource];
    const freedPerS = used * this.completionRate(machineSet) * USABLE_FRACTION;
    const { amount, bootS } = this.bootingCapacity(machineSet);
    const allBootedS = Math.max(MIN_DURATION_S, bootS * BOOT_TIME_MARGIN);
    return (withinS) => freedPerS * withinS + amount * Math.min(1, withinS / allBootedS);
  }

  /**
   * The fraction of what the set's machines run that ends in a second, by the mean run time of each class.
   */
  private completionRate({ resource, types }: MachineSet): number {
    let endingPerS = 0;
    let used = 0;
    for (const [className, { sum, spec }] of this.usage.on(types, 'classes')) {
      used += sum[resource];
      // With their estimate of 0, services would seem to end every second, and capacity never to be short.
      if (spec.kind === 'service') continue;
      const runS = this.estimates.meanRunS(className, spec.estimatedRunS);
      endingPerS += sum[resource] / Math.max(MIN_DURATION_S, runS);
    }
    return used > 0 ? endingPerS / used : 0;
  }

  private bootingCapacity({ spec, resource }: MachineSet): BootingCapacity {
    let amount = 0;
    let weightedBootS = 0;
    for (const [type, machines] of this.pendingCapacity()) {
      if (!typeFits(type, spec)) continue;
      const ofType = amountOf(resource, type) * machines;
      amount += ofType;
      weightedBootS += ofType * type.bootS;
    }
    return { amount, bootS: amount > 0 ? weightedBootS / amount : 0 };
  }
}
