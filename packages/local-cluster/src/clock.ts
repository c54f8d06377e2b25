// What the stand-ins of the outside systems need around them. The tests' world has a simulated clock and a network in
// memory, the lab real timers and sockets; the systems themselves are the same. What a worker and the cloud need besides
// is beside them.
export interface SimulationClock {
  /** Milliseconds. */
  readonly now: number;
  after(ms: number, run: () => void): void;
}
