// The library's core: takes what callers ask, what the service answers and the time, and returns what to keep, to send and
// to tell. No I/O, no clock, no chance of its own. What it promises (docs/client.md):
// - A job is sent only after its id and body are kept, and always under the same id.
// - It has one request under way at a time of which the answer counts, so none replaces a newer one.
// - It ends with one outcome, which is what the service settled on, or the statement that the caller's time was over.
import { InvalidMessageError } from '../../../src/protocol/json-fields.ts';
import {
  cancelCall,
  decodeJobStatus,
  decodeReason,
  type JobStatusView,
  statusCall,
  submitCall,
  type UserCall,
} from '../../../src/protocol/user.ts';
import type { JobId } from '../../../src/types/index.ts';
import { Health } from './node-health.ts';
import { backoffMs, RetryBudget } from './retry-policy.ts';
import { Schedule } from './schedule.ts';
import type { JobState, Outcome } from './types.ts';

/** What outlives the process. A job without `over` is gone on with by whoever opens the outbox next. */
export type Entry =
  | { op: 'submit'; id: string; key: string | null; body: string }
  | { op: 'accepted'; id: string }
  | { op: 'cancel'; id: string }
  | { op: 'over'; id: string; outcome: Outcome };

export interface Kept {
  id: string;
  key: string | null;
  /** Null once the job is over: it is not sent any more. */
  body: string | null;
  accepted: boolean;
  cancel: boolean;
  outcome: Outcome | null;
}

export interface Reply {
  status: number;
  body: string;
  retryAfterS: number | null;
}

export type Input =
  /** `acceptMs` and `endMs`: how long the caller waits for acceptance and for the end. */
  | { kind: 'submit'; id: string; key: string | null; body: string; acceptMs: number; endMs: number }
  /** A job of an earlier run, or one that others submitted (`body` null and nothing kept). */
  | { kind: 'resume'; job: Kept; acceptMs: number; endMs: number }
  | { kind: 'cancel'; id: string }
  /** What `keep` asked for is on disk, up to this number. */
  | { kind: 'kept'; upTo: number }
  /** Null: no answer. */
  | { kind: 'answer'; tag: number; reply: Reply | null }
  | { kind: 'wake' };

export type Effect =
  | { kind: 'keep'; seq: number; entry: Entry }
  | { kind: 'send'; tag: number; node: string; call: UserCall; timeoutMs: number }
  | { kind: 'accepted'; id: string }
  | { kind: 'store'; state: JobState }
  /** To be told when `after` is kept (0: at once): a later run must not find another one. */
  | { kind: 'outcome'; outcome: Outcome; after: number };

export interface SessionOptions {
  nodes: readonly string[];
  /** Requests under way at one node. */
  perNode: number;
  /** Numbers from 0 to below 1. */
  chance: () => number;
}

type Op = 'cancel' | 'submit' | 'status';
interface Job {
  id: string;
  body: string | null;
  stage: 'submitting' | 'open' | 'over';
  /** Nothing of this job may be sent before this number is kept. */
  keptAt: number;
  /** A submission may have reached the service, in this life or one before. */
  sent: boolean;
  /** It came from others: an answer that it does not exist is believed. */
  foreign: boolean;
  cancel: boolean;
  acceptBy: number;
  endBy: number;
  /** When it was taken up, for how often it is asked about. */
  since: number;
  tries: number;
  retryAt: number;
  lastNode: string | null;
  lastReason: string;
  flying: number | null;
  told: JobStatusView | null;
}
interface Flight {
  job: Job;
  op: Op;
  node: string;
  /** The job has asked for something else since: the answer tells only how the node is. */
  stale: boolean;
}

/** As long as the service takes to answer, in its own words, and a little for the way. */
const TIMEOUT_MS: Record<Op, number> = { cancel: 5500, submit: 5500, status: 2500 };
const POLL_LEAST_MS = 1000;
const POLL_MOST_MS = 15_000;
/** A job is asked about again after this part of its age. */
const POLL_PART = 0.05;
const RETRIES_PER_S = 5;
const RETRIES_A_SUCCESS = 0.5;
const RETRIES_MOST = 50;
/** Of the requests that may be under way, submissions take at most this part: ends are heard under any flood. */
const SUBMIT_PART = 0.7;

export class Session {
  private readonly jobs = new Map<string, Job>();
  private readonly flights = new Map<number, Flight>();
  private readonly due = new Schedule<Job>();
  /** What could be sent now if a node had room for it; retries, which need the budget's leave, by themselves. */
  private readonly ready: Record<Op, { first: Set<Job>; again: Set<Job> }> = {
    cancel: { first: new Set(), again: new Set() },
    submit: { first: new Set(), again: new Set() },
    status: { first: new Set(), again: new Set() },
  };
  private readonly health: Health;
  private readonly budget = new RetryBudget(RETRIES_PER_S, RETRIES_A_SUCCESS, RETRIES_MOST);
  private readonly unkept: Job[] = [];
  private readonly maxSubmitting: number;
  private submitting = 0;
  private nextTag = 1;
  private seq = 0;
  private keptUpTo = 0;
  private effects: Effect[] = [];
  private now = 0;
  private wall = 0;
  private blockedUntil = Number.POSITIVE_INFINITY;

  constructor(private readonly options: SessionOptions) {
    this.health = new Health(options.nodes, options.perNode, options.chance);
    this.maxSubmitting = Math.max(1, Math.floor(options.nodes.length * options.perNode * SUBMIT_PART));
  }

  /** `now`: steady clock; `wall`: time of day, only told to people. Both in milliseconds. */
  step(now: number, wall: number, input: Input): Effect[] {
    this.now = now;
    this.wall = wall;
    this.effects = [];
    this.take(input);
    for (let job = this.due.due(now); job !== null; job = this.due.due(now)) this.consider(job);
    this.pump();
    return this.effects;
  }

  /** When `wake` is wanted at the latest. */
  get nextWake(): number {
    return Math.min(this.due.next, this.blockedUntil);
  }

  /** Jobs without an outcome. */
  get open(): number {
    return this.jobs.size;
  }

  private take(input: Input): void {
    switch (input.kind) {
      case 'submit':
        return this.submit(input);
      case 'resume':
        return this.resume(input.job, input.acceptMs, input.endMs);
      case 'cancel':
        return this.cancel(input.id);
      case 'kept':
        this.keptUpTo = Math.max(this.keptUpTo, input.upTo);
        while (this.unkept.length > 0 && this.unkept[0]!.keptAt <= this.keptUpTo)
          this.consider(this.unkept.shift()!);
        return;
      case 'answer':
        return this.answer(input.tag, input.reply);
      case 'wake':
        return;
    }
  }

  // ---- what callers ask

  private add(id: string, body: string | null, acceptMs: number, endMs: number): Job {
    const { now } = this;
    const job: Job = {
      id,
      body,
      stage: 'submitting',
      keptAt: 0,
      sent: false,
      foreign: false,
      cancel: false,
      acceptBy: now + Math.min(acceptMs, endMs),
      endBy: now + endMs,
      since: now,
      tries: 0,
      retryAt: now,
      lastNode: null,
      lastReason: 'it was not sent yet',
      flying: null,
      told: null,
    };
    this.jobs.set(id, job);
    return job;
  }

  private submit(input: Input & { kind: 'submit' }): void {
    if (this.jobs.has(input.id)) return;
    const { id, key, body } = input;
    const job = this.add(id, body, input.acceptMs, input.endMs);
    this.keepFirst(job, { op: 'submit', id, key, body });
  }

  private resume(kept: Kept, acceptMs: number, endMs: number): void {
    if (this.jobs.has(kept.id)) return;
    const job = this.add(kept.id, kept.body, acceptMs, endMs);
    job.foreign = kept.body === null;
    job.stage = kept.accepted || job.foreign ? 'open' : 'submitting';
    // The one before may have sent it and ended before it heard the answer.
    job.sent = true;
    job.cancel = kept.cancel;
    this.consider(job);
  }

  private cancel(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.cancel) return;
    job.cancel = true;
    // Its poll, or its pause between polls, is not waited for.
    if (job.stage === 'open') {
      job.retryAt = this.now;
      this.unready(job);
      const flight = job.flying === null ? undefined : this.flights.get(job.flying);
      if (flight !== undefined) flight.stale = true;
      job.flying = null;
    }
    // A foreign job has no entry that this one could belong to.
    if (job.foreign) this.consider(job);
    else this.keepFirst(job, { op: 'cancel', id });
  }

  private keep(entry: Entry): number {
    this.effects.push({ kind: 'keep', seq: ++this.seq, entry });
    return this.seq;
  }

  /** Nothing of the job is sent before this is kept: what the service knows, a later run of the script knows as well. */
  private keepFirst(job: Job, entry: Entry): void {
    job.keptAt = this.keep(entry);
    this.unkept.push(job);
    this.consider(job);
  }

  // ---- what is to be done for a job

  private consider(job: Job): void {
    if (job.stage === 'over') return;
    const by = job.stage === 'submitting' ? job.acceptBy : job.endBy;
    if (this.now >= by) return this.giveUp(job);
    this.due.set(job, by);
    if (job.flying !== null || job.keptAt > this.keptUpTo) return;
    // What was never sent is nowhere: it ends here.
    if (job.cancel && job.stage === 'submitting' && !job.sent)
      return this.end(job, { kind: 'cancelled', id: job.id });
    if (this.now < job.retryAt) return this.due.set(job, Math.min(by, job.retryAt));
    const { first, again } = this.ready[this.opOf(job)];
    (job.tries > 0 ? again : first).add(job);
  }

  /**
   * A job that may have been sent is submitted until that is settled, also if it is to be cancelled: a cancellation that
   * overtook a submission still under way would cancel nothing.
   */
  private opOf(job: Job): Op {
    if (job.stage === 'submitting') return 'submit';
    return job.cancel ? 'cancel' : 'status';
  }

  private unready(job: Job): void {
    for (const { first, again } of Object.values(this.ready)) {
      first.delete(job);
      again.delete(job);
    }
  }

  /** Sends what may be sent. Looks at no more jobs than it sends and one each for what stops it. */
  private pump(): void {
    this.blockedUntil = Number.POSITIVE_INFINITY;
    for (const op of ['cancel', 'submit', 'status'] as const) {
      for (const job of this.ready[op].first) {
        if (op === 'submit' && this.submitting >= this.maxSubmitting) break;
        if (!this.send(job, op)) return;
      }
      for (const job of this.ready[op].again) {
        if (op === 'submit' && this.submitting >= this.maxSubmitting) break;
        const wait = this.budget.take(this.now);
        if (wait > 0) {
          this.blockedUntil = Math.min(this.blockedUntil, this.now + wait);
          break;
        }
        if (!this.send(job, op)) return this.budget.giveBack();
      }
    }
  }

  /** False if no node can be asked now. */
  private send(job: Job, op: Op): boolean {
    const node = this.health.take(this.now, job.tries > 0 ? job.lastNode : null);
    if (node === null) {
      this.blockedUntil = Math.min(
        this.blockedUntil,
        this.health.nextAt(this.now) ?? Number.POSITIVE_INFINITY,
      );
      return false;
    }
    this.unready(job);
    const tag = this.nextTag++;
    job.flying = tag;
    job.lastNode = node;
    if (op === 'submit') {
      job.sent = true;
      this.submitting++;
    }
    this.flights.set(tag, { job, op, node, stale: false });
    this.effects.push({ kind: 'send', tag, node, call: callOf(op, job), timeoutMs: TIMEOUT_MS[op] });
    return true;
  }

  // ---- what the service answers

  private answer(tag: number, reply: Reply | null): void {
    const flight = this.flights.get(tag);
    if (flight === undefined) return;
    this.flights.delete(tag);
    const { job, op, node } = flight;
    if (op === 'submit') this.submitting--;
    if (reply === null) this.health.failed(node, this.now);
    else this.health.answered(node);
    if (flight.stale) return;
    job.flying = null;
    // Given up meanwhile: its outcome was told and stays.
    if (job.stage === 'over') return;
    if (reply === null) this.again(job, null, `${node} did not answer`);
    else this.heard(job, op, reply);
    this.consider(job);
  }

  private heard(job: Job, op: Op, reply: Reply): void {
    const { status, body } = reply;
    if (status === 200 || status === 201) {
      try {
        return this.told(job, op, decodeJobStatus(body));
      } catch (e) {
        if (!(e instanceof InvalidMessageError)) throw e;
        return this.again(job, null, e.message);
      }
    }
    const reason = decodeReason(status, body);
    if (op === 'submit' && (status === 400 || status === 422))
      return this.end(job, { kind: 'refused', id: job.id, status, reason });
    if (status === 404 && job.foreign) return this.end(job, { kind: 'refused', id: job.id, status, reason });
    this.again(job, reply.retryAfterS, reason);
  }

  private told(job: Job, op: Op, told: JobStatusView): void {
    this.budget.earn();
    job.tries = 0;
    if (job.stage === 'submitting') {
      job.stage = 'open';
      this.keep({ op: 'accepted', id: job.id });
      this.effects.push({ kind: 'accepted', id: job.id });
    }
    const before = job.told;
    job.told = told;
    if (before?.status !== told.status || before.done !== told.done || before.running !== told.running)
      this.effects.push({ kind: 'store', state: stateOf(job.id, told) });
    const { status } = told;
    if (status === 'done' || status === 'cancelled') return this.end(job, { kind: status, id: job.id });
    // Not ended yet though it is to be: asked again as if it had been sent back.
    if (op === 'cancel') return this.again(job, null, 'the job is not cancelled yet');
    const age = this.now - job.since;
    const every = Math.min(POLL_MOST_MS, Math.max(POLL_LEAST_MS, age * POLL_PART));
    job.retryAt = job.cancel ? this.now : this.now + every * (0.9 + this.options.chance() * 0.2);
  }

  private again(job: Job, retryAfterS: number | null, reason: string): void {
    job.tries++;
    job.lastReason = reason;
    job.retryAt = this.now + backoffMs(job.tries, retryAfterS, this.options.chance);
  }

  // ---- how a job ends

  private end(job: Job, outcome: Outcome): void {
    this.close(job, outcome, job.foreign ? 0 : this.keep({ op: 'over', id: job.id, outcome }));
  }

  /** Not kept: a later run goes on with the job, and hears what became of it. */
  private giveUp(job: Job): void {
    const accepted = job.stage === 'open' ? true : job.sent ? null : false;
    const outcome: Outcome = {
      kind: 'gave-up',
      id: job.id,
      at: this.wall,
      reason:
        accepted === true && job.tries === 0
          ? `it is ${job.told?.status ?? 'accepted'} and has not ended in the time given`
          : job.lastReason,
      accepted,
      resume: job.foreign
        ? `ask for ${job.id} again`
        : `submit it again under the id ${job.id}: it is run once however often it is sent`,
    };
    this.close(job, outcome, 0);
  }

  private close(job: Job, outcome: Outcome, after: number): void {
    job.stage = 'over';
    this.due.delete(job);
    this.unready(job);
    this.jobs.delete(job.id);
    this.effects.push({ kind: 'outcome', outcome, after });
  }
}

function callOf(op: Op, job: Job): UserCall {
  const id = job.id as JobId;
  return op === 'submit' ? submitCall(job.body!) : op === 'cancel' ? cancelCall(id) : statusCall(id);
}

const stateOf = (id: string, { status, done, running }: JobStatusView): JobState => ({
  id,
  phase: status,
  done,
  running,
});
