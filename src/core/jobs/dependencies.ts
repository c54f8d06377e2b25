// Dependencies between open jobs, as a directed acyclic graph. Only stored states have an effect: a job
// becomes ready when `done` is stored as the final state of its last dependency, and is cancelled as soon
// as a cancellation is stored for any of its direct or indirect dependencies. The graph itself is not
// stored; each leader rebuilds it from the jobs' records (docs/safety.md).
import type { JobId, WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import { type FinalStateConsumer, FinalStateLookup } from './final-state-lookup.ts';
import type { Job } from './job.ts';
import type { FinalStatus, JobListener } from './job-events.ts';
import type { RuntimeEstimates } from './job-ordering.ts';
import type { JobTable } from './job-table.ts';

/**
 * The dependency graph of the open jobs: unblocks and cancels dependents, and passes their priorities and
 * deadlines on to their dependencies.
 */
export class Dependencies implements JobListener, FinalStateConsumer {
  /** The open jobs that depend on each job, by the id of that job. */
  private readonly dependents = new Map<JobId, Set<Job>>();
  private readonly lookup: FinalStateLookup;
  /** Called when all dependencies of a job are done: its tasks may start. */
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
  hasOpenDependents(id: JobId): boolean {
    return this.dependents.has(id);
  }

  /** Number of dependencies of which it is not known yet whether they were cancelled. */
  get unresolvedCount(): number {
    return this.lookup.unresolvedCount;
  }

  /** Sends the reads of final states that are due. */
  tick(): void {
    this.lookup.tick();
  }

  /** Called when all stored jobs have been read: adds those with dependencies to the graph. */
  onJobsRestored(): void {
    for (const job of [...this.jobs.openJobs.values()]) if (job.isBlocked) this.addToGraph(job);
  }

  /** Called when a job has become open: it may have dependencies, and dependents that opened before it. */
  onOpened(job: Job): void {
    this.lookup.markResolved(job.id);
    if (job.isBlocked) this.addToGraph(job);
    if (job.cancelled) this.onCancelled(job);
    else if (this.hasOpenDependents(job.id)) this.updateInheritedUrgency([job.id]);
  }

  /** Adds edges to the unmet dependencies of a job, and cancels or unblocks it if their states are known. */
  private addToGraph(job: Job): void {
    let cancelledDependency: JobId | null = null;
    for (const id of new Set(job.spec.dependsOn)) {
      const openDependency = this.jobs.openJobs.get(id);
      const final = this.jobs.cachedFinalState(id);
      if (openDependency?.cancelled || final?.status === 'cancelled') cancelledDependency ??= id;
      if (final?.status === 'done') {
        job.readyWallTime = Math.max(job.readyWallTime, final.endedAt) as WallTime;
        continue;
      }
      this.addEdge(job, id);
      if (openDependency === undefined && final === null) this.lookup.request(id);
    }
    if (job.cancelled) this.removeEdges(job);
    else if (cancelledDependency !== null) this.cancelWithDependents(job, cancelledDependency);
    else if (job.unmetDependencies.size === 0) this.unblock(job);
    else this.updateInheritedUrgency(job.unmetDependencies);
  }

  private addEdge(job: Job, dependency: JobId): void {
    job.unmetDependencies.add(dependency);
    const dependents = this.dependents.get(dependency) ?? new Set();
    this.dependents.set(dependency, dependents.add(job));
  }

  /** Called when the job's final state is stored. */
  onClosed(job: Job, status: FinalStatus, endedAt: WallTime): void {
    if (job.unmetDependencies.size > 0) this.removeEdges(job);
    this.onFinalState(job.id, status, endedAt);
  }

  /**
   * Called when the final state of a job is known. If the job was cancelled, its dependents are cancelled;
   * otherwise those without further unmet dependencies are unblocked.
   */
  onFinalState(id: JobId, status: FinalStatus, endedAt: WallTime): void {
    this.lookup.markResolved(id);
    const dependents = this.dependents.get(id);
    if (dependents === undefined) return;
    if (status === 'cancelled') return this.cancelDependents(id);
    this.dependents.delete(id);
    for (const job of dependents) {
      job.unmetDependencies.delete(id);
      job.readyWallTime = Math.max(job.readyWallTime, endedAt) as WallTime;
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
   * Called when the cancellation of the job, or of one of its dependencies, is stored: cancels all its direct
   * and indirect dependents.
   */
  onCancelled(job: Job): void {
    this.removeEdges(job);
    this.cancelDependents(job.id);
  }

  /** Uses a worklist instead of recursion, because chains may be thousands of jobs long. */
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

  /** Returns false if the job was cancelled or had ended before. */
  private markCancelled(job: Job, dependency: JobId): boolean {
    this.removeEdges(job);
    if (job.cancelled || job.isOver) return false;
    job.cancelled = true;
    this.io.log('info', 'job cancelled because a dependency is cancelled', { job: job.id, dependency });
    this.jobs.onSchedulingEnded(job);
    return true;
  }

  /** Removes the edges from the job to its dependencies, and recomputes what these inherit. */
  private removeEdges(job: Job): void {
    const dependencies = [...job.unmetDependencies];
    job.unmetDependencies.clear();
    for (const id of dependencies) {
      const dependents = this.dependents.get(id);
      dependents?.delete(job);
      if (dependents?.size === 0) this.dependents.delete(id);
    }
    this.updateInheritedUrgency(dependencies);
  }

  // ---- priority and deadlines

  /**
   * Recomputes the priorities and deadlines that the given jobs inherit from their dependents. Where a value
   * has changed, continues with the job's own dependencies.
   */
  private updateInheritedUrgency(ids: Iterable<JobId>): void {
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
    return Math.min(job.inheritedDeadline, ownDeadline) - this.estimates.expectedRunS(job) * 1000;
  }

  // ---- uncertainty

  /**
   * Whether the job may turn out to be cancelled because of a direct or indirect dependency whose final state
   * has not been read yet, or whose cancellation may already be stored. As long as that is so, users must not
   * get a status of the job from this leader: another controller may already have responded that it is
   * cancelled.
   */
  mayBeCancelledByDependency(job: Job): boolean {
    if (job.unmetDependencies.size === 0) return false;
    if (this.lookup.unresolvedCount === 0 && !this.jobs.hasPendingCancellations) return false;
    // Dependencies of dependencies are added to the set during the iteration, which then visits them too.
    const ancestors = new Set<JobId>(job.unmetDependencies);
    for (const id of ancestors) {
      if (this.lookup.isUnresolved(id)) return true;
      const dependency = this.jobs.openJobs.get(id);
      if (dependency === undefined) continue;
      if (dependency.cancelRequested && dependency.mayHaveEnded) return true;
      for (const ancestor of dependency.unmetDependencies) ancestors.add(ancestor);
    }
    return false;
  }
}
