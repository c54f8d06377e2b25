// Answers questions about jobs that this controller does not have in memory, from the store. Many questions
// at once are sorted by one transaction that only compares; the records of those that exist are then read one
// by one.
import type { JobId, Revision } from '../../types/index.ts';
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

const MAX_WAITING = 300;
const MAX_CACHED_FINAL_STATES = 20_000;
const MAX_BATCH = 40;
const COMPARE_TIMEOUT_MS = 1200;
/** Part of the store's request budget that one node may use for these reads. */
const BUDGET_FRACTION = 0.15;

/** Reads the status of jobs from the store, and remembers final states. */
export class JobRecordReader {
  private waiting: StatusQuery[] = [];
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
    this.batchSize = Math.max(1, Math.min(MAX_BATCH, maxTransactionOps * 2 - 2));
    const rate = Math.max(1, requestsPerS * BUDGET_FRACTION);
    this.budget = new TokenBucket(rate, rate);
    this.reads = new JobReads(io);
  }

  /** Number of questions that wait to be read. */
  get backlog(): number {
    return this.waiting.length;
  }

  /** The remembered final state of a job; null if it has none or is not remembered. It never changes. */
  cachedFinalState(id: JobId): UserResponse | null {
    const status = this.finalStates.get(id);
    return status === undefined ? null : { kind: 'ended', id, status };
  }

  /** Remembers the final state that a response tells, if any. */
  cacheFinalState(response: UserResponse): void {
    if (response.kind !== 'ended') return;
    this.finalStates.set(response.id, response.status);
    if (this.finalStates.size <= MAX_CACHED_FINAL_STATES) return;
    const oldest = this.finalStates.keys().next().value as JobId;
    this.finalStates.delete(oldest);
  }

  /**
   * Answers what the status of a job is: `status`, `ended`, `not-found`, or `retry` when it cannot be read
   * now.
   */
  readStatus(id: JobId, respond: (response: UserResponse) => void): void {
    const known = this.cachedFinalState(id);
    if (known !== null) return respond(known);
    if (this.waiting.length >= MAX_WAITING) return respond(retryLater('too many questions at once', 2, true));
    this.waiting.push({ id, respond });
    this.sendNext();
  }

  /** Sends what waits for the budget. */
  tick(): void {
    this.sendNext();
  }

  /** Which of the jobs were ever accepted, as the store says; null when that cannot be known now. */
  findExisting(ids: JobId[], onResult: (found: Map<JobId, 'open' | 'over'> | null) => void): void {
    const found = new Map<JobId, 'open' | 'over'>();
    const compareFrom = (start: number): void => {
      const batch = ids.slice(start, start + this.batchSize);
      if (batch.length === 0) return onResult(found);
      if (!this.budget.take(this.io.now)) return onResult(null);
      this.io.store(compareRequest(batch), StorePriority.query, (reply) => {
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

  /** The first service among open jobs, null if there is none, `unclear` when that cannot be known now. */
  findFirstService(ids: JobId[], onResult: (id: JobId | 'unclear' | null) => void): void {
    const [id, ...rest] = ids;
    if (id === undefined) return onResult(null);
    if (!this.budget.take(this.io.now)) return onResult('unclear');
    this.reads.readOpenJob(id, (open) => {
      if (open.kind === 'unavailable') return onResult('unclear');
      if (open.kind === 'found' && open.record.spec.kind === 'service') return onResult(id);
      // What is no longer open was no service, or was cancelled.
      this.findFirstService(rest, onResult);
    });
  }

  /** Answers a submission of a job that is on record already. */
  answerRepeatedSubmission(id: JobId, respond: (response: UserResponse) => void): void {
    this.readStatus(id, (response) => {
      const isGone = response.kind === 'not-found';
      respond(isGone ? retryLater('the job is changing') : asSubmissionResponse(response));
    });
  }

  private sendNext(): void {
    if (this.isComparing || this.waiting.length === 0 || !this.budget.take(this.io.now)) return;
    this.isComparing = true;
    const batch = this.waiting.splice(0, this.batchSize);
    this.io.store(
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
    const takeRead = (): boolean => this.budget.take(this.io.now);
    readDependencyStatus(this.reads, dependsOn, takeRead, (status) =>
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

/** A transaction that changes nothing: it fails with the keys of those jobs that were ever accepted. */
const compareRequest = (ids: JobId[]) => ({
  kind: 'compare-and-swap' as const,
  conditions: ids.flatMap(neverAccepted),
  puts: [],
  deletes: [],
});

/** True of a job that was never accepted. */
const neverAccepted = (id: JobId): StoreCondition[] =>
  [OPEN_JOB_PREFIX, FINAL_STATE_PREFIX].map((prefix) => ({ key: prefix + id, revision: 0 as Revision }));

const existingKeys = (reply: StoreReply): Set<string> =>
  new Set(reply.kind === 'conflict' ? reply.failed : []);
