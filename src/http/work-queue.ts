// What arrives on connections is read at once but worked on in turns: most urgent first, and so much in one round of the
// event loop. A node that all workers reach at the same moment would otherwise spend seconds in one round, and lose its
// hold in the state service meanwhile. What its sender has given up on by then is dropped unread.

/** 0 goes first; `now` is not kept waiting at all. */
export type Urgency = 'now' | 0 | 1 | 2;

export interface WorkItem {
  /** When it arrived, in milliseconds of the steady clock. */
  since: number;
  urgency: Urgency;
  /** After so long nobody waits for the answer. */
  uselessAfterMs: number;
  run: () => void;
  drop: () => void;
}

/** Milliseconds of work in one go; timers and the links to other nodes come between. */
const SLICE_MS = 8;

class Queue {
  private items: WorkItem[] = [];
  private head = 0;
  get length(): number {
    return this.items.length - this.head;
  }
  get first(): WorkItem | undefined {
    return this.items[this.head];
  }
  push(t: WorkItem): void {
    this.items.push(t);
  }
  shift(): WorkItem | undefined {
    const t = this.items[this.head];
    if (t === undefined) return undefined;
    this.head++;
    if (this.head > 64 && this.head * 2 > this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return t;
  }
}

export class WorkQueue {
  private readonly queues = [new Queue(), new Queue(), new Queue()] as const;
  private spentMs = 0;
  private scheduled = false;
  /** Dropped unread, for operators. */
  dropped = 0;

  constructor(
    private readonly clock: () => number = () => performance.now(),
    private readonly schedule: (run: () => void) => void = (run) => setImmediate(run),
  ) {}

  get waiting(): number {
    return this.queues.reduce((n, q) => n + q.length, 0);
  }

  /** How long the oldest of the most urgent has waited. */
  get ageMs(): number {
    const first = this.queues[0].first;
    return first === undefined ? 0 : this.clock() - first.since;
  }

  add(t: WorkItem): void {
    if (t.urgency === 'now') return t.run();
    this.queues[t.urgency].push(t);
    // With nothing else to do it is done at once; otherwise in its turn.
    if (this.waiting === 1 && this.spentMs < SLICE_MS) this.work();
    this.ensure();
  }

  private ensure(): void {
    if (this.scheduled || (this.waiting === 0 && this.spentMs === 0)) return;
    this.scheduled = true;
    this.schedule(() => {
      this.scheduled = false;
      this.spentMs = 0;
      this.work();
      // What was spent here counts for this round of the loop; the next begins with the next call.
      this.ensure();
    });
  }

  private work(): void {
    let now = this.clock();
    while (this.spentMs < SLICE_MS) {
      const t = this.queues[0].shift() ?? this.queues[1].shift() ?? this.queues[2].shift();
      if (t === undefined) return;
      if (now - t.since > t.uselessAfterMs) {
        this.dropped++;
        t.drop();
      } else t.run();
      const after = this.clock();
      this.spentMs += Math.max(0, after - now);
      now = after;
    }
  }
}
