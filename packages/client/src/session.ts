// State machine of the library: takes the requests of callers, the responses of the service and the time, and
// returns what to persist, send and publish. It has no I/O, clock or randomness of its own. Guarantees for
// each job (docs/client.md):
// - It is sent only after its id and body are on disk, and always under the same id.
// - At most one of its requests in flight counts, so an older response never replaces a newer one.
// - It gets exactly one outcome: the final status reported by the service, a refusal, or `gave-up` when the
//   caller's time-out is over.
import { InvalidMessageError } from '../../../src/protocol/json-fields.ts';
import { decodeJobStatus, decodeReason, type JobStatusView } from '../../../src/protocol/user.ts';
import { type DispatcherOptions, RequestDispatcher } from './request-dispatcher.ts';
import { backoffMs, pollIntervalMs } from './retry-policy.ts';
import { Schedule } from './schedule.ts';
import type { Effect, Input, JournalEntry, ServiceResponse } from './session-messages.ts';
import {
  type CallerTimeouts,
  deadlineOf,
  gaveUpOutcome,
  isNewState,
  jobStateOf,
  newTrackedJob,
  nextOperation,
  type Operation,
  type TrackedJob,
} from './tracked-job.ts';
import type { Outcome } from './types.ts';

/** The nodes of a session and the limits on requests. */
export type SessionOptions = DispatcherOptions;

/** Tracks all jobs of one process that have no outcome yet. */
export class Session {
  private readonly jobs = new Map<string, TrackedJob>();
  private readonly dispatcher: RequestDispatcher;
  /** Jobs by the time at which `advance` must be called for them. */
  private readonly schedule = new Schedule<TrackedJob>();
  /**
   * Jobs with journal entries that are not on disk yet, one element for each entry, in the order in which the
   * entries were appended.
   */
  private readonly awaitingPersistence: TrackedJob[] = [];
  private lastSeq = 0;
  private persistedUpTo = 0;
  private effects: Effect[] = [];
  private now = 0;
  private wallTime = 0;

  /** `options`: the nodes and the limits on requests. */
  constructor(private readonly options: SessionOptions) {
    this.dispatcher = new RequestDispatcher(options);
  }

  /**
   * Processes an input and returns the resulting effects. `now`: steady clock; `wallTime`: time of day, used
   * only in outcomes. Both are in milliseconds.
   */
  step(now: number, wallTime: number, input: Input): Effect[] {
    this.now = now;
    this.wallTime = wallTime;
    this.effects = [];
    this.handle(input);
    let job = this.schedule.takeDue(now);
    while (job !== null) {
      this.advance(job);
      job = this.schedule.takeDue(now);
    }
    this.dispatcher.dispatch(now, this.effects);
    return this.effects;
  }

  /** The time by which `wake` must be passed in, in milliseconds of the steady clock. */
  get nextWake(): number {
    return Math.min(this.schedule.nextDueAt, this.dispatcher.blockedUntil);
  }

  /** Number of jobs without an outcome. */
  get open(): number {
    return this.jobs.size;
  }

  private handle(input: Input): void {
    switch (input.kind) {
      case 'submit':
        return this.submit(input);
      case 'resume':
        return this.resume(input);
      case 'cancel':
        return this.cancel(input.id);
      case 'persisted':
        return this.recordPersisted(input.upTo);
      case 'response':
        return this.handleResponse(input.tag, input.response);
      case 'wake':
        return;
    }
  }

  // ---- requests of callers

  private track(id: string, body: string | null, timeouts: CallerTimeouts): TrackedJob {
    const job = newTrackedJob(id, body, timeouts, this.now);
    this.jobs.set(id, job);
    return job;
  }

  private submit(input: Extract<Input, { kind: 'submit' }>): void {
    if (this.jobs.has(input.id)) return;
    const { id, key, body } = input;
    const job = this.track(id, body, input);
    this.persistBeforeSending(job, { op: 'submit', id, key, body });
  }

  private resume(input: Extract<Input, { kind: 'resume' }>): void {
    const { id, body, accepted, cancelRequested } = input.job;
    if (this.jobs.has(id)) return;
    const job = this.track(id, body, input);
    job.isExternal = body === null;
    job.stage = accepted || job.isExternal ? 'accepted' : 'submitting';
    // The previous process may have sent the submission and ended before the response arrived.
    job.mayHaveBeenSent = true;
    job.cancelRequested = cancelRequested;
    this.advance(job);
  }

  private cancel(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.cancelRequested) return;
    job.cancelRequested = true;
    // The cancellation does not wait for a status poll in flight or for the delay before the next one.
    if (job.stage === 'accepted') {
      job.nextAttemptAt = this.now;
      this.dispatcher.remove(job);
      this.dispatcher.supersede(job);
    }
    // An external job has no submit entry in the journal, so its cancellation is not recorded either.
    if (job.isExternal) this.advance(job);
    else this.persistBeforeSending(job, { op: 'cancel', id });
  }

  // ---- the journal

  private persist(entry: JournalEntry): number {
    this.effects.push({ kind: 'persist', seq: ++this.lastSeq, entry });
    return this.lastSeq;
  }

  /**
   * Appends an entry to the journal; no request of the job is sent until it is on disk. So a later run of the
   * script finds every job that was sent to the service.
   */
  private persistBeforeSending(job: TrackedJob, entry: JournalEntry): void {
    job.journalSeq = this.persist(entry);
    this.awaitingPersistence.push(job);
    this.advance(job);
  }

  private recordPersisted(upTo: number): void {
    this.persistedUpTo = Math.max(this.persistedUpTo, upTo);
    while (
      this.awaitingPersistence.length > 0 &&
      this.awaitingPersistence[0]!.journalSeq <= this.persistedUpTo
    )
      this.advance(this.awaitingPersistence.shift()!);
  }

  // ---- next request of a job

  /** Gives the job up if its deadline has passed, otherwise queues its next request when it is due. */
  private advance(job: TrackedJob): void {
    if (job.stage === 'ended') return;
    const deadline = deadlineOf(job);
    if (this.now >= deadline) return this.giveUp(job);
    this.schedule.set(job, deadline);
    if (job.requestTag !== null || job.journalSeq > this.persistedUpTo) return;
    // The job was never sent to the service, so its cancellation needs no request.
    if (job.cancelRequested && job.stage === 'submitting' && !job.mayHaveBeenSent)
      return this.endWithOutcome(job, { kind: 'cancelled', id: job.id });
    if (this.now < job.nextAttemptAt) return this.schedule.set(job, Math.min(deadline, job.nextAttemptAt));
    this.dispatcher.enqueue(job, nextOperation(job));
  }

  // ---- responses of the service

  private handleResponse(tag: number, response: ServiceResponse | null): void {
    const request = this.dispatcher.complete(tag, response !== null, this.now);
    if (request === null || request.isSuperseded) return;
    const { job, operation, node } = request;
    job.requestTag = null;
    // The job was given up while the request was in flight; the published outcome is final.
    if (job.stage === 'ended') return;
    if (response === null) this.retryLater(job, null, `${node} did not answer`);
    else this.applyResponse(job, operation, response);
    this.advance(job);
  }

  private applyResponse(job: TrackedJob, operation: Operation, response: ServiceResponse): void {
    const { status, body } = response;
    if (status === 200 || status === 201) return this.applyStatusBody(job, operation, body);
    const reason = decodeReason(status, body);
    const isInvalidSubmission = operation === 'submit' && (status === 400 || status === 422);
    const isUnknownExternalJob = status === 404 && job.isExternal;
    if (isInvalidSubmission || isUnknownExternalJob)
      return this.endWithOutcome(job, { kind: 'refused', id: job.id, status, reason });
    this.retryLater(job, response.retryAfterS, reason);
  }

  private applyStatusBody(job: TrackedJob, operation: Operation, body: string): void {
    try {
      this.applyStatus(job, operation, decodeJobStatus(body));
    } catch (error) {
      if (!(error instanceof InvalidMessageError)) throw error;
      this.retryLater(job, null, error.message);
    }
  }

  private applyStatus(job: TrackedJob, operation: Operation, jobStatus: JobStatusView): void {
    this.dispatcher.recordSuccess();
    job.attempts = 0;
    if (job.stage === 'submitting') this.accept(job);
    const previousStatus = job.lastStatus;
    job.lastStatus = jobStatus;
    if (isNewState(previousStatus, jobStatus))
      this.effects.push({ kind: 'state-changed', state: jobStateOf(job.id, jobStatus) });
    const { status } = jobStatus;
    if (status === 'done' || status === 'cancelled')
      return this.endWithOutcome(job, { kind: status, id: job.id });
    // The service answered the cancellation, but the job has not ended: retried like a failed request.
    if (operation === 'cancel') return this.retryLater(job, null, 'the job is not cancelled yet');
    job.nextAttemptAt = job.cancelRequested
      ? this.now
      : this.now + pollIntervalMs(this.now - job.trackedSinceMs, this.options.random);
  }

  private accept(job: TrackedJob): void {
    job.stage = 'accepted';
    this.persist({ op: 'accepted', id: job.id });
    this.effects.push({ kind: 'accepted', id: job.id });
  }

  private retryLater(job: TrackedJob, retryAfterS: number | null, reason: string): void {
    job.attempts++;
    job.lastFailure = reason;
    job.nextAttemptAt = this.now + backoffMs(job.attempts, retryAfterS, this.options.random);
  }

  // ---- outcomes

  /**
   * Ends a job with its final outcome. For a job in the journal, the outcome is persisted before it is
   * published.
   */
  private endWithOutcome(job: TrackedJob, outcome: Outcome): void {
    const afterSeq = job.isExternal ? 0 : this.persist({ op: 'over', id: job.id, outcome });
    this.close(job, outcome, afterSeq);
  }

  /** Gives a job up. The outcome is not persisted, so that a later run resumes the job and finds its end. */
  private giveUp(job: TrackedJob): void {
    this.close(job, gaveUpOutcome(job, this.wallTime), 0);
  }

  private close(job: TrackedJob, outcome: Outcome, afterSeq: number): void {
    job.stage = 'ended';
    this.schedule.delete(job);
    this.dispatcher.remove(job);
    this.jobs.delete(job.id);
    this.effects.push({ kind: 'outcome', outcome, afterSeq });
  }
}
