// Index of schedulable machines by free capacity. It is updated whenever an assignment changes, so that
// neither an update nor the search for a machine takes time proportional to the number of machines.
import type { Random } from '../base/io.ts';
import type { MachineType } from '../base/model.ts';
import { type CapacityBucket, type IndexPosition, type Machine, MachinePool } from './machine.ts';

/** Below this number of free CPUs or accelerators, each whole number is a level of its own. */
const EXACT_LEVELS = 128;
/** From that number on, the levels grow exponentially: this many for each doubling of the free capacity. */
const LEVELS_PER_DOUBLING = 8;
/** Rounding errors accumulate in sums of fractions; capacity this close below a whole number counts as it. */
const ROUNDING_TOLERANCE = 1e-6;
/** Level of machines whose task lists are full: its upper bound is 0, so that no task fits. */
const FULL_TASK_LIST_LEVEL = -1;
/** Distance between the bucket keys of two CPU levels; larger than the number of accelerator levels. */
const BUCKET_KEY_STRIDE = 4096;

/** Number of ordered and booting machines by type. */
export type PendingCapacity = ReadonlyMap<MachineType, number>;

/** Index of schedulable machines by pool and free capacity, and of machines by the images in their caches. */
export class CapacityIndex {
  /** Pools by machine type, zone, and whether the machines are spot instances. */
  readonly pools = new Map<string, MachinePool>();
  private readonly byImage = new Map<string, Set<Machine>>();

  /** Moves the machine to the bucket of its free capacity, or removes it if it is not schedulable. */
  update(machine: Machine): void {
    const position = machine.indexPosition;
    if (!machine.isSchedulable) {
      if (position !== null) this.remove(machine, position);
      return;
    }
    const pool = this.getOrCreatePool(machine);
    const bucket = getOrCreateBucket(pool, machine);
    if (position === null) {
      insert(machine, pool, bucket);
      return;
    }
    updateFreeSum(position, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb);
    if (position.bucket === bucket) return;
    removeFromBucket(position);
    position.bucket = bucket;
    position.indexInBucket = bucket.members.push(machine) - 1;
  }

  private remove(machine: Machine, position: IndexPosition): void {
    const { pool, indexInPool } = position;
    adjustTotal(pool, machine.type, -1);
    updateFreeSum(position, 0, 0, 0);
    removeFromBucket(position);
    const last = pool.schedulableMachines.pop()!;
    if (last !== machine) {
      pool.schedulableMachines[indexInPool] = last;
      last.indexPosition!.indexInPool = indexInPool;
    }
    machine.indexPosition = null;
  }

  private getOrCreatePool(machine: Machine): MachinePool {
    const key = `${machine.type.name}/${machine.zone}/${machine.spot ? 1 : 0}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = new MachinePool(machine.type, machine.zone, machine.spot);
      this.pools.set(key, pool);
    }
    return pool;
  }

  /** Records that the image is in the machine's cache. */
  addImage(machine: Machine, image: string): void {
    let machines = this.byImage.get(image);
    if (machines === undefined) {
      machines = new Set();
      this.byImage.set(image, machines);
    }
    machines.add(machine);
  }

  /** Records that the image has been evicted from the machine's cache. */
  removeImage(machine: Machine, image: string): void {
    const machines = this.byImage.get(image);
    if (machines === undefined) return;
    machines.delete(machine);
    if (machines.size === 0) this.byImage.delete(image);
  }

  /** Removes the machine, which is being deleted, from the sets of all its images. */
  removeAllImages(machine: Machine): void {
    for (const image of machine.images.keys()) this.removeImage(machine, image);
  }

  /** Machines that have the image in their caches; undefined if there are none. */
  machinesWithImage(image: string): ReadonlySet<Machine> | undefined {
    return this.byImage.get(image);
  }
}

/** Calls `visit` for up to `limit` consecutive members, beginning with a random one and wrapping around. */
export function sampleFrom(
  members: Machine[],
  limit: number,
  random: Random,
  visit: (machine: Machine) => void,
): void {
  const size = members.length;
  if (size === 0) return;
  let index = random.below(size);
  for (let remaining = Math.min(limit, size); remaining > 0; remaining--) {
    visit(members[index]!);
    index = index + 1 === size ? 0 : index + 1;
  }
}

function insert(machine: Machine, pool: MachinePool, bucket: CapacityBucket): void {
  const position: IndexPosition = {
    pool,
    bucket,
    indexInBucket: bucket.members.push(machine) - 1,
    indexInPool: pool.schedulableMachines.push(machine) - 1,
    free: [0, 0, 0],
  };
  machine.indexPosition = position;
  adjustTotal(pool, machine.type, 1);
  updateFreeSum(position, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb);
}

/** Removes the machine from its bucket; the last member of the bucket takes over its index. */
function removeFromBucket(position: IndexPosition): void {
  const { members } = position.bucket;
  const last = members.pop()!;
  if (position.indexInBucket === members.length) return;
  members[position.indexInBucket] = last;
  last.indexPosition!.indexInBucket = position.indexInBucket;
}

function adjustTotal({ total }: MachinePool, type: MachineType, sign: 1 | -1): void {
  total[0] += type.cpus * sign;
  total[1] += type.gpus * sign;
  total[2] += type.memoryGb * sign;
}

/** Updates the pool's sum of free capacity with the current free capacity of one machine. */
function updateFreeSum({ pool, free }: IndexPosition, cpus: number, gpus: number, memoryGb: number): void {
  pool.free[0] += cpus - free[0];
  pool.free[1] += gpus - free[1];
  pool.free[2] += memoryGb - free[2];
  free[0] = cpus;
  free[1] = gpus;
  free[2] = memoryGb;
}

function getOrCreateBucket(pool: MachinePool, machine: Machine): CapacityBucket {
  const isFull = machine.isTaskListFull;
  const cpuLevel = isFull ? FULL_TASK_LIST_LEVEL : levelOf(machine.freeCpus);
  const gpuLevel = isFull ? FULL_TASK_LIST_LEVEL : levelOf(machine.freeGpus);
  const key = cpuLevel * BUCKET_KEY_STRIDE + gpuLevel;
  let bucket = pool.buckets.get(key);
  if (bucket === undefined) {
    bucket = { cpusBelow: upperBoundOf(cpuLevel), gpusBelow: upperBoundOf(gpuLevel), members: [] };
    pool.buckets.set(key, bucket);
  }
  return bucket;
}

function levelOf(free: number): number {
  const wholeUnits = Math.max(0, Math.floor(free + ROUNDING_TOLERANCE));
  if (wholeUnits < EXACT_LEVELS) return wholeUnits;
  return EXACT_LEVELS + Math.floor(Math.log2(wholeUnits / EXACT_LEVELS) * LEVELS_PER_DOUBLING);
}

/** Exclusive upper bound of the free capacities in the level. */
function upperBoundOf(level: number): number {
  if (level < EXACT_LEVELS) return level + 1;
  return EXACT_LEVELS * 2 ** ((level - EXACT_LEVELS + 1) / LEVELS_PER_DOUBLING) + 1;
}
