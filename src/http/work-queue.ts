// Queue of requests waiting for processor time. It runs the most urgent ones first, for a limited time in
// each turn of the event loop: if all workers send requests to a node at the same moment, a single turn would
// otherwise take seconds, and the node's lease in the store would expire. Requests whose senders have timed
// out are dropped without being read.

/** Urgency of a work item: 0 runs first, 2 last; `now` is run immediately without being queued. */
export type Urgency = 'now' | 0 | 1 | 2;

/** A unit of work in a `WorkQueue`. */
export interface WorkItem {
  /** Time of arrival, in milliseconds of the monotonic clock. */
  since: number;
  urgency: Urgency;
  /** Milliseconds after the arrival at which the sender has timed out. */
  uselessAfterMs: number;
  /** Executes the item. */
  run: () => void;
  /** Called in place of `run` once the sender has timed out. */
  drop: () => void;
}

/** Maximum time of work in one turn of the event loop; timers and other sockets are served between turns. */
const MAX_SLICE_MS = 8;
/** Consumed items are removed from the array once there are more than this, and they are the majority. */
const MIN_CONSUMED_ITEMS_TO_COMPACT = 64;

/** A first-in, first-out queue that removes its first item without moving the others. */
class Fifo {
  private items: WorkItem[] = [];
  private head = 0;

  get length(): number {
    return this.items.length - this.head;
  }

  get first(): WorkItem | undefined {
    return this.items[this.head];
  }

  push(item: WorkItem): void {
    this.items.push(item);
  }

  shift(): WorkItem | undefined {
    const item = this.items[this.head];
    if (item === undefined) return undefined;
    this.head++;
    if (this.head > MIN_CONSUMED_ITEMS_TO_COMPACT && this.head * 2 > this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return item;
  }
}

/** Runs work items by urgency, in slices of limited time. */
export class WorkQueue {
  /** Queues indexed by urgency. */
  private readonly queues = [new Fifo(), new Fifo(), new Fifo()] as const;
  /** Time spent on work in this turn of the event loop. */
  private spentMs = 0;
  private isSliceScheduled = false;
  /** Number of items that were dropped because their senders had timed out; part of the node's status. */
  dropped = 0;

  /**
   * `clock`: milliseconds of the monotonic clock. `schedule`: calls its argument in the next turn of the
   * event loop.
   */
  constructor(
    private readonly clock: () => number = () => performance.now(),
    private readonly schedule: (run: () => void) => void = (run) => setImmediate(run),
  ) {}

  /** Number of items in the queue. */
  get waiting(): number {
    return this.queues.reduce((total, queue) => total + queue.length, 0);
  }

  /** Milliseconds for which the oldest item of urgency 0 has waited; 0 if there is none. */
  get ageMs(): number {
    const first = this.queues[0].first;
    return first === undefined ? 0 : this.clock() - first.since;
  }

  /** Runs the item immediately if the queue is empty and this turn has time left; queues it otherwise. */
  add(item: WorkItem): void {
    if (item.urgency === 'now') return item.run();
    this.queues[item.urgency].push(item);
    if (this.waiting === 1 && this.spentMs < MAX_SLICE_MS) this.runSlice();
    this.scheduleSlice();
  }

  private scheduleSlice(): void {
    if (this.isSliceScheduled || (this.waiting === 0 && this.spentMs === 0)) return;
    this.isSliceScheduled = true;
    this.schedule(() => {
      this.isSliceScheduled = false;
      this.spentMs = 0;
      this.runSlice();
      // The time spent above counts for this turn of the event loop; the next scheduled call resets it.
      this.scheduleSlice();
    });
  }

  private runSlice(): void {
    let now = this.clock();
    while (this.spentMs < MAX_SLICE_MS) {
      const item = this.nextItem();
      if (item === undefined) return;
      if (now - item.since > item.uselessAfterMs) {
        this.dropped++;
        item.drop();
      } else {
        item.run();
      }
      const after = this.clock();
      this.spentMs += Math.max(0, after - now);
      now = after;
    }
  }

  private nextItem(): WorkItem | undefined {
    return this.queues[0].shift() ?? this.queues[1].shift() ?? this.queues[2].shift();
  }
}
