// Runs tasks on the local cluster's machines, as child processes or with simulated run times.
import type { ChildProcess } from 'node:child_process';
import type { ExitReason } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import type { SimulationClock } from './clock.ts';
import { GangCoordinator, type GangTimes } from './gang-coordinator.ts';
import { type ImageCacheMachine, ImageCaches } from './image-cache.ts';
import type { ProcessGuard } from './process-guard.ts';
import { type AttemptRunner, TaskAttempt } from './task-attempt.ts';
import { startCommand } from './task-command.ts';
import { type OutputStream, TaskFiles } from './task-files.ts';
import type { JobDescription, Run } from './task-run.ts';
import type { RunningTask, TaskProgress } from './worker-environment.ts';

/** The machine that a task is launched on. */
export interface TaskMachine extends ImageCacheMachine {
  /** Factor by which the simulated run time of its tasks is longer; 1 by default. */
  slow?: number;
}

/** Settings of {@link TaskRunner}. */
export interface TaskRunnerSettings extends GangTimes {
  /** Factor by which image fetches and simulated run times are faster than nominal. */
  speed: number;
}

/** Maximum number of run records kept; above it the older half is dropped. */
const MAX_RUNS = 200_000;
/** Used for jobs without a description. */
const UNKNOWN_JOB: JobDescription = {
  kind: 'array',
  tasks: 1,
  image: '',
  imageGb: 0,
  runS: 5,
  command: null,
};

/** Runs the tasks of all jobs on all machines. */
export class TaskRunner implements AttemptRunner {
  readonly runs: Run[] = [];
  readonly gangs: GangCoordinator;
  /** Called with every task that completes, before its worker reports it. */
  onDone: (task: TaskId) => void = () => {};
  private readonly descriptions = new Map<string, JobDescription>();
  private readonly doneTasks = new Set<TaskId>();
  private readonly images: ImageCaches;
  private readonly files: TaskFiles;

  /** `dir`: directory for the files of all jobs. */
  constructor(
    readonly clock: SimulationClock,
    dir: string,
    private readonly guard: ProcessGuard,
    private readonly settings: TaskRunnerSettings,
  ) {
    this.files = new TaskFiles(dir);
    this.images = new ImageCaches(clock, settings.speed);
    this.gangs = new GangCoordinator(clock, settings);
  }

  /** Registers the description of a job. */
  describe(job: string, description: JobDescription): void {
    this.descriptions.set(job, description);
  }

  /** Marks a task as completed in an earlier run of the cluster, so that it is not run again. */
  restoreDoneTask(task: TaskId): void {
    this.doneTasks.add(task);
  }

  /**
   * Path of the recorded output of a task's newest attempt, or of `attempt`; null if there is no such run.
   */
  logFile(task: TaskId, stream: OutputStream, attempt?: Uint64): string | null {
    const run = this.lastRun(task, attempt);
    return run === null ? null : this.files.output(run.task, run.attempt, stream);
  }

  private lastRun(task: TaskId, attempt?: Uint64): Run | null {
    for (let index = this.runs.length - 1; index >= 0; index--) {
      const run = this.runs[index]!;
      if (run.task === task && (attempt === undefined || run.attempt === attempt)) return run;
    }
    return null;
  }

  /** Launches a task. `onExit` is called when it ends other than by `stop` or `kill`. */
  launch(
    machine: TaskMachine,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: ExitReason) => void,
    onProgress: (progress: TaskProgress) => void,
  ): RunningTask {
    const description = this.descriptions.get(parseTaskId(task).job) ?? UNKNOWN_JOB;
    const run = this.recordRun(task, attempt, machine.id);
    const simulatedRunMs = (description.runS * 1000 * (machine.slow ?? 1)) / this.settings.speed;
    const listener = { onExit, onProgress };
    const taskAttempt = new TaskAttempt(this, { run, description, simulatedRunMs }, listener);
    this.images.fetch(
      machine,
      { name: description.image, sizeGb: description.imageGb },
      () => onProgress('fetching'),
      () => taskAttempt.imageReady(),
    );
    return taskAttempt;
  }

  private recordRun(task: TaskId, attempt: Uint64, machine: string): Run {
    const run: Run = { task, attempt, machine, from: this.clock.now, to: null, why: null };
    this.runs.push(run);
    if (this.runs.length > MAX_RUNS) this.runs.splice(0, MAX_RUNS / 2);
    return run;
  }

  // ---- operations for attempts

  isDone(task: TaskId): boolean {
    return this.doneTasks.has(task);
  }

  markDone(task: TaskId): void {
    this.doneTasks.add(task);
    this.onDone(task);
  }

  startCommand(
    { task, attempt, description }: TaskAttempt,
    onExit: (code: number | null) => void,
  ): ChildProcess {
    const gangTasks = description.kind === 'gang' ? this.gangs.tasksOf({ task, attempt }) : null;
    const command = { task, attempt, command: description.command!, taskCount: description.tasks, gangTasks };
    return startCommand(command, this.files, this.guard, onExit);
  }

  hasSavedProgress(run: Run): boolean {
    return this.files.hasCheckpointSince(run.task, run.from);
  }
}

/** @deprecated Use TaskRunner. */
export const Tasks = TaskRunner;
/** @deprecated Use TaskRunner. */
export type Tasks = TaskRunner;
