// Controller side of the worker protocol: decodes heartbeats, encodes the commands in response.
import type {
  Command,
  ExitReason,
  Heartbeat,
  HeartbeatResponse,
  TaskState,
  TaskStatus,
} from '../core/base/model.ts';
import { stringifyJson } from '../types/exact-json.ts';
import type { Attempt, FencingToken, MachineId, MachineTypeName, TaskId, ZoneName } from '../types/index.ts';
import type { Uint64 } from '../types/uint64.ts';
import {
  asObject,
  InvalidMessageError,
  readAmount,
  readBoolean,
  readOptional,
  readString,
  readUint64,
} from './json-fields.ts';

/** Task states by their names in the worker protocol. */
export const WORKER_TASK_STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

/** Reasons why a task exited, by their names in the worker protocol. */
export const WORKER_EXIT_REASONS: Record<string, ExitReason> = {
  done: 'done',
  halted: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  full: 'no_room',
  in_use: 'busy',
  no_such: 'unknown',
};

function parseTask(json: unknown): TaskStatus {
  const fields = asObject(json, 'a piece');
  const state = WORKER_TASK_STATES[readString(fields, 'status')];
  if (state === undefined) throw new InvalidMessageError('status is unknown');
  const reason = readOptional(fields, 'cause', readString);
  return {
    task: readString(fields, 'piece') as TaskId,
    attempt: readUint64(fields, 'try') as Attempt,
    state,
    // An unknown exit reason is treated as `error`, a failure of the task.
    exitReason: state === 'exited' ? (WORKER_EXIT_REASONS[reason ?? 'error'] ?? 'error') : null,
    checkpointed: fields.stored === true,
  };
}

/** Decodes a worker's heartbeat; throws `InvalidMessageError`. */
export function parseHeartbeat(json: unknown): Heartbeat {
  const fields = asObject(json, 'the report');
  const tasks = fields.pieces ?? [];
  if (!Array.isArray(tasks)) throw new InvalidMessageError('pieces must be a list');
  return {
    machine: readString(fields, 'berth') as MachineId,
    addr: readString(fields, 'endpoint'),
    type: readString(fields, 'berthkind') as MachineTypeName,
    zone: readString(fields, 'yard') as ZoneName,
    spot: readBoolean(fields, 'loaners'),
    agentEpoch: readUint64(fields, 'shift', 1),
    seq: readUint64(fields, 'tally'),
    fencingToken: readUint64(fields, 'baton') as FencingToken,
    preemptionNoticeS: readOptional(fields, 'recallS', readAmount),
    tasks: tasks.map(parseTask),
  };
}

function encodeCommand(command: Command): unknown {
  const { task, attempt } = command;
  if (command.op === 'start') return { verb: 'launch', piece: task, try: attempt };
  if (command.op === 'stop') return { verb: 'kill', piece: task, try: attempt, windownS: command.graceS };
  return { verb: 'reap', piece: task, try: attempt };
}

/** Encodes commands with a fencing token. With `agentEpoch`, only the agent in this epoch executes them. */
export function encodeCommands(fencingToken: FencingToken, commands: Command[], agentEpoch?: Uint64): string {
  return stringifyJson({
    baton: fencingToken,
    ...(agentEpoch === undefined ? {} : { shift: agentEpoch }),
    orders: commands.map(encodeCommand),
  });
}

/** Encodes the response to a heartbeat: commands, or a redirect to the controller that takes heartbeats. */
export function encodeHeartbeatResponse(response: HeartbeatResponse): { status: number; body: string } {
  if (response.kind === 'commands')
    return { status: 200, body: encodeCommands(response.fencingToken, response.commands) };
  const body = response.node === null ? {} : { foreman: response.node };
  return { status: 421, body: JSON.stringify(body) };
}
