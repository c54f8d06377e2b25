// Looks for machines with free capacity in the capacity index.
import type { JobSpec } from '../base/model.ts';
import type { CapacityBucket } from '../machines/machine.ts';

/** Whether machines of the bucket may have the CPUs and GPUs that a task needs; cheaper than asking each. */
export const bucketMayFit = (bucket: CapacityBucket, spec: JobSpec): boolean =>
  bucket.cpusBelow > spec.cpus && bucket.gpusBelow > spec.gpus;

/** Machines sampled in each bucket of machines with about the same free capacity. */
export const MACHINES_SAMPLED_PER_BUCKET = 3;
