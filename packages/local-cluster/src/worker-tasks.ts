// The tasks on one machine: commands of the leader start, stop and forget them.
import type { Command, ExitReason, TaskStatus } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { EnvironmentOf, RunningTask, TaskProgress } from './worker-environment.ts';

/** One attempt of a task on a machine. */
export interface WorkerTask {
  task: TaskId;
  job: string;
  attempt: number;
  state: TaskStatus['state'];
  /** Why it ended; null before. */
  why: TaskStatus['exitReason'];
  /** Whether its progress was saved when it was stopped. */
  saved: boolean;
  /** What runs it; null before it is launched. */
  work: RunningTask | null;
}

/** The worker that the tasks are on. */
export interface TaskOwner {
  /** Whether its machine is no more. */
  readonly dead: boolean;
  /** The state of a task has changed: the next heartbeat is due. */
  taskChanged(): void;
}

/** A stop command for a task that ran. */
export interface StopCommand {
  task: TaskId;
  graceS: number;
  /** Milliseconds. */
  at: number;
}

/** The tasks of one worker, and what it has done with tasks so far. */
export class WorkerTasks<Worker extends TaskOwner> {
  /** By task and attempt. */
  readonly tasks = new Map<string, WorkerTask>();
  /** Tasks that this machine has completed: they are not run again. */
  readonly results = new Set<string>();
  /** Stop commands for tasks that ran. */
  readonly stops: StopCommand[] = [];
  /** How many tasks were started. */
  starts = 0;
  /** Every task started here fails at once. */
  faulty = false;

  /** `environment`: what runs the tasks. */
  constructor(
    private readonly environment: EnvironmentOf<Worker>,
    private readonly worker: Worker,
  ) {}

  /** Tasks that have not ended. */
  live(): WorkerTask[] {
    return [...this.tasks.values()].filter((task) => task.state !== 'exited');
  }

  /** Kills and forgets all tasks. */
  clear(): void {
    for (const task of this.tasks.values()) if (task.state !== 'exited') task.work?.kill();
    this.tasks.clear();
  }

  /** Their states, as a heartbeat lists them. */
  statuses(): TaskStatus[] {
    return [...this.tasks.values()].map((task) => ({
      task: task.task,
      attempt: task.attempt as never,
      state: task.state,
      exitReason: task.why,
      checkpointed: task.saved,
    }));
  }

  /** Carries out a command of the leader. */
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
    this.stops.push({ task: task.task, graceS, at: this.environment.now });
    // A second stop while it saves ends it only if it leaves no time.
    if (task.state === 'saving' && graceS > 0) return;
    task.state = 'saving';
    task.work?.stop(graceS, (saved) => {
      if (task.state === 'exited') return;
      task.saved = saved;
      this.exit(task, 'stopped');
    });
  }

  private start(key: string, id: TaskId, attempt: number): void {
    const task: WorkerTask = {
      task: id,
      job: parseTaskId(id).job,
      attempt,
      state: 'running',
      why: null,
      saved: false,
      work: null,
    };
    this.environment.placed(this.worker, id);
    this.starts++;
    this.tasks.set(key, task);
    if (this.faulty) return this.exit(task, 'error');
    if (this.results.has(id)) return this.exit(task, 'done');
    this.launch(key, task);
  }

  private launch(key: string, task: WorkerTask): void {
    const isOver = (): boolean => this.worker.dead || this.tasks.get(key) !== task || task.state === 'exited';
    const onExit = (reason: ExitReason): void => {
      if (isOver()) return;
      if (reason === 'done') this.results.add(task.task);
      this.exit(task, reason);
    };
    const onProgress = (progress: TaskProgress): void => {
      if (isOver() || task.state === 'saving') return;
      task.state = progress;
      this.worker.taskChanged();
    };
    task.work = this.environment.launch(this.worker, task.task, task.attempt, onExit, onProgress);
  }

  private exit(task: WorkerTask, reason: ExitReason): void {
    task.state = 'exited';
    task.why = reason;
    this.worker.taskChanged();
  }
}
