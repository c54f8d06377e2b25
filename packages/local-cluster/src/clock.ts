// The clock that the stand-ins of outside systems run on. The tests' world has a simulated one and a network
// in memory, the local cluster real timers and sockets; the stand-ins are the same.

/** Time and timers. */
export interface SimulationClock {
  /** Milliseconds. */
  readonly now: number;
  /** Calls `run` in so many milliseconds. */
  after(ms: number, run: () => void): void;
}
