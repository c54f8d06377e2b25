// Answers status queries from the store for jobs that this controller does not have in memory. One
// transaction that only compares finds out for a batch of queries which jobs have a record; these records are
// then read one by one.
import { type JobId, NO_REVISION } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreCondition, StoreReply, UserResponse } from '../base/model.ts';
import { asSubmissionResponse, retryLater } from '../base/responses.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import { type DependencyStatus, readDependencyStatus } from './dependency-status.ts';
import { JobReads } from './job-reads.ts';
import { FINAL_STATE_PREFIX, OPEN_JOB_PREFIX } from './keys.ts';

interface StatusQuery {
  id: JobId;
  respond: (response: UserResponse) => void;
}

const MAX_PENDING_QUERIES = 300;
const MAX_CACHED_FINAL_STATES = 20_000;
const MAX_BATCH_JOBS = 40;
const COMPARE_TIMEOUT_MS = 1200;
/** Fraction of the store's request budget that one node may use for these reads. */
const BUDGET_FRACTION = 0.15;

/** Reads the status of jobs from the store, and caches final states. */
export class JobRecordReader {
  private pendingQueries: StatusQuery[] = [];
  private isComparing = false;
  private readonly finalStates = new Map<JobId, 'done' | 'cancelled'>();
  private readonly budget: TokenBucket;
  private readonly batchSize: number;
  private readonly reads: JobReads;

  constructor(
    private readonly io: ControllerIo,
    settings: Settings,
  ) {
    const { maxTransactionOps, requestsPerS } = settings.store;
    this.batchSize = Math.max(1, Math.min(MAX_BATCH_JOBS, maxTransactionOps * 2 - 2));
    const rate = Math.max(1, requestsPerS * BUDGET_FRACTION);
    this.budget = new TokenBucket(rate, rate);
    this.reads = new JobReads(io);
  }

  /** Number of queued status queries. */
  get backlog(): number {
    return this.pendingQueries.length;
  }

  /** The cached final state of a job, which never changes; null if it has none or it is not cached. */
  cachedFinalState(id: JobId): UserResponse | null {
    const status = this.finalStates.get(id);
    return status === undefined ? null : { kind: 'ended', id, status };
  }

  /** Caches the final state in a response, if it contains one. */
  cacheFinalState(response: UserResponse): void {
    if (response.kind !== 'ended') return;
    this.finalStates.set(response.id, response.status);
    if (this.finalStates.size <= MAX_CACHED_FINAL_STATES) return;
    const oldest = this.finalStates.keys().next().value as JobId;
    this.finalStates.delete(oldest);
  }

  /**
   * Responds with the status of a job: `status`, `ended`, `not-found`, or `retry` if it cannot be read now.
   */
  readStatus(id: JobId, respond: (response: UserResponse) => void): void {
    const cached = this.cachedFinalState(id);
    if (cached !== null) return respond(cached);
    if (this.pendingQueries.length >= MAX_PENDING_QUERIES)
      return respond(retryLater('too many questions at once', 2, true));
    this.pendingQueries.push({ id, respond });
    this.sendNext();
  }

  /** Sends queued queries as far as the request budget allows. */
  tick(): void {
    this.sendNext();
  }

  /**
   * Finds out from the store which of the jobs were ever accepted, and of these which are `open` and which
   * are `over` (have ended). The result is null if that cannot be determined now.
   */
  findExisting(ids: JobId[], onResult: (found: Map<JobId, 'open' | 'over'> | null) => void): void {
    const found = new Map<JobId, 'open' | 'over'>();
    const compareFrom = (start: number): void => {
      const batch = ids.slice(start, start + this.batchSize);
      if (batch.length === 0) return onResult(found);
      if (!this.budget.take(this.io.now)) return onResult(null);
      this.io.sendStoreRequest(compareRequest(batch), StorePriority.query, (reply) => {
        if (reply.kind !== 'committed' && reply.kind !== 'conflict') return onResult(null);
        const existing = existingKeys(reply);
        for (const id of batch) {
          if (existing.has(FINAL_STATE_PREFIX + id)) found.set(id, 'over');
          else if (existing.has(OPEN_JOB_PREFIX + id)) found.set(id, 'open');
        }
        compareFrom(start + batch.length);
      });
    };
    compareFrom(0);
  }

  /**
   * Finds the first service among open jobs. The result is null if there is none, and `unclear` if that
   * cannot be determined now.
   */
  findFirstService(ids: JobId[], onResult: (id: JobId | 'unclear' | null) => void): void {
    const [id, ...rest] = ids;
    if (id === undefined) return onResult(null);
    if (!this.budget.take(this.io.now)) return onResult('unclear');
    this.reads.readOpenJob(id, (open) => {
      if (open.kind === 'unavailable') return onResult('unclear');
      if (open.kind === 'found' && open.record.spec.kind === 'service') return onResult(id);
      // A job that is no longer open was not a service, or was cancelled.
      this.findFirstService(rest, onResult);
    });
  }

  /** Responds to a submission of a job that is already stored. */
  answerRepeatedSubmission(id: JobId, respond: (response: UserResponse) => void): void {
    this.readStatus(id, (response) => {
      const isNotFound = response.kind === 'not-found';
      respond(isNotFound ? retryLater('the job is changing') : asSubmissionResponse(response));
    });
  }

  private sendNext(): void {
    if (this.isComparing || this.pendingQueries.length === 0 || !this.budget.take(this.io.now)) return;
    this.isComparing = true;
    const batch = this.pendingQueries.splice(0, this.batchSize);
    this.io.sendStoreRequest(
      compareRequest(batch.map((query) => query.id)),
      StorePriority.query,
      (reply) => this.onCompared(batch, reply),
      COMPARE_TIMEOUT_MS,
    );
  }

  private onCompared(batch: StatusQuery[], reply: StoreReply): void {
    this.isComparing = false;
    const existing = existingKeys(reply);
    for (const query of batch) {
      if (reply.kind !== 'committed' && reply.kind !== 'conflict') query.respond(storeUnavailable());
      else if (existing.has(FINAL_STATE_PREFIX + query.id)) this.answerFromFinalState(query);
      else if (existing.has(OPEN_JOB_PREFIX + query.id)) this.answerFromOpenJob(query);
      else query.respond({ kind: 'not-found' });
    }
    this.sendNext();
  }

  private answerFromFinalState(query: StatusQuery): void {
    this.reads.readFinalState(query.id, (final) => {
      if (final.kind === 'found') this.respondEnded(query, final.record.status);
      else query.respond(storeUnavailable());
    });
  }

  private respondEnded(query: StatusQuery, status: 'done' | 'cancelled'): void {
    const response: UserResponse = { kind: 'ended', id: query.id, status };
    this.cacheFinalState(response);
    query.respond(response);
  }

  private answerFromOpenJob(query: StatusQuery): void {
    this.reads.readOpenJob(query.id, (open) => {
      if (open.kind === 'missing') return this.answerFromFinalState(query);
      if (open.kind === 'unavailable') return query.respond(storeUnavailable());
      if (open.record.cancelled) return query.respond({ kind: 'ended', id: query.id, status: 'cancelled' });
      this.reads.readDependencies(open.record, (dependsOn) => this.answerFromDependencies(query, dependsOn));
    });
  }

  private answerFromDependencies(query: StatusQuery, dependsOn: JobId[] | null): void {
    if (dependsOn === null) return query.respond(storeUnavailable());
    const tryTakeBudget = (): boolean => this.budget.take(this.io.now);
    readDependencyStatus(this.reads, dependsOn, tryTakeBudget, (status) =>
      this.respondByDependencies(query, status),
    );
  }

  private respondByDependencies(query: StatusQuery, status: DependencyStatus): void {
    switch (status) {
      case 'queued':
        return query.respond({ kind: 'status', id: query.id, status, done: 0, running: 0 });
      case 'cancelled':
        return this.respondEnded(query, status);
      case 'unavailable':
        return query.respond(storeUnavailable());
      case 'limited':
        return query.respond(retryLater('the jobs that it awaits are being read', 2));
    }
  }
}

const storeUnavailable = (): UserResponse => retryLater('the state service does not answer');

/** A transaction without changes. It fails with the existing keys of the jobs that were ever accepted. */
const compareRequest = (ids: JobId[]) => ({
  kind: 'compare-and-swap' as const,
  conditions: ids.flatMap(neverAcceptedConditions),
  puts: [],
  deletes: [],
});

/** Conditions that hold if a job was never accepted. */
const neverAcceptedConditions = (id: JobId): StoreCondition[] =>
  [OPEN_JOB_PREFIX, FINAL_STATE_PREFIX].map((prefix) => ({ key: prefix + id, revision: NO_REVISION }));

const existingKeys = (reply: StoreReply): Set<string> =>
  new Set(reply.kind === 'conflict' ? reply.failed : []);
