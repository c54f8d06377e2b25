// The tasks on the simulated workers of one host: they run nothing, end when their time is over, and tell
// when they are on a machine and when they are certainly gone from it.
import type { SimulationClock } from '../../../packages/local-cluster/src/clock.ts';
import type { FakeWorker, RunningTask } from '../../../packages/local-cluster/src/fake-worker.ts';
import type { ExitReason } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import { type FromHost, type JobDescription, sendToParent, type TaskEvent } from './messages.ts';

const FLUSH_INTERVAL_MS = 100;

/** A task that runs, or has ended. */
interface HostTask {
  /** It is gone from its machine; false if it was before. */
  recordLeft(): boolean;
  /** It ends by itself. */
  exit(reason: ExitReason): void;
  onState(state: 'waiting' | 'running'): void;
}

/** A task of a gang on one of this host's machines. */
interface GangMember {
  start(): void;
  exit(reason: ExitReason): void;
}

/** Runs tasks, and sends what happens to them to the parent process in batches. */
export class HostTasks {
  private readonly jobs = new Map<string, JobDescription>();
  /** Members on this host, by job and attempt. */
  private readonly gangMembers = new Map<string, Map<TaskId, GangMember>>();
  private events: TaskEvent[] = [];

  constructor(
    private readonly clock: SimulationClock,
    private readonly gangWaitMs: number,
  ) {
    setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Says what the tasks of jobs are like. */
  addJobs(jobs: readonly JobDescription[]): void {
    for (const job of jobs) this.jobs.set(job.id, job);
  }

  /** These jobs are over. */
  removeJobs(ids: readonly string[]): void {
    for (const id of ids) this.jobs.delete(id);
  }

  /** A task is put on a machine. */
  onPlaced(worker: FakeWorker, task: TaskId): void {
    this.events.push({ at: this.clock.now, kind: 'on', task, machine: worker.id });
    // Nothing is launched for these: they end at once.
    if (worker.faulty || worker.results.has(task)) this.recordRemoval(worker, task);
  }

  /** Runs a task on a machine, which begins in the state `running`. */
  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: number,
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

  /** All members of a gang are there, on whatever hosts; or it has lost one after it began. */
  onGangEvent(key: string, what: 'start' | 'fail'): void {
    for (const member of [...(this.gangMembers.get(key)?.values() ?? [])])
      if (what === 'start') member.start();
      else member.exit('peers');
  }

  private flush(): void {
    if (this.events.length === 0) return;
    sendToParent<FromHost>({ kind: 'tasks', events: this.events });
    this.events = [];
  }

  /** A worker whose lease is over holds nothing from its end on, however late its timer fires. */
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
    const leave = (): boolean => {
      if (isOver) return false;
      isOver = true;
      this.recordRemoval(worker, task);
      return true;
    };
    const exit = (reason: ExitReason): void => {
      if (isOver) return;
      if (reason === 'done') this.events.push({ at: this.clock.now, kind: 'done', task });
      leave();
      onExit(reason);
    };
    return { recordLeft: leave, exit, onState };
  }

  /**
   * The members of a gang may be on several hosts: the parent says when it begins, and when it has lost one.
   */
  private joinGang(job: JobDescription, task: TaskId, attempt: number, hostTask: HostTask): RunningTask {
    const key = `${job.id}@${attempt}`;
    const members = this.gangMembers.get(key) ?? new Map<TaskId, GangMember>();
    this.gangMembers.set(key, members);
    let hasBegun = false;
    const isWaiting = (): boolean => !hasBegun && members.has(task);
    const leave = (): void => this.leaveGang(key, members, task, job.tasks);
    const exit = (reason: ExitReason): void => {
      if (reason === 'done') members.delete(task);
      else leave();
      hostTask.exit(reason);
    };
    const begin = (): void => {
      hasBegun = true;
      hostTask.onState('running');
      this.clock.after(job.runMs, () => members.has(task) && exit('done'));
    };
    members.set(task, { start: begin, exit });
    this.clock.after(0, () => isWaiting() && hostTask.onState('waiting'));
    this.clock.after(this.gangWaitMs, () => isWaiting() && exit('alone'));
    sendToParent<FromHost>({ kind: 'gang', key, task, tasks: job.tasks, what: 'joined' });
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
    sendToParent<FromHost>({ kind: 'gang', key, task, tasks, what: 'left' });
  }
}
