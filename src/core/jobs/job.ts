// In-memory state of an open job: phases of its tasks, their assignments to machines, results and
// dependencies.
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
import type { Uint64 } from '../../types/uint64.ts';
import type { JobSpec, JobStatus, Priority } from '../base/model.ts';
import type { FencedWrite } from '../storage/fenced-writer.ts';
import { FailureHistory } from './failure-history.ts';
import { hasBit, TaskBitmap } from './task-bitmap.ts';
import { TaskPhase, TaskPhases } from './task-phases.ts';

export { TaskPhase } from './task-phases.ts';

/** Assignment of a task to a machine, where it is known to be or cannot be ruled out to be. */
export interface TaskAssignment {
  job: Job;
  index: number;
  attempt: Attempt;
  machine: MachineId;
  state: 'sent' | 'fetching' | 'waiting' | 'running' | 'saving';
  /**
   * Sequence number of the heartbeat to which the start command was a response. Only a later heartbeat can
   * show that the command was not executed.
   */
  sentSeq: Uint64;
  sentAt: Instant;
  runningAt: Instant | null;
  /** The stop command to include in each response to the machine; null if the task is not to be stopped. */
  stopping: { graceS: number } | null;
  /** Sequence number of the last heartbeat that listed the task; set by the task reconciler. */
  seenSeq?: Uint64;
  /** The task is not on the machine any more; set by the machine table. */
  isGone?: boolean;
}

/** Initial values of a {@link Job}. */
export interface JobInit {
  spec: JobSpec;
  /** Revision of the job's record, the condition of the next write to it. */
  revision: Revision;
  acceptedAt: WallTime;
  /** When this controller first saw the job. */
  seenAt: Instant;
  /** Whether tasks of the job may be on machines that have not sent a heartbeat to this leader yet. */
  mayHaveUnlocatedTasks: boolean;
  /** The set that the job is in as long as it has waiting tasks; see `JobTable.waitingJobs`. */
  waitingJobs?: Set<Job> | null;
}

/** A job whose final state is not stored yet. */
export class Job {
  private readonly taskPhases: TaskPhases;
  /** Tasks whose results were reported. */
  private readonly doneTasks: TaskBitmap;
  /** Tasks whose results are stored, so that machines may discard them; null as long as there are none. */
  private recordedTasks: TaskBitmap | null = null;
  /** Number of tasks that run on their machines. */
  runningTasks = 0;

  /** The job's cancellation, or that of a direct or indirect dependency, is stored. */
  cancelled = false;
  /** The user has requested the job's cancellation, which is not known to be stored yet. */
  cancelRequested = false;
  /** A write to the job's record is in progress, or a read of its revision after a conflict. */
  isWritingRecord = false;
  /** The write that cancels or ends the job, until its outcome is known; see `mayHaveEnded`. */
  terminalWrite: Pick<FencedWrite, 'progress'> | null = null;
  /** The job's final state is stored. */
  isOver = false;
  /** Callbacks to run once when the current write to the job's record has ended, whatever its result. */
  afterWriteCallbacks: (() => void)[] = [];

  /** Assignments of tasks that are on machines, or may be, by task index. */
  readonly assignments = new Map<number, TaskAssignment>();
  /**
   * Further assignments of tasks that already have one. A delayed heartbeat may list a task that has since
   * been given up on that machine and started on another; such an assignment must never replace the real
   * one, nor make the task wait again when it is removed.
   */
  private duplicateAssignments: TaskAssignment[] = [];
  /**
   * The job was accepted under an earlier term, and some machine that may run its tasks has not sent a
   * heartbeat to this leader yet.
   */
  mayHaveUnlocatedTasks: boolean;
  /** Number of the job's tasks on machines and in machines' queues, by zone. */
  readonly tasksByZone = new Map<ZoneName, number>();

  readonly failures = new FailureHistory();
  /** No task is started before this time. */
  retryAt: Instant = LONG_AGO;
  /** The attempt number that all tasks of a gang share; null while none of them is assigned. */
  gangAttempt: Attempt | null = null;
  /** Whether any task of the gang has run in that attempt. */
  gangHasRun = false;

  /**
   * The job has dependencies that are not known to be done: none of its tasks may start, and they do not
   * count as demand for machines.
   */
  isBlocked: boolean;
  /** Dependencies that are not known to be done; maintained by {@link Dependencies}. */
  readonly unmetDependencies = new Set<JobId>();
  /** Wall time since which the job waits: when its last dependency was done, or its acceptance. */
  readyWallTime: WallTime;
  /** The monotonic time since which the job waits, but not before this controller first saw it. */
  readyAt: Instant;
  /** The highest priority among the job itself and its direct and indirect dependents. */
  priority: Priority;
  /**
   * Wall time in milliseconds by which the job must be done for its dependents to meet their deadlines;
   * infinite if none of them has a deadline.
   */
  inheritedDeadline = Number.POSITIVE_INFINITY;
  /** Seconds until the job should start, as of the last scheduling cycle that ranked it. */
  slackS: number | null = null;
  /**
   * Number of further values of the job's record, which hold the dependencies that the first has no space
   * for.
   */
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
    this.readyWallTime = acceptedAt;
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

  /** Index of the next task to place, whose phase is not changed; -1 if no task waits. */
  nextWaitingTask(): number {
    return this.taskPhases.nextWaiting();
  }

  /** Moves a task to a phase, and updates the job's membership in `waitingJobs`. */
  setPhase(index: number, to: TaskPhase): void {
    if (this.taskPhases.set(index, to)) this.updateWaitingJobs();
  }

  private updateWaitingJobs(): void {
    if (this.waitingTasks > 0 && !this.isOver && !this.isBlocked) this.waitingJobs?.add(this);
    else this.waitingJobs?.delete(this);
  }

  /** Number of tasks that wait for a machine or in a machine's queue; 0 for a blocked job. */
  get unplacedTasks(): number {
    return this.isBlocked ? 0 : this.waitingTasks + this.queuedTasks;
  }

  /**
   * Called when every machine that may run tasks of the job has sent a heartbeat: tasks that none of them has
   * listed wait for a machine.
   */
  resolveUnlocated(): void {
    if (!this.mayHaveUnlocatedTasks) return;
    this.mayHaveUnlocatedTasks = false;
    for (let index = 0; index < this.spec.tasks; index++)
      if (this.phases[index] === TaskPhase.Unlocated) this.setPhase(index, TaskPhase.Waiting);
  }

  // ---- dependencies

  /** Whether the job has dependencies, or dependents with a deadline. */
  get isInDependencyChain(): boolean {
    return Number.isFinite(this.inheritedDeadline) || (this.spec.dependsOn ?? []).length > 0;
  }

  /** Called when all dependencies of the job are done: its tasks may start. */
  unblock(now: Instant): void {
    this.isBlocked = false;
    this.readyAt = now;
    if (this.waitingTasks > 0 && !this.isOver) this.waitingJobs?.add(this);
  }

  // ---- assignments

  /** Adds an assignment. If the task already has one, that one stays until it is removed. */
  addAssignment(assignment: TaskAssignment): void {
    const { index } = assignment;
    if (this.assignments.has(index)) this.duplicateAssignments.push(assignment);
    else this.assignments.set(index, assignment);
    if (this.phases[index] !== TaskPhase.Done) this.setPhase(index, TaskPhase.Active);
  }

  /**
   * Called when a task is not on the machine of the assignment any more. The task waits again only when its
   * last assignment is removed.
   * @param wasOnMachine whether the task is known to have been on that machine under this term. Otherwise
   * the assignment may stem from an old heartbeat that was delayed until a new leader read it. Its removal
   * does not show that the task is on no machine: it may have been started long ago on another machine,
   * which has not sent a heartbeat to this leader yet.
   */
  removeAssignment(assignment: TaskAssignment, wasOnMachine: boolean): void {
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
    const mayBeOnOtherMachine = this.mayHaveUnlocatedTasks && !wasOnMachine;
    this.setPhase(index, mayBeOnOtherMachine ? TaskPhase.Unlocated : TaskPhase.Waiting);
  }

  private removeDuplicate(duplicate: TaskAssignment): void {
    this.duplicateAssignments = this.duplicateAssignments.filter((other) => other !== duplicate);
  }

  /** Counts a task that was added to a machine or queue in the zone (1), or removed from it (-1). */
  countInZone(zone: ZoneName, change: 1 | -1): void {
    const taskCount = (this.tasksByZone.get(zone) ?? 0) + change;
    if (taskCount > 0) this.tasksByZone.set(zone, taskCount);
    else this.tasksByZone.delete(zone);
  }

  // ---- done tasks

  /** Whether the task's result was reported. */
  isDone(index: number): boolean {
    return this.doneTasks.has(index);
  }

  /** Marks the task as done; returns false if it already was. */
  setDone(index: number): boolean {
    if (this.doneTasks.has(index)) return false;
    this.doneTasks.add(index);
    this.setPhase(index, TaskPhase.Done);
    return true;
  }

  /** Bitmap of the done tasks from `firstTask` up to, not including, `endTask`; both are multiples of 8. */
  doneBits(firstTask: number, endTask: number): Uint8Array {
    return this.doneTasks.bytes.subarray(firstTask / 8, endTask / 8);
  }

  /**
   * Marks the tasks of a stored bitmap segment as done and recorded; its first bit stands for `firstTask`.
   */
  restoreDoneBits(firstTask: number, segment: Uint8Array): void {
    this.markRecorded(firstTask, segment);
    const bitCount = Math.min(segment.length * 8, this.spec.tasks - firstTask);
    for (let bit = 0; bit < bitCount; bit++) if (hasBit(segment, bit)) this.setDone(firstTask + bit);
  }

  /** Called when a segment of the bitmap of done tasks, beginning at `firstTask`, is stored. */
  markRecorded(firstTask: number, segment: Uint8Array): void {
    this.recordedTasks ??= new TaskBitmap(this.spec.tasks);
    this.recordedTasks.addAll(firstTask, segment);
  }

  /** Whether the task's result is stored. */
  isRecorded(index: number): boolean {
    return this.recordedTasks?.has(index) ?? false;
  }

  // ---- status

  /**
   * Whether the job is cancelled or its user has requested that: results of its tasks are not needed any
   * more.
   */
  get isCancelling(): boolean {
    return this.cancelled || this.cancelRequested;
  }

  /**
   * Whether the job's cancellation or final state may be stored although this leader has had no reply to the
   * write. Another controller may have read it and responded to the job's user, who must not get an older
   * status from this leader.
   */
  get mayHaveEnded(): boolean {
    return this.terminalWrite !== null && this.terminalWrite.progress !== 'waiting';
  }

  /** The status that responses to users report while the job is open. */
  status(): JobStatus {
    if (this.cancelled) return 'cancelled';
    return this.runningTasks > 0 ? 'running' : 'queued';
  }
}
