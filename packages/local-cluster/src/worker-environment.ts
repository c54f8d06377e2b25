// The environment of a worker: it delivers heartbeats to controllers and runs tasks.
import type { ExitReason, Heartbeat, HeartbeatResponse } from '../../../src/core/base/model.ts';
import type { TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import type { SimulationClock } from './clock.ts';

/** A running task on a machine. */
export interface RunningTask {
  /**
   * Requests its end, with `graceS` seconds for a checkpoint; `ended` gets whether its progress was saved.
   */
  stop(graceS: number, ended: (saved: boolean) => void): void;
  /** Kills it at once, as when its machine is terminated. */
  kill(): void;
}

/** The state of a task before its end. */
export type TaskProgress = 'fetching' | 'waiting' | 'running';

/** The environment of workers of type `Worker`. */
export interface EnvironmentOf<Worker> extends SimulationClock {
  /** Interval between heartbeats without changes, in milliseconds. */
  readonly reportMs: number;
  /** Time for which a worker runs tasks without a response from a controller, in milliseconds. */
  readonly leaseMs: number;
  /** Names of the controllers, in the order in which workers try them. */
  readonly nodeNames: readonly string[];
  /**
   * Sends a heartbeat. `onResponse` gets null if there is no response within `timeoutMs` or no connection.
   */
  sendHeartbeat(
    worker: Worker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onResponse: (response: HeartbeatResponse | null) => void,
  ): void;
  /** Called when a task is started on a machine; the environment may check whether it is allowed there. */
  onTaskPlaced(worker: Worker, task: TaskId): void;
  /**
   * Runs a task, whose first state is `running`. `onExit` is called when it ends other than by `stop` or
   * `kill`, `onProgress` when its state changes before.
   */
  launch(
    worker: Worker,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: ExitReason) => void,
    onProgress: (progress: TaskProgress) => void,
  ): RunningTask;
  /** Called when the machine is terminated with all its tasks. */
  onMachineTerminated(worker: Worker): void;
}
