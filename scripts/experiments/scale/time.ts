// Time in the processes of the scale experiment.

/** Waits so many milliseconds. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** The wall clock in milliseconds, which does not jump while a process runs. */
export const wallClock = (): number => performance.timeOrigin + performance.now();
