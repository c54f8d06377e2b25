// Reads the final states of jobs that open jobs depend on and of which nothing is known, within a fraction of
// the request budget, until each of them is known to be open, done or cancelled.
import { addMs, type Instant, type JobId, LONG_AGO, type WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import { decodeFinalState } from '../storage/job-record.ts';
import { FINAL_STATE_PREFIX } from '../storage/keys.ts';
import type { FinalStatus } from './job-events.ts';
import type { JobTable } from './job-table.ts';

/** Fraction of the shard's store requests for these reads. */
const READ_BUDGET_FRACTION = 0.25;
const MAX_CONCURRENT_READS = 8;
/** After a read that was refused or not answered. */
const RETRY_DELAY_MS = 300;
/** After a read that found none: another controller may have accepted the job a moment ago. */
const MISSING_RETRY_DELAY_MS = 2000;

interface PendingRead {
  id: JobId;
  notBefore: Instant;
}

/** Who needs the final states. */
export interface FinalStateConsumer {
  /** Whether an open job depends on this one. */
  isNeeded(id: JobId): boolean;
  /** The job has ended. */
  onFinalState(id: JobId, status: FinalStatus, endedAt: WallTime): void;
}

/** What {@link FinalStateLookup} depends on. */
export interface FinalStateLookupDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  consumer: FinalStateConsumer;
}

/** A queue of reads of final states, with repetition. */
export class FinalStateLookup {
  private readonly queue: PendingRead[] = [];
  private readsInFlight = 0;
  /** Jobs of which it is not known whether they are open, done or cancelled. */
  private readonly unresolved = new Set<JobId>();
  private readonly budget: TokenBucket;
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly consumer: FinalStateConsumer;

  constructor(dependencies: FinalStateLookupDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.consumer = dependencies.consumer;
    const readsPerS = Math.max(1, dependencies.settings.store.requestsPerS * READ_BUDGET_FRACTION);
    this.budget = new TokenBucket(readsPerS, readsPerS);
  }

  /** Number of jobs of which it is not known whether they are open, done or cancelled. */
  get unresolvedCount(): number {
    return this.unresolved.size;
  }

  /** Whether it is not known yet if this job is open, done or cancelled. */
  isUnresolved(id: JobId): boolean {
    return this.unresolved.has(id);
  }

  /** The job's state has become known in another way. */
  markResolved(id: JobId): void {
    this.unresolved.delete(id);
  }

  /** Reads the job's final state, unless that is under way. */
  request(id: JobId): void {
    if (this.unresolved.has(id)) return;
    this.unresolved.add(id);
    this.queue.push({ id, notBefore: LONG_AGO });
    this.sendReads();
  }

  /** Sends the reads that are due. */
  tick(): void {
    this.sendReads();
  }

  private sendReads(): void {
    const postponed: PendingRead[] = [];
    while (this.readsInFlight < MAX_CONCURRENT_READS && this.queue.length > 0) {
      const pending = this.queue.shift()!;
      if (!this.consumer.isNeeded(pending.id)) {
        this.unresolved.delete(pending.id);
        continue;
      }
      if (this.io.now < pending.notBefore) postponed.push(pending);
      else if (this.budget.take(this.io.now)) this.read(pending.id);
      else {
        postponed.push(pending);
        break;
      }
    }
    this.queue.push(...postponed);
  }

  private read(id: JobId): void {
    this.readsInFlight++;
    this.io.store({ kind: 'get', key: FINAL_STATE_PREFIX + id }, StorePriority.work, (reply) => {
      this.readsInFlight--;
      this.onReply(id, reply);
      this.sendReads();
    });
  }

  private onReply(id: JobId, reply: StoreReply): void {
    if (this.jobs.openJobs.has(id)) {
      this.unresolved.delete(id);
      return;
    }
    // A repeated submission of the job may have had its final state read meanwhile.
    const cached = this.jobs.finalState(id);
    if (cached !== null) return this.consumer.onFinalState(id, cached.status, cached.at);
    if (reply.kind === 'item') {
      const { status, endedAt } = decodeFinalState(reply.item);
      const at = endedAt ?? (0 as WallTime);
      this.jobs.cacheFinalState(id, status, at);
      return this.consumer.onFinalState(id, status, at);
    }
    // Not over, and so not cancelled either: only this leader could have done that.
    const isMissing = reply.kind === 'missing';
    if (isMissing) this.unresolved.delete(id);
    const delayMs = isMissing ? MISSING_RETRY_DELAY_MS : RETRY_DELAY_MS;
    this.queue.push({ id, notBefore: addMs(this.io.now, delayMs) });
  }
}
