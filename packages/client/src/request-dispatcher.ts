// Decides which requests are sent now and to which node: cancellations first, then submissions, then status
// polls, within the limits of open requests per node and of the retry budget.
import { NodeHealth } from './node-health.ts';
import { RetryBudget } from './retry-policy.ts';
import type { Effect } from './session-messages.ts';
import { callFor, type Operation, type TrackedJob } from './tracked-job.ts';

/** The nodes of the service and the limits on requests. */
export interface DispatcherOptions {
  /** Addresses, `host:port`. */
  nodes: readonly string[];
  /** Maximum number of requests in flight at one node. */
  perNode: number;
  /** Returns random numbers from 0 to below 1. */
  random: () => number;
}

/** A request that was sent and has not completed yet. */
export interface InFlightRequest {
  readonly job: TrackedJob;
  readonly operation: Operation;
  readonly node: string;
  /** Whether a newer request of the job replaces this one: its response only counts for the node's health. */
  isSuperseded: boolean;
}

/** Jobs with a request that is ready to be sent. */
interface ReadyQueues {
  readonly firstAttempts: Set<TrackedJob>;
  /** Jobs whose last attempt failed; sending them takes a token of the retry budget. */
  readonly retries: Set<TrackedJob>;
}

const OPERATIONS_BY_PRIORITY = ['cancel', 'submit', 'status'] as const;
/** The service's own limit on response times, plus a margin for the network. */
const REQUEST_TIMEOUT_MS: Record<Operation, number> = { cancel: 5500, submit: 5500, status: 2500 };
const RETRIES_PER_S = 5;
const RETRIES_PER_SUCCESS = 0.5;
const RETRY_BUDGET_CAPACITY = 50;
/** Maximum fraction of the connections used by submissions, so that status polls get through at any load. */
const MAX_SUBMISSION_FRACTION = 0.7;

const emptyQueues = (): ReadyQueues => ({ firstAttempts: new Set(), retries: new Set() });

/** Keeps the queues of ready requests, the requests in flight and the health of the nodes. */
export class RequestDispatcher {
  private readonly ready: Record<Operation, ReadyQueues> = {
    cancel: emptyQueues(),
    submit: emptyQueues(),
    status: emptyQueues(),
  };
  private readonly inFlight = new Map<number, InFlightRequest>();
  private readonly health: NodeHealth;
  private readonly retryBudget = new RetryBudget({
    perSecond: RETRIES_PER_S,
    perSuccess: RETRIES_PER_SUCCESS,
    capacity: RETRY_BUDGET_CAPACITY,
  });
  private readonly maxSubmissions: number;
  private submissionsInFlight = 0;
  private nextTag = 1;
  private blockedUntilMs = Number.POSITIVE_INFINITY;

  /** `options`: the nodes and the limits on requests. */
  constructor(options: DispatcherOptions) {
    this.health = new NodeHealth(options.nodes, options.perNode, options.random);
    const connections = options.nodes.length * options.perNode;
    this.maxSubmissions = Math.max(1, Math.floor(connections * MAX_SUBMISSION_FRACTION));
  }

  /**
   * The earliest time at which a ready request that is blocked now may be sent; infinite if no request is
   * blocked only until a certain time.
   */
  get blockedUntil(): number {
    return this.blockedUntilMs;
  }

  /** Adds a job to the queue of ready requests of an operation. */
  enqueue(job: TrackedJob, operation: Operation): void {
    const { firstAttempts, retries } = this.ready[operation];
    (job.attempts > 0 ? retries : firstAttempts).add(job);
  }

  /** Removes a job from all queues. */
  remove(job: TrackedJob): void {
    for (const { firstAttempts, retries } of Object.values(this.ready)) {
      firstAttempts.delete(job);
      retries.delete(job);
    }
  }

  /** Marks the job's request in flight, if there is one, as superseded: its response will be ignored. */
  supersede(job: TrackedJob): void {
    const request = job.requestTag === null ? undefined : this.inFlight.get(job.requestTag);
    if (request !== undefined) request.isSuperseded = true;
    job.requestTag = null;
  }

  /** Records that a request was answered or failed, and returns the request; null for an unknown tag. */
  complete(tag: number, wasAnswered: boolean, now: number): InFlightRequest | null {
    const request = this.inFlight.get(tag);
    if (request === undefined) return null;
    this.inFlight.delete(tag);
    if (request.operation === 'submit') this.submissionsInFlight--;
    if (wasAnswered) this.health.recordResponse(request.node);
    else this.health.recordFailure(request.node, now);
    return request;
  }

  /** Records a successful response, which adds to the retry budget. */
  recordSuccess(): void {
    this.retryBudget.recordSuccess();
  }

  /**
   * Sends all requests that the limits allow. Visits only the jobs that it sends and one more for each limit
   * reached, so that the cost does not grow with the length of the queues.
   */
  dispatch(now: number, effects: Effect[]): void {
    this.blockedUntilMs = Number.POSITIVE_INFINITY;
    for (const operation of OPERATIONS_BY_PRIORITY) {
      if (!this.sendFirstAttempts(operation, now, effects)) return;
      if (!this.sendRetries(operation, now, effects)) return;
    }
  }

  /** Returns false if no node is available. */
  private sendFirstAttempts(operation: Operation, now: number, effects: Effect[]): boolean {
    for (const job of this.ready[operation].firstAttempts) {
      if (this.isAtSubmissionLimit(operation)) break;
      if (!this.send(job, operation, now, effects)) return false;
    }
    return true;
  }

  /** Returns false if no node is available. */
  private sendRetries(operation: Operation, now: number, effects: Effect[]): boolean {
    for (const job of this.ready[operation].retries) {
      if (this.isAtSubmissionLimit(operation)) break;
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

  private isAtSubmissionLimit(operation: Operation): boolean {
    return operation === 'submit' && this.submissionsInFlight >= this.maxSubmissions;
  }

  /** Returns false if no node is available. */
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
      job.mayHaveBeenSent = true;
      this.submissionsInFlight++;
    }
    this.inFlight.set(tag, { job, operation, node, isSuperseded: false });
    const call = callFor(operation, job);
    effects.push({ kind: 'send', tag, node, call, timeoutMs: REQUEST_TIMEOUT_MS[operation] });
    return true;
  }

  private blockUntil(timeMs: number): void {
    this.blockedUntilMs = Math.min(this.blockedUntilMs, timeMs);
  }
}
