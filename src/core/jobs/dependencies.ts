// Jobs that depend on other jobs (a directed acyclic graph). Only what is stored counts: a job becomes ready
// when the final state of the last of its dependencies is `done`, and is cancelled as soon as one of them is
// cancelled, directly or through others. Nothing of this is stored; a leader derives it anew from the jobs'
// records (docs/safety.md).
import type { JobId, WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import { type FinalStateConsumer, FinalStateLookup } from './final-state-lookup.ts';
import type { Job } from './job.ts';
import type { FinalStatus, JobListener } from './job-events.ts';
import type { RuntimeEstimates } from './job-ordering.ts';
import type { JobTable } from './job-table.ts';

/** The graph of open jobs that depend on others; unblocks, cancels and ranks them accordingly. */
export class Dependencies implements JobListener, FinalStateConsumer {
  /** Open jobs that depend on a job, by its id. */
  private readonly dependents = new Map<JobId, Set<Job>>();
  private readonly lookup: FinalStateLookup;
  /** All dependencies of a job are done: its tasks may start. */
  onReady: (job: Job) => void = () => {};

  constructor(
    private readonly io: ControllerIo,
    settings: Settings,
    private readonly jobs: JobTable,
    private readonly estimates: RuntimeEstimates,
  ) {
    this.lookup = new FinalStateLookup({ io, settings, jobs, consumer: this });
  }

  /** Whether an open job depends on this one. */
  isNeeded(id: JobId): boolean {
    return this.dependents.has(id);
  }

  /** Number of final states still to be read. */
  get unresolvedCount(): number {
    return this.lookup.unresolvedCount;
  }

  /** Sends the reads of final states that are due. */
  tick(): void {
    this.lookup.tick();
  }

  /** All stored jobs have been read: their dependencies are resolved. */
  onJobsRestored(): void {
    for (const job of [...this.jobs.openJobs.values()]) if (job.isBlocked) this.register(job);
  }

  /** A job has become open: it may depend on others, and others on it. */
  onOpened(job: Job): void {
    this.lookup.markResolved(job.id);
    if (job.isBlocked) this.register(job);
    if (job.cancelled) this.onCancelled(job);
    else if (this.isNeeded(job.id)) this.propagateUrgency([job.id]);
  }

  private register(job: Job): void {
    let cancelledDependency: JobId | null = null;
    for (const id of new Set(job.spec.dependsOn)) {
      const open = this.jobs.openJobs.get(id);
      const final = this.jobs.finalState(id);
      if (open?.cancelled || final?.status === 'cancelled') cancelledDependency ??= id;
      if (final?.status === 'done') {
        job.readyWall = Math.max(job.readyWall, final.at) as WallTime;
        continue;
      }
      this.addEdge(job, id);
      if (open === undefined && final === null) this.lookup.request(id);
    }
    if (job.cancelled) this.removeEdges(job);
    else if (cancelledDependency !== null) this.cancelWithDependents(job, cancelledDependency);
    else if (job.unmetDependencies.size === 0) this.unblock(job);
    else this.propagateUrgency(job.unmetDependencies);
  }

  private addEdge(job: Job, dependency: JobId): void {
    job.unmetDependencies.add(dependency);
    const dependents = this.dependents.get(dependency) ?? new Set();
    this.dependents.set(dependency, dependents.add(job));
  }

  /** The job's final state is stored. */
  onClosed(job: Job, status: FinalStatus, endedAt: WallTime): void {
    if (job.unmetDependencies.size > 0) this.removeEdges(job);
    this.onFinalState(job.id, status, endedAt);
  }

  /** The final state of a job is known: jobs that depend on it are cancelled, or wait for one less. */
  onFinalState(id: JobId, status: FinalStatus, endedAt: WallTime): void {
    this.lookup.markResolved(id);
    const dependents = this.dependents.get(id);
    if (dependents === undefined) return;
    if (status === 'cancelled') return this.cancelDependents(id);
    this.dependents.delete(id);
    for (const job of dependents) {
      job.unmetDependencies.delete(id);
      job.readyWall = Math.max(job.readyWall, endedAt) as WallTime;
      if (job.unmetDependencies.size === 0) this.unblock(job);
    }
  }

  private unblock(job: Job): void {
    job.unblock(this.io.now);
    this.io.log('info', 'job is ready: all of its dependencies are done', { job: job.id });
    this.onReady(job);
  }

  // ---- cancellation

  /**
   * The job's cancellation is stored, or follows from one that is: all that depend on it are cancelled, at
   * any distance.
   */
  onCancelled(job: Job): void {
    this.removeEdges(job);
    this.cancelDependents(job.id);
  }

  /** A worklist in place of recursion: chains may be thousands of jobs long. */
  private cancelDependents(cancelled: JobId): void {
    const worklist = [cancelled];
    for (let id = worklist.pop(); id !== undefined; id = worklist.pop()) {
      const dependents = [...(this.dependents.get(id) ?? [])];
      for (const job of dependents) if (this.markCancelled(job, id)) worklist.push(job.id);
    }
  }

  private cancelWithDependents(job: Job, dependency: JobId): void {
    if (this.markCancelled(job, dependency)) this.cancelDependents(job.id);
  }

  /** Returns false if the job was cancelled or over before. */
  private markCancelled(job: Job, dependency: JobId): boolean {
    this.removeEdges(job);
    if (job.cancelled || job.isOver) return false;
    job.cancelled = true;
    this.io.log('info', 'job cancelled because a dependency is cancelled', { job: job.id, dependency });
    this.jobs.onEnded(job);
    return true;
  }

  /** The job waits for no others any more. */
  private removeEdges(job: Job): void {
    const dependencies = [...job.unmetDependencies];
    job.unmetDependencies.clear();
    for (const id of dependencies) {
      const dependents = this.dependents.get(id);
      dependents?.delete(job);
      if (dependents?.size === 0) this.dependents.delete(id);
    }
    this.propagateUrgency(dependencies);
  }

  // ---- priority and deadlines

  /**
   * Passes priority and deadline from jobs on to those that they depend on, beginning with these; only jobs
   * whose values change pass them on.
   */
  private propagateUrgency(ids: Iterable<JobId>): void {
    const worklist = [...ids];
    for (let id = worklist.pop(); id !== undefined; id = worklist.pop()) {
      const job = this.jobs.openJobs.get(id);
      if (job === undefined) continue;
      let { priority } = job.spec;
      let deadline = Number.POSITIVE_INFINITY;
      for (const dependent of this.dependents.get(id) ?? []) {
        if (dependent.priority > priority) priority = dependent.priority;
        deadline = Math.min(deadline, this.latestStart(dependent));
      }
      if (priority === job.priority && deadline === job.inheritedDeadline) continue;
      job.priority = priority;
      job.inheritedDeadline = deadline;
      worklist.push(...job.unmetDependencies);
    }
  }

  /**
   * Wall time in milliseconds by which the job must start to meet its deadline and those of its dependents.
   */
  private latestStart(job: Job): number {
    const { deadlineS } = job.spec;
    const ownDeadline = deadlineS === null ? Number.POSITIVE_INFINITY : job.acceptedAt + deadlineS * 1000;
    return Math.min(job.inheritedDeadline, ownDeadline) - this.estimates.runS(job) * 1000;
  }

  // ---- uncertainty

  /**
   * Whether the job may turn out to be cancelled because of a dependency whose final state has not been read
   * yet, or whose cancellation may be stored already. Until that is known users are told nothing of the job:
   * another controller may have told one of them that it is cancelled.
   */
  isUncertain(job: Job): boolean {
    if (job.unmetDependencies.size === 0) return false;
    if (this.lookup.unresolvedCount === 0 && !this.jobs.hasPendingCancellations) return false;
    // Grows while it is walked through.
    const ancestors = new Set<JobId>(job.unmetDependencies);
    for (const id of ancestors) {
      if (this.lookup.isUnresolved(id)) return true;
      const dependency = this.jobs.openJobs.get(id);
      if (dependency === undefined) continue;
      if (dependency.cancelRequested && dependency.mayHaveEnded) return true;
      for (const next of dependency.unmetDependencies) ancestors.add(next);
    }
    return false;
  }
}
