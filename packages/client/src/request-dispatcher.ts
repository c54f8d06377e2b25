// Decides which requests are sent now and to which node: cancellations before submissions before status
// polls, within the connections of the nodes and the budget for retries.
import { NodeHealth } from './node-health.ts';
import { RetryBudget } from './retry-policy.ts';
import type { Effect } from './session-messages.ts';
import { callFor, type Operation, type TrackedJob } from './tracked-job.ts';

/** The nodes of the service and how they may be used. */
export interface DispatcherOptions {
  /** Addresses, `host:port`. */
  nodes: readonly string[];
  /** Requests under way at one node at most. */
  perNode: number;
  /** Random numbers from 0 to below 1. */
  random: () => number;
}

/** A request that was sent and not answered yet. */
export interface InFlightRequest {
  readonly job: TrackedJob;
  readonly operation: Operation;
  readonly node: string;
  /** The job has asked for something else since: the answer only tells how the node is. */
  superseded: boolean;
}

/** Jobs that could be sent now if a node had a free connection. */
interface ReadyJobs {
  readonly firstAttempts: Set<TrackedJob>;
  /** These need a token of the retry budget. */
  readonly retries: Set<TrackedJob>;
}

const OPERATIONS_BY_RANK = ['cancel', 'submit', 'status'] as const;
/** As long as the service takes to answer, by its own limits, and a little for the network. */
const TIMEOUT_MS: Record<Operation, number> = { cancel: 5500, submit: 5500, status: 2500 };
const RETRIES_PER_S = 5;
const RETRIES_PER_SUCCESS = 0.5;
const MAX_SAVED_RETRIES = 50;
/** Submissions take at most this part of the connections, so that ends are noticed under any load. */
const MAX_SUBMISSION_FRACTION = 0.7;

const noJobs = (): ReadyJobs => ({ firstAttempts: new Set(), retries: new Set() });

/** Queues of requests that are ready, the requests under way, and the health of the nodes. */
export class RequestDispatcher {
  private readonly ready: Record<Operation, ReadyJobs> = {
    cancel: noJobs(),
    submit: noJobs(),
    status: noJobs(),
  };
  private readonly inFlight = new Map<number, InFlightRequest>();
  private readonly health: NodeHealth;
  private readonly retryBudget = new RetryBudget({
    perSecond: RETRIES_PER_S,
    perSuccess: RETRIES_PER_SUCCESS,
    maxSaved: MAX_SAVED_RETRIES,
  });
  private readonly maxSubmissions: number;
  private submissionsInFlight = 0;
  private nextTag = 1;
  private blockedUntilMs = Number.POSITIVE_INFINITY;

  /** `options`: the nodes and the limits of their use. */
  constructor(options: DispatcherOptions) {
    this.health = new NodeHealth(options.nodes, options.perNode, options.random);
    const connections = options.nodes.length * options.perNode;
    this.maxSubmissions = Math.max(1, Math.floor(connections * MAX_SUBMISSION_FRACTION));
  }

  /** When a ready request that cannot be sent now may be; infinite if none waits for time alone. */
  get blockedUntil(): number {
    return this.blockedUntilMs;
  }

  /** Makes a job ready to be sent. */
  enqueue(job: TrackedJob, operation: Operation): void {
    const { firstAttempts, retries } = this.ready[operation];
    (job.attempts > 0 ? retries : firstAttempts).add(job);
  }

  /** Takes a job out of all queues. */
  remove(job: TrackedJob): void {
    for (const { firstAttempts, retries } of Object.values(this.ready)) {
      firstAttempts.delete(job);
      retries.delete(job);
    }
  }

  /** The answer to the request that is under way for a job will not count. */
  supersede(job: TrackedJob): void {
    const request = job.requestTag === null ? undefined : this.inFlight.get(job.requestTag);
    if (request !== undefined) request.superseded = true;
    job.requestTag = null;
  }

  /**
   * Takes note of an answer, or of none, and gives the request that it belongs to; null for an unknown tag.
   */
  complete(tag: number, answered: boolean, now: number): InFlightRequest | null {
    const request = this.inFlight.get(tag);
    if (request === undefined) return null;
    this.inFlight.delete(tag);
    if (request.operation === 'submit') this.submissionsInFlight--;
    if (answered) this.health.recordAnswer(request.node);
    else this.health.recordFailure(request.node, now);
    return request;
  }

  /** A request was answered for good: the budget for retries grows. */
  recordSuccess(): void {
    this.retryBudget.recordSuccess();
  }

  /** Sends what may be sent. Looks at no more jobs than it sends and one for each limit that stops it. */
  dispatch(now: number, effects: Effect[]): void {
    this.blockedUntilMs = Number.POSITIVE_INFINITY;
    for (const operation of OPERATIONS_BY_RANK) {
      if (!this.sendFirstAttempts(operation, now, effects)) return;
      if (!this.sendRetries(operation, now, effects)) return;
    }
  }

  /** False if no node has a free connection. */
  private sendFirstAttempts(operation: Operation, now: number, effects: Effect[]): boolean {
    for (const job of this.ready[operation].firstAttempts) {
      if (this.isLimited(operation)) break;
      if (!this.send(job, operation, now, effects)) return false;
    }
    return true;
  }

  /** False if no node has a free connection. */
  private sendRetries(operation: Operation, now: number, effects: Effect[]): boolean {
    for (const job of this.ready[operation].retries) {
      if (this.isLimited(operation)) break;
      const waitMs = this.retryBudget.take(now);
      if (waitMs > 0) {
        this.blockUntil(now + waitMs);
        break;
      }
      if (!this.send(job, operation, now, effects)) {
        this.retryBudget.refund();
        return false;
      }
    }
    return true;
  }

  private isLimited(operation: Operation): boolean {
    return operation === 'submit' && this.submissionsInFlight >= this.maxSubmissions;
  }

  /** False if no node has a free connection. */
  private send(job: TrackedJob, operation: Operation, now: number, effects: Effect[]): boolean {
    const node = this.health.acquire(now, job.attempts > 0 ? job.lastNode : null);
    if (node === null) {
      this.blockUntil(this.health.nextAvailableAt(now) ?? Number.POSITIVE_INFINITY);
      return false;
    }
    this.remove(job);
    const tag = this.nextTag++;
    job.requestTag = tag;
    job.lastNode = node;
    if (operation === 'submit') {
      job.maybeSent = true;
      this.submissionsInFlight++;
    }
    this.inFlight.set(tag, { job, operation, node, superseded: false });
    const call = callFor(operation, job);
    effects.push({ kind: 'send', tag, node, call, timeoutMs: TIMEOUT_MS[operation] });
    return true;
  }

  private blockUntil(time: number): void {
    this.blockedUntilMs = Math.min(this.blockedUntilMs, time);
  }
}
