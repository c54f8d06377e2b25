// The phase of each task of a job, how many tasks are in each phase, and which waiting task is the next to start.

/** Where a task is, as far as the leader knows. */
export enum TaskPhase {
  /** Waits for a machine. */
  Waiting = 0,
  /** In the queue of a machine, not started. */
  Queued = 1,
  /** Has an assignment: it is on a machine, or may be. */
  Active = 2,
  /** Its result was reported. */
  Done = 3,
  /** May be on a machine that has not sent a heartbeat to this leader yet. */
  Unlocated = 4,
}

/** Phases and counts of a job's tasks. Nothing is allocated when a task changes its phase, but to queue a freed one. */
export class TaskPhases {
  /** The {@link TaskPhase} of each task. */
  readonly byTask: Uint8Array;
  /** Number of tasks in the phase `Waiting`. */
  waiting = 0;
  /** Number of tasks in the phase `Queued`. */
  queued = 0;
  /** Number of tasks in the phase `Unlocated`. */
  unlocated = 0;
  /** Number of tasks in the phase `Done`. */
  done = 0;
  /** Tasks that became free again, the next to start last; some may have been started since. */
  private readonly freed: number[] = [];
  /** Waiting tasks below this index are in `freed`. */
  private nextUnstarted: number;

  constructor(tasks: number, initial: TaskPhase.Waiting | TaskPhase.Unlocated) {
    this.byTask = new Uint8Array(tasks).fill(initial);
    this.nextUnstarted = initial === TaskPhase.Waiting ? 0 : tasks;
    this.count(initial, tasks);
  }

  /** Moves a task to another phase; returns whether the number of waiting tasks has changed. */
  set(index: number, to: TaskPhase): boolean {
    const from = this.byTask[index] as TaskPhase;
    if (from === to) return false;
    this.count(from, -1);
    this.count(to, 1);
    this.byTask[index] = to;
    if (to === TaskPhase.Waiting) this.freed.push(index);
    return from === TaskPhase.Waiting || to === TaskPhase.Waiting;
  }

  /** Index of the next waiting task to start, without taking it; -1 if none waits. */
  nextWaiting(): number {
    while (this.freed.length > 0) {
      const index = this.freed.at(-1)!;
      if (this.byTask[index] === TaskPhase.Waiting) return index;
      this.freed.pop();
    }
    const tasks = this.byTask.length;
    while (this.nextUnstarted < tasks && this.byTask[this.nextUnstarted] !== TaskPhase.Waiting)
      this.nextUnstarted++;
    return this.nextUnstarted < tasks ? this.nextUnstarted : -1;
  }

  private count(phase: TaskPhase, change: number): void {
    if (phase === TaskPhase.Waiting) this.waiting += change;
    else if (phase === TaskPhase.Unlocated) this.unlocated += change;
    else if (phase === TaskPhase.Queued) this.queued += change;
    else if (phase === TaskPhase.Done) this.done += change;
  }
}
