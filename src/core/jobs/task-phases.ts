// Tracks the phase of each task of a job, the number of tasks in each phase, and the next waiting task to
// start.

/** Progress of a task from waiting to done, as far as the leader knows. */
export enum TaskPhase {
  /** Waits for a machine. */
  Waiting = 0,
  /** In the queue of a machine, not started. */
  Queued = 1,
  /** Has an assignment: is on a machine, or may be. */
  Active = 2,
  /** Its result was reported. */
  Done = 3,
  /** May be on a machine that has not sent a heartbeat to this leader yet. */
  Unlocated = 4,
}

/** Phases of a job's tasks. A change of phase allocates nothing, except when a task becomes waiting again. */
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
  /**
   * Stack of tasks that became waiting again; the last one starts next. Some may have left the phase since.
   */
  private readonly waitingAgain: number[] = [];
  /** All waiting tasks below this index are in `waitingAgain`. */
  private nextUnstarted: number;

  constructor(tasks: number, initial: TaskPhase.Waiting | TaskPhase.Unlocated) {
    this.byTask = new Uint8Array(tasks).fill(initial);
    this.nextUnstarted = initial === TaskPhase.Waiting ? 0 : tasks;
    this.addToCount(initial, tasks);
  }

  /** Moves a task to another phase; returns whether the number of waiting tasks has changed. */
  set(index: number, to: TaskPhase): boolean {
    const from = this.byTask[index] as TaskPhase;
    if (from === to) return false;
    this.addToCount(from, -1);
    this.addToCount(to, 1);
    this.byTask[index] = to;
    if (to === TaskPhase.Waiting) this.waitingAgain.push(index);
    return from === TaskPhase.Waiting || to === TaskPhase.Waiting;
  }

  /** Index of the next waiting task to start, whose phase is not changed; -1 if no task waits. */
  nextWaiting(): number {
    while (this.waitingAgain.length > 0) {
      const index = this.waitingAgain.at(-1)!;
      if (this.byTask[index] === TaskPhase.Waiting) return index;
      this.waitingAgain.pop();
    }
    const tasks = this.byTask.length;
    while (this.nextUnstarted < tasks && this.byTask[this.nextUnstarted] !== TaskPhase.Waiting)
      this.nextUnstarted++;
    return this.nextUnstarted < tasks ? this.nextUnstarted : -1;
  }

  private addToCount(phase: TaskPhase, change: number): void {
    if (phase === TaskPhase.Waiting) this.waiting += change;
    else if (phase === TaskPhase.Unlocated) this.unlocated += change;
    else if (phase === TaskPhase.Queued) this.queued += change;
    else if (phase === TaskPhase.Done) this.done += change;
  }
}
