// JSON format in which controllers relay workers' heartbeats and the responses to them. Its field names are
// part of the peer protocol and must not change.
import type {
  Command,
  ExitReason,
  Heartbeat,
  HeartbeatResponse,
  TaskState,
  TaskStatus,
} from '../core/base/model.ts';
import type {
  Attempt,
  FencingToken,
  MachineId,
  MachineTypeName,
  NodeId,
  TaskId,
  ZoneName,
} from '../types/index.ts';
import type { Uint64 } from '../types/uint64.ts';

interface RelayedTask {
  task: TaskId;
  attempt: Attempt;
  state: TaskState;
  why: ExitReason | null;
  saved: boolean;
}

/** A heartbeat in the JSON format for relaying. */
export interface RelayedHeartbeat {
  machine: MachineId;
  addr: string;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
  session: Uint64;
  seq: Uint64;
  token: FencingToken;
  noticeS: number | null;
  tasks: RelayedTask[];
}

/** A response to a heartbeat in the JSON format for relaying. */
export type RelayedResponse =
  | { kind: 'orders'; token: FencingToken; commands: Command[] }
  | { kind: 'elsewhere'; node: NodeId | null };

const encodeTask = (task: TaskStatus): RelayedTask => ({
  task: task.task,
  attempt: task.attempt,
  state: task.state,
  why: task.exitReason,
  saved: task.checkpointed,
});

const decodeTask = (task: RelayedTask): TaskStatus => ({
  task: task.task,
  attempt: task.attempt,
  state: task.state,
  exitReason: task.why,
  checkpointed: task.saved,
});

/** Encodes a heartbeat for relaying. */
export const encodeRelayedHeartbeat = (heartbeat: Heartbeat): RelayedHeartbeat => ({
  machine: heartbeat.machine,
  addr: heartbeat.addr,
  type: heartbeat.type,
  zone: heartbeat.zone,
  spot: heartbeat.spot,
  session: heartbeat.agentEpoch,
  seq: heartbeat.seq,
  token: heartbeat.fencingToken,
  noticeS: heartbeat.preemptionNoticeS,
  tasks: heartbeat.tasks.map(encodeTask),
});

/** Decodes a heartbeat that another controller relayed, without validation: controllers trust each other. */
export function decodeRelayedHeartbeat(json: unknown): Heartbeat {
  const relayed = json as RelayedHeartbeat;
  return {
    machine: relayed.machine,
    addr: relayed.addr,
    type: relayed.type,
    zone: relayed.zone,
    spot: relayed.spot,
    agentEpoch: relayed.session,
    seq: relayed.seq,
    fencingToken: relayed.token,
    preemptionNoticeS: relayed.noticeS,
    tasks: relayed.tasks.map(decodeTask),
  };
}

/** Encodes the response to a heartbeat for relaying. */
export const encodeRelayedResponse = (response: HeartbeatResponse): RelayedResponse =>
  response.kind === 'commands'
    ? { kind: 'orders', token: response.fencingToken, commands: response.commands }
    : { kind: 'elsewhere', node: response.node };

/** Decodes a response that another controller relayed, without validation. */
export function decodeRelayedResponse(json: unknown): HeartbeatResponse {
  const relayed = json as RelayedResponse;
  return relayed.kind === 'orders'
    ? { kind: 'commands', fencingToken: relayed.token, commands: relayed.commands }
    : { kind: 'redirect', node: relayed.node };
}
