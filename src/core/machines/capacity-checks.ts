// Checks whether a task's demand fits the free capacity of a machine, and whether its job may use a zone.
import type { ZoneName } from '../../types/index.ts';
import { listedTaskBytes } from '../base/message-size.ts';
import type { Job } from '../jobs/job.ts';
import { type Capacity, fitsAmounts, fitsCapacity } from '../jobs/task-capacity.ts';
import { maxTasksPerZone } from '../jobs/zone-constraints.ts';
import type { QueuedTask } from './machine-tasks.ts';

/** The fields of a machine that the capacity checks read. */
export interface MachineCapacity {
  /** Capacity that tasks on the machine do not use. */
  readonly unusedCapacity: Capacity;
  /** Capacity that neither tasks on the machine nor queued tasks use. */
  readonly freeCpus: number;
  readonly freeGpus: number;
  /** In GB. */
  readonly freeMemoryGb: number;
  readonly freeTaskListBytes: number;
  readonly queue: readonly QueuedTask[];
}

/** Whether a task of the job fits beside the tasks on the machine and can start now; ignores the queue. */
export const hasUnusedCapacity = (machine: MachineCapacity, job: Job): boolean =>
  fitsCapacity(job.spec, machine.unusedCapacity);

/**
 * Whether a task of the job fits beside the tasks on the machine and the queued tasks that would start before
 * it, which are those of the same or a higher priority.
 */
export function hasCapacityFor(machine: MachineCapacity, job: Job): boolean {
  let cpus = machine.freeCpus;
  let gpus = machine.freeGpus;
  let memoryGb = machine.freeMemoryGb;
  let taskListBytes = machine.freeTaskListBytes;
  for (const queued of machine.queue) {
    if (queued.job.priority >= job.priority) continue;
    cpus += queued.job.spec.cpus;
    gpus += queued.job.spec.gpus;
    memoryGb += queued.job.spec.memoryGb;
    taskListBytes += listedTaskBytes(queued.job.spec);
  }
  return fitsAmounts(job.spec, cpus, gpus, memoryGb, taskListBytes);
}

/**
 * Whether another task of the job may be placed in the zone. All tasks of a job with `oneZone` must be in the
 * same zone; a job with `spread` may have at most half of its tasks in one zone.
 */
export function isZoneAllowed(job: Job, zone: ZoneName, tasksByZone: ReadonlyMap<ZoneName, number>): boolean {
  if (job.spec.oneZone) {
    for (const usedZone of tasksByZone.keys()) if (usedZone !== zone) return false;
  }
  return !job.spec.spread || (tasksByZone.get(zone) ?? 0) < maxTasksPerZone(job.spec);
}
