// Measures how late the event loop runs its timers.
import { build as buildHistogram } from 'hdr-histogram-js';

/** Percentiles and maximum of the delays, in milliseconds. */
export interface LoopDelayStatus {
  p50: number;
  p99: number;
  max: number;
}

/** A histogram of the delays of a timer that should fire at a fixed interval. */
export class LoopDelay {
  private readonly histogram = buildHistogram({ bitBucketSize: 16, numberOfSignificantValueDigits: 1 });
  private dueMs: number;

  /** `nowMs`: when the timer was started. */
  constructor(
    private readonly intervalMs: number,
    nowMs: number,
  ) {
    this.dueMs = nowMs + intervalMs;
  }

  /** Records the delay of the timer, which has just fired. */
  record(nowMs: number): void {
    this.histogram.recordValue(Math.max(0, Math.round(nowMs - this.dueMs)));
    this.dueMs = nowMs + this.intervalMs;
  }

  /** The delays since the process started. */
  status(): LoopDelayStatus {
    return {
      p50: this.histogram.getValueAtPercentile(50),
      p99: this.histogram.getValueAtPercentile(99),
      max: this.histogram.maxValue,
    };
  }
}
