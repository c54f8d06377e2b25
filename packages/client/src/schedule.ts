// Jobs by the time at which something is due for them. With 100,000 open jobs an input looks at those that are due, not at
// all. A job whose time changes is put in again; its old places are skipped when they come up.
import TinyQueue from 'tinyqueue';

interface Place<T> {
  at: number;
  order: number;
  item: T;
}
const earlier = (a: Place<unknown>, b: Place<unknown>): number => a.at - b.at || a.order - b.order;

export class Schedule<T> {
  private heap = new TinyQueue<Place<T>>([], earlier);
  private readonly where = new Map<T, Place<T>>();
  private orders = 0;

  set(item: T, at: number): void {
    const place = { at, order: this.orders++, item };
    this.where.set(item, place);
    this.heap.push(place);
    if (this.heap.length > 64 && this.heap.length > 3 * this.where.size)
      this.heap = new TinyQueue([...this.where.values()], earlier);
  }

  delete(item: T): void {
    this.where.delete(item);
  }

  /** The earliest time at which something is due; infinite if nothing is. */
  get next(): number {
    let top = this.heap.peek();
    while (top !== undefined && this.where.get(top.item) !== top) {
      this.heap.pop();
      top = this.heap.peek();
    }
    return top?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Takes out one item that is due; null if none is. Those of the same time come in the order they were set. */
  due(now: number): T | null {
    if (this.next > now) return null;
    const { item } = this.heap.pop()!;
    this.where.delete(item);
    return item;
  }
}
