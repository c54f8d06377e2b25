// How many tasks fit into an amount of free capacity.

/** Tolerance for sums of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * How many tasks that need `perTask` each fit into `free` of one resource; infinite if they need none of it.
 */
export const tasksFittingResource = (free: number, perTask: number): number =>
  perTask <= 0 ? Number.POSITIVE_INFINITY : Math.floor((free + ROUNDING_TOLERANCE) / perTask);
