// Reads the final states of dependencies that are neither open nor in the cache of final states, within a
// fraction of the request budget, until each of them is known to be open, done or cancelled.
import { addMs, type Instant, type JobId, LONG_AGO, type WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import { decodeFinalState } from '../storage/job-record.ts';
import { FINAL_STATE_PREFIX } from '../storage/keys.ts';
import type { FinalStatus } from './job-events.ts';
import type { JobTable } from './job-table.ts';

/** Fraction of the shard's budget of store requests that these reads may use. */
const READ_BUDGET_FRACTION = 0.25;
const MAX_CONCURRENT_READS = 8;
/** Delay after a read that was refused or not answered. */
const RETRY_DELAY_MS = 300;
/**
 * Delay after a read that found no final state: another controller may just have accepted the job, and this
 * leader has not read its record yet.
 */
const MISSING_RETRY_DELAY_MS = 2000;

interface PendingRead {
  id: JobId;
  notBefore: Instant;
}

/** Receives the final states that were read. */
export interface FinalStateConsumer {
  /** Whether an open job depends on this one. */
  hasOpenDependents(id: JobId): boolean;
  /** Called when the final state of a job is known. */
  onFinalState(id: JobId, status: FinalStatus, endedAt: WallTime): void;
}

/** Constructor dependencies of {@link FinalStateLookup}. */
export interface FinalStateLookupDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  consumer: FinalStateConsumer;
}

/** Queue of reads of final states. Reads are repeated until the state of the job is known. */
export class FinalStateLookup {
  private readonly queue: PendingRead[] = [];
  private readsInFlight = 0;
  /**
   * Jobs of which it is not known yet whether they were cancelled. A job without a stored final state was
   * not, and leaves the set, although its read is repeated until its state is known.
   */
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

  /** Number of jobs of which it is not known yet whether they were cancelled. */
  get unresolvedCount(): number {
    return this.unresolved.size;
  }

  /** Whether it is not known yet if the job was cancelled. */
  isUnresolved(id: JobId): boolean {
    return this.unresolved.has(id);
  }

  /** Called when the job's state has become known other than by a read of this lookup. */
  markResolved(id: JobId): void {
    this.unresolved.delete(id);
  }

  /** Queues a read of the job's final state, unless the job is unresolved already. */
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
      if (!this.consumer.hasOpenDependents(pending.id)) {
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
    this.io.sendStoreRequest({ kind: 'get', key: FINAL_STATE_PREFIX + id }, StorePriority.work, (reply) => {
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
    // A repeated submission of the job may have caused its final state to be read in the meantime.
    const cached = this.jobs.cachedFinalState(id);
    if (cached !== null) return this.consumer.onFinalState(id, cached.status, cached.endedAt);
    if (reply.kind === 'item') {
      const { status, endedAt } = decodeFinalState(reply.item);
      const endedAtOrZero = endedAt ?? (0 as WallTime);
      this.jobs.cacheFinalState(id, status, endedAtOrZero);
      return this.consumer.onFinalState(id, status, endedAtOrZero);
    }
    // If no final state is stored, the job was not cancelled: only this leader could have cancelled it.
    const isMissing = reply.kind === 'missing';
    if (isMissing) this.unresolved.delete(id);
    const delayMs = isMissing ? MISSING_RETRY_DELAY_MS : RETRY_DELAY_MS;
    this.queue.push({ id, notBefore: addMs(this.io.now, delayMs) });
  }
}
