// Reconciles a machine's task list with the leader's state: updates its assignments, records which tasks have
// exited and why, and applies the consequences to their jobs and to the machine.
import { addMs, parseTaskId, taskId } from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import type { ControllerIo } from '../base/io.ts';
import type { TaskStatus } from '../base/model.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { CapacityIndex } from './capacity-index.ts';
import type { Machine } from './machine.ts';
import type { MachineAssignments } from './machine-assignments.ts';
import { CordonReason, type MachineStateUpdater } from './machine-state-updater.ts';
import { assignmentKey, type ExitedTask } from './machine-tasks.ts';

/** Consecutive task failures after which a machine counts as faulty. */
const FAULTY_MACHINE_FAILURES = 3;

/** A listed task with its reconciliation result; if the same object is listed again, no lookup is needed. */
export interface ListedTask extends TaskStatus {
  /**
   * The reconciler that set the fields below. They are valid only in its term, because the reconciler of
   * another term has other assignments.
   */
  reconciledBy?: TaskReconciler;
  assignment?: TaskAssignment;
  exitedTask?: ExitedTask;
}

/** Is notified when tasks start and complete. */
export interface TaskListener {
  /** Called when the task has begun to run. */
  onTaskStarted(assignment: TaskAssignment): void;
  /** Called when the task has completed successfully. */
  onTaskCompleted(assignment: TaskAssignment): void;
}

/** Dependencies of {@link TaskReconciler}. */
export interface TaskReconcilerDependencies {
  io: ControllerIo;
  jobs: JobTable;
  capacityIndex: CapacityIndex;
  assignments: MachineAssignments;
  updater: MachineStateUpdater;
  listener: TaskListener;
}

/** Reconciles the task lists of heartbeats during one term. */
export class TaskReconciler {
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly capacityIndex: CapacityIndex;
  private readonly assignments: MachineAssignments;
  private readonly updater: MachineStateUpdater;
  private readonly listener: TaskListener;

  constructor(dependencies: TaskReconcilerDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.capacityIndex = dependencies.capacityIndex;
    this.assignments = dependencies.assignments;
    this.updater = dependencies.updater;
    this.listener = dependencies.listener;
  }

  /** Reconciles the task list of the heartbeat with the sequence number `seq`. */
  reconcile(machine: Machine, tasks: readonly ListedTask[], seq: Uint64): void {
    machine.orphans = [];
    for (const listed of tasks) this.reconcileTask(machine, listed, seq);
    this.unassignUnlisted(machine, seq);
    machine.exitedTasks.removeUnlisted(seq);
    // A task whose start command was sent after this heartbeat is not in the list; the next list shows
    // whether it has started.
    machine.isTaskListSettled =
      machine.exitedTasks.size === 0 &&
      machine.orphans.length === 0 &&
      machine.assignments.size === tasks.length;
  }

  private reconcileTask(machine: Machine, listed: ListedTask, seq: Uint64): void {
    // Already reconciled in this term and not removed since: it only has to be marked as listed.
    const tracked = listed.reconciledBy === this ? (listed.assignment ?? listed.exitedTask) : undefined;
    if (tracked !== undefined && tracked.isGone !== true) {
      tracked.seenSeq = seq;
      return;
    }
    const key = assignmentKey(listed.task, listed.attempt);
    if (listed.state === 'exited') this.onExited(machine, key, listed, seq);
    else this.onPresent(machine, key, listed, listed.state, seq);
  }

  /**
   * Unassigns the tasks that the machine does not list. A response answers exactly one heartbeat, so if a
   * later heartbeat does not list a task that the response started, it was not started or is no longer on the
   * machine.
   */
  private unassignUnlisted(machine: Machine, seq: Uint64): void {
    for (const [key, assignment] of machine.assignments) {
      if (assignment.seenSeq === seq || assignment.sentSeq >= seq) continue;
      this.io.log('info', 'task not on its machine', {
        machine: machine.id,
        task: key,
        state: assignment.state,
      });
      this.assignments.unassign(machine, assignment);
    }
  }

  private onPresent(
    machine: Machine,
    key: string,
    listed: ListedTask,
    state: Exclude<TaskStatus['state'], 'exited'>,
    seq: Uint64,
  ): void {
    const assignment = machine.assignments.get(key) ?? this.adoptTask(machine, listed);
    if (assignment === null) return;
    listed.reconciledBy = this;
    listed.assignment = assignment;
    assignment.seenSeq = seq;
    if (state !== 'fetching') this.recordImage(machine, assignment.job);
    if (state === 'running' && assignment.runningAt === null) this.onRunning(assignment);
    assignment.state = state;
  }

  /** Creates the assignment of a listed task that has none in this term; null if the task is an orphan. */
  private adoptTask(machine: Machine, { task, attempt }: TaskStatus): TaskAssignment | null {
    const { job: jobId, index } = parseTaskId(task);
    const job = this.jobs.openJobs.get(jobId);
    if (job === undefined || index >= job.spec.tasks) {
      machine.orphans.push({ task, attempt });
      return null;
    }
    this.assignments.removeFromQueue(job, index);
    const assignment = this.assignments.assign(machine, job, index, attempt, -1);
    if (job.spec.kind === 'gang') job.gangAttempt ??= attempt;
    return assignment;
  }

  private onRunning(assignment: TaskAssignment): void {
    const { job } = assignment;
    assignment.runningAt = this.io.now;
    job.runningTasks++;
    if (job.spec.kind === 'gang') job.gangHasRun = true;
    this.listener.onTaskStarted(assignment);
  }

  /**
   * Records that the job's image is in the machine's cache, and removes the least recently used images until
   * the others fit into the cache.
   */
  private recordImage(machine: Machine, job: Job): void {
    const { image, imageGb } = job.spec;
    if (machine.lastImage === image) return;
    machine.lastImage = image;
    machine.images.delete(image);
    machine.images.set(image, imageGb);
    this.capacityIndex.addImage(machine, image);
    let totalGb = 0;
    for (const sizeGb of machine.images.values()) totalGb += sizeGb;
    for (const [cachedImage, sizeGb] of machine.images) {
      if (totalGb <= machine.type.cacheGb) break;
      totalGb -= sizeGb;
      machine.images.delete(cachedImage);
      this.capacityIndex.removeImage(machine, cachedImage);
    }
  }

  private onExited(machine: Machine, key: string, listed: ListedTask, seq: Uint64): void {
    const knownExit = machine.exitedTasks.get(key);
    listed.reconciledBy = this;
    if (knownExit !== undefined) {
      knownExit.seenSeq = seq;
      listed.exitedTask = knownExit;
      return;
    }
    const { job: jobId, index } = parseTaskId(listed.task);
    const assignment = machine.assignments.get(key);
    // The job may no longer be open, as a gang ends with its first task; then the assignment refers to it.
    const job = this.jobs.openJobs.get(jobId) ?? assignment?.job;
    const exitedTask: ExitedTask = {
      task: listed.task,
      attempt: listed.attempt,
      job: jobId,
      index,
      exitReason: listed.exitReason ?? 'error',
      seenSeq: seq,
    };
    listed.exitedTask = exitedTask;
    machine.exitedTasks.add(key, exitedTask);
    if (job === undefined || index >= job.spec.tasks) return;
    this.recordOutcome(machine, job, index, listed, assignment);
    if (assignment !== undefined) this.assignments.unassign(machine, assignment);
  }

  /** Applies the consequences of an exit to the task, its job and its machine. */
  private recordOutcome(
    machine: Machine,
    job: Job,
    index: number,
    { task, exitReason }: TaskStatus,
    assignment: TaskAssignment | undefined,
  ): void {
    if (exitReason === 'done') {
      this.assignments.removeFromQueue(job, index);
      this.jobs.completeTask(job, index);
      job.failures.clear();
      machine.consecutiveFailures = 0;
      if (assignment !== undefined) this.listener.onTaskCompleted(assignment);
    } else if (exitReason === 'error') this.recordFailure(machine, job, index);
    else if (exitReason === 'no_room' || exitReason === 'busy' || exitReason === 'unknown')
      this.io.log('info', 'machine refused to start task', { machine: machine.id, task, why: exitReason });
  }

  /** Delays the retry of a job that fails on several machines; else cordons a machine that keeps failing. */
  private recordFailure(machine: Machine, job: Job, index: number): void {
    const { now } = this.io;
    job.failures.record(machine.id, now);
    machine.consecutiveFailures++;
    const waitMs = job.failures.backoffMs(now);
    job.retryAt = addMs(now, waitMs);
    this.dequeueJob(machine, job);
    this.io.log('info', 'task failed', {
      machine: machine.id,
      task: taskId(job.id, index),
      failures: job.failures.count,
      waitMs,
    });
    if (!job.failures.isJobFaulty(now) && machine.consecutiveFailures >= FAULTY_MACHINE_FAILURES)
      this.updater.cordon(machine, CordonReason.failingTasks);
  }

  /** Removes the job's tasks from the queue of a machine that it now avoids, or while it backs off. */
  private dequeueJob(machine: Machine, job: Job): void {
    for (const queued of [...machine.queue])
      if (queued.job === job) this.assignments.dequeue(machine, queued);
  }
}
