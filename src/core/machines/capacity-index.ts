// Machines in order of their free room, so that a place is found without looking at every machine. Kept up to
// date as entries change: the work for a change and for a choice does not grow with the number of machines.
import type { Random } from '../base/io.ts';
import type { MachineType } from '../base/model.ts';
import { type CapacityBucket, type IndexPosition, type Machine, MachinePool } from './machine.ts';

/** Room beyond this many CPUs or accelerators is told apart in steps that grow with it. */
const FINE = 128;

/** Machines on their way, by type. */
export type PendingCapacity = ReadonlyMap<MachineType, number>;

export class CapacityIndex {
  readonly pools = new Map<string, MachinePool>();
  private readonly byImage = new Map<string, Set<Machine>>();

  /** Puts the machine where its free room belongs, or takes it out if it cannot be used. */
  update(m: Machine): void {
    const old = m.indexPosition;
    if (!m.isSchedulable) {
      if (old !== null) this.remove(m, old);
      return;
    }
    const bucket = this.bucketOf(m);
    if (old === null) {
      const pool = this.poolOf(m);
      const place: IndexPosition = {
        pool,
        bucket,
        at: bucket.members.push(m) - 1,
        usableAt: pool.usable.push(m) - 1,
        free: [0, 0, 0],
      };
      m.indexPosition = place;
      this.count(m, 1);
      this.countFree(place, m.freeCpus, m.freeGpus, m.freeMemory);
      return;
    }
    this.countFree(old, m.freeCpus, m.freeGpus, m.freeMemory);
    if (old.bucket === bucket) return;
    this.leave(old);
    old.bucket = bucket;
    old.at = bucket.members.push(m) - 1;
  }

  private count(m: Machine, by: 1 | -1): void {
    const { total } = m.indexPosition!.pool;
    total[0] += m.type.cpus * by;
    total[1] += m.type.gpus * by;
    total[2] += m.type.memoryGb * by;
  }

  /** The machine has so much free now. */
  private countFree({ pool, free }: IndexPosition, cpus: number, gpus: number, memoryGb: number): void {
    pool.free[0] += cpus - free[0];
    pool.free[1] += gpus - free[1];
    pool.free[2] += memoryGb - free[2];
    free[0] = cpus;
    free[1] = gpus;
    free[2] = memoryGb;
  }

  private remove(m: Machine, old: IndexPosition): void {
    this.count(m, -1);
    this.countFree(old, 0, 0, 0);
    this.leave(old);
    const last = old.pool.usable.pop()!;
    if (last !== m) {
      old.pool.usable[old.usableAt] = last;
      last.indexPosition!.usableAt = old.usableAt;
    }
    m.indexPosition = null;
  }

  private leave(old: IndexPosition): void {
    const { members } = old.bucket;
    const last = members.pop()!;
    if (old.at === members.length) return;
    members[old.at] = last;
    last.indexPosition!.at = old.at;
  }

  private poolOf(m: Machine): MachinePool {
    const key = `${m.type.name}/${m.zone}/${m.spot ? 1 : 0}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = new MachinePool(m.type, m.zone, m.spot);
      this.pools.set(key, pool);
    }
    return pool;
  }

  private bucketOf(m: Machine): CapacityBucket {
    const pool = this.poolOf(m);
    const cpus = step(m.freeCpus);
    const gpus = step(m.freeGpus);
    const key = cpus * 4096 + gpus;
    let bucket = pool.buckets.get(key);
    if (bucket === undefined) {
      bucket = { cpusBelow: above(cpus), gpusBelow: above(gpus), members: [] };
      pool.buckets.set(key, bucket);
    }
    return bucket;
  }

  // ---- images

  addImage(m: Machine, image: string): void {
    let set = this.byImage.get(image);
    if (set === undefined) {
      set = new Set();
      this.byImage.set(image, set);
    }
    set.add(m);
  }

  removeImage(m: Machine, image: string): void {
    const set = this.byImage.get(image);
    if (set === undefined) return;
    set.delete(m);
    if (set.size === 0) this.byImage.delete(image);
  }

  removeAllImages(m: Machine): void {
    for (const image of m.images.keys()) this.removeImage(m, image);
  }

  machinesWithImage(image: string): ReadonlySet<Machine> | undefined {
    return this.byImage.get(image);
  }
}

/** Up to n members, in a row from a random one on. */
export function sampleFrom(members: Machine[], n: number, random: Random, each: (m: Machine) => void): void {
  const size = members.length;
  if (size === 0) return;
  let at = random.below(size);
  for (let i = Math.min(n, size); i > 0; i--) {
    each(members[at]!);
    at = at + 1 === size ? 0 : at + 1;
  }
}

const step = (free: number): number => {
  const whole = Math.max(0, Math.floor(free + 1e-6));
  return whole < FINE ? whole : FINE + Math.floor(Math.log2(whole / FINE) * 8);
};
/** What everything in a step stays below. */
const above = (s: number): number => (s < FINE ? s + 1 : FINE * 2 ** ((s - FINE + 1) / 8) + 1);
