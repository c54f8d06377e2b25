// Events of a simulated world by time, then by when they were added.
import TinyQueue from 'tinyqueue';

interface Event {
  at: number;
  n: number;
  run: () => void;
}

export class EventQueue {
  private readonly queue = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.n - b.n);
  /** Events added so far. */
  n = 0;

  add(at: number, run: () => void): void {
    this.queue.push({ at, n: this.n++, run });
  }

  /** The first event, if it is due by then. */
  next(by = Number.POSITIVE_INFINITY): Event | null {
    const first = this.queue.peek();
    return first === undefined || first.at > by ? null : this.queue.pop()!;
  }
}
