// Tasks as they run on the machines of a simulated world: for a fixed time, until they are stopped, or as a
// gang.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { RunningTask } from '../../packages/local-cluster/src/fake-worker.ts';
import type { ExitReason, JobSpec } from '../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';
import type { RuleChecker } from './rule-checker.ts';
import type { SubmittedJob } from './simulated-users.ts';

/** What a simulated world offers tasks that run. */
export interface TaskEnvironment extends SimulationClock {
  readonly jobs: ReadonlyMap<string, SubmittedJob>;
  /** How long tasks run, in seconds, and those of a job that run otherwise. */
  readonly runS: number;
  readonly runOf: ReadonlyMap<string, number>;
  /** When tasks that run end by themselves. */
  readonly endsAt: Map<string, number>;
  readonly rules: RuleChecker | null;
  readonly onEnd: ((task: TaskId) => void) | null;
}

/** What a running task tells its machine. */
interface TaskCallbacks {
  /** It ends by itself, with its work done. */
  onDone: () => void;
  onExit: (reason: ExitReason) => void;
  onState: (state: 'waiting' | 'running') => void;
}

/** How long members of a gang wait for each other, and go on after one has gone. */
export interface GangTimeouts {
  gangWaitS: number;
  gangPeerS: number;
}

/** Members of a gang that are there, by task. */
type Gang = Map<TaskId, TaskCallbacks>;

/** Runs the tasks of a simulated world. */
export class SimulatedTasks {
  /** Gangs by job and attempt. */
  private readonly gangs = new Map<string, Gang>();

  constructor(
    private readonly environment: TaskEnvironment,
    private readonly timeouts: GangTimeouts,
  ) {}

  /** Runs a task, which begins in the state `running`. */
  launch(
    task: TaskId,
    attempt: number,
    onExit: TaskCallbacks['onExit'],
    onState: TaskCallbacks['onState'],
  ): RunningTask {
    const { environment } = this;
    const { job } = parseTaskId(task);
    const spec = environment.jobs.get(job)?.spec;
    const runMs = (environment.runOf.get(job) ?? environment.runS) * 1000;
    const onDone = (): void => {
      environment.rules?.completed(task);
      environment.onEnd?.(task);
      onExit('done');
    };
    if (spec?.kind === 'gang') return this.joinGang(spec, task, attempt, runMs, { onDone, onExit, onState });
    if (spec?.kind !== 'service') {
      environment.endsAt.set(task, environment.now + runMs);
      environment.after(runMs, onDone);
    }
    return { stop: (_graceS, onStopped) => onStopped(false), kill: () => {} };
  }

  /** The tasks of a gang find one another by their attempt: they run, complete and end together. */
  private joinGang(
    spec: JobSpec,
    task: TaskId,
    attempt: number,
    runMs: number,
    member: TaskCallbacks,
  ): RunningTask {
    const { environment } = this;
    const key = `${spec.id}@${attempt}`;
    const gang: Gang = this.gangs.get(key) ?? new Map();
    this.gangs.set(key, gang);
    gang.set(task, member);
    if (gang.size === spec.tasks) this.runGang(spec, gang, runMs);
    else {
      const isWaiting = (): boolean => gang.get(task) === member && gang.size < spec.tasks;
      // Told as what it is at the next moment: it begins as running.
      environment.after(0, () => isWaiting() && member.onState('waiting'));
      environment.after(this.timeouts.gangWaitS * 1000, () => isWaiting() && member.onExit('alone'));
    }
    const leave = (): void => this.leaveGang(spec, gang, task, member);
    return {
      stop: (_graceS, onStopped) => {
        leave();
        onStopped(false);
      },
      kill: leave,
    };
  }

  private runGang(spec: JobSpec, gang: Gang, runMs: number): void {
    for (const member of gang.values()) member.onState('running');
    this.environment.after(runMs, () => {
      if (gang.size === spec.tasks) for (const member of [...gang.values()]) member.onDone();
    });
  }

  /** A member has gone; the others end some time later, if they ran with it. */
  private leaveGang(spec: JobSpec, gang: Gang, task: TaskId, member: TaskCallbacks): void {
    const wasRunning = gang.size === spec.tasks;
    if (gang.get(task) === member) gang.delete(task);
    if (!wasRunning) return;
    this.environment.after(this.timeouts.gangPeerS * 1000, () => {
      for (const [otherTask, other] of [...gang]) if (gang.delete(otherTask)) other.onExit('peers');
    });
  }
}
