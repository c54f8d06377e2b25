// The tasks on one machine, and the execution of the leader's start, stop and forget commands.
import type { Command, ExitReason, TaskStatus } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import type { EnvironmentOf, RunningTask, TaskProgress } from './worker-environment.ts';

/** One attempt of a task on a machine. */
export interface WorkerTask {
  task: TaskId;
  job: string;
  attempt: Uint64;
  state: TaskStatus['state'];
  /** Why it ended; null while it runs. */
  exitReason: TaskStatus['exitReason'];
  /** Whether its progress was saved when it was stopped. */
  isProgressSaved: boolean;
  /** The running task in the environment; null before its launch. */
  runningTask: RunningTask | null;
}

/** The worker that the tasks are on. */
export interface TaskOwner {
  /** Whether its machine was terminated. */
  readonly isTerminated: boolean;
  /** Called when the state of a task has changed, to send the next heartbeat soon. */
  taskChanged(): void;
}

/** A stop command received for a task that had not ended. */
export interface StopCommand {
  task: TaskId;
  graceS: number;
  /** When it was received, in milliseconds. */
  receivedAt: number;
}

/** The tasks of one worker, and counts and results of earlier ones. */
export class WorkerTasks<Worker extends TaskOwner> {
  /** By `TASK@ATTEMPT`. */
  readonly tasks = new Map<string, WorkerTask>();
  /** Tasks that this machine has completed; when started again they exit as done at once. */
  readonly completedTasks = new Set<string>();
  /** Stop commands received for tasks that had not ended. */
  readonly stopCommands: StopCommand[] = [];
  /** Number of tasks that were started. */
  starts = 0;
  /** Whether every task that is started here fails at once. */
  faulty = false;

  constructor(
    private readonly environment: EnvironmentOf<Worker>,
    private readonly worker: Worker,
  ) {}

  /** Tasks that have not ended. */
  activeTasks(): WorkerTask[] {
    return [...this.tasks.values()].filter((task) => task.state !== 'exited');
  }

  /** Kills and removes all tasks. */
  clear(): void {
    for (const task of this.tasks.values()) if (task.state !== 'exited') task.runningTask?.kill();
    this.tasks.clear();
  }

  /** The states of all tasks, for a heartbeat. */
  statuses(): TaskStatus[] {
    return [...this.tasks.values()].map((task) => ({
      task: task.task,
      attempt: task.attempt as never,
      state: task.state,
      exitReason: task.exitReason,
      checkpointed: task.isProgressSaved,
    }));
  }

  /** Executes a command of the leader. */
  execute(command: Command): void {
    const key = `${command.task}@${command.attempt}`;
    const task = this.tasks.get(key);
    switch (command.op) {
      case 'forget':
        if (task?.state === 'exited') this.tasks.delete(key);
        return;
      case 'stop':
        if (task !== undefined && task.state !== 'exited') this.stop(task, command.graceS);
        return;
      default:
        if (task === undefined) this.start(key, command.task, command.attempt);
    }
  }

  private stop(task: WorkerTask, graceS: number): void {
    this.stopCommands.push({ task: task.task, graceS, receivedAt: this.environment.now });
    // While a task saves its checkpoint, only a stop command without grace time ends it.
    if (task.state === 'saving' && graceS > 0) return;
    task.state = 'saving';
    task.runningTask?.stop(graceS, (saved) => {
      if (task.state === 'exited') return;
      task.isProgressSaved = saved;
      this.exit(task, 'stopped');
    });
  }

  private start(key: string, id: TaskId, attempt: Uint64): void {
    const task: WorkerTask = {
      task: id,
      job: parseTaskId(id).job,
      attempt,
      state: 'running',
      exitReason: null,
      isProgressSaved: false,
      runningTask: null,
    };
    this.environment.onTaskPlaced(this.worker, id);
    this.starts++;
    this.tasks.set(key, task);
    if (this.faulty) return this.exit(task, 'error');
    if (this.completedTasks.has(id)) return this.exit(task, 'done');
    this.launch(key, task);
  }

  private launch(key: string, task: WorkerTask): void {
    const isEnded = (): boolean =>
      this.worker.isTerminated || this.tasks.get(key) !== task || task.state === 'exited';
    const onExit = (reason: ExitReason): void => {
      if (isEnded()) return;
      if (reason === 'done') this.completedTasks.add(task.task);
      this.exit(task, reason);
    };
    const onProgress = (progress: TaskProgress): void => {
      if (isEnded() || task.state === 'saving') return;
      task.state = progress;
      this.worker.taskChanged();
    };
    task.runningTask = this.environment.launch(this.worker, task.task, task.attempt, onExit, onProgress);
  }

  private exit(task: WorkerTask, reason: ExitReason): void {
    task.state = 'exited';
    task.exitReason = reason;
    this.worker.taskChanged();
  }
}
