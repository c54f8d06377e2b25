// What the task list of a report says: which tasks are on the machine, which have ended and why, and what that says of their
// jobs and of the machine.
import { type Attempt, addMs, parseTaskId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { TaskStatus } from '../base/model.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { CapacityIndex } from './capacity-index.ts';
import { assignmentKey, type ExitedTask, type Machine } from './machine.ts';

/** Failures in a row, of more than one job, after which a machine is taken for faulty. */
const SICK_AFTER = 3;
const BACKOFF_MS = 1000;
const BACKOFF_MAX_MS = 20_000;

/** A listed task with what became of it, so that the same object listed again needs no look. */
export interface ListedTask extends TaskStatus {
  readBy?: object;
  assignment?: TaskAssignment;
  exitedTask?: ExitedTask;
}

/** Who keeps the tasks on machines; see machines.ts. */
export interface AssignmentTable {
  assign(m: Machine, job: Job, index: number, attempt: Attempt, sentSeq: number): TaskAssignment;
  /** The task is certainly off the machine. */
  unassign(m: Machine, e: TaskAssignment): void;
  cordon(m: Machine, why: string): void;
}

export interface TaskListener {
  onTaskStarted(e: TaskAssignment): void;
  onTaskCompleted(e: TaskAssignment): void;
}

/** What {@link TaskReconciler} depends on. */
export interface TaskReconcilerDependencies {
  io: ControllerIo;
  jobs: JobTable;
  capacityIndex: CapacityIndex;
  assignments: AssignmentTable;
  listener: TaskListener;
}

export class TaskReconciler {
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly capacityIndex: CapacityIndex;
  private readonly assignments: AssignmentTable;
  private readonly listener: TaskListener;

  constructor(dependencies: TaskReconcilerDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.capacityIndex = dependencies.capacityIndex;
    this.assignments = dependencies.assignments;
    this.listener = dependencies.listener;
  }

  /** Reads the list of the report with this number. */
  reconcile(m: Machine, tasks: readonly ListedTask[], seq: number): void {
    m.orphans = [];
    for (const t of tasks) {
      // Read before, by this owner, and nothing has become of it since: listed, and no more to say.
      const known = t.readBy === this ? (t.assignment ?? t.exitedTask) : undefined;
      if (known !== undefined && known.isGone !== true) known.seenSeq = seq;
      else if (t.state === 'exited') this.exit(m, assignmentKey(t.task, t.attempt), t, seq);
      else this.present(m, assignmentKey(t.task, t.attempt), t, seq);
    }
    for (const [key, e] of m.assignments) {
      // Commands answer one report at a time, so a later report without the task shows it was not started, or is gone.
      if (e.seenSeq !== seq && e.sentSeq < seq) {
        this.io.log('info', 'task not on its machine', { machine: m.id, task: key, state: e.state });
        this.assignments.unassign(m, e);
      }
    }
    for (const [key, x] of m.exitedTasks) {
      if (x.seenSeq === seq) continue;
      x.isGone = true;
      m.exitedTasks.delete(key);
    }
    // A task sent since is missing from the list: its absence from the next one tells something.
    m.isTaskListSettled =
      m.exitedTasks.size === 0 && m.orphans.length === 0 && m.assignments.size === tasks.length;
  }

  private present(m: Machine, key: string, t: ListedTask, seq: number): void {
    let e = m.assignments.get(key);
    if (e === undefined) {
      const { job: id, index } = parseTaskId(t.task);
      const job = this.jobs.openJobs.get(id);
      if (job === undefined || index >= job.spec.tasks) {
        m.orphans.push({ task: t.task, attempt: t.attempt });
        return;
      }
      e = this.assignments.assign(m, job, index, t.attempt, -1);
      if (job.spec.kind === 'gang') job.gangAttempt ??= t.attempt;
    }
    t.readBy = this;
    t.assignment = e;
    e.seenSeq = seq;
    const state = t.state === 'exited' ? 'running' : t.state;
    if (state !== 'fetching') this.noteImage(m, e.job);
    if (state === 'running' && e.runningAt === null) {
      e.runningAt = this.io.now;
      e.job.runningTasks++;
      if (e.job.spec.kind === 'gang') e.job.gangHasRun = true;
      this.listener.onTaskStarted(e);
    }
    e.state = state;
  }

  private noteImage(m: Machine, job: Job): void {
    const { image, imageGb } = job.spec;
    if (m.lastImage === image) return;
    m.lastImage = image;
    m.images.delete(image);
    m.images.set(image, imageGb);
    this.capacityIndex.addImage(m, image);
    let total = 0;
    for (const gb of m.images.values()) total += gb;
    for (const [name, gb] of m.images) {
      if (total <= m.type.cacheGb) break;
      total -= gb;
      m.images.delete(name);
      this.capacityIndex.removeImage(m, name);
    }
  }

  private exit(m: Machine, key: string, t: ListedTask, seq: number): void {
    const before = m.exitedTasks.get(key);
    t.readBy = this;
    if (before !== undefined) {
      before.seenSeq = seq;
      t.exitedTask = before;
      return;
    }
    const { job: id, index } = parseTaskId(t.task);
    const e = m.assignments.get(key);
    // Over already, as a gang is with its first task, it is still on this machine as far as is known.
    const job = this.jobs.openJobs.get(id) ?? e?.job;
    const exit: ExitedTask = {
      task: t.task,
      attempt: t.attempt,
      job: id,
      index,
      exitReason: t.exitReason ?? 'error',
      seenSeq: seq,
    };
    t.exitedTask = exit;
    m.exitedTasks.set(key, exit);
    if (job === undefined || index >= job.spec.tasks) return;
    this.judge(m, job, index, t, e);
    if (e !== undefined) this.assignments.unassign(m, e);
  }

  /** What an exit says about the task, its job and its machine. */
  private judge(m: Machine, job: Job, index: number, t: TaskStatus, e: TaskAssignment | undefined): void {
    if (t.exitReason === 'done') {
      this.jobs.completeTask(job, index);
      job.failures = 0;
      job.failedOn.clear();
      m.consecutiveFailures = 0;
      m.failedJobs.clear();
      if (e !== undefined) this.listener.onTaskCompleted(e);
    } else if (t.exitReason === 'error') this.failed(m, job, index);
    else if (t.exitReason === 'no_room' || t.exitReason === 'busy' || t.exitReason === 'unknown')
      this.io.log('info', 'start refused', { machine: m.id, task: t.task, why: t.exitReason });
  }

  /** A job that fails on many machines is backed off; a machine that fails many jobs is returned. */
  private failed(m: Machine, job: Job, index: number): void {
    job.failures++;
    job.failedOn.add(m.id);
    m.consecutiveFailures++;
    m.failedJobs.add(job.id);
    const badJob = job.failedOn.size >= 3;
    const wait = badJob ? Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** Math.min(10, job.failures)) : 0;
    job.retryAt = addMs(this.io.now, wait);
    this.io.log('info', 'task failed', {
      machine: m.id,
      task: `${job.id}/${index}`,
      failures: job.failures,
      waitMs: wait,
    });
    if (!badJob && m.consecutiveFailures >= SICK_AFTER) this.assignments.cordon(m, 'fails what it starts');
  }
}
