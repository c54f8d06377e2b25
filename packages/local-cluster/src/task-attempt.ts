// One attempt of a task on a machine of the local cluster, from launch to exit.
import type { ChildProcess } from 'node:child_process';
import type { ExitReason } from '../../../src/core/base/model.ts';
import type { TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import type { SimulationClock } from './clock.ts';
import type { GangCoordinator, GangMember } from './gang-coordinator.ts';
import { endGroup } from './process-guard.ts';
import type { JobDescription, Run } from './task-run.ts';
import type { RunningTask, TaskProgress } from './worker-environment.ts';

/** The operations of the task runner that attempts depend on. */
export interface AttemptRunner {
  readonly clock: SimulationClock;
  readonly gangs: GangCoordinator;
  /** Whether the task was completed by an earlier attempt. */
  isDone(task: TaskId): boolean;
  /** Records that the task is complete. */
  markDone(task: TaskId): void;
  /**
   * Starts the command of the attempt; `onExit` gets its exit code, or null if it failed to start or was
   * killed.
   */
  startCommand(attempt: TaskAttempt, onExit: (code: number | null) => void): ChildProcess;
  /** Whether the command has written its checkpoint since the run began. */
  hasSavedProgress(run: Run): boolean;
}

/** A run to launch. */
export interface Launch {
  readonly run: Run;
  readonly description: JobDescription;
  /** Run time of a task without a command, in milliseconds. */
  readonly simulatedRunMs: number;
}

/** Receives the events of an attempt. */
export interface AttemptListener {
  /** The attempt has ended other than by `stop` or `kill`. */
  onExit(reason: ExitReason): void;
  /** Its state has changed before its end. */
  onProgress(progress: TaskProgress): void;
}

/** A running attempt of a task. */
export class TaskAttempt implements RunningTask, GangMember {
  commandSucceeded = false;
  private hasEnded = false;
  private child: ChildProcess | null = null;
  /** Callback of `stop`, set while the command may exit within its grace time. */
  private onStopFinished: ((saved: boolean) => void) | null = null;

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

  get attempt(): Uint64 {
    return this.run.attempt;
  }

  private get isGang(): boolean {
    return this.description.kind === 'gang';
  }

  /** Called when the image is on the machine: starts the task, or has it wait for its gang. */
  imageReady(): void {
    if (this.hasEnded) return;
    if (!this.isGang) return this.begin();
    this.listener.onProgress('waiting');
    this.runner.gangs.join(this, this.description.tasks);
  }

  /** Starts the command, or a timer for the simulated run time. */
  begin(): void {
    if (this.hasEnded) return;
    this.listener.onProgress('running');
    if (this.runner.isDone(this.task)) return this.finish('done');
    const { command, kind } = this.description;
    if (command !== null) this.child = this.runner.startCommand(this, (code) => this.handleExit(code));
    else if (kind !== 'service')
      this.runner.clock.after(this.launch.simulatedRunMs, () => this.finish('done'));
  }

  private handleExit(code: number | null): void {
    if (this.onStopFinished !== null) return this.endStopped(this.onStopFinished, false);
    if (code !== 0) return this.finish('error');
    this.commandSucceeded = true;
    // A gang is complete when the commands of all its tasks have succeeded; until then this task waits.
    if (!this.isGang || this.runner.gangs.hasSucceeded(this)) this.finish('done');
  }

  /** Ends the attempt, and notifies the listener and the gang. */
  finish(reason: ExitReason): void {
    if (this.hasEnded) return;
    this.close(reason);
    if (reason === 'done') this.runner.markDone(this.task);
    this.killChild();
    this.listener.onExit(reason);
    this.leaveGang(reason);
  }

  kill(): void {
    if (this.hasEnded) return;
    this.close('killed');
    this.killChild();
    this.leaveGang('stopped');
  }

  stop(graceS: number, ended: (saved: boolean) => void): void {
    if (this.hasEnded) return;
    const pid = this.child?.pid;
    if (pid === undefined || graceS <= 0) return this.endStopped(ended, true);
    this.onStopFinished = ended;
    endGroup(pid, 'SIGTERM');
    this.runner.clock.after(graceS * 1000, () => this.endStopped(ended, true));
  }

  private endStopped(ended: (saved: boolean) => void, kill: boolean): void {
    if (this.hasEnded) return;
    const saved = this.runner.hasSavedProgress(this.run);
    if (kill) this.kill();
    else this.close('stopped');
    ended(saved);
  }

  private close(reason: Run['why']): void {
    this.hasEnded = true;
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
