// Helpers for searching the capacity index for machines with free capacity.
import type { JobSpec } from '../base/model.ts';
import type { CapacityBucket } from '../machines/machine.ts';

/** Whether machines of the bucket may have enough CPUs and GPUs for a task; cheaper than checking each. */
export const bucketMayFit = (bucket: CapacityBucket, spec: JobSpec): boolean =>
  bucket.cpusBelow > spec.cpus && bucket.gpusBelow > spec.gpus;

/** Machines sampled in each bucket of machines with about the same free capacity. */
export const MACHINES_SAMPLED_PER_BUCKET = 3;
