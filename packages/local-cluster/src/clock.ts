// The clock interface of the stand-ins for outside systems. The same stand-ins run on a simulated clock with
// an in-memory network in tests, and on real timers and sockets in the local cluster.

/** A source of the current time and of timers. */
export interface SimulationClock {
  /** The current time in milliseconds. */
  readonly now: number;
  /** Calls `run` after `ms` milliseconds. */
  after(ms: number, run: () => void): void;
}
