// Gang scheduling: places all tasks of a gang at once, under one attempt. If a gang loses a task before it
// has begun to run, a replacement is placed under the same attempt. For a gang that finds too little
// capacity, machines are reserved, in one zone if the gang is bound to one.
import type { ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { type Job, TaskPhase } from '../jobs/job.ts';
import { neededBy, tasksFitting } from '../jobs/task-capacity.ts';
import { hasCapacityFor, isZoneAllowed } from '../machines/capacity-checks.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { Machine, MachinePool } from '../machines/machine.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import { bucketMayFit } from './capacity-search.ts';
import type { Reservations } from './reservations.ts';
import type { TaskQueuing } from './task-queuing.ts';

/** Capacity for one task on a machine. */
interface Slot {
  machine: Machine;
  score: number;
}

/** The number of slots found in a zone; the zone is null if the search was over all zones. */
interface ZoneSlots {
  zone: ZoneName | null;
  slots: number;
}

/** Number of machines to find in a pool for each missing task; the best of them are used. */
const MACHINES_SEARCHED_PER_TASK = 3;
/** Maximum number of machines with the image that are examined for each missing task. */
const MACHINES_WITH_IMAGE_EXAMINED_PER_TASK = 30;

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
  placeGang(job: Job, allowedTasks: number, mayReserve: boolean): number {
    if (job.unlocatedTasks > 0 || job.queuedTasks > 0) return 0;
    // A gang that loses a task after it began to run cannot go on: its other tasks exit before a new attempt.
    if (job.assignedTasks > 0 && (job.gangHasRun || job.gangAttempt === null)) return 0;
    const missing = waitingTaskIndexes(job);
    if (missing.length === 0 || missing.length > allowedTasks) return 0;
    const slots = this.findSlots(job, missing.length, mayReserve);
    if (slots === null) return 0;
    const attempt = job.assignedTasks > 0 ? job.gangAttempt! : this.queuing.nextAttempt();
    job.gangAttempt = attempt;
    missing.forEach((taskIndex, position) => {
      this.queuing.enqueue(slots[position]!.machine, job, taskIndex, attempt);
    });
    return missing.length;
  }

  /** Finds slots for all the tasks, or null; for a gang that is bound to one zone, in the best zone. */
  private findSlots(job: Job, tasks: number, mayReserve: boolean): Slot[] | null {
    const zones = this.zonesFor(job);
    const zoneGroups = job.spec.oneZone ? zones.map((zone) => [zone]) : [zones];
    let best: Slot[] | null = null;
    let mostSlots: ZoneSlots | null = null;
    for (const group of zoneGroups) {
      const slots = this.findSlotsIn(job, tasks, group);
      if (slots.length === tasks && (best === null || totalScore(slots) < totalScore(best))) best = slots;
      if (mostSlots === null || slots.length > mostSlots.slots)
        mostSlots = { zone: job.spec.oneZone ? group[0]! : null, slots: slots.length };
    }
    if (best === null && mayReserve) this.reserve(job, tasks, mostSlots?.zone ?? null);
    return best;
  }

  private reserve(job: Job, tasks: number, bestZone: ZoneName | null): void {
    let zone = bestZone;
    // If machines are reserved for the gang already, further ones are reserved in the same zone.
    if (zone !== null) for (const machine of this.reservations.machinesFor(job)) zone = machine.zone;
    this.reservations.reserve(job, tasks, zone);
  }

  private zonesFor(job: Job): ZoneName[] {
    if (job.spec.oneZone && job.tasksByZone.size > 0) return [...job.tasksByZone.keys()];
    return [...new Set([...this.capacityIndex.pools.values()].map((pool) => pool.zone))];
  }

  /** Returns up to `tasks` slots in the zones, the best scores first. */
  private findSlotsIn(job: Job, tasks: number, zones: readonly ZoneName[]): Slot[] {
    const slots: Slot[] = [];
    const added = new Set<Machine>();
    const addMachine = (machine: Machine): boolean => {
      if (added.has(machine) || job.failures.avoids(machine.id, this.io.now)) return false;
      if (this.reservations.isReservedForOther(machine, job) || !hasCapacityFor(machine, job)) return false;
      const score = this.binPacking.score(job, machine);
      if (!Number.isFinite(score)) return false;
      added.add(machine);
      for (let count = slotsOnMachine(machine, job); count > 0; count--) slots.push({ machine, score });
      return true;
    };
    for (const machine of this.reservations.machinesFor(job))
      if (zones.includes(machine.zone)) addMachine(machine);
    this.addMachinesWithImage(job, tasks, zones, addMachine);
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
    let remainingMachines = tasks * MACHINES_SEARCHED_PER_TASK;
    for (const bucket of pool.buckets.values()) {
      const { members } = bucket;
      if (members.length === 0 || !bucketMayFit(bucket, job.spec)) continue;
      const first = this.io.random.below(members.length);
      for (let offset = 0; offset < members.length && remainingMachines > 0; offset++) {
        if (addMachine(members[(first + offset) % members.length]!)) remainingMachines--;
      }
    }
  }

  /** Adds machines that have the image cached, which a random search would seldom find. */
  private addMachinesWithImage(
    job: Job,
    tasks: number,
    zones: readonly ZoneName[],
    addMachine: (machine: Machine) => boolean,
  ): void {
    let remainingMachines = tasks * MACHINES_SEARCHED_PER_TASK;
    let remainingExaminations = tasks * MACHINES_WITH_IMAGE_EXAMINED_PER_TASK;
    for (const machine of this.capacityIndex.machinesWithImage(job.spec.image) ?? []) {
      if (remainingMachines <= 0 || remainingExaminations <= 0) return;
      remainingExaminations--;
      const isAdmitted = machine.indexPosition?.pool.admits(job.spec) === true;
      if (isAdmitted && zones.includes(machine.zone) && addMachine(machine)) remainingMachines--;
    }
  }
}

/** Selects the first slots that together satisfy the spread constraint, if the job has it. */
function selectSlots(job: Job, slots: readonly Slot[], tasks: number): Slot[] {
  if (!job.spec.spread) return slots.slice(0, tasks);
  const zones = new Map(job.tasksByZone);
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

/** Number of tasks of the gang that the machine has free capacity for now. */
const slotsOnMachine = (machine: Machine, { spec }: Job): number =>
  Math.min(spec.tasks, tasksFitting(machine.freeCapacity, neededBy(spec)));
