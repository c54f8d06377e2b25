// Counts whether the capacity that ending tasks free is enough for a waiting one.
import type { JobSpec } from '../base/model.ts';

/** Tolerance for sums of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-9;

/** What a machine has beyond the needs of one task; negative while the task does not fit. */
export class FreedCapacity {
  private cpus: number;
  private gpus: number;
  private memoryGb: number;

  /** Begins with what the machine has free, for a task of `needed`. */
  constructor(freeCpus: number, freeGpus: number, freeMemoryGb: number, needed: JobSpec) {
    this.cpus = freeCpus - needed.cpus;
    this.gpus = freeGpus - needed.gpus;
    this.memoryGb = freeMemoryGb - needed.memoryGb;
  }

  /** A task of `spec` ends. */
  addTask(spec: JobSpec): void {
    this.cpus += spec.cpus;
    this.gpus += spec.gpus;
    this.memoryGb += spec.memoryGb;
  }

  /** Whether the waiting task fits now. */
  get isEnough(): boolean {
    return (
      this.cpus >= -ROUNDING_TOLERANCE &&
      this.gpus >= -ROUNDING_TOLERANCE &&
      this.memoryGb >= -ROUNDING_TOLERANCE
    );
  }
}
