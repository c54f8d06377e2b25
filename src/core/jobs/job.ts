// An open job in memory: the phase of each task, its assignments to machines, and how far the job has come.
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
import { hasBit, TaskBitmap } from './task-bitmap.ts';
import { TaskPhase, TaskPhases } from './task-phases.ts';

export { TaskPhase } from './task-phases.ts';

/** A task on a machine, as far as is known or cannot be ruled out. */
export interface TaskAssignment {
  job: Job;
  index: number;
  attempt: Attempt;
  machine: MachineId;
  state: 'sent' | 'fetching' | 'waiting' | 'running' | 'saving';
  /**
   * Number of the heartbeat that the start command answered; only a later one can show that it was not
   * executed.
   */
  sentSeq: number;
  sentAt: Instant;
  runningAt: Instant | null;
  /** The stop command to send with each response; null while the task is to go on. */
  stopping: { graceS: number } | null;
  /** Number of the last heartbeat that listed it; kept by the task reconciler. */
  seenSeq?: number;
  /** It has left its machine; kept by the machine table. */
  isGone?: boolean;
}

/** What a {@link Job} begins with. */
export interface JobInit {
  spec: JobSpec;
  /** Revision of the job's record, the condition of the next write to it. */
  revision: Revision;
  acceptedAt: WallTime;
  /** When this controller first saw the job. */
  seenAt: Instant;
  /** Any of its tasks may be on a machine that has not sent a heartbeat to this leader yet. */
  mayHaveUnlocatedTasks: boolean;
  /** Where a job keeps itself listed while it has waiting tasks; see `JobTable.waitingJobs`. */
  waitingJobs?: Set<Job> | null;
}

/** A job whose final state is not stored yet. */
export class Job {
  private readonly taskPhases: TaskPhases;
  /** Tasks whose results were reported. */
  private readonly doneTasks: TaskBitmap;
  /**
   * Of these the ones whose results are stored, so that their machines may forget them; null while there are
   * none.
   */
  private recordedTasks: TaskBitmap | null = null;
  /** Number of tasks that run on their machines. */
  runningTasks = 0;

  /** Its cancellation is stored, or follows from that of a job that it depends on. */
  cancelled = false;
  /** Its user has asked to cancel it; whether that is stored is not known yet. */
  cancelRequested = false;
  /** A write to the job's record is under way, or a read after which it may be written again. */
  isWritingRecord = false;
  /** The write that cancels or ends it, while its outcome is open; see `mayHaveEnded`. */
  terminalWrite: Pick<FencedWrite, 'progress'> | null = null;
  /** Its final state is stored. */
  isOver = false;
  /** Callbacks to run once when the write to the job's record has ended, whatever its result. */
  afterEnd: (() => void)[] = [];

  /** Tasks that are on machines or may be, by index. */
  readonly assignments = new Map<number, TaskAssignment>();
  /**
   * Further assignments of tasks that have one already. Delayed heartbeats list tasks that have been given up
   * since and started elsewhere; such an assignment must never replace the real one, nor free the task when
   * it is removed.
   */
  private duplicateAssignments: TaskAssignment[] = [];
  /**
   * Accepted under an earlier term, and not every machine that may run its tasks has sent a heartbeat since.
   */
  mayHaveUnlocatedTasks: boolean;
  /** Number of its tasks on machines and in queues, by zone. */
  readonly zones = new Map<ZoneName, number>();

  /** Number of failures since the last success. */
  failures = 0;
  /** The machines where they happened. */
  readonly failedOn = new Set<MachineId>();
  /** No task is started before this. */
  retryAt: Instant = LONG_AGO;
  /** The attempt that the tasks of a gang share; null while none of them is assigned. */
  gangAttempt: Attempt | null = null;
  /** Whether that attempt has begun to run. */
  gangHasRun = false;

  /**
   * It depends on jobs that are not known to be done: none of its tasks may start, and they count as no
   * demand.
   */
  isBlocked: boolean;
  /** Those jobs; kept by {@link Dependencies}. */
  readonly unmetDependencies = new Set<JobId>();
  /** When its waiting began: when the last job that it depends on was done, else its acceptance. */
  readyWall: WallTime;
  /** The same by this controller's monotonic clock, as far as it has seen it. */
  readyAt: Instant;
  /** Its own priority, or the highest of the jobs that depend on it. */
  priority: Priority;
  /**
   * Wall time in milliseconds by which it must be done for the jobs that depend on it to meet their
   * deadlines.
   */
  inheritedDeadline = Number.POSITIVE_INFINITY;
  /** Seconds until it should start, as of the last scheduling cycle that ranked it. */
  slackS: number | null = null;
  /** Number of further values of its record, which hold dependencies. */
  dependencyParts = 0;
  readonly spec: JobSpec;
  /** Revision of the job's record, the condition of the next write to it. */
  revision: Revision;
  readonly acceptedAt: WallTime;
  /** When this controller first saw the job. */
  readonly seenAt: Instant;
  private readonly waitingJobs: Set<Job> | null;

  constructor(init: JobInit) {
    this.spec = init.spec;
    this.revision = init.revision;
    this.acceptedAt = init.acceptedAt;
    this.seenAt = init.seenAt;
    this.waitingJobs = init.waitingJobs ?? null;
    const { spec, acceptedAt, seenAt, mayHaveUnlocatedTasks } = init;
    this.isBlocked = (spec.dependsOn ?? []).length > 0;
    this.readyWall = acceptedAt;
    this.readyAt = seenAt;
    this.priority = spec.priority;
    this.mayHaveUnlocatedTasks = mayHaveUnlocatedTasks;
    this.doneTasks = new TaskBitmap(spec.tasks);
    const phase = mayHaveUnlocatedTasks ? TaskPhase.Unlocated : TaskPhase.Waiting;
    this.taskPhases = new TaskPhases(spec.tasks, phase);
    this.updateWaitingJobs();
  }

  /** The job's id. */
  get id(): JobId {
    return this.spec.id;
  }

  /** Number of tasks with an assignment. */
  get assignedTasks(): number {
    return this.assignments.size;
  }

  /** Number of tasks that are not done. */
  get remainingTasks(): number {
    return this.spec.tasks - this.doneCount;
  }

  // ---- phases of tasks

  /** The {@link TaskPhase} of each task. */
  get phases(): Uint8Array {
    return this.taskPhases.byTask;
  }

  /** Number of tasks that wait for a machine. */
  get waitingTasks(): number {
    return this.taskPhases.waiting;
  }

  /** Number of tasks in queues of machines. */
  get queuedTasks(): number {
    return this.taskPhases.queued;
  }

  /** Number of tasks that may be on machines that have not sent a heartbeat to this leader yet. */
  get unlocatedTasks(): number {
    return this.taskPhases.unlocated;
  }

  /** Number of tasks whose results were reported. */
  get doneCount(): number {
    return this.taskPhases.done;
  }

  /** Index of the next task to place, without taking it; -1 if none waits. */
  nextWaitingTask(): number {
    return this.taskPhases.nextWaiting();
  }

  /** Moves a task to a phase, and keeps `waitingJobs` in step. */
  setPhase(index: number, to: TaskPhase): void {
    if (this.taskPhases.set(index, to)) this.updateWaitingJobs();
  }

  private updateWaitingJobs(): void {
    if (this.waitingTasks > 0 && !this.isOver && !this.isBlocked) this.waitingJobs?.add(this);
    else this.waitingJobs?.delete(this);
  }

  /** Number of tasks that wait for a machine, or in a machine's queue. */
  get unplacedTasks(): number {
    return this.isBlocked ? 0 : this.waitingTasks + this.queuedTasks;
  }

  /** Every machine that may run its tasks has sent a heartbeat: a task that none of them listed waits. */
  resolveUnlocated(): void {
    if (!this.mayHaveUnlocatedTasks) return;
    this.mayHaveUnlocatedTasks = false;
    for (let index = 0; index < this.spec.tasks; index++)
      if (this.phases[index] === TaskPhase.Unlocated) this.setPhase(index, TaskPhase.Waiting);
  }

  // ---- dependencies

  /** Whether it depends on others, or others with a deadline depend on it. */
  get isInDependencyChain(): boolean {
    return Number.isFinite(this.inheritedDeadline) || (this.spec.dependsOn ?? []).length > 0;
  }

  /** All that it depends on is done: its tasks may start. */
  unblock(now: Instant): void {
    this.isBlocked = false;
    this.readyAt = now;
    if (this.waitingTasks > 0 && !this.isOver) this.waitingJobs?.add(this);
  }

  // ---- assignments

  /** A task is on a machine, or may be. The first assignment of a task stands until it is removed. */
  addAssignment(assignment: TaskAssignment): void {
    const { index } = assignment;
    if (this.assignments.has(index)) this.duplicateAssignments.push(assignment);
    else this.assignments.set(index, assignment);
    if (this.phases[index] !== TaskPhase.Done) this.setPhase(index, TaskPhase.Active);
  }

  /**
   * A task is not on the machine of the assignment any more. It is free again only when its last assignment
   * is removed. `certain`: it was on that machine under this term. Otherwise the assignment may stem from an
   * old heartbeat that was delayed until a new leader read it, and its removal proves nothing: the task may
   * have been started long before on another machine, of which this leader has had no heartbeat.
   */
  removeAssignment(assignment: TaskAssignment, certain: boolean): void {
    const { index } = assignment;
    if (this.assignments.get(index) !== assignment) {
      this.removeDuplicate(assignment);
      return;
    }
    const duplicate = this.duplicateAssignments.find((other) => other.index === index);
    if (duplicate !== undefined) {
      this.removeDuplicate(duplicate);
      this.assignments.set(index, duplicate);
      return;
    }
    this.assignments.delete(index);
    if (this.phases[index] !== TaskPhase.Active) return;
    const mayBeElsewhere = this.mayHaveUnlocatedTasks && !certain;
    this.setPhase(index, mayBeElsewhere ? TaskPhase.Unlocated : TaskPhase.Waiting);
  }

  private removeDuplicate(duplicate: TaskAssignment): void {
    this.duplicateAssignments = this.duplicateAssignments.filter((other) => other !== duplicate);
  }

  /** One of its tasks has come to a machine or queue in the zone, or left it. */
  countInZone(zone: ZoneName, change: 1 | -1): void {
    const tasks = (this.zones.get(zone) ?? 0) + change;
    if (tasks > 0) this.zones.set(zone, tasks);
    else this.zones.delete(zone);
  }

  // ---- done tasks

  /** Whether the task's result was reported. */
  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /** The task's result was reported; false if it had been before. */
  setDone(index: number): boolean {
    if (this.doneTasks.has(index)) return false;
    this.doneTasks.add(index);
    this.setPhase(index, TaskPhase.Done);
    return true;
  }

  /** Bitmap of the done tasks from the index `from` up to, not including, `end`; both are multiples of 8. */
  doneBits(from: number, end: number): Uint8Array {
    return this.doneTasks.bytes.subarray(from / 8, end / 8);
  }

  /** Takes over a stored part of the bitmap of done tasks that begins at the task `from`. */
  restoreDoneBits(from: number, part: Uint8Array): void {
    this.markRecorded(from, part);
    const end = Math.min(part.length * 8, this.spec.tasks - from);
    for (let i = 0; i < end; i++) if (hasBit(part, i)) this.setDone(from + i);
  }

  /** This part of the bitmap of done tasks is stored. */
  markRecorded(from: number, part: Uint8Array): void {
    this.recordedTasks ??= new TaskBitmap(this.spec.tasks);
    this.recordedTasks.addAll(from, part);
  }

  /** Whether the task's result is stored. */
  isRecorded(index: number): boolean {
    return this.recordedTasks?.has(index) ?? false;
  }

  // ---- status

  /** Nobody needs the results of its tasks any more: it is cancelled, or its user has asked for that. */
  get isCancelling(): boolean {
    return this.cancelled || this.cancelRequested;
  }

  /**
   * Its cancellation or its final state may be stored without this leader knowing it. Another controller may
   * have read it and told the job's user, who must not be given an older status here.
   */
  get mayHaveEnded(): boolean {
    return this.terminalWrite !== null && this.terminalWrite.progress !== 'waiting';
  }

  /** What a user is told of the job while it is open. */
  status(): JobStatus {
    if (this.cancelled) return 'cancelled';
    return this.runningTasks > 0 ? 'running' : 'queued';
  }
}
