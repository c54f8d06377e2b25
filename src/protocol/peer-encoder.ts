// Writes messages to other controllers; the names of the fields are those of peer.proto.
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
import { swiftford } from './generated/peer.js';
import { LENGTH_BYTES } from './peer-frames.ts';
import { COMMAND_OPS, EXIT_REASONS, TASK_STATES } from './peer-names.ts';
import { encodeRelayedHeartbeat, encodeRelayedResponse } from './relay.ts';

const { Envelope, Ask, Reply, Fronted } = swiftford.peer;

/** A message in its frame, ready to be sent. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const body = Envelope.encode(envelopeOf(message)).finish();
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_BYTES);
  return frame;
}

function envelopeOf(message: PeerMessage): swiftford.peer.IEnvelope {
  switch (message.kind) {
    case 'hello':
      return { hello: encodeHello(message) };
    case 'load':
      return { load: encodeLoad(message) };
    case 'user-request':
      return { ask: encodeUserRequest(message.id, message.request) };
    case 'user-response':
      return { reply: encodeUserResponse(message.id, message.response) };
    case 'forwarded-heartbeat':
      return { front: encodeForwardedHeartbeat(message.id, message.heartbeat) };
    case 'forwarded-heartbeat-response':
      return { fronted: encodeForwardedResponse(message.id, message.response) };
    case 'relayed-heartbeat':
      return { relay: { id: message.id, report: JSON.stringify(encodeRelayedHeartbeat(message.heartbeat)) } };
    case 'relayed-heartbeat-response': {
      const { id, response } = message;
      const answer = response === null ? '' : JSON.stringify(encodeRelayedResponse(response));
      return { relayed: { id, answer } };
    }
  }
}

const encodeHello = (message: Extract<PeerMessage, { kind: 'hello' }>): swiftford.peer.IHello => ({
  node: message.node,
  owner: message.leaderTerm,
  chains: message.supportsDependencies,
  fronts: message.supportsForwarding,
  documents: message.supportsConfigDocuments,
});

const encodeLoad = (message: Extract<PeerMessage, { kind: 'load' }>): swiftford.peer.ILoad => ({
  level: message.level,
  afterS: message.afterS,
  workers: message.workers,
  backlogS: message.backlogS,
  short: message.memoryShort,
  config: message.configRevision,
  owner: message.leaderTerm,
});

function encodeUserRequest(id: number, request: UserRequest): swiftford.peer.IAsk {
  switch (request.op) {
    case 'submit': {
      const spec = JSON.stringify(encodeJobSpec(request.spec));
      return { id, op: Ask.Op.SUBMIT, job: request.spec.id, spec };
    }
    case 'status':
      return { id, op: Ask.Op.STATUS, job: request.id };
    case 'cancel':
      return { id, op: Ask.Op.CANCEL, job: request.id };
  }
}

function encodeUserResponse(id: number, response: UserResponse | null): swiftford.peer.IReply {
  const { Kind } = Reply;
  if (response === null) return { id, kind: Kind.NONE };
  switch (response.kind) {
    case 'accepted':
      return { id, kind: Kind.ACCEPTED, job: response.id };
    case 'known':
      return { id, kind: Kind.KNOWN, job: response.id, status: response.status };
    case 'ended':
      return { id, kind: Kind.ENDED, job: response.id, status: response.status };
    case 'status':
      return encodeJobStatus(id, response);
    case 'too-large':
      return { id, kind: Kind.TOO_LARGE, reason: response.reason };
    case 'impossible':
      return { id, kind: Kind.IMPOSSIBLE, reason: response.reason };
    case 'not-found':
      return { id, kind: Kind.NOT_FOUND };
    case 'retry': {
      const { afterS, reason, overload } = response;
      return { id, kind: Kind.RETRY, afterS, reason, overload };
    }
  }
}

const encodeJobStatus = (
  id: number,
  response: Extract<UserResponse, { kind: 'status' }>,
): swiftford.peer.IReply => ({
  id,
  kind: Reply.Kind.STATUS,
  job: response.id,
  status: response.status,
  done: response.done,
  running: response.running,
  awaits: response.dependsOn ?? [],
  reason: response.reason ?? '',
});

const encodeTask = (task: TaskStatus): swiftford.peer.IPiece => ({
  task: task.task,
  attempt: task.attempt,
  state: TASK_STATES.indexOf(task.state),
  why: EXIT_REASONS.indexOf(task.exitReason),
  saved: task.checkpointed,
});

const encodeForwardedHeartbeat = (id: number, forwarded: ForwardedHeartbeat): swiftford.peer.IFront =>
  forwarded.kind === 'delta' ? encodeDelta(id, forwarded) : encodeFullHeartbeat(id, forwarded.heartbeat);

const encodeDelta = (
  id: number,
  delta: Extract<ForwardedHeartbeat, { kind: 'delta' }>,
): swiftford.peer.IFront => ({
  id,
  machine: delta.machine,
  session: delta.agentEpoch,
  seq: delta.seq,
  token: delta.fencingToken,
  noticeS: delta.preemptionNoticeS,
  sameAs: delta.baseSeq,
  dropped: delta.removed,
  pieces: delta.changed.map((change) => ({ ...encodeTask(change.task), at: change.at })),
});

const encodeFullHeartbeat = (id: number, heartbeat: Heartbeat): swiftford.peer.IFront => ({
  id,
  machine: heartbeat.machine,
  session: heartbeat.agentEpoch,
  seq: heartbeat.seq,
  token: heartbeat.fencingToken,
  noticeS: heartbeat.preemptionNoticeS,
  addr: heartbeat.addr,
  type: heartbeat.type,
  zone: heartbeat.zone,
  spot: heartbeat.spot,
  pieces: heartbeat.tasks.map(encodeTask),
});

const encodeCommand = (command: Command): swiftford.peer.IOrder => ({
  op: COMMAND_OPS.indexOf(command.op),
  task: command.task,
  attempt: command.attempt,
  graceS: command.op === 'stop' ? command.graceS : 0,
});

function encodeForwardedResponse(id: number, response: ForwardedHeartbeatResponse): swiftford.peer.IFronted {
  const { Kind } = Fronted;
  if (response === null) return { id, kind: Kind.NONE };
  switch (response.kind) {
    case 'full-heartbeat-required':
      return { id, kind: Kind.WHOLE };
    case 'redirect':
      return { id, kind: Kind.ELSEWHERE, node: response.node ?? '' };
    case 'commands': {
      const orders = response.commands.map(encodeCommand);
      return { id, kind: Kind.ORDERS, token: response.fencingToken, orders };
    }
  }
}
