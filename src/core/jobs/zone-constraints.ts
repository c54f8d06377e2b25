// How the zones of a job's tasks depend on each other: all in one zone, or spread over several.
import type { JobSpec } from '../base/model.ts';

/** Whether the job's tasks must be spread over zones; a single task is spread anywhere. */
export const isSpread = (spec: JobSpec): boolean => spec.spread && spec.tasks > 1;

/** Whether all of the job's tasks must be in the same zone; a single task always is. */
export const isBoundToSameZone = (spec: JobSpec): boolean => spec.oneZone && spec.tasks > 1;

/** The most tasks of a job with the spread constraint that may be in one zone: half of them, rounded up. */
export const maxTasksPerZone = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);
