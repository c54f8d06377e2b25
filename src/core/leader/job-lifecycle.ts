// Handles the events of jobs during a term: a job is accepted, becomes ready, ends, or is recorded as closed.
import type { Autoscaler } from '../autoscaling/autoscaler.ts';
import type { Dependencies } from '../jobs/dependencies.ts';
import type { Job } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Scheduler } from '../scheduling/scheduler.ts';
import type { UsageAccounting } from '../teams/usage-accounting.ts';

/** Dependencies of {@link JobLifecycle}. */
export interface JobLifecycleDependencies {
  jobs: JobTable;
  machines: MachineTable;
  dependencies: Dependencies;
  autoscaler: Autoscaler;
  scheduler: Scheduler;
  usageAccounting: UsageAccounting;
}

/** Dispatches the events of jobs to the components of a term that handle them. */
export class JobLifecycle {
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly dependencies: Dependencies;
  private readonly autoscaler: Autoscaler;
  private readonly scheduler: Scheduler;
  private readonly usageAccounting: UsageAccounting;

  constructor(dependencies: JobLifecycleDependencies) {
    this.jobs = dependencies.jobs;
    this.machines = dependencies.machines;
    this.dependencies = dependencies.dependencies;
    this.autoscaler = dependencies.autoscaler;
    this.scheduler = dependencies.scheduler;
    this.usageAccounting = dependencies.usageAccounting;
  }

  /** Subscribes to the events of the job table and of the dependencies between jobs. */
  listen(): void {
    this.jobs.listener = this.dependencies;
    this.jobs.onAccepted = (job) => this.onAccepted(job);
    this.jobs.onSchedulingEnded = (job) => this.dequeueTasks(job);
    this.jobs.onCancellationFailed = () => this.scheduler.requestCycle();
    this.jobs.onClosed = (job, status) => this.usageAccounting.onJobClosed(job, status);
    this.dependencies.onReady = (job) => this.onReady(job);
  }

  /** The autoscaler counts a job when it may start, not when it is accepted. */
  private onAccepted(job: Job): void {
    if (!job.isBlocked) this.onReady(job);
  }

  private onReady(job: Job): void {
    // A job with unlocated tasks was restored by a failover, and may have become ready long ago.
    if (job.unlocatedTasks === 0) this.autoscaler.spareCapacity.onJobReady(job);
    this.scheduler.requestCycle();
  }

  private dequeueTasks(job: Job): void {
    if (job.queuedTasks === 0) return;
    for (const machine of this.machines.byId.values())
      for (const queued of [...machine.queue]) if (queued.job === job) this.machines.dequeue(machine, queued);
    this.scheduler.requestCycle();
  }
}
