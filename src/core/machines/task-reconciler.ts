// Reconciles a machine's task list with what the leader knows: which tasks are on the machine, which have
// ended and why, and what follows for their jobs and for the machine.
import { addMs, parseTaskId, taskId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { TaskStatus } from '../base/model.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { CapacityIndex } from './capacity-index.ts';
import type { Machine } from './machine.ts';
import type { MachineAssignments } from './machine-assignments.ts';
import { CordonReason, type MachineStateUpdater } from './machine-state-updater.ts';
import { assignmentKey, type ExitedTask } from './machine-tasks.ts';

/** Failures in a row on a machine after which it is taken to be faulty. */
const FAILURES_OF_FAULTY_MACHINE = 3;
/** Machines on which a job has failed after which the job is taken to be faulty, and not the machines. */
const MACHINES_OF_FAULTY_JOB = 3;
const BACKOFF_MS = 1000;
const BACKOFF_MAX_MS = 20_000;
const BACKOFF_MAX_DOUBLINGS = 10;

/** A listed task with what it was found to be, so that the same object listed again takes no lookup. */
export interface ListedTask extends TaskStatus {
  /** The reconciler that set the fields below; one of an earlier term knew other assignments. */
  reconciledBy?: TaskReconciler;
  assignment?: TaskAssignment;
  exitedTask?: ExitedTask;
}

/** Is notified of what becomes of tasks. */
export interface TaskListener {
  /** The task has begun to run. */
  onTaskStarted(assignment: TaskAssignment): void;
  /** The task has ended with success. */
  onTaskCompleted(assignment: TaskAssignment): void;
}

/** What {@link TaskReconciler} depends on. */
export interface TaskReconcilerDependencies {
  io: ControllerIo;
  jobs: JobTable;
  capacityIndex: CapacityIndex;
  assignments: MachineAssignments;
  updater: MachineStateUpdater;
  listener: TaskListener;
}

/** Reads the task lists of heartbeats during one term. */
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

  /** Reconciles the task list of the heartbeat with this sequence number. */
  reconcile(machine: Machine, tasks: readonly ListedTask[], seq: number): void {
    machine.orphans = [];
    for (const listed of tasks) this.reconcileTask(machine, listed, seq);
    this.unassignMissing(machine, seq);
    dropForgotten(machine, seq);
    // A task sent since is not in this list; whether it is in the next one shows if it has started.
    machine.isTaskListSettled =
      machine.exitedTasks.size === 0 &&
      machine.orphans.length === 0 &&
      machine.assignments.size === tasks.length;
  }

  private reconcileTask(machine: Machine, listed: ListedTask, seq: number): void {
    // Reconciled before in this term and still there: it only has to be marked as listed.
    const known = listed.reconciledBy === this ? (listed.assignment ?? listed.exitedTask) : undefined;
    if (known !== undefined && known.isGone !== true) {
      known.seenSeq = seq;
      return;
    }
    const key = assignmentKey(listed.task, listed.attempt);
    if (listed.state === 'exited') this.onExited(machine, key, listed, seq);
    else this.onPresent(machine, key, listed, listed.state, seq);
  }

  /**
   * Responses answer one heartbeat at a time: a later one without the task shows that it did not start, or is
   * gone.
   */
  private unassignMissing(machine: Machine, seq: number): void {
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
    seq: number,
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

  /**
   * A task that the machine lists without the leader having assigned it in this term; null if it is an
   * orphan.
   */
  private adoptTask(machine: Machine, { task, attempt }: TaskStatus): TaskAssignment | null {
    const { job: jobId, index } = parseTaskId(task);
    const job = this.jobs.openJobs.get(jobId);
    if (job === undefined || index >= job.spec.tasks) {
      machine.orphans.push({ task, attempt });
      return null;
    }
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

  /** The machine has the job's image in its cache; the least recently used ones make way for it. */
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

  private onExited(machine: Machine, key: string, listed: ListedTask, seq: number): void {
    const knownExit = machine.exitedTasks.get(key);
    listed.reconciledBy = this;
    if (knownExit !== undefined) {
      knownExit.seenSeq = seq;
      listed.exitedTask = knownExit;
      return;
    }
    const { job: jobId, index } = parseTaskId(listed.task);
    const assignment = machine.assignments.get(key);
    // Over already, as a gang is with its first task, the job may still be on this machine as far as is
    // known.
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
    machine.exitedTasks.set(key, exitedTask);
    if (job === undefined || index >= job.spec.tasks) return;
    this.recordOutcome(machine, job, index, listed, assignment);
    if (assignment !== undefined) this.assignments.unassign(machine, assignment);
  }

  /** What an exit means for the task, its job and its machine. */
  private recordOutcome(
    machine: Machine,
    job: Job,
    index: number,
    { task, exitReason }: TaskStatus,
    assignment: TaskAssignment | undefined,
  ): void {
    if (exitReason === 'done') {
      this.jobs.completeTask(job, index);
      job.failures = 0;
      job.failedOn.clear();
      machine.consecutiveFailures = 0;
      if (assignment !== undefined) this.listener.onTaskCompleted(assignment);
    } else if (exitReason === 'error') this.recordFailure(machine, job, index);
    else if (exitReason === 'no_room' || exitReason === 'busy' || exitReason === 'unknown')
      this.io.log('info', 'start refused', { machine: machine.id, task, why: exitReason });
  }

  /** A job that fails on many machines is backed off; a machine on which tasks fail is released. */
  private recordFailure(machine: Machine, job: Job, index: number): void {
    job.failures++;
    job.failedOn.add(machine.id);
    machine.consecutiveFailures++;
    const isJobFaulty = job.failedOn.size >= MACHINES_OF_FAULTY_JOB;
    const waitMs = isJobFaulty ? backoffMs(job.failures) : 0;
    job.retryAt = addMs(this.io.now, waitMs);
    this.io.log('info', 'task failed', {
      machine: machine.id,
      task: taskId(job.id, index),
      failures: job.failures,
      waitMs,
    });
    if (!isJobFaulty && machine.consecutiveFailures >= FAILURES_OF_FAULTY_MACHINE)
      this.updater.cordon(machine, CordonReason.failingTasks);
  }
}

/** Exited tasks that the machine no longer lists. */
function dropForgotten(machine: Machine, seq: number): void {
  for (const [key, exited] of machine.exitedTasks) {
    if (exited.seenSeq === seq) continue;
    exited.isGone = true;
    machine.exitedTasks.delete(key);
  }
}

const backoffMs = (failures: number): number =>
  Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** Math.min(BACKOFF_MAX_DOUBLINGS, failures));
