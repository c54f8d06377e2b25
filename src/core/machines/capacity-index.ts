// Schedulable machines by free capacity, so that a place is found without a scan of all machines. Kept up to
// date as assignments change: the work for a change or for a choice does not grow with the number of
// machines.
import type { Random } from '../base/io.ts';
import type { MachineType } from '../base/model.ts';
import { type CapacityBucket, type IndexPosition, type Machine, MachinePool } from './machine.ts';

/** Up to this many free CPUs or accelerators every whole number has a level of its own. */
const EXACT_LEVELS = 128;
/** Beyond that, levels for each doubling of the free capacity. */
const LEVELS_PER_DOUBLING = 8;
/** Sums of fractions drift; capacity this little below a whole number counts as that number. */
const ROUNDING_TOLERANCE = 1e-6;
/** More than there are accelerator levels: keeps the keys of buckets apart. */
const GPU_LEVELS = 4096;

/** Machines that are ordered or booting, by type. */
export type PendingCapacity = ReadonlyMap<MachineType, number>;

/** Index of schedulable machines by pool and free capacity, and of machines by the images in their caches. */
export class CapacityIndex {
  /** By machine type, zone and whether they are spot instances. */
  readonly pools = new Map<string, MachinePool>();
  private readonly byImage = new Map<string, Set<Machine>>();

  /** Moves the machine to where its free capacity belongs, or removes it if it is not schedulable. */
  update(machine: Machine): void {
    const position = machine.indexPosition;
    if (!machine.isSchedulable) {
      if (position !== null) this.remove(machine, position);
      return;
    }
    const pool = this.poolOf(machine);
    const bucket = bucketIn(pool, machine);
    if (position === null) {
      insert(machine, pool, bucket);
      return;
    }
    countFree(position, machine.freeCpus, machine.freeGpus, machine.freeMemory);
    if (position.bucket === bucket) return;
    leaveBucket(position);
    position.bucket = bucket;
    position.at = bucket.members.push(machine) - 1;
  }

  private remove(machine: Machine, position: IndexPosition): void {
    const { pool, usableAt } = position;
    countTotal(pool, machine.type, -1);
    countFree(position, 0, 0, 0);
    leaveBucket(position);
    const last = pool.usable.pop()!;
    if (last !== machine) {
      pool.usable[usableAt] = last;
      last.indexPosition!.usableAt = usableAt;
    }
    machine.indexPosition = null;
  }

  private poolOf(machine: Machine): MachinePool {
    const key = `${machine.type.name}/${machine.zone}/${machine.spot ? 1 : 0}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = new MachinePool(machine.type, machine.zone, machine.spot);
      this.pools.set(key, pool);
    }
    return pool;
  }

  /** The image is in the machine's cache. */
  addImage(machine: Machine, image: string): void {
    let machines = this.byImage.get(image);
    if (machines === undefined) {
      machines = new Set();
      this.byImage.set(image, machines);
    }
    machines.add(machine);
  }

  /** The image has been evicted from the machine's cache. */
  removeImage(machine: Machine, image: string): void {
    const machines = this.byImage.get(image);
    if (machines === undefined) return;
    machines.delete(machine);
    if (machines.size === 0) this.byImage.delete(image);
  }

  /** The machine is removed, and its cache with it. */
  removeAllImages(machine: Machine): void {
    for (const image of machine.images.keys()) this.removeImage(machine, image);
  }

  /** Machines that have the image in their caches; undefined if there are none. */
  machinesWithImage(image: string): ReadonlySet<Machine> | undefined {
    return this.byImage.get(image);
  }
}

/** Calls `each` for up to `limit` members, in a row from a random one on. */
export function sampleFrom(
  members: Machine[],
  limit: number,
  random: Random,
  each: (machine: Machine) => void,
): void {
  const size = members.length;
  if (size === 0) return;
  let at = random.below(size);
  for (let remaining = Math.min(limit, size); remaining > 0; remaining--) {
    each(members[at]!);
    at = at + 1 === size ? 0 : at + 1;
  }
}

function insert(machine: Machine, pool: MachinePool, bucket: CapacityBucket): void {
  const position: IndexPosition = {
    pool,
    bucket,
    at: bucket.members.push(machine) - 1,
    usableAt: pool.usable.push(machine) - 1,
    free: [0, 0, 0],
  };
  machine.indexPosition = position;
  countTotal(pool, machine.type, 1);
  countFree(position, machine.freeCpus, machine.freeGpus, machine.freeMemory);
}

/** The last member takes the place of the one that leaves. */
function leaveBucket(position: IndexPosition): void {
  const { members } = position.bucket;
  const last = members.pop()!;
  if (position.at === members.length) return;
  members[position.at] = last;
  last.indexPosition!.at = position.at;
}

function countTotal({ total }: MachinePool, type: MachineType, by: 1 | -1): void {
  total[0] += type.cpus * by;
  total[1] += type.gpus * by;
  total[2] += type.memoryGb * by;
}

/** Brings the pool's sum up to date with the machine's free capacity. */
function countFree({ pool, free }: IndexPosition, cpus: number, gpus: number, memoryGb: number): void {
  pool.free[0] += cpus - free[0];
  pool.free[1] += gpus - free[1];
  pool.free[2] += memoryGb - free[2];
  free[0] = cpus;
  free[1] = gpus;
  free[2] = memoryGb;
}

function bucketIn(pool: MachinePool, machine: Machine): CapacityBucket {
  const cpuLevel = levelOf(machine.freeCpus);
  const gpuLevel = levelOf(machine.freeGpus);
  const key = cpuLevel * GPU_LEVELS + gpuLevel;
  let bucket = pool.buckets.get(key);
  if (bucket === undefined) {
    bucket = { cpusBelow: boundOf(cpuLevel), gpusBelow: boundOf(gpuLevel), members: [] };
    pool.buckets.set(key, bucket);
  }
  return bucket;
}

function levelOf(free: number): number {
  const whole = Math.max(0, Math.floor(free + ROUNDING_TOLERANCE));
  if (whole < EXACT_LEVELS) return whole;
  return EXACT_LEVELS + Math.floor(Math.log2(whole / EXACT_LEVELS) * LEVELS_PER_DOUBLING);
}

/** What every free capacity of the level stays below. */
function boundOf(level: number): number {
  if (level < EXACT_LEVELS) return level + 1;
  return EXACT_LEVELS * 2 ** ((level - EXACT_LEVELS + 1) / LEVELS_PER_DOUBLING) + 1;
}
