// What gives way when there is more to do than processor for it (docs/scale.md). The signal is how late this node's own
// timer fires, or how long the oldest report has been waiting to be read, whichever is more. Reports, cancellations and results are never turned away; passes
// and plans are made less often, then questions and at last submissions are sent back at once, by the other nodes too,
// from what the owner tells them.
import { addMs, elapsedMs, type Instant, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { UserRequest, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';

/** 0: all is well. 1: questions give way. 2: submissions too. */
export type LoadLevel = 0 | 1 | 2;

/** What a node tells of its load. */
export interface PeerLoad {
  level: LoadLevel;
  /** Seconds after which callers who are sent back should come again. */
  afterS: number;
  /** Seconds that it takes to write what waits to be written. */
  backlogS: number;
  /** Its memory is short. */
  memoryShort: boolean;
}

const TICK_MS = 100;
/** One pause, as for collecting garbage, is no overload: the delay is taken over about this time. */
const OVER_MS = 1500;
/** No single tick counts for more than this. */
const ONE_MS = 300;
/** Where a level begins, and below which it ends. */
const ENTER_MS = [0, 200, 600];
const LEAVE_MS = [0, 100, 300];
/** Of ten questions so many are sent back at a level; some always get through, so no job stays unheard for long. */
const QUESTIONS_SHED = [0, 5, 9];
const TELL_MS = 1000;
/** What another node told is believed for this long. */
const TOLD_MS = 3000;
const PACE_PER_MS = 1 / 100;
const PACE_MAX = 5;
const AFTER_MAX_S = 15;
/** Parts of the node's memory from which it is short, and below which it no longer is (runtime/heap.ts). */
const SHORT = 0.92;
const ENOUGH = 0.86;
/** Memory is given back by jobs that end, which takes longer than a queue. */
const SHORT_AFTER_S = 5;

export class LoadShedder {
  /** How late the timer fires or reports are read, smoothed, in milliseconds. */
  delayMs = 0;
  level: LoadLevel = 0;
  /**
   * Little memory is left. Every accepted job is kept until its end, so no more are taken; nothing that is on record is
   * ever dropped for it, and questions, reports and cancellations, which leave nothing behind, are served.
   */
  isMemoryShort = false;
  private lastTick: Instant | null = null;
  private nextTell = 0 as Instant;
  private readonly told = new Map<NodeId, PeerLoad & { until: Instant }>();
  /** Requests sent back, for operators. */
  requestsShed = 0;

  constructor(private readonly io: ControllerIo) {}

  /** Called with every tick; returns what the other nodes should be told, if anything. */
  tick(
    queuedMs: number,
    backlogS: number,
    memory = 0,
  ): { level: LoadLevel; afterS: number; memoryShort: boolean } | null {
    const { now } = this.io;
    const before = this.level;
    const shortBefore = this.isMemoryShort;
    this.measure(now, queuedMs);
    this.io.intervalFactor = Math.min(PACE_MAX, 1 + this.delayMs * PACE_PER_MS);
    if (this.level !== before)
      this.io.log('info', 'load has changed', { level: this.level, delayMs: Math.round(this.delayMs) });
    this.isMemoryShort = memory >= (this.isMemoryShort ? ENOUGH : SHORT);
    if (this.isMemoryShort !== shortBefore)
      this.io.log(
        this.isMemoryShort ? 'error' : 'info',
        this.isMemoryShort ? 'memory is short' : 'memory is enough again',
        {
          used: Math.round(memory * 100) / 100,
        },
      );
    if (this.level === before && this.isMemoryShort === shortBefore && now < this.nextTell) return null;
    this.nextTell = addMs(now, TELL_MS);
    return { level: this.level, afterS: this.afterS(backlogS), memoryShort: this.isMemoryShort };
  }

  private measure(now: Instant, queuedMs: number): void {
    const last = this.lastTick;
    this.lastTick = now;
    if (last === null) return;
    const elapsed = Math.max(0, elapsedMs(now, last));
    const late = Math.max(0, elapsed - TICK_MS, queuedMs);
    const weight = 1 - Math.exp(-Math.min(elapsed, ONE_MS) / OVER_MS);
    this.delayMs += (late - this.delayMs) * weight;
    while (this.level < 2 && this.delayMs >= ENTER_MS[this.level + 1]!)
      this.level = (this.level + 1) as LoadLevel;
    while (this.level > 0 && this.delayMs < LEAVE_MS[this.level]!) this.level = (this.level - 1) as LoadLevel;
  }

  /** Seconds after which a caller who is sent back should come again: more, the more waits. */
  private afterS(backlogS: number): number {
    return Math.min(AFTER_MAX_S, 1 + this.delayMs / 250 + backlogS);
  }

  onPeerLoad(node: NodeId, { level, afterS, backlogS, memoryShort }: PeerLoad): void {
    this.told.set(node, { level, afterS, backlogS, memoryShort, until: addMs(this.io.now, TOLD_MS) });
  }

  private toldBy(node: NodeId | null): PeerLoad | null {
    const told = node === null ? undefined : this.told.get(node);
    return told !== undefined && this.io.now < told.until ? told : null;
  }

  /** By how much an answer of the node that takes a write may be late without its being out of reach. */
  slownessMs(node: NodeId): number {
    const told = this.toldBy(node);
    return told === null ? 0 : told.backlogS * 1000 + told.level * 500;
  }

  /** What a new job is told when there is no memory for it, also by way of a node that does not know of that. */
  outOfMemoryResponse(): UserResponse {
    this.requestsShed++;
    return retryLater(
      'too little memory for more work at the moment',
      jitteredRetryS(this.io, SHORT_AFTER_S),
      true,
    );
  }

  /** What to tell a user at once instead of serving the request; null if it is to be served. */
  rejection(op: UserRequest['op'], owner: NodeId | null, backlogS: number): UserResponse | null {
    if (op === 'cancel') return null;
    const theirs = this.toldBy(owner);
    if (op === 'submit' && (this.isMemoryShort || theirs?.memoryShort)) return this.outOfMemoryResponse();
    const level = Math.max(this.level, theirs?.level ?? 0);
    if (level === 0) return null;
    if (op === 'status' ? this.io.random.below(10) >= QUESTIONS_SHED[level]! : level < 2) return null;
    this.requestsShed++;
    return retryLater(
      'too much work at the moment',
      jitteredRetryS(this.io, Math.max(theirs?.afterS ?? 1, this.afterS(backlogS))),
      true,
    );
  }
}

/** Callers who are sent back together do not come back together. */
export function jitteredRetryS(io: ControllerIo, afterS: number): number {
  return Math.max(1, Math.round(afterS + (io.random.below(1001) / 1000) * afterS));
}
