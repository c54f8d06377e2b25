// Constraints between the zones of a job's tasks: all in one zone, or spread over several.
import type { JobSpec } from '../base/model.ts';

/** Whether the job's tasks must be spread over zones; false for a single task. */
export const isSpread = (spec: JobSpec): boolean => spec.spread && spec.tasks > 1;

/** Whether all of the job's tasks must be in the same zone; false for a single task, which always is. */
export const isBoundToSameZone = (spec: JobSpec): boolean => spec.oneZone && spec.tasks > 1;

/** Maximum number of tasks per zone for a job with the spread constraint: half of its tasks, rounded up. */
export const maxTasksPerZone = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);
