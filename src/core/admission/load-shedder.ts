// Load shedding (docs/scale.md). The load is measured as the delay of this controller's timer or the queueing
// time of the oldest unread heartbeat, whichever is greater. Heartbeats, cancellations and results are never
// rejected. With growing load, scheduling cycles and autoscaling run less often, then status requests are
// rejected at once, and finally submissions. The other controllers reject requests as well, based on the load
// that the leader reports to them.
import { addMs, elapsedMs, type Instant, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { UserRequest, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';

/** 0: no requests are rejected. 1: some status requests are rejected. 2: submissions are rejected too. */
export type LoadLevel = 0 | 1 | 2;

/** The load that a controller reports to the others. */
export interface LoadReport {
  level: LoadLevel;
  /** Seconds after which rejected users should retry. */
  afterS: number;
  /** Whether too little memory is free for more jobs. */
  memoryShort: boolean;
}

/** The load that another controller has reported. */
export interface PeerLoad extends LoadReport {
  /** Estimated seconds until all queued writes are done. */
  backlogS: number;
}

/** Nominal interval of ticks; a longer one is counted as delay. */
const TICK_MS = 100;
/**
 * Time constant of the moving average of delays. A single pause, such as a garbage collection, must not count
 * as overload.
 */
const SMOOTHING_TIME_CONSTANT_MS = 1500;
/** Upper bound of the elapsed time with which a single tick is weighted in the average. */
const MAX_TICK_WEIGHT_MS = 300;
/** Average delays at which each level begins, and below which it ends; the index is the level. */
const ENTER_LEVEL_MS = [0, 200, 600];
const LEAVE_LEVEL_MS = [0, 100, 300];
/**
 * How many of ten status requests are rejected; the index is the level. Some are always served, so that users
 * who retry get the status of their jobs before long.
 */
const SHED_STATUS_REQUESTS_OF_TEN = [0, 5, 9];
const REPORT_INTERVAL_MS = 1000;
/** How long a load report of another controller is valid. */
const REPORT_TTL_MS = 3000;
/** Increase of the interval factor of periodic work per millisecond of delay, and its maximum. */
const INTERVAL_FACTOR_PER_MS = 1 / 100;
const MAX_INTERVAL_FACTOR = 5;
/** The delay that adds one second to the retry time of rejected users, and the maximum of that time. */
const DELAY_MS_PER_RETRY_S = 250;
const MAX_RETRY_AFTER_S = 15;
/** Fractions of the memory limit at which a memory shortage begins, and below which it ends. */
const MEMORY_SHORT_FRACTION = 0.92;
const MEMORY_RECOVERED_FRACTION = 0.86;
/** Memory is freed only when jobs end, which takes longer than draining a queue. */
const MEMORY_RETRY_AFTER_S = 5;
/** Additional time for a request forwarded to a loaded leader, per load level of the leader. */
const EXTRA_TIMEOUT_PER_LEVEL_MS = 500;

/** Measures this controller's load, and decides which requests are rejected. */
export class LoadShedder {
  /** Moving average, in milliseconds, of how late the timer fires or heartbeats are read. */
  delayMs = 0;
  /** Load level of this controller. */
  level: LoadLevel = 0;
  /**
   * Whether too little memory is free. Every accepted job stays in memory until it ends, so new jobs are
   * rejected. Stored jobs are never dropped to free memory. Status requests, heartbeats and cancellations are
   * served, because they take no lasting memory.
   */
  isMemoryShort = false;
  private lastTickAt: Instant | null = null;
  private nextReportAt = 0 as Instant;
  private readonly peerLoads = new Map<NodeId, PeerLoad & { validUntil: Instant }>();
  /** Number of requests rejected so far, for the status output. */
  requestsShed = 0;

  constructor(private readonly io: ControllerIo) {}

  /**
   * Updates the measurements; to be called on every tick. Returns the report for the other controllers, or
   * null if none is due. `queuedMs`: how long the oldest heartbeat has been waiting to be read. `backlogS`:
   * estimated seconds until all queued writes are done. `memory`: the fraction of the memory limit in use.
   */
  tick(queuedMs: number, backlogS: number, memory = 0): LoadReport | null {
    const { now } = this.io;
    const previousLevel = this.level;
    const wasMemoryShort = this.isMemoryShort;
    this.updateLevel(now, queuedMs);
    this.io.intervalFactor = Math.min(MAX_INTERVAL_FACTOR, 1 + this.delayMs * INTERVAL_FACTOR_PER_MS);
    if (this.level !== previousLevel)
      this.io.log('info', 'load level changed', { level: this.level, delayMs: Math.round(this.delayMs) });
    this.updateMemoryShortage(memory);
    const hasChanged = this.level !== previousLevel || this.isMemoryShort !== wasMemoryShort;
    if (!hasChanged && now < this.nextReportAt) return null;
    this.nextReportAt = addMs(now, REPORT_INTERVAL_MS);
    return {
      level: this.level,
      afterS: this.retryAfterS(backlogS),
      memoryShort: this.isMemoryShort,
    };
  }

  private updateLevel(now: Instant, queuedMs: number): void {
    const { lastTickAt } = this;
    this.lastTickAt = now;
    if (lastTickAt === null) return;
    const elapsed = Math.max(0, elapsedMs(now, lastTickAt));
    const delayMs = Math.max(0, elapsed - TICK_MS, queuedMs);
    const weight = 1 - Math.exp(-Math.min(elapsed, MAX_TICK_WEIGHT_MS) / SMOOTHING_TIME_CONSTANT_MS);
    this.delayMs += (delayMs - this.delayMs) * weight;
    while (this.level < 2 && this.delayMs >= ENTER_LEVEL_MS[this.level + 1]!)
      this.level = (this.level + 1) as LoadLevel;
    while (this.level > 0 && this.delayMs < LEAVE_LEVEL_MS[this.level]!)
      this.level = (this.level - 1) as LoadLevel;
  }

  private updateMemoryShortage(memory: number): void {
    const wasShort = this.isMemoryShort;
    this.isMemoryShort = memory >= (wasShort ? MEMORY_RECOVERED_FRACTION : MEMORY_SHORT_FRACTION);
    if (this.isMemoryShort === wasShort) return;
    const used = Math.round(memory * 100) / 100;
    if (this.isMemoryShort)
      this.io.log('error', 'memory use above the threshold: new jobs are rejected', { used });
    else this.io.log('info', 'memory use below the threshold: new jobs are accepted again', { used });
  }

  /** Seconds after which a rejected user should retry; they grow with the delay and the write backlog. */
  private retryAfterS(backlogS: number): number {
    return Math.min(MAX_RETRY_AFTER_S, 1 + this.delayMs / DELAY_MS_PER_RETRY_S + backlogS);
  }

  /** Stores the load that another controller has reported. */
  onPeerLoad(node: NodeId, { level, afterS, backlogS, memoryShort }: PeerLoad): void {
    const validUntil = addMs(this.io.now, REPORT_TTL_MS);
    this.peerLoads.set(node, { level, afterS, backlogS, memoryShort, validUntil });
  }

  private validLoadOf(node: NodeId | null): PeerLoad | null {
    const load = node === null ? undefined : this.peerLoads.get(node);
    return load !== undefined && this.io.now < load.validUntil ? load : null;
  }

  /**
   * Milliseconds by which to extend the timeout of a submission that is forwarded to `node`, because a loaded
   * controller is slow but not unreachable.
   */
  extraTimeoutMs(node: NodeId): number {
    const load = this.validLoadOf(node);
    return load === null ? 0 : load.backlogS * 1000 + load.level * EXTRA_TIMEOUT_PER_LEVEL_MS;
  }

  /**
   * Rejects a new job for lack of memory; the leader also uses it for jobs forwarded by controllers that have
   * not received its load report yet.
   */
  outOfMemoryResponse(): UserResponse {
    return this.shed('too little memory for more work at the moment', MEMORY_RETRY_AFTER_S);
  }

  /** The response with which a request is rejected at once; null if the request should be served. */
  rejection(op: UserRequest['op'], leader: NodeId | null, backlogS: number): UserResponse | null {
    if (op === 'cancel') return null;
    const leaderLoad = this.validLoadOf(leader);
    if (op === 'submit' && (this.isMemoryShort || leaderLoad?.memoryShort)) return this.outOfMemoryResponse();
    const level = Math.max(this.level, leaderLoad?.level ?? 0);
    if (level === 0 || !this.isShedAt(level, op)) return null;
    const afterS = Math.max(leaderLoad?.afterS ?? 1, this.retryAfterS(backlogS));
    return this.shed('too much work at the moment', afterS);
  }

  private isShedAt(level: number, op: 'submit' | 'status'): boolean {
    if (op === 'status') return this.io.random.below(10) < SHED_STATUS_REQUESTS_OF_TEN[level]!;
    return level >= 2;
  }

  private shed(reason: string, afterS: number): UserResponse {
    this.requestsShed++;
    return retryLater(reason, jitteredRetryS(this.io, afterS), true);
  }
}

/**
 * A random retry time of `afterS` to twice `afterS`, in whole seconds, so that users who are rejected at the
 * same time do not retry at the same time.
 */
export function jitteredRetryS(io: ControllerIo, afterS: number): number {
  return Math.max(1, Math.round(afterS + (io.random.below(1001) / 1000) * afterS));
}
