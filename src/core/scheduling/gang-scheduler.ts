// Gang scheduling: all tasks of a gang get their machines at once, under one attempt; a waiting gang that
// lost a task gets a replacement under the same attempt. For a gang that finds no capacity, machines are
// reserved in one zone.
import type { ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { type Job, TaskPhase } from '../jobs/job.ts';
import { tasksFittingResource } from '../jobs/task-capacity.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import { hasCapacityAhead, isZoneAllowed, type Machine, type MachinePool } from '../machines/machine.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import { bucketMayFit } from './capacity-search.ts';
import type { Reservations } from './reservations.ts';
import type { TaskQueuing } from './task-queuing.ts';

/** Capacity for one task on a machine. */
interface Slot {
  machine: Machine;
  score: number;
}

/** The zone that has the most slots; null where the search was over all zones. */
interface BestZone {
  zone: ZoneName | null;
  slots: number;
}

/** Machines searched for in a pool, as a multiple of the missing tasks: the best of them are taken. */
const MACHINES_SEARCHED_PER_TASK = 3;
/** Machines with the image that are examined for each missing task. */
const IMAGE_HOLDERS_EXAMINED_PER_TASK = 30;

/** What {@link GangScheduler} depends on. */
export interface GangSchedulerDependencies {
  io: ControllerIo;
  capacityIndex: CapacityIndex;
  binPacking: BinPackingScorer;
  reservations: Reservations;
  queuing: TaskQueuing;
}

/** Places gangs. */
export class GangScheduler {
  private readonly io: ControllerIo;
  private readonly capacityIndex: CapacityIndex;
  private readonly binPacking: BinPackingScorer;
  private readonly reservations: Reservations;
  private readonly queuing: TaskQueuing;

  constructor(dependencies: GangSchedulerDependencies) {
    this.io = dependencies.io;
    this.capacityIndex = dependencies.capacityIndex;
    this.binPacking = dependencies.binPacking;
    this.reservations = dependencies.reservations;
    this.queuing = dependencies.queuing;
  }

  /** Places every missing task of the gang, or none; returns how many were placed. */
  placeGang(job: Job, allowed: number, mayReserve: boolean): number {
    if (job.unlocatedTasks > 0 || job.queuedTasks > 0) return 0;
    // A gang that has run and lost a task is over: its other tasks exit, and the next attempt starts afresh.
    if (job.assignedTasks > 0 && (job.gangHasRun || job.gangAttempt === null)) return 0;
    const missing = waitingTaskIndexes(job);
    if (missing.length === 0 || missing.length > allowed) return 0;
    const slots = this.findSlots(job, missing.length, mayReserve);
    if (slots === null) return 0;
    const attempt = job.assignedTasks > 0 ? job.gangAttempt! : this.queuing.nextAttempt();
    job.gangAttempt = attempt;
    missing.forEach((taskIndex, position) => {
      this.queuing.enqueue(slots[position]!.machine, job, taskIndex, attempt);
    });
    return missing.length;
  }

  /** Slots for so many tasks: in the best zone for gangs bound to one, else over all. */
  private findSlots(job: Job, tasks: number, mayReserve: boolean): Slot[] | null {
    const zones = this.zonesFor(job);
    const zoneGroups = job.spec.oneZone ? zones.map((zone) => [zone]) : [zones];
    let best: Slot[] | null = null;
    let largest: BestZone | null = null;
    for (const group of zoneGroups) {
      const slots = this.findSlotsIn(job, tasks, group);
      if (slots.length === tasks && (best === null || totalScore(slots) < totalScore(best))) best = slots;
      if (largest === null || slots.length > largest.slots)
        largest = { zone: job.spec.oneZone ? group[0]! : null, slots: slots.length };
    }
    if (best === null && mayReserve) this.reserve(job, tasks, largest?.zone ?? null);
    return best;
  }

  private reserve(job: Job, tasks: number, bestZone: ZoneName | null): void {
    let zone = bestZone;
    // Once machines of a zone are reserved, further ones are reserved there.
    if (zone !== null) for (const machine of this.reservations.of(job)) zone = machine.zone;
    this.reservations.reserve(job, tasks, zone);
  }

  private zonesFor(job: Job): ZoneName[] {
    if (job.spec.oneZone && job.zones.size > 0) return [...job.zones.keys()];
    return [...new Set([...this.capacityIndex.pools.values()].map((pool) => pool.zone))];
  }

  /** Up to so many slots in the zones, the best scores first. */
  private findSlotsIn(job: Job, tasks: number, zones: readonly ZoneName[]): Slot[] {
    const slots: Slot[] = [];
    const seen = new Set<Machine>();
    const addMachine = (machine: Machine): boolean => {
      if (seen.has(machine) || job.failedOn.has(machine.id)) return false;
      if (this.reservations.isReservedAgainst(machine, job) || !hasCapacityAhead(machine, job)) return false;
      const score = this.binPacking.score(job, machine);
      if (!Number.isFinite(score)) return false;
      seen.add(machine);
      for (let count = slotsOn(machine, job); count > 0; count--) slots.push({ machine, score });
      return true;
    };
    for (const machine of this.reservations.of(job)) if (zones.includes(machine.zone)) addMachine(machine);
    this.addImageHolders(job, tasks, zones, addMachine);
    for (const pool of this.capacityIndex.pools.values())
      if (zones.includes(pool.zone) && pool.admits(job.spec)) this.addFromPool(pool, job, tasks, addMachine);
    slots.sort((a, b) => a.score - b.score);
    return selectSlots(job, slots, tasks);
  }

  private addFromPool(
    pool: MachinePool,
    job: Job,
    tasks: number,
    addMachine: (machine: Machine) => boolean,
  ): void {
    let wanted = tasks * MACHINES_SEARCHED_PER_TASK;
    for (const bucket of pool.buckets.values()) {
      const { members } = bucket;
      if (members.length === 0 || !bucketMayFit(bucket, job.spec)) continue;
      const first = this.io.random.below(members.length);
      for (let offset = 0; offset < members.length && wanted > 0; offset++) {
        if (addMachine(members[(first + offset) % members.length]!)) wanted--;
      }
    }
  }

  /** Machines that need not fetch the image would seldom be found by chance. */
  private addImageHolders(
    job: Job,
    tasks: number,
    zones: readonly ZoneName[],
    addMachine: (machine: Machine) => boolean,
  ): void {
    let wanted = tasks * MACHINES_SEARCHED_PER_TASK;
    let remaining = tasks * IMAGE_HOLDERS_EXAMINED_PER_TASK;
    for (const machine of this.capacityIndex.machinesWithImage(job.spec.image) ?? []) {
      if (wanted <= 0 || remaining <= 0) return;
      remaining--;
      const isAdmitted = machine.indexPosition?.pool.admits(job.spec) === true;
      if (isAdmitted && zones.includes(machine.zone) && addMachine(machine)) wanted--;
    }
  }
}

/** The first slots that the job may use together: with the spread constraint, not too many in one zone. */
function selectSlots(job: Job, slots: readonly Slot[], tasks: number): Slot[] {
  if (!job.spec.spread) return slots.slice(0, tasks);
  const zones = new Map(job.zones);
  const selected: Slot[] = [];
  for (const slot of slots) {
    if (selected.length === tasks) break;
    const { zone } = slot.machine;
    if (!isZoneAllowed(job, zone, zones)) continue;
    selected.push(slot);
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return selected;
}

const totalScore = (slots: readonly Slot[]): number => slots.reduce((sum, slot) => sum + slot.score, 0);

function waitingTaskIndexes(job: Job): number[] {
  const indexes: number[] = [];
  for (let index = 0; index < job.spec.tasks; index++)
    if (job.phases[index] === TaskPhase.Waiting) indexes.push(index);
  return indexes;
}

/** How many tasks of the gang the machine has capacity for now. */
function slotsOn(machine: Machine, { spec }: Job): number {
  return Math.min(
    spec.tasks,
    tasksFittingResource(machine.freeCpus, spec.cpus),
    tasksFittingResource(machine.freeGpus, spec.gpus),
    tasksFittingResource(machine.freeMemory, spec.memoryGb),
  );
}
