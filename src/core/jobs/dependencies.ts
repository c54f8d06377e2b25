// Jobs that await other jobs. Only what is on record counts: a job becomes ready when the final record of the last
// job that it needs says done, and is cancelled as soon as one of them is cancelled on record, directly or through
// others. Nothing of this is stored; an owner derives it anew from the jobs' records (docs/safety.md).
import { addMs, type Instant, type JobId, LONG_AGO, type WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import { decodeFinalState } from '../storage/job-record.ts';
import { FINAL_STATE_PREFIX } from '../storage/keys.ts';
import type { Job } from './job.ts';
import type { RuntimeEstimates } from './job-ordering.ts';
import type { JobTable } from './job-table.ts';

/** Part of the region's state requests for reading final states that the owner does not remember. */
const READ_SHARE = 0.25;
const READS_AT_ONCE = 8;
const RETRY_MS = 300;
/** A job named by another, but neither open here nor over: taken in by another node a moment ago. */
const ABSENT_MS = 2000;

interface Read {
  id: JobId;
  notBefore: Instant;
}

export class Dependencies {
  /** Open jobs that await a job, by its id. */
  private readonly dependents = new Map<JobId, Set<Job>>();
  private readonly reads: Read[] = [];
  private reading = 0;
  /** Jobs of which it is not known yet whether they are done, cancelled, or going on. */
  private readonly unknown = new Set<JobId>();
  private readonly budget: TokenBucket;
  onReady: (job: Job) => void = () => {};

  constructor(
    private readonly io: ControllerIo,
    settings: Settings,
    private readonly jobs: JobTable,
    private readonly estimates: RuntimeEstimates,
  ) {
    const rate = Math.max(1, settings.store.requestsPerS * READ_SHARE);
    this.budget = new TokenBucket(rate, rate);
  }

  isNeeded(id: JobId): boolean {
    return this.dependents.has(id);
  }

  /** Final states still to be read. */
  get unresolvedCount(): number {
    return this.unknown.size;
  }

  /** All jobs on record have been read: what each one awaits is looked up. */
  onJobsRestored(): void {
    for (const job of [...this.jobs.openJobs.values()]) if (job.isBlocked) this.enrol(job);
  }

  /** A job has come up: it may await others, and others may have been waiting to hear of it. */
  onOpened(job: Job): void {
    this.unknown.delete(job.id);
    if (job.isBlocked) this.enrol(job);
    if (job.cancelled) this.onCancelled(job);
    else if (this.isNeeded(job.id)) this.inherit([job.id]);
  }

  private enrol(job: Job): void {
    let doomed: JobId | null = null;
    for (const id of new Set(job.spec.dependsOn)) {
      const open = this.jobs.openJobs.get(id);
      const final = this.jobs.finalState(id);
      if (open?.cancelled || final?.status === 'cancelled') doomed ??= id;
      if (final?.status === 'done') {
        job.readyWall = Math.max(job.readyWall, final.at) as WallTime;
        continue;
      }
      job.unmetDependencies.add(id);
      const set = this.dependents.get(id) ?? new Set();
      this.dependents.set(id, set.add(job));
      if (open === undefined && final === null) this.read(id);
    }
    if (job.cancelled) this.leave(job);
    else if (doomed !== null) this.cancel(job, doomed);
    else if (job.unmetDependencies.size === 0) this.release(job);
    else this.inherit(job.unmetDependencies);
  }

  /** A job's final state is on record. */
  onClosed(job: Job, status: 'done' | 'cancelled', at: WallTime): void {
    if (job.unmetDependencies.size > 0) this.leave(job);
    this.resolve(job.id, status, at);
  }

  private resolve(id: JobId, status: 'done' | 'cancelled', at: WallTime): void {
    this.unknown.delete(id);
    const waiting = this.dependents.get(id);
    if (waiting === undefined) return;
    if (status === 'cancelled') return this.cancelAll(id);
    this.dependents.delete(id);
    for (const job of waiting) {
      job.unmetDependencies.delete(id);
      job.readyWall = Math.max(job.readyWall, at) as WallTime;
      if (job.unmetDependencies.size === 0) this.release(job);
    }
  }

  private release(job: Job): void {
    job.unblock(this.io.now);
    this.io.log('info', 'job is ready: all that it awaits is done', { job: job.id });
    this.onReady(job);
  }

  /** The job's cancellation is on record, or follows from one that is: so are all that need it, through any number of others. */
  onCancelled(job: Job): void {
    this.leave(job);
    this.cancelAll(job.id);
  }

  /** A worklist, not recursion: chains may be thousands of jobs long. */
  private cancelAll(first: JobId): void {
    const todo = [first];
    for (let id = todo.pop(); id !== undefined; id = todo.pop())
      for (const job of [...(this.dependents.get(id) ?? [])]) if (this.mark(job, id)) todo.push(job.id);
  }

  private cancel(job: Job, because: JobId): void {
    if (this.mark(job, because)) this.cancelAll(job.id);
  }

  private mark(job: Job, because: JobId): boolean {
    this.leave(job);
    if (job.cancelled || job.isOver) return false;
    job.cancelled = true;
    this.io.log('info', 'job cancelled because of one that it awaits', { job: job.id, awaits: because });
    this.jobs.onEnded(job);
    return true;
  }

  /** The job awaits nothing any more. */
  private leave(job: Job): void {
    const needs = [...job.unmetDependencies];
    job.unmetDependencies.clear();
    for (const id of needs) {
      const set = this.dependents.get(id);
      set?.delete(job);
      if (set?.size === 0) this.dependents.delete(id);
    }
    this.inherit(needs);
  }

  /** Priority and latest finish go from a job to all that it needs; only jobs whose values change pass them on. */
  private inherit(ids: Iterable<JobId>): void {
    const todo = [...ids];
    for (let id = todo.pop(); id !== undefined; id = todo.pop()) {
      const job = this.jobs.openJobs.get(id);
      if (job === undefined) continue;
      let priority = job.spec.priority;
      let dueBy = Number.POSITIVE_INFINITY;
      for (const d of this.dependents.get(id) ?? []) {
        if (d.priority > priority) priority = d.priority;
        dueBy = Math.min(dueBy, this.latestFinish(d) - this.estimates.runS(d) * 1000);
      }
      if (priority === job.priority && dueBy === job.inheritedDeadline) continue;
      job.priority = priority;
      job.inheritedDeadline = dueBy;
      todo.push(...job.unmetDependencies);
    }
  }

  private latestFinish(job: Job): number {
    const { deadlineS } = job.spec;
    return Math.min(
      job.inheritedDeadline,
      deadlineS === null ? Number.POSITIVE_INFINITY : job.acceptedAt + deadlineS * 1000,
    );
  }

  /**
   * Whether a job may turn out to be cancelled because of one whose final state has not been read yet, or whose
   * cancellation may be on record already. Until that is known nothing may be said of it: another node may have told
   * a user that it is cancelled.
   */
  isUncertain(job: Job): boolean {
    if ((this.unknown.size === 0 && !this.jobs.hasPendingCancellations) || job.unmetDependencies.size === 0)
      return false;
    const seen = new Set<JobId>(job.unmetDependencies);
    for (const id of seen) {
      const need = this.jobs.openJobs.get(id);
      if (this.unknown.has(id) || (need?.cancelRequested && need.mayHaveEnded)) return true;
      for (const next of need?.unmetDependencies ?? []) seen.add(next);
    }
    return false;
  }

  // ---- reading final states

  private read(id: JobId): void {
    if (this.unknown.has(id)) return;
    this.unknown.add(id);
    this.reads.push({ id, notBefore: LONG_AGO });
    this.pump();
  }

  tick(): void {
    this.pump();
  }

  private pump(): void {
    const later: Read[] = [];
    while (this.reading < READS_AT_ONCE && this.reads.length > 0) {
      const r = this.reads.shift()!;
      if (!this.dependents.has(r.id)) {
        this.unknown.delete(r.id);
        continue;
      }
      if (this.io.now < r.notBefore) later.push(r);
      else if (this.budget.take(this.io.now)) this.fetch(r.id);
      else {
        later.push(r);
        break;
      }
    }
    this.reads.push(...later);
  }

  private fetch(id: JobId): void {
    this.reading++;
    this.io.store({ kind: 'get', key: FINAL_STATE_PREFIX + id }, StorePriority.work, (r) => {
      this.reading--;
      this.onRead(id, r);
      this.pump();
    });
  }

  private onRead(id: JobId, r: StoreReply): void {
    if (this.jobs.openJobs.has(id)) {
      this.unknown.delete(id);
      return;
    }
    // A repeated submission of the job may have had its final state read meanwhile.
    const final = this.jobs.finalState(id);
    if (final !== null) return this.resolve(id, final.status, final.at);
    if (r.kind === 'item') {
      const { status, endedAt } = decodeFinalState(r.item);
      const at = endedAt ?? (0 as WallTime);
      this.jobs.cacheFinalState(id, status, at);
      return this.resolve(id, status, at);
    }
    // Not over, so not cancelled either: only this owner could have done that.
    if (r.kind === 'missing') this.unknown.delete(id);
    this.reads.push({ id, notBefore: addMs(this.io.now, r.kind === 'missing' ? ABSENT_MS : RETRY_MS) });
  }
}
