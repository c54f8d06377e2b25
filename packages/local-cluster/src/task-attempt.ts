// One attempt of a task on a machine of the local cluster, from its launch to its end.
import type { ChildProcess } from 'node:child_process';
import type { ExitReason } from '../../../src/core/base/model.ts';
import type { TaskId } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';
import type { GangCoordinator, GangMember } from './gang-coordinator.ts';
import { endGroup } from './process-guard.ts';
import type { JobDescription, Run } from './task-run.ts';
import type { RunningTask, TaskProgress } from './worker-environment.ts';

/** What attempts need of the runner. */
export interface AttemptRunner {
  readonly clock: SimulationClock;
  readonly gangs: GangCoordinator;
  /** Whether the task was done before. */
  isDone(task: TaskId): boolean;
  /** The task is done. */
  markDone(task: TaskId): void;
  /** Starts the command of the attempt; `onExit` gets its exit code. */
  startCommand(attempt: TaskAttempt, onExit: (code: number | null) => void): ChildProcess;
  /** Whether the command has written its progress since it began. */
  hasSavedProgress(run: Run): boolean;
}

/** What is launched. */
export interface Launch {
  readonly run: Run;
  readonly description: JobDescription;
  /** How long it runs without a command, in milliseconds. */
  readonly simulatedRunMs: number;
}

/** Whoever launched the task. */
export interface AttemptListener {
  /** It has ended by itself. */
  onExit(reason: ExitReason): void;
  /** Its state has changed before. */
  onProgress(progress: TaskProgress): void;
}

/** An attempt that is under way. */
export class TaskAttempt implements RunningTask, GangMember {
  commandSucceeded = false;
  private over = false;
  private child: ChildProcess | null = null;
  /** Set while a stopped command may end by itself. */
  private onStopped: ((saved: boolean) => void) | null = null;

  /** `listener`: is told of its end, and of what it does before. */
  constructor(
    private readonly runner: AttemptRunner,
    private readonly launch: Launch,
    private readonly listener: AttemptListener,
  ) {}

  get run(): Run {
    return this.launch.run;
  }

  get description(): JobDescription {
    return this.launch.description;
  }

  get task(): TaskId {
    return this.run.task;
  }

  get attempt(): number {
    return this.run.attempt;
  }

  private get isGang(): boolean {
    return this.description.kind === 'gang';
  }

  /** Its image is on the machine. */
  imageReady(): void {
    if (this.over) return;
    if (!this.isGang) return this.begin();
    this.listener.onProgress('waiting');
    this.runner.gangs.join(this, this.description.tasks);
  }

  /** Runs the command, or lets the simulated time pass. */
  begin(): void {
    if (this.over) return;
    this.listener.onProgress('running');
    if (this.runner.isDone(this.task)) return this.finish('done');
    const { command, kind } = this.description;
    if (command !== null) this.child = this.runner.startCommand(this, (code) => this.handleExit(code));
    else if (kind !== 'service')
      this.runner.clock.after(this.launch.simulatedRunMs, () => this.finish('done'));
  }

  private handleExit(code: number | null): void {
    if (this.onStopped !== null) return this.endStopped(this.onStopped, false);
    if (code !== 0) return this.finish('error');
    this.commandSucceeded = true;
    // A gang is complete when the commands of all its tasks are: one that is sooner waits for the others.
    if (!this.isGang || this.runner.gangs.hasSucceeded(this)) this.finish('done');
  }

  /** It has ended by itself. */
  finish(reason: ExitReason): void {
    if (this.over) return;
    this.close(reason);
    if (reason === 'done') this.runner.markDone(this.task);
    this.killChild();
    this.listener.onExit(reason);
    this.leaveGang(reason);
  }

  kill(): void {
    if (this.over) return;
    this.close('killed');
    this.killChild();
    this.leaveGang('stopped');
  }

  stop(graceS: number, ended: (saved: boolean) => void): void {
    if (this.over) return;
    const pid = this.child?.pid;
    if (pid === undefined || graceS <= 0) return this.endStopped(ended, true);
    this.onStopped = ended;
    endGroup(pid, 'SIGTERM');
    this.runner.clock.after(graceS * 1000, () => this.endStopped(ended, true));
  }

  private endStopped(ended: (saved: boolean) => void, kill: boolean): void {
    if (this.over) return;
    const saved = this.runner.hasSavedProgress(this.run);
    if (kill) this.kill();
    else this.close('stopped');
    ended(saved);
  }

  private close(reason: Run['why']): void {
    this.over = true;
    this.run.to = this.runner.clock.now;
    this.run.why = reason;
  }

  private killChild(): void {
    if (this.child?.pid !== undefined) endGroup(this.child.pid);
  }

  private leaveGang(reason: ExitReason): void {
    if (this.isGang) this.runner.gangs.leave(this, reason);
  }
}
