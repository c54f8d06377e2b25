// Load shedding (docs/scale.md). The signal is how late this controller's timer fires, or how long the oldest
// heartbeat has been waiting to be read, whichever is more. Heartbeats, cancellations and results are never
// rejected; scheduling cycles and autoscaling run less often, then status requests and at last submissions
// are sent back at once, by the other controllers too, from the load that the leader reports to them.
import { addMs, elapsedMs, type Instant, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { UserRequest, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';

/** 0: none. 1: some status requests are sent back. 2: submissions too. */
export type LoadLevel = 0 | 1 | 2;

/** What a controller reports of its load to the others. */
export interface LoadReport {
  level: LoadLevel;
  /** Seconds after which users who are sent back should retry. */
  afterS: number;
  /** Too little memory is left for more jobs. */
  memoryShort: boolean;
}

/** The load of another controller. */
export interface PeerLoad extends LoadReport {
  /** Seconds that it takes to write what waits to be written. */
  backlogS: number;
}

/** Interval of the ticks that are measured. */
const TICK_MS = 100;
/** Time constant of the moving average of delays: one pause, as for garbage collection, is no overload. */
const SMOOTHING_MS = 1500;
/** No single tick has the weight of more time than this. */
const MAX_TICK_WEIGHT_MS = 300;
/** Delays from which a level begins, and below which it ends, by level. */
const ENTER_LEVEL_MS = [0, 200, 600];
const LEAVE_LEVEL_MS = [0, 100, 300];
/**
 * Of ten status requests so many are sent back, by level; some always pass, so that no job stays unknown for
 * long.
 */
const STATUS_REQUESTS_SHED = [0, 5, 9];
const REPORT_INTERVAL_MS = 1000;
/** How long another controller's report is valid. */
const REPORT_VALID_MS = 3000;
/** How much further apart recurring work is done, by delay, and at most. */
const INTERVAL_FACTOR_PER_MS = 1 / 100;
const MAX_INTERVAL_FACTOR = 5;
/** Delay for each further second after which users should retry, and how many seconds at most. */
const DELAY_MS_PER_RETRY_S = 250;
const MAX_RETRY_AFTER_S = 15;
/** Fractions of the memory limit from which memory is short, and below which it is not any more. */
const MEMORY_SHORT = 0.92;
const MEMORY_ENOUGH = 0.86;
/** Memory is freed by jobs that end, which takes longer than a queue. */
const MEMORY_RETRY_AFTER_S = 5;
/** How much longer a request forwarded to a loaded leader may take, by the leader's level. */
const SLOWNESS_PER_LEVEL_MS = 500;

/** Measures this controller's load, and decides which requests are sent back. */
export class LoadShedder {
  /** How late the timer fires or heartbeats are read, as a moving average in milliseconds. */
  delayMs = 0;
  /** This controller's level. */
  level: LoadLevel = 0;
  /**
   * Little memory is left. Every accepted job is kept until its end, so no more are accepted; nothing that is
   * stored is ever dropped for it, and status requests, heartbeats and cancellations, which leave nothing
   * behind, are served.
   */
  isMemoryShort = false;
  private lastTick: Instant | null = null;
  private nextReportAt = 0 as Instant;
  private readonly peerLoads = new Map<NodeId, PeerLoad & { validUntil: Instant }>();
  /** Number of requests sent back, for operators. */
  requestsShed = 0;

  constructor(private readonly io: ControllerIo) {}

  /**
   * To be called with every tick; returns what to report to the other controllers, if anything. `queuedMs`:
   * how long the oldest heartbeat has been waiting to be read. `backlogS`: seconds that it takes to write
   * what waits. `memory`: the fraction of the memory limit in use.
   */
  tick(queuedMs: number, backlogS: number, memory = 0): LoadReport | null {
    const { now } = this.io;
    const previousLevel = this.level;
    const wasMemoryShort = this.isMemoryShort;
    this.measureDelay(now, queuedMs);
    this.io.intervalFactor = Math.min(MAX_INTERVAL_FACTOR, 1 + this.delayMs * INTERVAL_FACTOR_PER_MS);
    if (this.level !== previousLevel)
      this.io.log('info', 'load has changed', { level: this.level, delayMs: Math.round(this.delayMs) });
    this.measureMemory(memory);
    const hasChanged = this.level !== previousLevel || this.isMemoryShort !== wasMemoryShort;
    if (!hasChanged && now < this.nextReportAt) return null;
    this.nextReportAt = addMs(now, REPORT_INTERVAL_MS);
    return {
      level: this.level,
      afterS: this.retryAfterS(backlogS),
      memoryShort: this.isMemoryShort,
    };
  }

  private measureDelay(now: Instant, queuedMs: number): void {
    const { lastTick } = this;
    this.lastTick = now;
    if (lastTick === null) return;
    const elapsed = Math.max(0, elapsedMs(now, lastTick));
    const delayMs = Math.max(0, elapsed - TICK_MS, queuedMs);
    const weight = 1 - Math.exp(-Math.min(elapsed, MAX_TICK_WEIGHT_MS) / SMOOTHING_MS);
    this.delayMs += (delayMs - this.delayMs) * weight;
    while (this.level < 2 && this.delayMs >= ENTER_LEVEL_MS[this.level + 1]!)
      this.level = (this.level + 1) as LoadLevel;
    while (this.level > 0 && this.delayMs < LEAVE_LEVEL_MS[this.level]!)
      this.level = (this.level - 1) as LoadLevel;
  }

  private measureMemory(memory: number): void {
    const wasShort = this.isMemoryShort;
    this.isMemoryShort = memory >= (wasShort ? MEMORY_ENOUGH : MEMORY_SHORT);
    if (this.isMemoryShort === wasShort) return;
    const used = Math.round(memory * 100) / 100;
    if (this.isMemoryShort) this.io.log('error', 'memory is short', { used });
    else this.io.log('info', 'memory is enough again', { used });
  }

  /** Seconds after which a user who is sent back should retry: more, the more waits. */
  private retryAfterS(backlogS: number): number {
    return Math.min(MAX_RETRY_AFTER_S, 1 + this.delayMs / DELAY_MS_PER_RETRY_S + backlogS);
  }

  /** Another controller has reported its load. */
  onPeerLoad(node: NodeId, { level, afterS, backlogS, memoryShort }: PeerLoad): void {
    const validUntil = addMs(this.io.now, REPORT_VALID_MS);
    this.peerLoads.set(node, { level, afterS, backlogS, memoryShort, validUntil });
  }

  private loadOf(node: NodeId | null): PeerLoad | null {
    const load = node === null ? undefined : this.peerLoads.get(node);
    return load !== undefined && this.io.now < load.validUntil ? load : null;
  }

  /**
   * How much longer than usual, in milliseconds, a write by this controller may take without its being
   * unreachable.
   */
  slownessMs(node: NodeId): number {
    const load = this.loadOf(node);
    return load === null ? 0 : load.backlogS * 1000 + load.level * SLOWNESS_PER_LEVEL_MS;
  }

  /** Sends a new job back for lack of memory, also on behalf of a controller that does not know of that. */
  outOfMemoryResponse(): UserResponse {
    return this.shed('too little memory for more work at the moment', MEMORY_RETRY_AFTER_S);
  }

  /** How to send a request back at once instead of serving it; null if it is to be served. */
  rejection(op: UserRequest['op'], leader: NodeId | null, backlogS: number): UserResponse | null {
    if (op === 'cancel') return null;
    const leaderLoad = this.loadOf(leader);
    if (op === 'submit' && (this.isMemoryShort || leaderLoad?.memoryShort)) return this.outOfMemoryResponse();
    const level = Math.max(this.level, leaderLoad?.level ?? 0);
    if (level === 0 || !this.isShedAt(level, op)) return null;
    const afterS = Math.max(leaderLoad?.afterS ?? 1, this.retryAfterS(backlogS));
    return this.shed('too much work at the moment', afterS);
  }

  private isShedAt(level: number, op: 'submit' | 'status'): boolean {
    if (op === 'status') return this.io.random.below(10) < STATUS_REQUESTS_SHED[level]!;
    return level >= 2;
  }

  private shed(reason: string, afterS: number): UserResponse {
    this.requestsShed++;
    return retryLater(reason, jitteredRetryS(this.io, afterS), true);
  }
}

/**
 * From `afterS` to twice that, in whole seconds, at random: users who are sent back together do not retry
 * together.
 */
export function jitteredRetryS(io: ControllerIo, afterS: number): number {
  return Math.max(1, Math.round(afterS + (io.random.below(1001) / 1000) * afterS));
}
