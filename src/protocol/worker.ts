// Workers' reports and the commands they are given.
import type {
  Command,
  ExitReason,
  Heartbeat,
  HeartbeatResponse,
  TaskState,
  TaskStatus,
} from '../core/base/model.ts';
import type { Attempt, FencingToken, MachineId, TaskId, TypeName, ZoneName } from '../types/index.ts';
import { amount, asObject, count, flag, InvalidMessageError, optional, text } from './job.ts';

export const STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
export const REASONS: Record<string, ExitReason> = {
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
  const f = asObject(json, 'a piece');
  const state = STATES[text(f, 'status')];
  if (state === undefined) throw new InvalidMessageError('status is unknown');
  const why = optional(f, 'cause', text);
  return {
    task: text(f, 'piece') as TaskId,
    attempt: count(f, 'try') as Attempt,
    state,
    // A reason this version does not know is treated as a failure of the task.
    exitReason: state === 'exited' ? (REASONS[why ?? 'error'] ?? 'error') : null,
    checkpointed: f.stored === true,
  };
}

export function parseHeartbeat(json: unknown): Heartbeat {
  const f = asObject(json, 'the report');
  const tasks = f.pieces ?? [];
  if (!Array.isArray(tasks)) throw new InvalidMessageError('pieces must be a list');
  return {
    machine: text(f, 'berth') as MachineId,
    addr: text(f, 'endpoint'),
    type: text(f, 'berthkind') as TypeName,
    zone: text(f, 'yard') as ZoneName,
    spot: flag(f, 'loaners'),
    agentEpoch: count(f, 'shift', 1),
    seq: count(f, 'tally'),
    fencingToken: count(f, 'baton') as FencingToken,
    preemptionNoticeS: optional(f, 'recallS', amount),
    tasks: tasks.map(parseTask),
  };
}

function encodeCommand(c: Command): unknown {
  if (c.op === 'start') return { verb: 'launch', piece: c.task, try: c.attempt };
  if (c.op === 'stop') return { verb: 'kill', piece: c.task, try: c.attempt, windownS: c.graceS };
  return { verb: 'reap', piece: c.task, try: c.attempt };
}

export function encodeCommands(token: FencingToken, commands: Command[], session?: number): string {
  return JSON.stringify({
    baton: token,
    ...(session === undefined ? {} : { shift: session }),
    orders: commands.map(encodeCommand),
  });
}

export function encodeHeartbeatResponse(a: HeartbeatResponse): { status: number; body: string } {
  if (a.kind === 'commands') return { status: 200, body: encodeCommands(a.fencingToken, a.commands) };
  return { status: 421, body: JSON.stringify(a.node === null ? {} : { foreman: a.node }) };
}
