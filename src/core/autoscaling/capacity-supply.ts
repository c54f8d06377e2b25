// Free room on machines that are up or on their way, by pool, while a plan of what to rent is made.
import type { MachineId, TypeName, ZoneName } from '../../types/index.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { needsAtLeast, placementKey } from '../jobs/placement-constraints.ts';
import type { Machine } from '../machines/machine.ts';

/** Room on one machine. */
export interface FreeCapacity {
  type: MachineType;
  zone: ZoneName;
  spot: boolean;
  cpus: number;
  gpus: number;
  memory: number;
  /** The machine it is on, if that is up or booting. */
  machine: Machine | null;
}

/** Names machines that are rented alike. */
export const offerKey = (type: TypeName, zone: ZoneName, spot: boolean): string =>
  `${type}/${zone}/${spot ? 's' : 'o'}`;

/** What a machine has free now. */
export const freeCapacityOf = (m: Machine): FreeCapacity => ({
  type: m.type,
  zone: m.zone,
  spot: m.spot,
  cpus: m.type.cpus - m.usedCpus,
  gpus: m.type.gpus - m.usedGpus,
  memory: m.type.memoryGb - m.usedMemory,
  machine: m,
});

/** A machine that is on its way, with nothing on it. */
export const emptyMachine = (type: MachineType, zone: ZoneName, spot: boolean): FreeCapacity => ({
  type,
  zone,
  spot,
  cpus: type.cpus,
  gpus: type.gpus,
  memory: type.memoryGb,
  machine: null,
});

/** Takes room for up to n tasks; returns for how many there was. */
export function placeOn(f: FreeCapacity, job: Job, n: number): number {
  const { cpus, gpus, memoryGb } = job.spec;
  const k = Math.min(n, slotsOf(f, job));
  if (k <= 0) return 0;
  f.cpus -= cpus * k;
  f.gpus -= gpus * k;
  f.memory -= memoryGb * k;
  return k;
}

function slotsOf(f: FreeCapacity, job: Job): number {
  const { cpus, gpus, memoryGb } = job.spec;
  const per = (free: number, each: number) =>
    each <= 0 ? Number.POSITIVE_INFINITY : Math.floor((free + 1e-9) / each);
  return Math.max(0, Math.min(1e6, per(f.cpus, cpus), per(f.gpus, gpus), per(f.memory, memoryGb)));
}

/** Free room of one pool by whole accelerators and CPUs, so that a job looks only at what may have room for it. */
class Shelf {
  /** First by accelerators, then by CPUs. */
  private readonly byGpus: FreeCapacity[][][] = [];
  constructor(readonly first: FreeCapacity) {}

  put(f: FreeCapacity): void {
    if (f.cpus < LEAST) return;
    const [gpus, cpus] = [Math.floor(f.gpus + EPS), Math.floor(f.cpus + EPS)];
    const byCpus = this.byGpus[gpus] ?? [];
    this.byGpus[gpus] = byCpus;
    const list = byCpus[cpus];
    if (list === undefined) byCpus[cpus] = [f];
    else list.push(f);
  }

  /** Lists that may have room for the job: fewest accelerators first, then fullest first. */
  *fitting(job: Job): Iterable<FreeCapacity[]> {
    const { cpus, gpus } = job.spec;
    for (let g = Math.floor(gpus); g < this.byGpus.length; g++) {
      const byCpus = this.byGpus[g];
      if (byCpus === undefined) continue;
      for (let c = Math.floor(cpus); c < byCpus.length; c++) {
        const list = byCpus[c];
        if (list !== undefined && list.length > 0) yield list;
      }
    }
  }
}

const EPS = 1e-9;
/** Room below this is none. */
const LEAST = 1e-3;

/** Free room by pool. */
export class CapacitySupply {
  private readonly pools = new Map<string, Shelf>();
  /** What found no room: a job that asks for as much or more of the same pools finds none either. */
  private none: { where: string; spec: JobSpec }[] = [];

  private hopeless(job: Job, where: string): boolean {
    return this.none.some((n) => n.where === where && needsAtLeast(job.spec, n.spec));
  }

  add(f: FreeCapacity): void {
    if (f.cpus < LEAST) return;
    this.none = [];
    const key = offerKey(f.type.name, f.zone, f.spot);
    let shelf = this.pools.get(key);
    if (shelf === undefined) {
      shelf = new Shelf(f);
      this.pools.set(key, shelf);
    }
    shelf.put(f);
  }

  private *admitted(job: Job, zone: ZoneName | null): Iterable<Shelf> {
    for (const shelf of this.pools.values()) {
      const f = shelf.first;
      if ((f.spot && !job.spec.spot) || (zone !== null && f.zone !== zone)) continue;
      if (job.spec.zone !== null && job.spec.zone !== f.zone) continue;
      if (job.spec.machineTypes === null || job.spec.machineTypes.includes(f.type.name)) yield shelf;
    }
  }

  /** For how many of n tasks there is room. */
  count(job: Job, n: number, zone: ZoneName | null): number {
    let found = 0;
    if (this.hopeless(job, whereOf(job, zone))) return 0;
    for (const shelf of this.admitted(job, zone))
      for (const list of shelf.fitting(job))
        for (const f of list) {
          found += slotsOf(f, job);
          if (found >= n) return n;
        }
    return found;
  }

  /** Uses room for up to n tasks; the machines it is on are wanted. */
  use(job: Job, n: number, zone: ZoneName | null, wanted: Set<MachineId>): number {
    let left = n;
    const where = whereOf(job, zone);
    if (this.hopeless(job, where)) return 0;
    for (const shelf of this.admitted(job, zone))
      for (const list of shelf.fitting(job)) {
        for (let i = list.length - 1; i >= 0 && left > 0; i--) {
          const f = list[i]!;
          const k = placeOn(f, job, left);
          if (k === 0) continue;
          left -= k;
          if (f.machine !== null) wanted.add(f.machine.id);
          // It stands elsewhere now; the last of the list, looked at already, takes its place.
          const last = list.pop()!;
          if (last !== f) list[i] = last;
          shelf.put(f);
        }
        if (left <= 0) return n;
      }
    if (left > 0) this.none.push({ where, spec: job.spec });
    return n - left;
  }
}

const whereOf = (job: Job, zone: ZoneName | null): string => `${zone ?? ''}|${placementKey(job.spec)}`;
