// Agent side of the worker protocol: encodes heartbeats, decodes commands. The controller side is worker.ts.
import type { Command, Heartbeat, HeartbeatResponse, TaskStatus } from '../core/base/model.ts';
import { stringifyJson } from '../types/exact-json.ts';
import type { Attempt, FencingToken, NodeId, TaskId } from '../types/index.ts';
import type { Uint64 } from '../types/uint64.ts';
import {
  asObject,
  InvalidMessageError,
  type JsonObject,
  readAmount,
  readString,
  readUint64,
  wireNameOf,
} from './json-fields.ts';
import { readObjectList } from './service-side.ts';
import { WORKER_EXIT_REASONS, WORKER_TASK_STATES } from './worker.ts';

const encodeTask = (task: TaskStatus): unknown => ({
  piece: task.task,
  try: task.attempt,
  status: wireNameOf(WORKER_TASK_STATES, task.state),
  ...(task.exitReason === null ? {} : { cause: wireNameOf(WORKER_EXIT_REASONS, task.exitReason) }),
  ...(task.checkpointed ? { stored: true } : {}),
});

/** Encodes the body of a heartbeat. */
export function encodeHeartbeat(heartbeat: Heartbeat): string {
  return stringifyJson({
    berth: heartbeat.machine,
    endpoint: heartbeat.addr,
    berthkind: heartbeat.type,
    yard: heartbeat.zone,
    loaners: heartbeat.spot,
    shift: heartbeat.agentEpoch,
    tally: heartbeat.seq,
    baton: heartbeat.fencingToken,
    recallS: heartbeat.preemptionNoticeS,
    pieces: heartbeat.tasks.map(encodeTask),
  });
}

function decodeCommand(fields: JsonObject): Command {
  const task = readString(fields, 'piece') as TaskId;
  const attempt = readUint64(fields, 'try') as Attempt;
  switch (fields.verb) {
    case 'launch':
      return { op: 'start', task, attempt };
    case 'kill':
      return { op: 'stop', task, attempt, graceS: readAmount(fields, 'windownS') };
    case 'reap':
      return { op: 'forget', task, attempt };
  }
  throw new InvalidMessageError('verb is unknown');
}

/** Decoded commands for a worker. */
export interface DecodedCommands {
  /** The fencing token of the commands. */
  fencingToken: FencingToken;
  /** The agent epoch that the commands are meant for; null if the message has none. */
  agentEpoch: Uint64 | null;
  commands: Command[];
}

/** Decodes a controller's commands; throws `InvalidMessageError`. */
export function decodeCommands(json: unknown): DecodedCommands {
  const fields = asObject(json, 'the orders');
  return {
    fencingToken: readUint64(fields, 'baton') as FencingToken,
    agentEpoch: fields.shift === undefined ? null : readUint64(fields, 'shift', 1),
    commands: readObjectList(fields, 'orders').map(decodeCommand),
  };
}

/**
 * Decodes the response to a heartbeat; null if its status is neither 200 (commands) nor 421 (redirect).
 * Throws `InvalidMessageError`.
 */
export function decodeHeartbeatResponse(status: number, json: unknown): HeartbeatResponse | null {
  if (status === 421) {
    const { foreman } = asObject(json, 'the response');
    return { kind: 'redirect', node: typeof foreman === 'string' ? (foreman as NodeId) : null };
  }
  if (status !== 200) return null;
  const { fencingToken, commands } = decodeCommands(json);
  return { kind: 'commands', fencingToken, commands };
}
