// Free capacity on machines that are up or on their way, by pool, while a plan of what to request is made.
import type { MachineId, ZoneName } from '../../types/index.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { needsAtLeast, placementKey } from '../jobs/placement-constraints.ts';
import { tasksFittingResource } from '../jobs/task-capacity.ts';
import type { Machine } from '../machines/machine.ts';
import { type MachineOffer, offerKey } from './machine-offer.ts';

/** Capacity on one machine that is not planned for yet. */
export interface MachineCapacity extends MachineOffer {
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** The machine, if it is up or booting; null if it is only requested. */
  readonly machine: Machine | null;
}

/** Tolerance for sums of fractional CPUs and GPUs. */
const ROUNDING_TOLERANCE = 1e-9;
/** Capacity below this counts as none. */
const MIN_CPUS = 1e-3;
/** Bounds the slots of a machine for tasks that need nothing. */
const MAX_SLOTS = 1e6;

/** What a machine has beside the tasks on it; what is queued for it is not counted. */
export const unusedCapacityOf = (machine: Machine): MachineCapacity => ({
  type: machine.type,
  zone: machine.zone,
  spot: machine.spot,
  cpus: machine.type.cpus - machine.usedCpus,
  gpus: machine.type.gpus - machine.usedGpus,
  memoryGb: machine.type.memoryGb - machine.usedMemory,
  machine,
});

/** The capacity of a requested machine, with nothing on it. */
export const requestedCapacity = (type: MachineType, zone: ZoneName, spot: boolean): MachineCapacity => ({
  type,
  zone,
  spot,
  cpus: type.cpus,
  gpus: type.gpus,
  memoryGb: type.memoryGb,
  machine: null,
});

/** Uses capacity for up to `tasks` tasks; returns for how many there was any. */
export function placeOn(capacity: MachineCapacity, job: Job, tasks: number): number {
  const placed = Math.min(tasks, slotsOf(capacity, job));
  if (placed <= 0) return 0;
  capacity.cpus -= job.spec.cpus * placed;
  capacity.gpus -= job.spec.gpus * placed;
  capacity.memoryGb -= job.spec.memoryGb * placed;
  return placed;
}

function slotsOf(capacity: MachineCapacity, { spec }: Job): number {
  const slots = Math.min(
    MAX_SLOTS,
    tasksFittingResource(capacity.cpus, spec.cpus),
    tasksFittingResource(capacity.gpus, spec.gpus),
    tasksFittingResource(capacity.memoryGb, spec.memoryGb),
  );
  return Math.max(0, slots);
}

/** The machines of one pool by whole GPUs and CPUs free, so that a job examines only those that may fit. */
class PoolCapacity {
  /** First by GPUs, then by CPUs. */
  private readonly byGpus: MachineCapacity[][][] = [];

  constructor(readonly offer: MachineOffer) {}

  add(capacity: MachineCapacity): void {
    if (capacity.cpus < MIN_CPUS) return;
    const gpus = Math.floor(capacity.gpus + ROUNDING_TOLERANCE);
    const cpus = Math.floor(capacity.cpus + ROUNDING_TOLERANCE);
    const byCpus = this.byGpus[gpus] ?? [];
    this.byGpus[gpus] = byCpus;
    const list = byCpus[cpus];
    if (list === undefined) byCpus[cpus] = [capacity];
    else list.push(capacity);
  }

  /** Lists of machines that may have capacity for the job: those with fewest GPUs first, then the fullest. */
  *listsFor({ spec }: Job): Iterable<MachineCapacity[]> {
    for (let gpus = Math.floor(spec.gpus); gpus < this.byGpus.length; gpus++) {
      const byCpus = this.byGpus[gpus];
      if (byCpus === undefined) continue;
      for (let cpus = Math.floor(spec.cpus); cpus < byCpus.length; cpus++) {
        const list = byCpus[cpus];
        if (list !== undefined && list.length > 0) yield list;
      }
    }
  }
}

/** A search that found no capacity. */
interface FailedSearch {
  /** Which pools were searched, as a key. */
  scope: string;
  spec: JobSpec;
}

/** The capacity that is not planned for yet, by pool. */
export class CapacitySupply {
  private readonly pools = new Map<string, PoolCapacity>();
  /** A job that needs as much or more from the same pools finds nothing either. */
  private failedSearches: FailedSearch[] = [];

  /** Adds the capacity of a machine. */
  add(capacity: MachineCapacity): void {
    if (capacity.cpus < MIN_CPUS) return;
    this.failedSearches = [];
    const key = offerKey(capacity);
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = new PoolCapacity(capacity);
      this.pools.set(key, pool);
    }
    pool.add(capacity);
  }

  /** For how many of the tasks there is capacity, in a zone or in all. */
  count(job: Job, tasks: number, zone: ZoneName | null): number {
    if (this.hasFailed(job, scopeOf(job, zone))) return 0;
    let found = 0;
    for (const pool of this.poolsFor(job, zone))
      for (const list of pool.listsFor(job))
        for (const capacity of list) {
          found += slotsOf(capacity, job);
          if (found >= tasks) return tasks;
        }
    return found;
  }

  /** Uses capacity for up to `tasks` tasks, adding its machines to `needed`; returns for how many. */
  use(job: Job, tasks: number, zone: ZoneName | null, needed: Set<MachineId>): number {
    const scope = scopeOf(job, zone);
    if (this.hasFailed(job, scope)) return 0;
    let remaining = tasks;
    for (const pool of this.poolsFor(job, zone))
      for (const list of pool.listsFor(job)) {
        remaining -= useList(list, pool, job, remaining, needed);
        if (remaining <= 0) return tasks;
      }
    if (remaining > 0) this.failedSearches.push({ scope, spec: job.spec });
    return tasks - remaining;
  }

  private hasFailed(job: Job, scope: string): boolean {
    return this.failedSearches.some(
      (search) => search.scope === scope && needsAtLeast(job.spec, search.spec),
    );
  }

  private *poolsFor({ spec }: Job, zone: ZoneName | null): Iterable<PoolCapacity> {
    for (const pool of this.pools.values()) {
      const { offer } = pool;
      if (offer.spot && !spec.spot) continue;
      if (zone !== null && offer.zone !== zone) continue;
      if (spec.zone !== null && spec.zone !== offer.zone) continue;
      if (spec.machineTypes === null || spec.machineTypes.includes(offer.type.name)) yield pool;
    }
  }
}

/** Uses the capacity of one list of the pool; returns for how many tasks there was any. */
function useList(
  list: MachineCapacity[],
  pool: PoolCapacity,
  job: Job,
  tasks: number,
  needed: Set<MachineId>,
): number {
  let used = 0;
  for (let index = list.length - 1; index >= 0 && used < tasks; index--) {
    const capacity = list[index]!;
    const placed = placeOn(capacity, job, tasks - used);
    if (placed === 0) continue;
    used += placed;
    if (capacity.machine !== null) needed.add(capacity.machine.id);
    // It belongs into another list now; the last of this list, examined already, takes its place.
    const last = list.pop()!;
    if (last !== capacity) list[index] = last;
    pool.add(capacity);
  }
  return used;
}

const scopeOf = (job: Job, zone: ZoneName | null): string => `${zone ?? ''}|${placementKey(job.spec)}`;
