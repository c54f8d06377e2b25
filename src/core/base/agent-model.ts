// What agents (the workers on machines) and controllers say to each other.
import type {
  Attempt,
  FencingToken,
  MachineId,
  NodeId,
  TaskId,
  TypeName,
  ZoneName,
} from '../../types/index.ts';

/**
 * State of a task on its machine. `waiting`: for the other tasks of its gang. `saving`: a checkpoint, before
 * it stops.
 */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. `peers`: another task of its gang ended. `alone`: the others of its gang did not start
 * in time. `no_room`, `busy`, `unknown`: the machine refused to start it, for lack of free capacity, because
 * the task is in use there already, or because it does not know the task.
 */
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** A task in a machine's list. */
export interface TaskStatus {
  task: TaskId;
  attempt: Attempt;
  state: TaskState;
  /** Null while it has not exited. */
  exitReason: ExitReason | null;
  /** A checkpoint has been saved, from which a later attempt goes on. */
  checkpointed: boolean;
}

/** A heartbeat of a machine's agent. */
export interface Heartbeat {
  machine: MachineId;
  /** Address at which the agent answers probes. */
  addr: string;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
  /** Session of the agent: a new one begins when its lease has expired and its tasks have been stopped. */
  agentEpoch: number;
  /** Number of the heartbeat; later ones of the same epoch have higher ones. */
  seq: number;
  /** The highest fencing token that the agent has seen; it follows no commands under a lower one. */
  fencingToken: FencingToken;
  /** Seconds until the machine is preempted; null if it has no notice. */
  preemptionNoticeS: number | null;
  /** All tasks on the machine, and exited ones that it has not been told to forget. */
  tasks: readonly TaskStatus[];
}

/** What an agent is to do; `graceS`: seconds for saving a checkpoint. */
export type Command =
  | { op: 'start'; task: TaskId; attempt: Attempt }
  | { op: 'stop'; task: TaskId; attempt: Attempt; graceS: number }
  | { op: 'forget'; task: TaskId; attempt: Attempt };

/** Response to a heartbeat. `redirect`: to another controller, any other for null. */
export type HeartbeatResponse =
  | { kind: 'commands'; fencingToken: FencingToken; commands: Command[] }
  | { kind: 'redirect'; node: NodeId | null };

/** An agent's reply to a probe; `executed`: it followed the commands that came with it. */
export type WorkerReply =
  | { kind: 'heartbeat'; heartbeat: Heartbeat; executed: boolean }
  | { kind: 'no-answer' };
