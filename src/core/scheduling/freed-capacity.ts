// Checks whether the capacity that ending tasks free is enough for a waiting task.
import { listedTaskBytes } from '../base/message-size.ts';
import type { JobSpec } from '../base/model.ts';
import type { Capacity } from '../jobs/task-capacity.ts';

/** Tolerance for sums of fractional CPUs, GPUs and GB. */
const ROUNDING_TOLERANCE = 1e-9;

/** Free capacity of a machine minus the needs of a waiting task; negative while the task does not fit. */
export class FreedCapacity {
  private cpus: number;
  private gpus: number;
  private memoryGb: number;
  private taskListBytes: number;

  /** Starts from the machine's free capacity; `needed` is the specification of the waiting task. */
  constructor(free: Capacity, needed: JobSpec) {
    this.cpus = free.cpus - needed.cpus;
    this.gpus = free.gpus - needed.gpus;
    this.memoryGb = free.memoryGb - needed.memoryGb;
    this.taskListBytes = free.taskListBytes - listedTaskBytes(needed);
  }

  /** Adds the capacity that a task with this specification frees when it ends. */
  addEndedTask(spec: JobSpec): void {
    this.cpus += spec.cpus;
    this.gpus += spec.gpus;
    this.memoryGb += spec.memoryGb;
    this.taskListBytes += listedTaskBytes(spec);
  }

  /** Whether the waiting task fits now. */
  get isEnough(): boolean {
    return (
      this.cpus >= -ROUNDING_TOLERANCE &&
      this.gpus >= -ROUNDING_TOLERANCE &&
      this.memoryGb >= -ROUNDING_TOLERANCE &&
      this.taskListBytes >= 0
    );
  }
}
