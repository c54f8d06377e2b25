// Machine sets: the machines that jobs with the same scarce resource and the same allowed pools may use. How
// much can be started in a set is estimated from its free capacity, the capacity that ending tasks free, and
// the machines that are booting. Sets may overlap; each is considered separately.
import type { MachineTypeName } from '../../types/index.ts';
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { RuntimeEstimates } from '../jobs/job-ordering.ts';
import { typeFits } from '../jobs/placement-constraints.ts';
import type { CapacityIndex, PendingCapacity } from '../machines/capacity-index.ts';
import type { MachinePool } from '../machines/machine.ts';
import type { Usage } from '../teams/usage.ts';
import type { Supply } from './late-job-selection.ts';

/**
 * Fraction of the capacity expected to come free that is assumed to be usable. The rest is lost to fragments
 * that no task fits into, to reservations for larger tasks, and to work that is placed first for other
 * reasons. 0.8 and 1 gave worse results (docs/results.md).
 */
const USABLE_FRACTION = 0.6;
/** Machines boot within about this many times their usual boot time. */
const BOOT_TIME_MARGIN = 1.5;
const MIN_DURATION_S = 1;
/** Tolerance for sums of fractional CPUs and GPUs. */
const ROUNDING_TOLERANCE = 1e-9;

/** Indexes of the resources in `Resources`. */
const CPUS = 0;
const GPUS = 1;

/** The resource that limits a job's tasks, as an index into `Resources`: GPUs if they need any, else CPUs. */
export type ScarceResource = typeof CPUS | typeof GPUS;

/** The amount of the resource that a machine type has, or that a task needs. */
export const amountOf = (resource: ScarceResource, amounts: { cpus: number; gpus: number }): number =>
  resource === CPUS ? amounts.cpus : amounts.gpus;

/** The machines that jobs with the same scarce resource and the same allowed pools may use. */
export interface MachineSet {
  resource: ScarceResource;
  pools: MachinePool[];
  /** The machine types of the pools. */
  types: Set<MachineTypeName>;
  /** Specification of one of the jobs. */
  exampleSpec: JobSpec;
  /** The smallest amount of the resource that a task of any of the jobs needs. */
  smallestNeed: number;
}

/** The key of a job's machine set; valid while the number of pools is the same as when it was computed. */
interface CachedKey {
  poolCount: number;
  key: string;
}

/** Ordered or booting machines: their amount of a resource, and their mean boot time, weighted by it. */
interface BootingCapacity {
  amount: number;
  meanBootS: number;
}

/** The machine sets of the waiting jobs. */
export class MachineSets {
  private readonly byKey = new Map<string, MachineSet>();
  private readonly cachedKeys = new WeakMap<Job, CachedKey>();

  constructor(
    private readonly capacityIndex: CapacityIndex,
    private readonly usage: Usage,
    private readonly estimates: RuntimeEstimates,
    private readonly pendingCapacity: () => PendingCapacity,
  ) {}

  /** Discards the sets of the previous cycle; called at the start of each scheduling cycle. */
  beginCycle(): void {
    this.byKey.clear();
  }

  /** The machine set of a job in this cycle. */
  setFor(job: Job): MachineSet {
    const { spec } = job;
    const resource = spec.gpus > 0 ? GPUS : CPUS;
    const need = amountOf(resource, spec);
    const key = this.keyOf(job, resource);
    let machineSet = this.byKey.get(key);
    if (machineSet === undefined) {
      const pools = [...this.capacityIndex.pools.values()].filter((pool) => pool.admits(spec));
      const types = new Set(pools.map((pool) => pool.type.name));
      machineSet = { resource, pools, types, exampleSpec: spec, smallestNeed: need };
      this.byKey.set(key, machineSet);
    }
    machineSet.smallestNeed = Math.min(machineSet.smallestNeed, need);
    return machineSet;
  }

  /** Combines the resource with whether the job may use each pool. */
  private keyOf(job: Job, resource: ScarceResource): string {
    const { pools } = this.capacityIndex;
    const cached = this.cachedKeys.get(job);
    if (cached?.poolCount === pools.size) return cached.key;
    let key = `${resource}`;
    for (const pool of pools.values()) key += pool.admits(job.spec) ? '1' : '0';
    this.cachedKeys.set(job, { poolCount: pools.size, key });
    return key;
  }

  /** The amount that is free now on machines with enough free capacity for the smallest task of the set. */
  freeAmount({ resource, pools, smallestNeed }: MachineSet): number {
    let free = 0;
    for (const pool of pools)
      for (const bucket of pool.buckets.values()) {
        const perMachine = (resource === CPUS ? bucket.cpusBelow : bucket.gpusBelow) - 1;
        if (perMachine + ROUNDING_TOLERANCE >= Math.floor(smallestNeed))
          free += Math.max(0, perMachine) * bucket.members.length;
      }
    return free;
  }

  /** The expected supply of a set with a shortage, without what is free now, as this cycle will use that. */
  supply(machineSet: MachineSet): Supply {
    const { resource, pools } = machineSet;
    let used = 0;
    for (const pool of pools) used += pool.total[resource] - pool.free[resource];
    const freedPerS = used * this.completionRatePerS(machineSet) * USABLE_FRACTION;
    const { amount, meanBootS } = this.bootingCapacity(machineSet);
    const allBootedS = Math.max(MIN_DURATION_S, meanBootS * BOOT_TIME_MARGIN);
    return (withinS) => freedPerS * withinS + amount * Math.min(1, withinS / allBootedS);
  }

  /** The fraction of the used capacity that is freed per second, from the mean run time of each class. */
  private completionRatePerS({ resource, types }: MachineSet): number {
    let endingPerS = 0;
    let used = 0;
    for (const [className, { sum, spec }] of this.usage.totalsOn(types, 'classes')) {
      used += sum[resource];
      // With their estimate of 0, services would seem to end every second, and capacity never to be short.
      if (spec.kind === 'service') continue;
      const runS = this.estimates.meanRunS(className, spec.estimatedRunS);
      endingPerS += sum[resource] / Math.max(MIN_DURATION_S, runS);
    }
    return used > 0 ? endingPerS / used : 0;
  }

  private bootingCapacity({ exampleSpec: spec, resource }: MachineSet): BootingCapacity {
    let amount = 0;
    let weightedBootS = 0;
    for (const [type, machines] of this.pendingCapacity()) {
      if (!typeFits(type, spec)) continue;
      const typeAmount = amountOf(resource, type) * machines;
      amount += typeAmount;
      weightedBootS += typeAmount * type.bootS;
    }
    return { amount, meanBootS: amount > 0 ? weightedBootS / amount : 0 };
  }
}
