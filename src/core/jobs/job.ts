// A job in memory: its tasks, what of them is where, and how far it has come.
import {
  type Attempt,
  type Instant,
  type JobId,
  LONG_AGO,
  type MachineId,
  type Revision,
  type WallTime,
  type ZoneName,
} from '../../types/index.ts';
import type { JobSpec, JobStatus, Priority } from '../base/model.ts';
import type { FencedWrite } from '../storage/fenced-writer.ts';

export enum TaskPhase {
  Waiting = 0,
  Queued = 1,
  Active = 2,
  Done = 3,
  /** May be on a machine not yet heard under this term. */
  Unlocated = 4,
}

/** A task on a machine, as far as is known or cannot be ruled out. */
export interface TaskAssignment {
  job: Job;
  index: number;
  attempt: Attempt;
  machine: MachineId;
  state: 'sent' | 'fetching' | 'waiting' | 'running' | 'saving';
  /** The report that the start command answered; only a later one can tell that it was not executed. */
  sentSeq: number;
  sentAt: Instant;
  runningAt: Instant | null;
  stopping: { graceS: number } | null;
  /** The last report that listed it, and whether it has left its machine; for machines.ts. */
  seenSeq?: number;
  isGone?: boolean;
}

export class Job {
  readonly phases: Uint8Array;
  readonly done: Uint8Array;
  doneCount = 0;
  runningTasks = 0;
  cancelled = false;
  /** Its user has asked to cancel it, and the mark is not known to be on record yet. */
  cancelRequested = false;
  /** A write to the job's record is under way. */
  isWritingRecord = false;
  /** The write that cancels or ends it, while its outcome is open; see `unsure`. */
  terminalWrite: Pick<FencedWrite, 'progress'> | null = null;
  /** Its final state is on record. */
  isOver = false;
  /** Tasks that exist on machines or may: index to entry. */
  readonly assignments = new Map<number, TaskAssignment>();
  /**
   * Further entries of tasks that have one already. Held-back reports list tasks that have since been given up
   * and started elsewhere; such an entry must never stand in for the real one, nor free the task when it goes.
   */
  private extra: TaskAssignment[] = [];
  /** Tasks that became free again, next to start. */
  private readonly again: number[] = [];
  private next = 0;
  waitingTasks = 0;
  unlocatedTasks = 0;
  /** Accepted under an earlier term, and not every machine that may hold its tasks has been heard: see `dropEntry`. */
  mayHaveUnlocatedTasks: boolean;
  queuedTasks = 0;
  /** Zones of its tasks on machines and in queues, with their number. */
  readonly zones = new Map<ZoneName, number>();
  /** Results on record, which their machines may now forget. */
  private recordedBits: Uint8Array | null = null;
  /** Where a job with waiting tasks puts itself down; see Jobs.waiting. */
  private readonly waitingJobs: Set<Job> | null;
  /** Failures in a row without a success, and where. */
  failures = 0;
  readonly failedOn = new Set<MachineId>();
  retryAt: Instant = LONG_AGO;
  /** The attempt that the parts of a gang share, and whether it has begun to run. */
  gangAttempt: Attempt | null = null;
  gangHasRun = false;
  afterEnd: (() => void)[] = [];
  /** It awaits jobs that are not known to be done on record: nothing of it may start, and it counts nowhere. */
  isBlocked: boolean;
  /** Those jobs; see dependencies.ts. */
  readonly unmetDependencies = new Set<JobId>();
  /** From when its waits count: when the last job that it needs was done, else its acceptance. */
  readyWall: WallTime;
  readyAt: Instant;
  /** Its own priority, or the highest of the jobs that need it. */
  priority: Priority;
  /** Wall time by which it must be done for the jobs that need it to meet their deadlines. */
  inheritedDeadline = Number.POSITIVE_INFINITY;
  /** Seconds until it should start, as of the last pass that ranked it. */
  slackS: number | null = null;
  /** Further values of its record. */
  dependencyParts = 0;

  constructor(
    readonly spec: JobSpec,
    public revision: Revision,
    readonly acceptedAt: WallTime,
    readonly seenAt: Instant,
    unlocated: boolean,
    waitingJobs: Set<Job> | null = null,
  ) {
    this.waitingJobs = waitingJobs;
    this.isBlocked = (spec.dependsOn ?? []).length > 0;
    this.readyWall = acceptedAt;
    this.readyAt = seenAt;
    this.priority = spec.priority;
    this.phases = new Uint8Array(spec.tasks).fill(unlocated ? TaskPhase.Unlocated : TaskPhase.Waiting);
    this.done = new Uint8Array(Math.ceil(spec.tasks / 8));
    this.mayHaveUnlocatedTasks = unlocated;
    if (unlocated) {
      this.unlocatedTasks = spec.tasks;
      this.next = spec.tasks;
    } else this.count(TaskPhase.Waiting, spec.tasks);
  }

  get id(): JobId {
    return this.spec.id;
  }
  get assignedTasks(): number {
    return this.assignments.size;
  }
  get remainingTasks(): number {
    return this.spec.tasks - this.doneCount;
  }

  /** Next task to place, without taking it; -1 if none. */
  nextWaitingTask(): number {
    while (this.again.length > 0) {
      const i = this.again.at(-1)!;
      if (this.phases[i] === TaskPhase.Waiting) return i;
      this.again.pop();
    }
    while (this.next < this.spec.tasks && this.phases[this.next] !== TaskPhase.Waiting) this.next++;
    return this.next < this.spec.tasks ? this.next : -1;
  }

  setPhase(index: number, to: TaskPhase): void {
    const from = this.phases[index] as TaskPhase;
    if (from === to) return;
    this.count(from, -1);
    this.count(to, 1);
    this.phases[index] = to;
    if (to === TaskPhase.Waiting) this.again.push(index);
  }

  private count(s: TaskPhase, by: number): void {
    if (s === TaskPhase.Waiting) {
      this.waitingTasks += by;
      if (this.waitingTasks > 0 && !this.isOver && !this.isBlocked) this.waitingJobs?.add(this);
      else this.waitingJobs?.delete(this);
    } else if (s === TaskPhase.Unlocated) this.unlocatedTasks += by;
    else if (s === TaskPhase.Queued) this.queuedTasks += by;
    else if (s === TaskPhase.Done) this.doneCount += by;
  }

  /** Whether it awaited others, or others with a deadline await it. */
  get isInDependencyChain(): boolean {
    return Number.isFinite(this.inheritedDeadline) || (this.spec.dependsOn ?? []).length > 0;
  }

  /** All that it awaits is done on record. */
  unblock(now: Instant): void {
    this.isBlocked = false;
    this.readyAt = now;
    if (this.waitingTasks > 0 && !this.isOver) this.waitingJobs?.add(this);
  }

  /** Tasks that wait for a place, or for one that is taken to come free. */
  get unplacedTasks(): number {
    return this.isBlocked ? 0 : this.waitingTasks + this.queuedTasks;
  }

  addAssignment(e: TaskAssignment): void {
    if (this.assignments.has(e.index)) this.extra.push(e);
    else this.assignments.set(e.index, e);
    if (this.phases[e.index] !== TaskPhase.Done) this.setPhase(e.index, TaskPhase.Active);
  }

  /**
   * The task is free again only when its last entry goes. One that was read from an old report, kept back until a new
   * owner heard it, proves nothing when it goes: the task may have gone elsewhere long before, to a machine that this
   * owner has not heard. `certain`: it was on that machine under this term.
   */
  removeAssignment(e: TaskAssignment, certain: boolean): void {
    if (this.assignments.get(e.index) !== e) {
      this.extra = this.extra.filter((x) => x !== e);
      return;
    }
    const other = this.extra.find((x) => x.index === e.index);
    if (other !== undefined) {
      this.extra = this.extra.filter((x) => x !== other);
      this.assignments.set(e.index, other);
      return;
    }
    this.assignments.delete(e.index);
    if (this.phases[e.index] === TaskPhase.Active)
      this.setPhase(
        e.index,
        this.mayHaveUnlocatedTasks && !certain ? TaskPhase.Unlocated : TaskPhase.Waiting,
      );
  }

  /** Every machine that may hold its tasks has been heard: a task on none of them is on none at all. */
  resolveUnlocated(): void {
    if (!this.mayHaveUnlocatedTasks) return;
    this.mayHaveUnlocatedTasks = false;
    for (let i = 0; i < this.spec.tasks; i++)
      if (this.phases[i] === TaskPhase.Unlocated) this.setPhase(i, TaskPhase.Waiting);
  }

  isDone(index: number): boolean {
    return ((this.done[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  setDone(index: number): boolean {
    if (this.isDone(index)) return false;
    this.done[index >> 3] = (this.done[index >> 3] ?? 0) | (1 << (index & 7));
    this.setPhase(index, TaskPhase.Done);
    return true;
  }

  /** From the record: bytes of the bitmap from the task `from` on. */
  restoreDoneBits(from: number, bytes: Uint8Array): void {
    this.markRecorded(from, bytes);
    for (let i = 0; i < bytes.length * 8; i++)
      if (from + i < this.spec.tasks && (bytes[i >> 3]! & (1 << (i & 7))) !== 0) this.setDone(from + i);
  }

  markRecorded(from: number, bytes: Uint8Array): void {
    this.recordedBits ??= new Uint8Array(this.done.length);
    const at = from >> 3;
    for (let i = 0; i < bytes.length && at + i < this.recordedBits.length; i++)
      this.recordedBits[at + i] = this.recordedBits[at + i]! | bytes[i]!;
  }

  isRecorded(index: number): boolean {
    return this.recordedBits !== null && (this.recordedBits[index >> 3]! & (1 << (index & 7))) !== 0;
  }

  countInZone(zone: ZoneName, by: 1 | -1): void {
    const n = (this.zones.get(zone) ?? 0) + by;
    if (n > 0) this.zones.set(zone, n);
    else this.zones.delete(zone);
  }

  /** Nobody has any use for what its tasks do: cancelled on record, or asked to be. */
  get isCancelling(): boolean {
    return this.cancelled || this.cancelRequested;
  }

  /**
   * Its cancellation or its end may stand on record without this owner knowing: whoever reads the record may have
   * told it to its user, who must not be given an older answer here.
   */
  get mayHaveEnded(): boolean {
    return this.terminalWrite !== null && this.terminalWrite.progress !== 'waiting';
  }

  status(): JobStatus {
    if (this.cancelled) return 'cancelled';
    return this.runningTasks > 0 ? 'running' : 'queued';
  }
}
