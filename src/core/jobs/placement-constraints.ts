// What the tasks of a job need, and where they may run, from its specification alone.
import type { JobSpec, MachineType } from '../base/model.ts';
import { tasksFittingResource } from './task-capacity.ts';

/** Of a type on which a task takes nothing that is limited, this many tasks are counted for one machine. */
const UNLIMITED_TASKS = 1000;

/** Whether all tasks must run at once. */
export const isGang = (spec: JobSpec): boolean => spec.kind === 'gang' && spec.tasks > 1;

/** Jobs with the same key may run on the same machines, as far as these are large enough. */
export const placementKey = (spec: JobSpec): string =>
  `${spec.machineTypes?.join() ?? ''}|${spec.zone ?? ''}|${spec.spot}`;

/** Whether a task of `spec` needs at least as much of each resource as one of `other`. */
export const needsAtLeast = (spec: JobSpec, other: JobSpec): boolean =>
  spec.cpus >= other.cpus && spec.gpus >= other.gpus && spec.memoryGb >= other.memoryGb;

/** How many of the job's tasks an empty machine of the type has capacity for. */
export function tasksPerMachine(type: MachineType, spec: JobSpec): number {
  const tasks = Math.min(
    tasksFittingResource(type.cpus, spec.cpus),
    tasksFittingResource(type.gpus, spec.gpus),
    tasksFittingResource(type.memoryGb, spec.memoryGb),
  );
  return Number.isFinite(tasks) ? tasks : UNLIMITED_TASKS;
}

/** Whether an empty machine of any of the types could run a task of the job. */
export const canEverRun = (types: Iterable<MachineType>, spec: JobSpec): boolean => {
  for (const type of types) if (typeFits(type, spec)) return true;
  return false;
};

/** Whether the type is large enough for a task of the job, and allowed. */
export const typeFits = (type: MachineType, spec: JobSpec): boolean =>
  tasksPerMachine(type, spec) >= 1 && mayRunOnType(type, spec);

/** Whether the job's constraints allow the type, and the type is offered in its zone. */
export const mayRunOnType = (type: MachineType, spec: JobSpec): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
  (spec.zone === null || type.zones.includes(spec.zone));

/** Whether a gang must be spread over zones but may run in one only: all tasks at once, it never can. */
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
