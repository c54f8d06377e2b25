// Simulated task execution: array tasks run for a fixed time, service tasks until they are stopped, and gang
// members together.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { RunningTask } from '../../packages/local-cluster/src/fake-worker.ts';
import type { ExitReason, JobSpec } from '../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';
import type { Uint64 } from '../../src/types/uint64.ts';
import type { RuleChecker } from './rule-checker.ts';
import type { SubmittedJob } from './simulated-users.ts';

/** The parts of a simulated world that running tasks use. */
export interface TaskEnvironment extends SimulationClock {
  readonly jobs: ReadonlyMap<string, SubmittedJob>;
  /** Run time of a task in seconds, unless `runSByJob` has another one for its job. */
  readonly runS: number;
  readonly runSByJob: ReadonlyMap<string, number>;
  /** Simulated time at which each running array task completes. */
  readonly endsAt: Map<string, number>;
  readonly rules: RuleChecker | null;
  readonly onTaskDone: ((task: TaskId) => void) | null;
}

/** Callbacks with which a running task reports to its machine. */
interface TaskCallbacks {
  /** The task has completed its work. */
  onDone: () => void;
  onExit: (reason: ExitReason) => void;
  onState: (state: 'waiting' | 'running') => void;
}

/** How long gang members wait for each other to start, and how long they run on after one has left. */
export interface GangTimeouts {
  gangWaitS: number;
  gangPeerS: number;
}

/** The present members of a gang, by task. */
type Gang = Map<TaskId, TaskCallbacks>;

/** Runs the tasks of a simulated world. */
export class SimulatedTasks {
  /** Gangs by job and attempt: `JOB@ATTEMPT`. */
  private readonly gangs = new Map<string, Gang>();

  constructor(
    private readonly environment: TaskEnvironment,
    private readonly timeouts: GangTimeouts,
  ) {}

  /** Starts a task; its initial state is `running`. */
  launch(
    task: TaskId,
    attempt: Uint64,
    onExit: TaskCallbacks['onExit'],
    onState: TaskCallbacks['onState'],
  ): RunningTask {
    const { environment } = this;
    const { job } = parseTaskId(task);
    const spec = environment.jobs.get(job)?.spec;
    const runMs = (environment.runSByJob.get(job) ?? environment.runS) * 1000;
    const onDone = (): void => {
      environment.rules?.onTaskDone(task);
      environment.onTaskDone?.(task);
      onExit('done');
    };
    if (spec?.kind === 'gang') return this.joinGang(spec, task, attempt, runMs, { onDone, onExit, onState });
    if (spec?.kind !== 'service') {
      environment.endsAt.set(task, environment.now + runMs);
      environment.after(runMs, onDone);
    }
    return { stop: (_graceS, onStopped) => onStopped(false), kill: () => {} };
  }

  /** Adds a member to the gang of its attempt; all members of an attempt start, complete and end together. */
  private joinGang(
    spec: JobSpec,
    task: TaskId,
    attempt: Uint64,
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
      // Deferred by one event, because the initial state is `running`.
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

  /** Removes a member; if the gang was running, the others exit after `gangPeerS`. */
  private leaveGang(spec: JobSpec, gang: Gang, task: TaskId, member: TaskCallbacks): void {
    const wasRunning = gang.size === spec.tasks;
    if (gang.get(task) === member) gang.delete(task);
    if (!wasRunning) return;
    this.environment.after(this.timeouts.gangPeerS * 1000, () => {
      for (const [otherTask, other] of [...gang]) if (gang.delete(otherTask)) other.onExit('peers');
    });
  }
}
