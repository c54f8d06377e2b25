// Requests wait here for processor time: the most urgent first, and only so many in one turn of the event loop. A node
// that all workers reach at the same moment would otherwise spend seconds in one turn, and its lease of the store would
// expire meanwhile. Requests whose senders have timed out by then are dropped unread.

/** How urgent a piece of work is: 0 goes first, 2 last; `now` is not queued at all. */
export type Urgency = 'now' | 0 | 1 | 2;

/** A piece of work that waits in a `WorkQueue`. */
export interface WorkItem {
  /** When it arrived, in milliseconds of the steady clock. */
  since: number;
  urgency: Urgency;
  /** Milliseconds after its arrival when its sender has timed out. */
  uselessAfterMs: number;
  /** Does the work. */
  run: () => void;
  /** Called in place of `run` once the sender has timed out. */
  drop: () => void;
}

/** Milliseconds of work in one turn of the event loop; timers and other connections come between. */
const SLICE_MS = 8;
/** Consumed entries are cut off once there are so many, and more of them than others. */
const MIN_COMPACTION = 64;

/** A first-in, first-out queue that takes its first item off without moving the others. */
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
    if (this.head > MIN_COMPACTION && this.head * 2 > this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return item;
  }
}

/** Runs work items by urgency, in slices of the event loop. */
export class WorkQueue {
  /** By urgency. */
  private readonly queues = [new Fifo(), new Fifo(), new Fifo()] as const;
  /** Time spent on work in this turn of the event loop. */
  private spentMs = 0;
  private scheduled = false;
  /** Number of items that were dropped unread, for operators. */
  dropped = 0;

  /** `clock`: milliseconds of the steady clock. `schedule`: calls its argument in the next turn of the event loop. */
  constructor(
    private readonly clock: () => number = () => performance.now(),
    private readonly schedule: (run: () => void) => void = (run) => setImmediate(run),
  ) {}

  /** Number of items in the queue. */
  get waiting(): number {
    return this.queues.reduce((total, queue) => total + queue.length, 0);
  }

  /** Milliseconds for which the oldest of the most urgent items has waited. */
  get ageMs(): number {
    const first = this.queues[0].first;
    return first === undefined ? 0 : this.clock() - first.since;
  }

  /** Runs the item at once if nothing else waits and this turn's time is not used up; queues it otherwise. */
  add(item: WorkItem): void {
    if (item.urgency === 'now') return item.run();
    this.queues[item.urgency].push(item);
    if (this.waiting === 1 && this.spentMs < SLICE_MS) this.runSlice();
    this.scheduleSlice();
  }

  private scheduleSlice(): void {
    if (this.scheduled || (this.waiting === 0 && this.spentMs === 0)) return;
    this.scheduled = true;
    this.schedule(() => {
      this.scheduled = false;
      this.spentMs = 0;
      this.runSlice();
      // Time spent here counts for this turn of the event loop; the next one begins with the next call.
      this.scheduleSlice();
    });
  }

  private runSlice(): void {
    let now = this.clock();
    while (this.spentMs < SLICE_MS) {
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
