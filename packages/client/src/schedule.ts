// Items by the time at which something is due for them. With 100,000 open jobs an input looks at those that
// are due, not at all of them. An item whose time changes is added again; its outdated entries are skipped
// when they come up.
import TinyQueue from 'tinyqueue';

interface Timer<T> {
  readonly at: number;
  /** Timers of the same time fire in the order in which they were set. */
  readonly order: number;
  readonly item: T;
}

/** Below this many timers outdated ones are not worth removing. */
const MIN_REBUILD = 64;
/** Timers for each item, outdated ones included, from which on the outdated ones are removed. */
const MAX_TIMERS_PER_ITEM = 3;

const earlierFirst = (a: Timer<unknown>, b: Timer<unknown>): number => a.at - b.at || a.order - b.order;

/** One timer for each item; times are in milliseconds. */
export class Schedule<T> {
  private heap = new TinyQueue<Timer<T>>([], earlierFirst);
  private readonly current = new Map<T, Timer<T>>();
  private nextOrder = 0;

  /** Sets the time of an item, in place of an earlier one. */
  set(item: T, at: number): void {
    const timer = { at, order: this.nextOrder++, item };
    this.current.set(item, timer);
    this.heap.push(timer);
    const { length } = this.heap;
    if (length > MIN_REBUILD && length > MAX_TIMERS_PER_ITEM * this.current.size)
      this.heap = new TinyQueue([...this.current.values()], earlierFirst);
  }

  /** Nothing is due for the item any more. */
  delete(item: T): void {
    this.current.delete(item);
  }

  /** The earliest time at which something is due; infinite if nothing is. */
  get next(): number {
    let top = this.heap.peek();
    while (top !== undefined && this.current.get(top.item) !== top) {
      this.heap.pop();
      top = this.heap.peek();
    }
    return top?.at ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Takes out one item that is due; null if none is. Those of the same time come in the order in which they
   * were set.
   */
  takeDue(now: number): T | null {
    if (this.next > now) return null;
    const { item } = this.heap.pop()!;
    this.current.delete(item);
    return item;
  }
}
