// Priority queue of items by due time. With 100,000 open jobs, a step of the session visits only the due jobs
// instead of all of them. When the time of an item changes, a new timer is added; outdated timers stay in the
// heap and are skipped when they reach its top.
import TinyQueue from 'tinyqueue';

/** The time at which an item is due. */
interface Timer<T> {
  readonly dueAt: number;
  /** Number in the order of `set` calls; breaks ties between timers of the same time. */
  readonly sequence: number;
  readonly item: T;
}

/** Outdated timers are not removed from a heap of at most this many timers. */
const MIN_TIMERS_TO_REBUILD = 64;
/** Outdated timers are removed when the heap has more than this many timers per item. */
const MAX_TIMERS_PER_ITEM = 3;

const byDueTime = (a: Timer<unknown>, b: Timer<unknown>): number =>
  a.dueAt - b.dueAt || a.sequence - b.sequence;

/** Keeps one timer for each item. Times are in milliseconds. */
export class Schedule<T> {
  private heap = new TinyQueue<Timer<T>>([], byDueTime);
  private readonly currentTimers = new Map<T, Timer<T>>();
  private nextSequence = 0;

  /** Sets the due time of an item, replacing an earlier one. */
  set(item: T, dueAt: number): void {
    const timer = { dueAt, sequence: this.nextSequence++, item };
    this.currentTimers.set(item, timer);
    this.heap.push(timer);
    const { length } = this.heap;
    if (length > MIN_TIMERS_TO_REBUILD && length > MAX_TIMERS_PER_ITEM * this.currentTimers.size)
      this.heap = new TinyQueue([...this.currentTimers.values()], byDueTime);
  }

  /** Removes the timer of an item. */
  delete(item: T): void {
    this.currentTimers.delete(item);
  }

  /** The earliest due time; infinite if there are no timers. */
  get nextDueAt(): number {
    let top = this.heap.peek();
    while (top !== undefined && this.currentTimers.get(top.item) !== top) {
      this.heap.pop();
      top = this.heap.peek();
    }
    return top?.dueAt ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Removes and returns the item that is due first; null if no item is due. Items with the same due time are
   * returned in the order in which their times were set.
   */
  takeDue(now: number): T | null {
    if (this.nextDueAt > now) return null;
    const { item } = this.heap.pop()!;
    this.currentTimers.delete(item);
    return item;
  }
}
