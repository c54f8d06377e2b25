// What runs on the local cluster's machines: commands of jobs as child processes, or simulated run times.
import type { ChildProcess } from 'node:child_process';
import type { ExitReason } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
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
  /** Its tasks take so many times as long; 1 if it is not given. */
  slow?: number;
}

/** How tasks run. */
export interface TaskRunnerSettings extends GangTimes {
  /** Fetches and simulated run times are so many times as fast. */
  speed: number;
}

/** So many starts are remembered. */
const MAX_RUNS = 200_000;
/** A job that no user has described. */
const UNKNOWN_JOB: JobDescription = {
  kind: 'array',
  tasks: 1,
  image: '',
  imageGb: 0,
  runS: 5,
  command: null,
};

/** Runs tasks of all jobs on all machines. */
export class TaskRunner implements AttemptRunner {
  readonly runs: Run[] = [];
  readonly gangs: GangCoordinator;
  /** Called with every task that is done, before its worker reports it. */
  onDone: (task: TaskId) => void = () => {};
  private readonly descriptions = new Map<string, JobDescription>();
  private readonly done = new Set<TaskId>();
  private readonly images: ImageCaches;
  private readonly files: TaskFiles;

  /** `dir`: where files of jobs are put. */
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

  /** Makes a job known to the machines. */
  describe(job: string, description: JobDescription): void {
    this.descriptions.set(job, description);
  }

  /** A task that was done in an earlier run of the cluster: it is not run again. */
  remember(task: TaskId): void {
    this.done.add(task);
  }

  /** The recorded output of a task's newest attempt, or of `attempt`; null if it was not started here. */
  logFile(task: TaskId, stream: OutputStream, attempt?: number): string | null {
    const run = this.lastRun(task, attempt);
    return run === null ? null : this.files.output(run.task, run.attempt, stream);
  }

  private lastRun(task: TaskId, attempt?: number): Run | null {
    for (let index = this.runs.length - 1; index >= 0; index--) {
      const run = this.runs[index]!;
      if (run.task === task && (attempt === undefined || run.attempt === attempt)) return run;
    }
    return null;
  }

  /** Launches a task. `end` is called when it ends by itself, `is` when its state changes before. */
  launch(
    machine: TaskMachine,
    task: TaskId,
    attempt: number,
    end: (why: ExitReason) => void,
    is: (state: TaskProgress) => void,
  ): RunningTask {
    const description = this.descriptions.get(parseTaskId(task).job) ?? UNKNOWN_JOB;
    const run = this.recordRun(task, attempt, machine.id);
    const simulatedRunMs = (description.runS * 1000 * (machine.slow ?? 1)) / this.settings.speed;
    const listener = { onExit: end, onProgress: is };
    const taskAttempt = new TaskAttempt(this, { run, description, simulatedRunMs }, listener);
    this.images.fetch(
      machine,
      { name: description.image, gb: description.imageGb },
      () => is('fetching'),
      () => taskAttempt.imageReady(),
    );
    return taskAttempt;
  }

  private recordRun(task: TaskId, attempt: number, machine: string): Run {
    const run: Run = { task, attempt, machine, from: this.clock.now, to: null, why: null };
    this.runs.push(run);
    if (this.runs.length > MAX_RUNS) this.runs.splice(0, MAX_RUNS / 2);
    return run;
  }

  // ---- for attempts

  isDone(task: TaskId): boolean {
    return this.done.has(task);
  }

  markDone(task: TaskId): void {
    this.done.add(task);
    this.onDone(task);
  }

  startCommand(
    { task, attempt, description }: TaskAttempt,
    onExit: (code: number | null) => void,
  ): ChildProcess {
    const gang = description.kind === 'gang' ? this.gangs.tasksOf({ task, attempt }) : null;
    const command = { task, attempt, command: description.command!, tasks: description.tasks, gang };
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
