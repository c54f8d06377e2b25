// Checks whether the capacity that ending tasks free is enough for a waiting task.
import type { JobSpec } from '../base/model.ts';

/** Tolerance for sums of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-9;

/** Free capacity of a machine minus the needs of a waiting task; negative while the task does not fit. */
export class FreedCapacity {
  private cpus: number;
  private gpus: number;
  private memoryGb: number;

  /** Starts from the machine's free capacity; `needed` is the specification of the waiting task. */
  constructor(freeCpus: number, freeGpus: number, freeMemoryGb: number, needed: JobSpec) {
    this.cpus = freeCpus - needed.cpus;
    this.gpus = freeGpus - needed.gpus;
    this.memoryGb = freeMemoryGb - needed.memoryGb;
  }

  /** Adds the capacity that a task with this specification frees when it ends. */
  addEndedTask(spec: JobSpec): void {
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
