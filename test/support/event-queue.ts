// Event queue of a simulated world: ordered by time, then by insertion.
import TinyQueue from 'tinyqueue';

/** An action that is due at a simulated time. */
export interface SimulatedEvent {
  at: number;
  /** Position in the order of insertion, which orders events that are due at the same time. */
  sequenceNumber: number;
  run: () => void;
}

/** A priority queue of events by due time and order of insertion. */
export class EventQueue {
  private readonly queue = new TinyQueue<SimulatedEvent>(
    [],
    (a, b) => a.at - b.at || a.sequenceNumber - b.sequenceNumber,
  );
  /** Number of events added so far. */
  eventCount = 0;

  /** Adds an event. */
  add(at: number, run: () => void): void {
    this.queue.push({ at, sequenceNumber: this.eventCount++, run });
  }

  /** Removes and returns the first event if it is due at `deadline` or before; null otherwise. */
  next(deadline = Number.POSITIVE_INFINITY): SimulatedEvent | null {
    const first = this.queue.peek();
    return first === undefined || first.at > deadline ? null : this.queue.pop()!;
  }
}
