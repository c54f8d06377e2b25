// The library's state machine: takes what callers ask, what the service answers and the time, and returns
// what to persist, to send and to publish. No I/O, clock or randomness of its own. What it promises
// (docs/client.md):
// - A job is sent only after its id and body are on disk, and always under the same id.
// - It has one request under way at a time of which the answer counts, so none replaces a newer one.
// - It ends with one outcome, which is what the service settled on, or the statement that the caller's time
//   was over.
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

/** The nodes that a session talks to. */
export type SessionOptions = DispatcherOptions;

/** All jobs of one process that have no outcome yet. */
export class Session {
  private readonly jobs = new Map<string, TrackedJob>();
  private readonly dispatcher: RequestDispatcher;
  /** Jobs by the time at which they are looked at again. */
  private readonly schedule = new Schedule<TrackedJob>();
  /** Jobs whose journal entry is not on disk yet, in the order of their numbers. */
  private readonly unpersisted: TrackedJob[] = [];
  private lastSeq = 0;
  private persistedUpTo = 0;
  private effects: Effect[] = [];
  private now = 0;
  private wallTime = 0;

  /** `options`: the nodes and how they may be used. */
  constructor(private readonly options: SessionOptions) {
    this.dispatcher = new RequestDispatcher(options);
  }

  /** `now`: steady clock; `wallTime`: time of day, only shown to people. Both in milliseconds. */
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

  /** When a `wake` is wanted at the latest, in milliseconds of the steady clock. */
  get nextWake(): number {
    return Math.min(this.schedule.next, this.dispatcher.blockedUntil);
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
    this.persistFirst(job, { op: 'submit', id, key, body });
  }

  private resume(input: Extract<Input, { kind: 'resume' }>): void {
    const { id, body, accepted, cancelRequested } = input.job;
    if (this.jobs.has(id)) return;
    const job = this.track(id, body, input);
    job.foreign = body === null;
    job.stage = accepted || job.foreign ? 'accepted' : 'submitting';
    // The process before may have sent it and ended before the answer came.
    job.maybeSent = true;
    job.cancelRequested = cancelRequested;
    this.advance(job);
  }

  private cancel(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.cancelRequested) return;
    job.cancelRequested = true;
    // A status poll under way, or the pause before the next one, is not waited for.
    if (job.stage === 'accepted') {
      job.nextAttemptAt = this.now;
      this.dispatcher.remove(job);
      this.dispatcher.supersede(job);
    }
    // A foreign job has no entry in the journal that this one could belong to.
    if (job.foreign) this.advance(job);
    else this.persistFirst(job, { op: 'cancel', id });
  }

  // ---- the journal

  private persist(entry: JournalEntry): number {
    this.effects.push({ kind: 'persist', seq: ++this.lastSeq, entry });
    return this.lastSeq;
  }

  /**
   * Nothing of the job is sent before the entry is on disk: what the service knows, a later run of the script
   * knows too.
   */
  private persistFirst(job: TrackedJob, entry: JournalEntry): void {
    job.journalSeq = this.persist(entry);
    this.unpersisted.push(job);
    this.advance(job);
  }

  private recordPersisted(upTo: number): void {
    this.persistedUpTo = Math.max(this.persistedUpTo, upTo);
    while (this.unpersisted.length > 0 && this.unpersisted[0]!.journalSeq <= this.persistedUpTo)
      this.advance(this.unpersisted.shift()!);
  }

  // ---- the next step of a job

  private advance(job: TrackedJob): void {
    if (job.stage === 'ended') return;
    const deadline = deadlineOf(job);
    if (this.now >= deadline) return this.giveUp(job);
    this.schedule.set(job, deadline);
    if (job.requestTag !== null || job.journalSeq > this.persistedUpTo) return;
    // The service cannot know a job that was never sent: it ends here.
    if (job.cancelRequested && job.stage === 'submitting' && !job.maybeSent)
      return this.settle(job, { kind: 'cancelled', id: job.id });
    if (this.now < job.nextAttemptAt) return this.schedule.set(job, Math.min(deadline, job.nextAttemptAt));
    this.dispatcher.enqueue(job, nextOperation(job));
  }

  // ---- answers of the service

  private handleResponse(tag: number, response: ServiceResponse | null): void {
    const request = this.dispatcher.complete(tag, response !== null, this.now);
    if (request === null || request.superseded) return;
    const { job, operation, node } = request;
    job.requestTag = null;
    // Given up meanwhile: its outcome was published and stays.
    if (job.stage === 'ended') return;
    if (response === null) this.retryLater(job, null, `${node} did not answer`);
    else this.applyResponse(job, operation, response);
    this.advance(job);
  }

  private applyResponse(job: TrackedJob, operation: Operation, response: ServiceResponse): void {
    const { status, body } = response;
    if (status === 200 || status === 201) return this.applyStatusBody(job, operation, body);
    const reason = decodeReason(status, body);
    const rejected = operation === 'submit' && (status === 400 || status === 422);
    const unknown = status === 404 && job.foreign;
    if (rejected || unknown) return this.settle(job, { kind: 'refused', id: job.id, status, reason });
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
    const before = job.lastStatus;
    job.lastStatus = jobStatus;
    if (isNewState(before, jobStatus))
      this.effects.push({ kind: 'state-changed', state: jobStateOf(job.id, jobStatus) });
    const { status } = jobStatus;
    if (status === 'done' || status === 'cancelled') return this.settle(job, { kind: status, id: job.id });
    // Not ended yet though it is to be: asked again like a request that failed.
    if (operation === 'cancel') return this.retryLater(job, null, 'the job is not cancelled yet');
    job.nextAttemptAt = job.cancelRequested
      ? this.now
      : this.now + pollIntervalMs(this.now - job.trackedSince, this.options.random);
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

  // ---- the end of a job

  /** The job has ended at the service. */
  private settle(job: TrackedJob, outcome: Outcome): void {
    const after = job.foreign ? 0 : this.persist({ op: 'over', id: job.id, outcome });
    this.close(job, outcome, after);
  }

  /** Not persisted: a later run resumes the job and gets to know its outcome. */
  private giveUp(job: TrackedJob): void {
    this.close(job, gaveUpOutcome(job, this.wallTime), 0);
  }

  private close(job: TrackedJob, outcome: Outcome, after: number): void {
    job.stage = 'ended';
    this.schedule.delete(job);
    this.dispatcher.remove(job);
    this.jobs.delete(job.id);
    this.effects.push({ kind: 'outcome', outcome, after });
  }
}
