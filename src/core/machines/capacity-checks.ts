// Whether a task's demand fits the free capacity of a machine, and whether its job may use a zone.
import type { ZoneName } from '../../types/index.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { maxTasksPerZone } from '../jobs/zone-constraints.ts';
import type { QueuedTask } from './machine-tasks.ts';

/** Sums of fractions drift; a demand that exceeds the capacity by no more than this still fits. */
const ROUNDING_TOLERANCE = 1e-9;

/** The part of a machine that the capacity checks read. */
export interface MachineCapacity {
  readonly type: MachineType;
  readonly usedCpus: number;
  readonly usedGpus: number;
  readonly usedMemory: number;
  /** Capacity after all that runs on the machine and is queued for it. */
  readonly freeCpus: number;
  readonly freeGpus: number;
  readonly freeMemory: number;
  readonly queue: readonly QueuedTask[];
}

/** Whether one task of the job fits the given capacity; memory in GB. */
export function fitsCapacity(spec: JobSpec, cpus: number, gpus: number, memoryGb: number): boolean {
  return (
    cpus + ROUNDING_TOLERANCE >= spec.cpus &&
    gpus + ROUNDING_TOLERANCE >= spec.gpus &&
    memoryGb + ROUNDING_TOLERANCE >= spec.memoryGb
  );
}

/** Whether a task of the job can start now: beside what runs on the machine, whatever is queued for it. */
export function hasFreeCapacity(machine: MachineCapacity, job: Job): boolean {
  const { type } = machine;
  return fitsCapacity(
    job.spec,
    type.cpus - machine.usedCpus,
    type.gpus - machine.usedGpus,
    type.memoryGb - machine.usedMemory,
  );
}

/**
 * Whether a task of the job fits after what runs on the machine and those queued tasks that go ahead of it.
 */
export function hasCapacityAhead(machine: MachineCapacity, job: Job): boolean {
  let cpus = machine.freeCpus;
  let gpus = machine.freeGpus;
  let memoryGb = machine.freeMemory;
  for (const queued of machine.queue) {
    if (queued.job.priority >= job.priority) continue;
    cpus += queued.job.spec.cpus;
    gpus += queued.job.spec.gpus;
    memoryGb += queued.job.spec.memoryGb;
  }
  return fitsCapacity(job.spec, cpus, gpus, memoryGb);
}

/**
 * Whether a further task of the job may go to the zone; `used` counts its tasks by zone. A job with `oneZone`
 * stays in the zone that it has begun in, and one with `spread` puts at most half of its tasks into a zone.
 */
export function isZoneAllowed(job: Job, zone: ZoneName, used: ReadonlyMap<ZoneName, number>): boolean {
  if (job.spec.oneZone) {
    for (const usedZone of used.keys()) if (usedZone !== zone) return false;
  }
  return !job.spec.spread || (used.get(zone) ?? 0) < maxTasksPerZone(job.spec);
}
