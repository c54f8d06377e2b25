// Returns tasks from the queues of machines to the controller: tasks that have been queued for too long while
// another machine could start them, and all tasks queued for machines that are not schedulable.
import { addMs, type Instant, LONG_AGO, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import { isGang } from '../jobs/placement-constraints.ts';
import { hasCapacityFor } from '../machines/capacity-checks.ts';
import { type CapacityIndex, sampleFrom } from '../machines/capacity-index.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { QueuedTask } from '../machines/machine-tasks.ts';
import { bucketMayFit, MACHINES_SAMPLED_PER_BUCKET } from './capacity-search.ts';
import type { Preemption } from './preemption.ts';
import { placementKind, UnplaceableJobs } from './unplaceable-jobs.ts';

const RUN_INTERVAL_MS = 500;

/** Returns queued tasks to the controller. */
export class QueuedTaskReturn {
  /** Number of machines examined so far; read by tests that limit the work of a cycle. */
  machinesExamined = 0;
  private nextRunAt: Instant = LONG_AGO;
  private readonly unplaceable = new UnplaceableJobs();

  constructor(
    private readonly io: ControllerIo,
    private readonly machines: MachineTable,
    private readonly capacityIndex: CapacityIndex,
    private readonly preemption: Preemption,
  ) {}

  /**
   * Checks all queues, unless the last check was less than the interval ago. `dequeueAfterMs`: how long a
   * task may be queued while another machine could start it.
   */
  run(dequeueAfterMs: Millis): void {
    const { now } = this.io;
    if (now < this.nextRunAt) return;
    this.nextRunAt = addMs(now, RUN_INTERVAL_MS);
    this.unplaceable.clear();
    for (const machine of this.machines.byId.values()) {
      if (machine.queue.length === 0) continue;
      if (!machine.isSchedulable) {
        this.machines.dequeueAll(machine);
        continue;
      }
      this.preemption.preemptForQueueHead(machine);
      this.dequeueOverdueTasks(machine, dequeueAfterMs);
    }
  }

  /** Dequeues overdue tasks, except those of gangs and those that no other machine could start. */
  private dequeueOverdueTasks(machine: Machine, dequeueAfterMs: Millis): void {
    for (const queued of [...machine.queue]) {
      if (this.io.now - queued.queuedAt <= dequeueAfterMs) continue;
      if (this.couldStartElsewhere(machine, queued)) this.machines.dequeue(machine, queued);
    }
  }

  private couldStartElsewhere(machine: Machine, { job }: QueuedTask): boolean {
    if (isGang(job.spec)) return false;
    const kind = placementKind(job.spec);
    if (this.unplaceable.covers(job, kind)) return false;
    const found = this.canStartOnOtherMachine(job, machine);
    if (!found && !job.failures.avoidsAny(this.io.now)) this.unplaceable.add(job, kind);
    return found;
  }

  private canStartOnOtherMachine(job: Job, machine: Machine): boolean {
    let found = false;
    const examine = (other: Machine): void => {
      this.machinesExamined++;
      if (other === machine || job.failures.avoids(other.id, this.io.now)) return;
      found ||= hasCapacityFor(other, job);
    };
    for (const pool of this.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec)) continue;
      for (const bucket of pool.buckets.values()) {
        if (found || !bucketMayFit(bucket, job.spec)) continue;
        sampleFrom(bucket.members, MACHINES_SAMPLED_PER_BUCKET, this.io.random, examine);
      }
    }
    return found;
  }
}
