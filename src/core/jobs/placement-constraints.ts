// Resource needs of a job's tasks and constraints on where they may run, derived from its specification
// alone.
import { listedTaskBytes } from '../base/message-size.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import { capacityOfType, neededBy, tasksFitting } from './task-capacity.ts';

/** Whether the job has several tasks that must run at the same time. */
export const isGang = (spec: JobSpec): boolean => spec.kind === 'gang' && spec.tasks > 1;

/** Key that is equal for jobs with the same constraints on machine types, zone and spot machines. */
export const placementKey = (spec: JobSpec): string =>
  `${spec.machineTypes?.join() ?? ''}|${spec.zone ?? ''}|${spec.spot}`;

/** Whether a task of `spec` takes at least as much of a machine, in every respect, as one of `other`. */
export const needsAtLeast = (spec: JobSpec, other: JobSpec): boolean =>
  spec.cpus >= other.cpus &&
  spec.gpus >= other.gpus &&
  spec.memoryGb >= other.memoryGb &&
  listedTaskBytes(spec) >= listedTaskBytes(other);

/** Number of the job's tasks that fit on an empty machine of the type. */
export const tasksPerMachine = (type: MachineType, spec: JobSpec): number =>
  tasksFitting(capacityOfType(type), neededBy(spec));

/** Whether an empty machine of any of the types could run a task of the job. */
export const canEverRun = (types: Iterable<MachineType>, spec: JobSpec): boolean => {
  for (const type of types) if (typeFits(type, spec)) return true;
  return false;
};

/** Whether the type is large enough for a task of the job, and allowed by its constraints. */
export const typeFits = (type: MachineType, spec: JobSpec): boolean =>
  tasksPerMachine(type, spec) >= 1 && mayRunOnType(type, spec);

/**
 * Whether the job's constraints allow the type, and the type is offered in the zone that the job requires.
 */
export const mayRunOnType = (type: MachineType, spec: JobSpec): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
  (spec.zone === null || type.zones.includes(spec.zone));

/** Whether a gang must be spread over zones but may run in only one zone, so that it can never run. */
export const isBoundToOneZone = (types: Iterable<MachineType>, spec: JobSpec): boolean => {
  if (!isGang(spec) || !spec.spread) return false;
  if (spec.oneZone || spec.zone !== null) return true;
  const zones = new Set<string>();
  for (const type of types) {
    if (!typeFits(type, spec)) continue;
    for (const zone of type.zones) zones.add(zone);
  }
  return zones.size < 2;
};
