// Messages between controllers and agents (the worker processes on the machines).
import type {
  Attempt,
  FencingToken,
  MachineId,
  MachineTypeName,
  NodeId,
  TaskId,
  ZoneName,
} from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';

/**
 * State of a task on its machine. `waiting`: it waits for the other tasks of its gang to start. `saving`: it
 * saves a checkpoint before it stops.
 */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. `peers`: another task of its gang ended. `alone`: the other tasks of its gang did not
 * start in time. The machine refused to start the task: `no_room`: it lacks free capacity; `busy`: the task
 * is already in use there; `unknown`: it has no record of the task.
 */
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** A task in the task list of a heartbeat. */
export interface TaskStatus {
  task: TaskId;
  attempt: Attempt;
  state: TaskState;
  /** Null until the task has exited. */
  exitReason: ExitReason | null;
  /** A checkpoint has been saved, from which a later attempt resumes. */
  checkpointed: boolean;
}

/** A heartbeat of a machine's agent. */
export interface Heartbeat {
  machine: MachineId;
  /** Address at which the agent answers probes. */
  addr: string;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
  /**
   * Session number of the agent; a new session begins when its lease has expired and its tasks have been
   * stopped.
   */
  agentEpoch: Uint64;
  /** Sequence number of the heartbeat, increasing within an epoch. */
  seq: Uint64;
  /** The highest fencing token that the agent has received; it rejects commands with a lower one. */
  fencingToken: FencingToken;
  /** Seconds until the machine is preempted; null without a preemption notice. */
  preemptionNoticeS: number | null;
  /** All tasks on the machine, including exited ones until a `forget` command removes them. */
  tasks: readonly TaskStatus[];
}

/**
 * A command to an agent. `graceS`: seconds that the task has to save a checkpoint. `forget`: removes an
 * exited task from the agent's list.
 */
export type Command =
  | { op: 'start'; task: TaskId; attempt: Attempt }
  | { op: 'stop'; task: TaskId; attempt: Attempt; graceS: number }
  | { op: 'forget'; task: TaskId; attempt: Attempt };

/**
 * Response to a heartbeat. `redirect`: the agent must send its heartbeats to the controller `node`, or to any
 * other controller if that is null.
 */
export type HeartbeatResponse =
  | { kind: 'commands'; fencingToken: FencingToken; commands: Command[] }
  | { kind: 'redirect'; node: NodeId | null };

/** An agent's reply to a probe. `executed`: the agent executed the commands sent with the probe. */
export type WorkerReply =
  | { kind: 'heartbeat'; heartbeat: Heartbeat; executed: boolean }
  | { kind: 'no-answer' };
