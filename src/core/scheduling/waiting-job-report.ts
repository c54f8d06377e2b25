// Periodically logs why the job that has waited longest does not use machines that have room for it, or would
// have but for the length of their task lists.
import { addMs, elapsedMs, type Instant, LONG_AGO, type MachineId, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { hasCapacityFor } from '../machines/capacity-checks.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { CapacityBucket, Machine } from '../machines/machine.ts';
import type { Quota } from '../teams/quota.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import { bucketMayFit, MACHINES_SAMPLED_PER_BUCKET } from './capacity-search.ts';
import type { Reservations } from './reservations.ts';

const REPORT_INTERVAL_MS: Millis = 10_000;
/** Jobs that have waited for less than this are not reported. */
const MIN_WAIT_MS: Millis = 10_000;
/** Machines examined for one report. */
const MAX_MACHINES_EXAMINED = 100;

/** Numbers of the examined machines with room for the job, by what keeps the job from using them. */
interface MachineCounts {
  withRoom: number;
  /** Machines whose heartbeats can list no further task, whatever else is free there. */
  taskListFull: number;
  /** The job has failed there and tries other machines for now. */
  avoided: number;
  /** Reserved for another job. */
  reserved: number;
  /** Worth too much more to other work. */
  worthMore: number;
  /** Kept by the last plan of the autoscaler: used for some job, or avoided for now by a job that waits. */
  planned: number;
}

/** What {@link WaitingJobReport} depends on. */
export interface WaitingJobReportDependencies {
  io: ControllerIo;
  jobs: JobTable;
  capacityIndex: CapacityIndex;
  quota: Quota;
  binPacking: BinPackingScorer;
  reservations: Reservations;
  /** Machines that the last plan of the autoscaler keeps. */
  neededMachines: ReadonlySet<MachineId>;
}

/** Logs the report. */
export class WaitingJobReport {
  private nextReportAt: Instant = LONG_AGO;

  constructor(private readonly dependencies: WaitingJobReportDependencies) {}

  /** Logs the report if the interval has passed and the job waits beside a machine with room. */
  tick(): void {
    const { io, quota } = this.dependencies;
    if (io.now < this.nextReportAt) return;
    this.nextReportAt = addMs(io.now, REPORT_INTERVAL_MS);
    const job = this.longestWaitingJob();
    if (job === null) return;
    const machines = this.countMachines(job);
    if (machines.withRoom === 0 && machines.taskListFull === 0) return;
    io.log('info', 'job waits beside machines with room', {
      job: job.id,
      waitMs: Math.round(elapsedMs(io.now, job.readyAt)),
      retryInMs: Math.max(0, elapsedMs(job.retryAt, io.now)),
      tasks: job.waitingTasks,
      withinQuota: Math.min(job.waitingTasks, quota.allowedTasks(job)),
      ...machines,
    });
  }

  private longestWaitingJob(): Job | null {
    const { io, jobs } = this.dependencies;
    let longest: Job | null = null;
    for (const job of jobs.waitingJobs) {
      if (job.isCancelling || elapsedMs(io.now, job.readyAt) < MIN_WAIT_MS) continue;
      if (longest === null || job.readyAt < longest.readyAt) longest = job;
    }
    return longest;
  }

  private countMachines(job: Job): MachineCounts {
    const counts: MachineCounts = {
      withRoom: 0,
      taskListFull: 0,
      avoided: 0,
      reserved: 0,
      worthMore: 0,
      planned: 0,
    };
    let remaining = MAX_MACHINES_EXAMINED;
    for (const machine of this.machinesToExamine(job)) {
      if (remaining-- <= 0) break;
      if (machine.isTaskListFull) counts.taskListFull++;
      else if (hasCapacityFor(machine, job)) this.countMachine(machine, job, counts);
    }
    return counts;
  }

  /** A few machines of each bucket that may have room, or whose task lists are full; not drawn at random, as a report must change nothing. */
  private *machinesToExamine(job: Job): Iterable<Machine> {
    for (const pool of this.dependencies.capacityIndex.pools.values()) {
      if (!pool.admits(job.spec)) continue;
      for (const bucket of pool.buckets.values())
        if (bucketMayFit(bucket, job.spec) || isTaskListBucket(bucket))
          yield* bucket.members.slice(0, MACHINES_SAMPLED_PER_BUCKET);
    }
  }

  private countMachine(machine: Machine, job: Job, counts: MachineCounts): void {
    const { io, binPacking, reservations, neededMachines } = this.dependencies;
    counts.withRoom++;
    if (job.failures.avoids(machine.id, io.now)) counts.avoided++;
    if (reservations.isReservedForOther(machine, job)) counts.reserved++;
    if (!Number.isFinite(binPacking.score(job, machine))) counts.worthMore++;
    if (neededMachines.has(machine.id)) counts.planned++;
  }
}

/** Whether the bucket is that of machines with full task lists. */
const isTaskListBucket = ({ members }: CapacityBucket): boolean => members[0]?.isTaskListFull === true;
