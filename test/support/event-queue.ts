// Events of a simulated world by time, then by when they were added.
import TinyQueue from 'tinyqueue';

/** Something that happens at a simulated time. */
export interface SimulatedEvent {
  at: number;
  /** The number of the event, in the order in which events were added. */
  n: number;
  run: () => void;
}

/** A queue of events in the order in which they happen. */
export class EventQueue {
  private readonly queue = new TinyQueue<SimulatedEvent>([], (a, b) => a.at - b.at || a.n - b.n);
  /** Events added so far. */
  n = 0;

  /** Adds an event. */
  add(at: number, run: () => void): void {
    this.queue.push({ at, n: this.n++, run });
  }

  /** Takes the first event, if it is due by then. */
  next(by = Number.POSITIVE_INFINITY): SimulatedEvent | null {
    const first = this.queue.peek();
    return first === undefined || first.at > by ? null : this.queue.pop()!;
  }
}
