// Table of the shard's open jobs: restores them at the beginning of a term and records results of their
// tasks. Acceptance is in job-acceptance.ts; cancellation and final states are in job-termination.ts.
import type { JobId, WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, StoreItem, UserResponse } from '../base/model.ts';
import type { FencedWriter } from '../storage/fenced-writer.ts';
import { decodeJobRecord, dependenciesInPart } from '../storage/job-record.ts';
import { DEPENDENCY_PART_PREFIX } from '../storage/keys.ts';
import type { ArrayProgress } from './array-progress.ts';
import { type CachedFinalState, FinalStates } from './final-states.ts';
import { Job } from './job.ts';
import { JobAcceptance } from './job-acceptance.ts';
import type { FinalStatus, JobEvents, JobListener } from './job-events.ts';
import { JobTermination } from './job-termination.ts';

/** The open jobs of a leader. Every change is stored before a response to a user reports it. */
export class JobTable implements JobEvents {
  /** Jobs whose final state is not stored yet. */
  readonly openJobs = new Map<JobId, Job>();
  /** Open jobs that are not blocked and have tasks that wait for a machine. */
  readonly waitingJobs = new Set<Job>();
  /** Observes jobs in order to update their dependents; null until it is set. */
  listener: JobListener | null = null;
  /** See {@link JobEvents.onAccepted}. */
  onAccepted: (job: Job) => void = () => {};
  /** See {@link JobEvents.onSchedulingEnded}. */
  onSchedulingEnded: (job: Job) => void = () => {};
  /** See {@link JobEvents.onCancellationFailed}. */
  onCancellationFailed: () => void = () => {};
  /** See {@link JobEvents.onClosed}. */
  onClosed: (job: Job, status: FinalStatus) => void = () => {};
  private readonly io: ControllerIo;
  private readonly progress: ArrayProgress;
  private readonly finalStates: FinalStates;
  private readonly termination: JobTermination;
  private readonly acceptance: JobAcceptance;

  constructor(io: ControllerIo, writer: FencedWriter, progress: ArrayProgress) {
    this.io = io;
    this.progress = progress;
    this.finalStates = new FinalStates(io);
    const { finalStates, openJobs, waitingJobs } = this;
    const commonDependencies = { io, writer, openJobs, waitingJobs, finalStates, events: this };
    this.termination = new JobTermination({ ...commonDependencies, progress });
    this.acceptance = new JobAcceptance({ ...commonDependencies, termination: this.termination });
  }

  /** Adds a job whose record was read at the beginning of the term; its tasks have not been located yet. */
  restore(item: StoreItem): void {
    const { spec, acceptedAt, cancelled, dependencyParts } = decodeJobRecord(item);
    const job = new Job({
      spec,
      revision: item.revision,
      acceptedAt,
      seenAt: this.io.now,
      mayHaveUnlocatedTasks: true,
      waitingJobs: this.waitingJobs,
    });
    job.cancelled = cancelled;
    job.dependencyParts = dependencyParts;
    this.openJobs.set(spec.id, job);
  }

  /** Whether any open job has dependency parts, which `restoreDependencyPart` adds to it. */
  get hasDependencyParts(): boolean {
    for (const job of this.openJobs.values()) if (job.dependencyParts > 0) return true;
    return false;
  }

  /** Adds the dependencies in a dependency part to the restored job. */
  restoreDependencyPart(item: StoreItem): void {
    const id = item.key.slice(DEPENDENCY_PART_PREFIX.length, item.key.lastIndexOf('/')) as JobId;
    this.openJobs.get(id)?.spec.dependsOn?.push(...dependenciesInPart(item));
  }

  /** Adds a stored job that another controller accepted; see {@link JobAcceptance.adopt}. */
  adopt(item: StoreItem): void {
    this.acceptance.adopt(item);
  }

  /** Whether the record of this submitted job is being written. */
  isAccepting(id: JobId): boolean {
    return this.acceptance.isAccepting(id);
  }

  /** Stores a submitted job, then responds; see {@link JobAcceptance.accept}. */
  accept(spec: JobSpec, respond: (response: UserResponse) => void): void {
    this.acceptance.accept(spec, respond);
  }

  /** The cached final state; null if none is cached, which does not mean that the job is open. */
  cachedFinalState(id: JobId): CachedFinalState | null {
    return this.finalStates.get(id);
  }

  /** Caches a final state that is known to be stored. */
  cacheFinalState(id: JobId, status: FinalStatus, endedAt?: WallTime): void {
    this.finalStates.set(id, status, endedAt);
  }

  /** Reads a final state from the store, caches it, and responds with it or with `not-found`. */
  readFinalState(id: JobId, respond: (response: UserResponse) => void): void {
    this.finalStates.read(id, respond);
  }

  /** Cancels an open job, and responds once that is stored; see {@link JobTermination.cancel}. */
  cancel(job: Job, respond: (response: UserResponse) => void): void {
    this.termination.cancel(job, respond);
  }

  /** Whether the cancellation of any job is being written. */
  get hasPendingCancellations(): boolean {
    return this.termination.pendingCancellationCount > 0;
  }

  /** Called when a machine has reported that the task is done. */
  completeTask(job: Job, index: number): void {
    if (job.spec.kind === 'service' || !job.setDone(index)) return;
    // The first result completes all tasks of a gang. If the result of each task were required, a restarted
    // gang might never end: a machine that has kept a result ends that task as soon as it is started again,
    // and the other tasks would wait for it forever.
    if (job.spec.kind === 'gang') for (let other = 0; other < job.spec.tasks; other++) job.setDone(other);
    if (job.remainingTasks === 0) this.termination.finish(job);
    else this.progress.markChanged(job, index);
  }

  /** Whether the machine may discard the task's result: it is stored, or not needed any more. */
  isResultRecorded(job: Job | undefined, index: number): boolean {
    if (job === undefined || job.cancelled || job.spec.kind === 'service') return true;
    return job.isRecorded(index);
  }

  /** Ends finishable jobs and writes changed bitmaps; the cost is proportional to the number of open jobs. */
  tick(): void {
    for (const job of this.openJobs.values()) if (isFinishable(job)) this.termination.finish(job);
    this.progress.tick();
  }
}

/** Whether all tasks are done or, if the job is cancelled, none of them can be on a machine any more. */
function isFinishable(job: Job): boolean {
  if (job.cancelled) return job.assignedTasks === 0 && job.unlocatedTasks === 0;
  return job.remainingTasks === 0;
}
