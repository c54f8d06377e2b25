// Number of tasks that fit into an amount of free capacity.

/** Tolerance for sums of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Number of tasks that fit into `free` of one resource if each needs `perTask`; infinite if they need none.
 */
export const tasksFittingResource = (free: number, perTask: number): number =>
  perTask <= 0 ? Number.POSITIVE_INFINITY : Math.floor((free + ROUNDING_TOLERANCE) / perTask);
