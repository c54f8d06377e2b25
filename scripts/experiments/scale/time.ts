// Time functions for the processes of the scale experiment.

/** Resolves after `ms` milliseconds. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Wall time in milliseconds; it is monotonic while a process runs. */
export const wallClock = (): number => performance.timeOrigin + performance.now();
