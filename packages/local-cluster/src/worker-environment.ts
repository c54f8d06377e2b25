// What a worker needs around it: controllers to report to, and something that runs its tasks.
import type { ExitReason, Heartbeat, HeartbeatResponse } from '../../../src/core/base/model.ts';
import type { TaskId } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';

/** A task under way on a machine. */
export interface RunningTask {
  /** Asks it to end, with so many seconds for a checkpoint; `ended` says whether its progress was saved. */
  stop(graceS: number, ended: (saved: boolean) => void): void;
  /** Ends it at once and for good, as when its machine is gone. */
  kill(): void;
}

/** What a task does before it ends. */
export type TaskProgress = 'fetching' | 'waiting' | 'running';

/** The world of workers of type `Worker`. */
export interface EnvironmentOf<Worker> extends SimulationClock {
  /** Milliseconds between heartbeats when nothing changes. */
  readonly reportMs: number;
  /** Milliseconds for which a worker goes on unanswered. */
  readonly leaseMs: number;
  /** Controllers, in the order in which workers try them. */
  readonly nodeNames: readonly string[];
  /** Sends a heartbeat. `done` gets null for no answer within the time, or nobody there. */
  sendReport(
    worker: Worker,
    node: string,
    report: Heartbeat,
    timeoutMs: number,
    done: (response: HeartbeatResponse | null) => void,
  ): void;
  /** A task was put on a machine; the environment may check whether it is allowed there. */
  placed(worker: Worker, task: TaskId): void;
  /**
   * Runs a task; `end` is called when it ends by itself, `is` when its state changes before (it begins as
   * running).
   */
  launch(
    worker: Worker,
    task: TaskId,
    attempt: number,
    end: (why: ExitReason) => void,
    is: (state: TaskProgress) => void,
  ): RunningTask;
  /** The machine and all that is on it are no more. */
  gone(worker: Worker): void;
}
