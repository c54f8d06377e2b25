// Decodes messages from other controllers. Field names are those of peer.proto; missing fields get protobuf's
// default values.
import type {
  Command,
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  JobStatus,
  PeerMessage,
  TaskStatus,
  UserRequest,
  UserResponse,
} from '../core/base/model.ts';
import { decodeJobSpec, type StoredJobSpec } from '../core/storage/job-record.ts';
import { parseJson } from '../types/exact-json.ts';
import type {
  Attempt,
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  NodeId,
  Revision,
  TaskId,
  ZoneName,
} from '../types/index.ts';
import { swiftford } from './generated/peer.js';
import { FrameReader, InvalidPeerMessageError } from './peer-frames.ts';
import { COMMAND_OPS, EXIT_REASONS, TASK_STATES } from './peer-names.ts';
import { decodeUint64 } from './peer-uint64.ts';
import { decodeRelayedHeartbeat, decodeRelayedResponse } from './relay.ts';

const { Envelope } = swiftford.peer;
const { Op } = swiftford.peer.UserRequest;
const { Kind: ResponseKind } = swiftford.peer.UserResponse;
const { Kind: ForwardedKind } = swiftford.peer.ForwardedHeartbeatResponse;

/**
 * Decodes the body of a frame; null if this version does not support the kind of message.
 * Throws an error if the body is malformed or has invalid values.
 */
export function decodePeerMessage(body: Uint8Array): PeerMessage | null {
  const envelope = Envelope.decode(body);
  const { hello, load, forwardedHeartbeat, forwardedHeartbeatResponse } = envelope;
  if (hello) return decodeHello(hello);
  if (load) return decodeLoad(load);
  if (forwardedHeartbeat) {
    const heartbeat = decodeForwardedHeartbeat(forwardedHeartbeat);
    return { kind: 'forwarded-heartbeat', id: forwardedHeartbeat.id ?? 0, heartbeat };
  }
  if (forwardedHeartbeatResponse) {
    const response = decodeForwardedResponse(forwardedHeartbeatResponse);
    return { kind: 'forwarded-heartbeat-response', id: forwardedHeartbeatResponse.id ?? 0, response };
  }
  return decodeUserMessage(envelope) ?? decodeRelayedMessage(envelope);
}

function decodeUserMessage({ userRequest, userResponse }: swiftford.peer.IEnvelope): PeerMessage | null {
  if (userRequest) {
    return { kind: 'user-request', id: userRequest.id ?? 0, request: decodeUserRequest(userRequest) };
  }
  if (userResponse) {
    return { kind: 'user-response', id: userResponse.id ?? 0, response: decodeUserResponse(userResponse) };
  }
  return null;
}

function decodeRelayedMessage(envelope: swiftford.peer.IEnvelope): PeerMessage | null {
  const { relayedHeartbeat: relayed, relayedHeartbeatResponse: relayedResponse } = envelope;
  if (relayed) {
    const heartbeat = decodeRelayedHeartbeat(parseJson(relayed.heartbeat ?? ''));
    return { kind: 'relayed-heartbeat', id: relayed.id ?? 0, heartbeat };
  }
  if (relayedResponse) {
    const json = relayedResponse.response;
    const response = json ? decodeRelayedResponse(parseJson(json)) : null;
    return { kind: 'relayed-heartbeat-response', id: relayedResponse.id ?? 0, response };
  }
  return null;
}

/** Decodes messages from a stream of bytes. */
export class PeerDecoder extends FrameReader {
  /** Returns the messages completed by this chunk, except for unsupported kinds. */
  feed(chunk: Buffer): PeerMessage[] {
    return this.readFrames(chunk)
      .map(decodePeerMessage)
      .filter((message) => message !== null);
  }
}

const decodeHello = (hello: swiftford.peer.IHello): PeerMessage => ({
  kind: 'hello',
  node: hello.node as NodeId,
  leaderTerm: decodeUint64(hello.leaderTerm) as Revision,
  supportsDependencies: hello.supportsDependencies === true,
  supportsForwarding: hello.supportsForwarding === true,
  supportsConfigDocuments: hello.supportsConfigDocuments === true,
});

const decodeLoad = (load: swiftford.peer.ILoad): PeerMessage => ({
  kind: 'load',
  level: Math.min(2, load.level ?? 0) as 0 | 1 | 2,
  afterS: load.afterS ?? 1,
  workers: load.workers ?? 0,
  backlogS: load.backlogS ?? 0,
  memoryShort: load.memoryShort ?? false,
  configRevision: decodeUint64(load.configRevision) as Revision,
  leaderTerm: decodeUint64(load.leaderTerm) as Revision,
});

function decodeUserRequest(request: swiftford.peer.IUserRequest): UserRequest {
  const id = (request.job ?? '') as JobId;
  if (request.op === Op.STATUS) return { op: 'status', id };
  if (request.op === Op.CANCEL) return { op: 'cancel', id };
  return { op: 'submit', spec: decodeJobSpec(JSON.parse(request.spec ?? '') as StoredJobSpec) };
}

function decodeUserResponse(response: swiftford.peer.IUserResponse): UserResponse | null {
  const id = (response.job ?? '') as JobId;
  const status = (response.status ?? 'queued') as JobStatus;
  const reason = response.reason ?? '';
  switch (response.kind) {
    case ResponseKind.ACCEPTED:
      return { kind: 'accepted', id };
    case ResponseKind.KNOWN:
      return { kind: 'known', id, status };
    case ResponseKind.ENDED:
      return { kind: 'ended', id, status: status === 'done' ? 'done' : 'cancelled' };
    case ResponseKind.STATUS:
      return decodeJobStatus(response, id, status);
    case ResponseKind.TOO_LARGE:
      return { kind: 'too-large', reason };
    case ResponseKind.IMPOSSIBLE:
      return { kind: 'impossible', reason };
    case ResponseKind.NOT_FOUND:
      return { kind: 'not-found' };
    case ResponseKind.RETRY:
      return { kind: 'retry', afterS: response.afterS ?? 1, reason, overload: response.overload ?? false };
    default:
      return null;
  }
}

const decodeJobStatus = (
  response: swiftford.peer.IUserResponse,
  id: JobId,
  status: JobStatus,
): UserResponse => ({
  kind: 'status',
  id,
  status,
  done: response.done ?? 0,
  running: response.running ?? 0,
  ...(response.dependsOn?.length ? { dependsOn: response.dependsOn as JobId[] } : {}),
  ...(response.reason ? { reason: response.reason } : {}),
});

function decodeTask(task: swiftford.peer.ITaskStatus): TaskStatus {
  const state = TASK_STATES[task.state ?? 0];
  if (state === undefined)
    throw new InvalidPeerMessageError(`task ${task.task} has the unknown state code ${task.state}`);
  const reason = EXIT_REASONS[task.exitReason ?? 0] ?? null;
  return {
    task: (task.task ?? '') as TaskId,
    attempt: decodeUint64(task.attempt) as Attempt,
    state,
    exitReason: state === 'exited' ? (reason ?? 'error') : null,
    checkpointed: task.checkpointed === true,
  };
}

function decodeForwardedHeartbeat(forwarded: swiftford.peer.IForwardedHeartbeat): ForwardedHeartbeat {
  const common = {
    machine: (forwarded.machine ?? '') as MachineId,
    agentEpoch: decodeUint64(forwarded.agentEpoch),
    seq: decodeUint64(forwarded.seq),
    fencingToken: decodeUint64(forwarded.fencingToken) as FencingToken,
    preemptionNoticeS: forwarded.preemptionNoticeS ?? null,
  };
  const tasks = forwarded.tasks ?? [];
  const baseSeq = decodeUint64(forwarded.baseSeq);
  if (baseSeq > 0) {
    const changed = tasks.map((task) => ({ at: task.index ?? 0, task: decodeTask(task) }));
    return { kind: 'delta', ...common, baseSeq, removed: forwarded.removed ?? [], changed };
  }
  return {
    kind: 'full',
    heartbeat: {
      ...common,
      addr: forwarded.addr ?? '',
      type: (forwarded.type ?? '') as MachineTypeName,
      zone: (forwarded.zone ?? '') as ZoneName,
      spot: forwarded.spot === true,
      tasks: tasks.map(decodeTask),
    },
  };
}

function decodeCommand(command: swiftford.peer.ICommand): Command {
  const op = COMMAND_OPS[command.op ?? 0];
  if (op === undefined)
    throw new InvalidPeerMessageError(
      `command for task ${command.task} has the unknown op code ${command.op}`,
    );
  const task = (command.task ?? '') as TaskId;
  const attempt = decodeUint64(command.attempt) as Attempt;
  return op === 'stop' ? { op, task, attempt, graceS: command.graceS ?? 0 } : { op, task, attempt };
}

function decodeForwardedResponse(
  response: swiftford.peer.IForwardedHeartbeatResponse,
): ForwardedHeartbeatResponse {
  switch (response.kind) {
    case ForwardedKind.COMMANDS:
      return {
        kind: 'commands',
        fencingToken: decodeUint64(response.fencingToken) as FencingToken,
        commands: (response.commands ?? []).map(decodeCommand),
      };
    case ForwardedKind.FULL_HEARTBEAT_REQUIRED:
      return { kind: 'full-heartbeat-required' };
    case ForwardedKind.REDIRECT:
      return { kind: 'redirect', node: response.node ? (response.node as NodeId) : null };
    default:
      return null;
  }
}
