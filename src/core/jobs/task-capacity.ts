// Amounts of what tasks take of a machine, and how many tasks fit into them. A machine's capacity is bounded by
// its resources and by the length of its heartbeats, which list every task on it.

import { listedTaskBytes, TASK_LIST_BYTES } from '../base/message-size.ts';
import type { JobSpec, MachineType } from '../base/model.ts';

/** Tolerance for sums of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-9;

/** An amount of each thing that tasks take of a machine. */
export interface Capacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Bytes of the task list in the machine's heartbeats. */
  taskListBytes: number;
}

/** The capacity of an empty machine of the type. */
export const capacityOfType = ({ cpus, gpus, memoryGb }: MachineType): Capacity => ({
  cpus,
  gpus,
  memoryGb,
  taskListBytes: TASK_LIST_BYTES,
});

/** What one task of the job takes. */
export const neededBy = (spec: JobSpec): Capacity => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
  taskListBytes: listedTaskBytes(spec),
});

/** Whether one task of the job fits into the capacity. */
export const fitsCapacity = (spec: JobSpec, { cpus, gpus, memoryGb, taskListBytes }: Capacity): boolean =>
  fitsAmounts(spec, cpus, gpus, memoryGb, taskListBytes);

/** The same without an object for the capacity, for searches that examine many machines. */
export const fitsAmounts = (
  spec: JobSpec,
  cpus: number,
  gpus: number,
  memoryGb: number,
  taskListBytes: number,
): boolean =>
  cpus + ROUNDING_TOLERANCE >= spec.cpus &&
  gpus + ROUNDING_TOLERANCE >= spec.gpus &&
  memoryGb + ROUNDING_TOLERANCE >= spec.memoryGb &&
  taskListBytes >= listedTaskBytes(spec);

/** Number of tasks that fit into the capacity if each takes `needed`; negative if the capacity is. */
export const tasksFitting = (capacity: Capacity, needed: Capacity, tolerance = ROUNDING_TOLERANCE): number =>
  Math.min(
    tasksFittingAmount(capacity.cpus, needed.cpus, tolerance),
    tasksFittingAmount(capacity.gpus, needed.gpus, tolerance),
    tasksFittingAmount(capacity.memoryGb, needed.memoryGb, tolerance),
    tasksFittingAmount(capacity.taskListBytes, needed.taskListBytes, tolerance),
  );

/** Number of tasks that fit into `free` if each takes `perTask`; infinite if they take nothing. */
const tasksFittingAmount = (free: number, perTask: number, tolerance: number): number =>
  perTask <= 0 ? Number.POSITIVE_INFINITY : Math.floor((free + tolerance) / perTask);
