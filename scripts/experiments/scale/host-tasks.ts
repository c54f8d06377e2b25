// The tasks on the simulated workers of one host process. They run no program and end after their run time;
// events report when a task is on a machine and when it is certainly no longer there.
import type { SimulationClock } from '../../../packages/local-cluster/src/clock.ts';
import type { FakeWorker, RunningTask } from '../../../packages/local-cluster/src/fake-worker.ts';
import type { ExitReason } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import { type FromHost, type JobDescription, sendToParent, type TaskEvent } from './messages.ts';

const FLUSH_INTERVAL_MS = 100;

/** A task that is running or has ended. */
interface HostTask {
  /** Records that the task has left its machine; false if that was recorded before. */
  recordLeft(): boolean;
  /** Ends the task as if its program had exited. */
  exit(reason: ExitReason): void;
  onState(state: 'waiting' | 'running'): void;
}

/** A task of a gang on one of this host's machines. */
interface GangMember {
  start(): void;
  exit(reason: ExitReason): void;
}

/** Simulates tasks, and sends their events to the parent process in batches. */
export class HostTasks {
  private readonly jobs = new Map<string, JobDescription>();
  /** Members on this host; the outer keys are made of the job and the attempt. */
  private readonly gangMembers = new Map<string, Map<TaskId, GangMember>>();
  private events: TaskEvent[] = [];

  constructor(
    private readonly clock: SimulationClock,
    private readonly gangWaitMs: number,
  ) {
    setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Stores the descriptions of jobs whose tasks may be launched here. */
  addJobs(jobs: readonly JobDescription[]): void {
    for (const job of jobs) this.jobs.set(job.id, job);
  }

  /** Removes jobs that have ended. */
  removeJobs(ids: readonly string[]): void {
    for (const id of ids) this.jobs.delete(id);
  }

  /** Records that a task was placed on a machine. */
  onPlaced(worker: FakeWorker, task: TaskId): void {
    this.events.push({ at: this.clock.now, kind: 'on', task, machine: worker.id });
    // The worker does not launch the task, which ends at once: the worker is faulty or has completed it
    // before.
    if (worker.faulty || worker.completedTasks.has(task)) this.recordRemoval(worker, task);
  }

  /** Launches a task on a machine; its first state is `running`. */
  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: ExitReason) => void,
    onState: HostTask['onState'],
  ): RunningTask {
    const job = this.jobs.get(parseTaskId(task).job);
    const hostTask = this.createHostTask(worker, task, onExit, onState);
    if (job === undefined) {
      this.clock.after(0, () => hostTask.exit('unknown'));
      return { stop: () => {}, kill: () => void hostTask.recordLeft() };
    }
    if (job.kind === 'gang') return this.joinGang(job, task, attempt, hostTask);
    if (job.kind === 'array') this.clock.after(job.runMs, () => hostTask.exit('done'));
    return {
      stop: (_graceS, onStopped) => hostTask.recordLeft() && onStopped(false),
      kill: () => void hostTask.recordLeft(),
    };
  }

  /** Starts the local members of a gang that is complete, or ends them after the gang has lost a member. */
  onGangEvent(key: string, event: 'start' | 'fail'): void {
    for (const member of [...(this.gangMembers.get(key)?.values() ?? [])])
      if (event === 'start') member.start();
      else member.exit('peers');
  }

  private flush(): void {
    if (this.events.length === 0) return;
    sendToParent<FromHost>({ kind: 'tasks', events: this.events });
    this.events = [];
  }

  /**
   * Tasks count as removed from the moment when the lease of their worker expires, even if its timer fires
   * later.
   */
  private recordRemoval(worker: FakeWorker, task: TaskId): void {
    const at = Math.min(this.clock.now, worker.leaseEndsAt);
    this.events.push({ at, kind: 'off', task, machine: worker.id });
  }

  private createHostTask(
    worker: FakeWorker,
    task: TaskId,
    onExit: (reason: ExitReason) => void,
    onState: HostTask['onState'],
  ): HostTask {
    let isOver = false;
    const recordLeft = (): boolean => {
      if (isOver) return false;
      isOver = true;
      this.recordRemoval(worker, task);
      return true;
    };
    const exit = (reason: ExitReason): void => {
      if (isOver) return;
      if (reason === 'done') this.events.push({ at: this.clock.now, kind: 'done', task });
      recordLeft();
      onExit(reason);
    };
    return { recordLeft, exit, onState };
  }

  /**
   * Members of a gang may be on several hosts, so the parent process decides when the gang starts and when it
   * has lost a member.
   */
  private joinGang(job: JobDescription, task: TaskId, attempt: Uint64, hostTask: HostTask): RunningTask {
    const key = `${job.id}@${attempt}`;
    const members = this.gangMembers.get(key) ?? new Map<TaskId, GangMember>();
    this.gangMembers.set(key, members);
    let hasStarted = false;
    const isWaiting = (): boolean => !hasStarted && members.has(task);
    const leave = (): void => this.leaveGang(key, members, task, job.tasks);
    const exit = (reason: ExitReason): void => {
      if (reason === 'done') members.delete(task);
      else leave();
      hostTask.exit(reason);
    };
    const start = (): void => {
      hasStarted = true;
      hostTask.onState('running');
      this.clock.after(job.runMs, () => members.has(task) && exit('done'));
    };
    members.set(task, { start, exit });
    this.clock.after(0, () => isWaiting() && hostTask.onState('waiting'));
    this.clock.after(this.gangWaitMs, () => isWaiting() && exit('alone'));
    sendToParent<FromHost>({ kind: 'gang', key, task, tasks: job.tasks, event: 'joined' });
    return {
      stop: (_graceS, onStopped) => {
        leave();
        if (hostTask.recordLeft()) onStopped(false);
      },
      kill: () => {
        leave();
        hostTask.recordLeft();
      },
    };
  }

  private leaveGang(key: string, members: Map<TaskId, GangMember>, task: TaskId, tasks: number): void {
    if (!members.delete(task)) return;
    if (members.size === 0) this.gangMembers.delete(key);
    sendToParent<FromHost>({ kind: 'gang', key, task, tasks, event: 'left' });
  }
}
