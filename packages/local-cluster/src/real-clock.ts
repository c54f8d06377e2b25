// A clock on real time, with timers that can be cancelled together.
import type { SimulationClock } from './clock.ts';

/** The clock of a local cluster: milliseconds since the epoch, monotonic. */
export class RealClock implements SimulationClock {
  private readonly timers = new Set<NodeJS.Timeout>();
  private stopped = false;

  get now(): number {
    return performance.timeOrigin + performance.now();
  }

  /** Whether `stop` was called. */
  get isStopped(): boolean {
    return this.stopped;
  }

  after(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      if (!this.stopped) run();
    }, ms);
    this.timers.add(timer);
  }

  /** Cancels all timers; timers set later do not run either. */
  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) clearTimeout(timer);
  }
}
