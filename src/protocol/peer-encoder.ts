// Encodes messages to other controllers. Field names are those of peer.proto.
import type {
  Command,
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  Heartbeat,
  PeerMessage,
  TaskStatus,
  UserRequest,
  UserResponse,
} from '../core/base/model.ts';
import { encodeJobSpec } from '../core/storage/job-record.ts';
import { stringifyJson } from '../types/exact-json.ts';
import { swiftford } from './generated/peer.js';
import { LENGTH_PREFIX_BYTES } from './peer-frames.ts';
import { COMMAND_OPS, EXIT_REASONS, TASK_STATES } from './peer-names.ts';
import { encodeUint64 } from './peer-uint64.ts';
import { encodeRelayedHeartbeat, encodeRelayedResponse } from './relay.ts';

const { Envelope } = swiftford.peer;
const { Op } = swiftford.peer.UserRequest;
const { Kind: ResponseKind } = swiftford.peer.UserResponse;
const { Kind: ForwardedKind } = swiftford.peer.ForwardedHeartbeatResponse;

/** Encodes a message as a frame with its length prefix. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const body = Envelope.encode(envelopeOf(message)).finish();
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_PREFIX_BYTES);
  return frame;
}

function envelopeOf(message: PeerMessage): swiftford.peer.IEnvelope {
  switch (message.kind) {
    case 'hello':
      return { hello: encodeHello(message) };
    case 'load':
      return { load: encodeLoad(message) };
    case 'user-request':
      return { userRequest: encodeUserRequest(message.id, message.request) };
    case 'user-response':
      return { userResponse: encodeUserResponse(message.id, message.response) };
    case 'forwarded-heartbeat':
      return { forwardedHeartbeat: encodeForwardedHeartbeat(message.id, message.heartbeat) };
    case 'forwarded-heartbeat-response':
      return { forwardedHeartbeatResponse: encodeForwardedResponse(message.id, message.response) };
    case 'relayed-heartbeat': {
      const heartbeat = stringifyJson(encodeRelayedHeartbeat(message.heartbeat));
      return { relayedHeartbeat: { id: message.id, heartbeat } };
    }
    case 'relayed-heartbeat-response': {
      const { id, response } = message;
      const json = response === null ? '' : stringifyJson(encodeRelayedResponse(response));
      return { relayedHeartbeatResponse: { id, response: json } };
    }
  }
}

const encodeHello = (message: Extract<PeerMessage, { kind: 'hello' }>): swiftford.peer.IHello => ({
  node: message.node,
  leaderTerm: encodeUint64(message.leaderTerm),
  supportsDependencies: message.supportsDependencies,
  supportsForwarding: message.supportsForwarding,
  supportsConfigDocuments: message.supportsConfigDocuments,
});

const encodeLoad = (message: Extract<PeerMessage, { kind: 'load' }>): swiftford.peer.ILoad => ({
  level: message.level,
  afterS: message.afterS,
  workers: message.workers,
  backlogS: message.backlogS,
  memoryShort: message.memoryShort,
  configRevision: encodeUint64(message.configRevision),
  leaderTerm: encodeUint64(message.leaderTerm),
});

function encodeUserRequest(id: number, request: UserRequest): swiftford.peer.IUserRequest {
  switch (request.op) {
    case 'submit': {
      const spec = JSON.stringify(encodeJobSpec(request.spec));
      return { id, op: Op.SUBMIT, job: request.spec.id, spec };
    }
    case 'status':
      return { id, op: Op.STATUS, job: request.id };
    case 'cancel':
      return { id, op: Op.CANCEL, job: request.id };
  }
}

function encodeUserResponse(id: number, response: UserResponse | null): swiftford.peer.IUserResponse {
  if (response === null) return { id, kind: ResponseKind.NONE };
  switch (response.kind) {
    case 'accepted':
      return { id, kind: ResponseKind.ACCEPTED, job: response.id };
    case 'known':
      return { id, kind: ResponseKind.KNOWN, job: response.id, status: response.status };
    case 'ended':
      return { id, kind: ResponseKind.ENDED, job: response.id, status: response.status };
    case 'status':
      return encodeJobStatus(id, response);
    case 'too-large':
      return { id, kind: ResponseKind.TOO_LARGE, reason: response.reason };
    case 'impossible':
      return { id, kind: ResponseKind.IMPOSSIBLE, reason: response.reason };
    case 'not-found':
      return { id, kind: ResponseKind.NOT_FOUND };
    case 'retry': {
      const { afterS, reason, overload } = response;
      return { id, kind: ResponseKind.RETRY, afterS, reason, overload };
    }
  }
}

const encodeJobStatus = (
  id: number,
  response: Extract<UserResponse, { kind: 'status' }>,
): swiftford.peer.IUserResponse => ({
  id,
  kind: ResponseKind.STATUS,
  job: response.id,
  status: response.status,
  done: response.done,
  running: response.running,
  dependsOn: response.dependsOn ?? [],
  reason: response.reason ?? '',
});

const encodeTask = (task: TaskStatus): swiftford.peer.ITaskStatus => ({
  task: task.task,
  attempt: encodeUint64(task.attempt),
  state: TASK_STATES.indexOf(task.state),
  exitReason: EXIT_REASONS.indexOf(task.exitReason),
  checkpointed: task.checkpointed,
});

const encodeForwardedHeartbeat = (
  id: number,
  forwarded: ForwardedHeartbeat,
): swiftford.peer.IForwardedHeartbeat =>
  forwarded.kind === 'delta' ? encodeDelta(id, forwarded) : encodeFullHeartbeat(id, forwarded.heartbeat);

const encodeDelta = (
  id: number,
  delta: Extract<ForwardedHeartbeat, { kind: 'delta' }>,
): swiftford.peer.IForwardedHeartbeat => ({
  id,
  machine: delta.machine,
  agentEpoch: encodeUint64(delta.agentEpoch),
  seq: encodeUint64(delta.seq),
  fencingToken: encodeUint64(delta.fencingToken),
  preemptionNoticeS: delta.preemptionNoticeS,
  baseSeq: encodeUint64(delta.baseSeq),
  removed: delta.removed,
  tasks: delta.changed.map((change) => ({ ...encodeTask(change.task), index: change.at })),
});

const encodeFullHeartbeat = (id: number, heartbeat: Heartbeat): swiftford.peer.IForwardedHeartbeat => ({
  id,
  machine: heartbeat.machine,
  agentEpoch: encodeUint64(heartbeat.agentEpoch),
  seq: encodeUint64(heartbeat.seq),
  fencingToken: encodeUint64(heartbeat.fencingToken),
  preemptionNoticeS: heartbeat.preemptionNoticeS,
  addr: heartbeat.addr,
  type: heartbeat.type,
  zone: heartbeat.zone,
  spot: heartbeat.spot,
  tasks: heartbeat.tasks.map(encodeTask),
});

const encodeCommand = (command: Command): swiftford.peer.ICommand => ({
  op: COMMAND_OPS.indexOf(command.op),
  task: command.task,
  attempt: encodeUint64(command.attempt),
  graceS: command.op === 'stop' ? command.graceS : 0,
});

function encodeForwardedResponse(
  id: number,
  response: ForwardedHeartbeatResponse,
): swiftford.peer.IForwardedHeartbeatResponse {
  if (response === null) return { id, kind: ForwardedKind.NONE };
  switch (response.kind) {
    case 'full-heartbeat-required':
      return { id, kind: ForwardedKind.FULL_HEARTBEAT_REQUIRED };
    case 'redirect':
      return { id, kind: ForwardedKind.REDIRECT, node: response.node ?? '' };
    case 'commands': {
      const commands = response.commands.map(encodeCommand);
      return {
        id,
        kind: ForwardedKind.COMMANDS,
        fencingToken: encodeUint64(response.fencingToken),
        commands,
      };
    }
  }
}
