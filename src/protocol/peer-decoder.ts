// Reads messages from other controllers; the names of the fields are those of peer.proto. Missing fields have the
// values that protobuf gives them.
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
import type {
  Attempt,
  FencingToken,
  JobId,
  MachineId,
  NodeId,
  Revision,
  TaskId,
  TypeName,
  ZoneName,
} from '../types/index.ts';
import { swiftford } from './generated/peer.js';
import { FrameReader, InvalidPeerMessageError } from './peer-frames.ts';
import { COMMAND_OPS, EXIT_REASONS, TASK_STATES } from './peer-names.ts';
import { decodeRelayedHeartbeat, decodeRelayedResponse } from './relay.ts';

const { Envelope, Ask, Reply, Fronted } = swiftford.peer;

/**
 * Reads the body of a frame; null if it is of a kind that this version does not know.
 * Throws an error if it is damaged, or if no version of this program would have sent it.
 */
export function decodePeerMessage(body: Uint8Array): PeerMessage | null {
  const { hello, load, front, fronted, ask, reply, relay, relayed } = Envelope.decode(body);
  if (hello) return decodeHello(hello);
  if (load) return decodeLoad(load);
  if (front) {
    return { kind: 'forwarded-heartbeat', id: front.id ?? 0, heartbeat: decodeForwardedHeartbeat(front) };
  }
  if (fronted) {
    const response = decodeForwardedResponse(fronted);
    return { kind: 'forwarded-heartbeat-response', id: fronted.id ?? 0, response };
  }
  if (ask) return { kind: 'user-request', id: ask.id ?? 0, request: decodeUserRequest(ask) };
  if (reply) return { kind: 'user-response', id: reply.id ?? 0, response: decodeUserResponse(reply) };
  if (relay) {
    const heartbeat = decodeRelayedHeartbeat(JSON.parse(relay.report ?? ''));
    return { kind: 'relayed-heartbeat', id: relay.id ?? 0, heartbeat };
  }
  return relayed ? decodeRelayedMessage(relayed) : null;
}

function decodeRelayedMessage({ id, answer }: swiftford.peer.IRelayed): PeerMessage {
  const response = answer ? decodeRelayedResponse(JSON.parse(answer)) : null;
  return { kind: 'relayed-heartbeat-response', id: id ?? 0, response };
}

/** Reads messages from a stream of bytes. */
export class PeerDecoder extends FrameReader {
  /** The messages that are complete with this chunk, without those of kinds that this version does not know. */
  feed(chunk: Buffer): PeerMessage[] {
    return this.frames(chunk)
      .map(decodePeerMessage)
      .filter((message) => message !== null);
  }
}

const decodeHello = (hello: swiftford.peer.IHello): PeerMessage => ({
  kind: 'hello',
  node: hello.node as NodeId,
  leaderTerm: Number(hello.owner ?? 0) as Revision,
  supportsDependencies: hello.chains === true,
  supportsForwarding: hello.fronts === true,
  supportsConfigDocuments: hello.documents === true,
});

const decodeLoad = (load: swiftford.peer.ILoad): PeerMessage => ({
  kind: 'load',
  level: Math.min(2, load.level ?? 0) as 0 | 1 | 2,
  afterS: load.afterS ?? 1,
  workers: load.workers ?? 0,
  backlogS: load.backlogS ?? 0,
  memoryShort: load.short ?? false,
  configRevision: Number(load.config ?? 0) as Revision,
  leaderTerm: Number(load.owner ?? 0) as Revision,
});

function decodeUserRequest(ask: swiftford.peer.IAsk): UserRequest {
  const id = (ask.job ?? '') as JobId;
  if (ask.op === Ask.Op.STATUS) return { op: 'status', id };
  if (ask.op === Ask.Op.CANCEL) return { op: 'cancel', id };
  return { op: 'submit', spec: decodeJobSpec(JSON.parse(ask.spec ?? '') as StoredJobSpec) };
}

function decodeUserResponse(reply: swiftford.peer.IReply): UserResponse | null {
  const { Kind } = Reply;
  const id = (reply.job ?? '') as JobId;
  const status = (reply.status ?? 'queued') as JobStatus;
  const reason = reply.reason ?? '';
  switch (reply.kind) {
    case Kind.ACCEPTED:
      return { kind: 'accepted', id };
    case Kind.KNOWN:
      return { kind: 'known', id, status };
    case Kind.ENDED:
      return { kind: 'ended', id, status: status === 'done' ? 'done' : 'cancelled' };
    case Kind.STATUS:
      return decodeJobStatus(reply, id, status);
    case Kind.TOO_LARGE:
      return { kind: 'too-large', reason };
    case Kind.IMPOSSIBLE:
      return { kind: 'impossible', reason };
    case Kind.NOT_FOUND:
      return { kind: 'not-found' };
    case Kind.RETRY:
      return { kind: 'retry', afterS: reply.afterS ?? 1, reason, overload: reply.overload ?? false };
    default:
      return null;
  }
}

const decodeJobStatus = (reply: swiftford.peer.IReply, id: JobId, status: JobStatus): UserResponse => ({
  kind: 'status',
  id,
  status,
  done: reply.done ?? 0,
  running: reply.running ?? 0,
  ...(reply.awaits?.length ? { dependsOn: reply.awaits as JobId[] } : {}),
  ...(reply.reason ? { reason: reply.reason } : {}),
});

function decodeTask(piece: swiftford.peer.IPiece): TaskStatus {
  const state = TASK_STATES[piece.state ?? 0];
  if (state === undefined) throw new InvalidPeerMessageError(`a task is in the unknown state ${piece.state}`);
  const reason = EXIT_REASONS[piece.why ?? 0] ?? null;
  return {
    task: (piece.task ?? '') as TaskId,
    attempt: Number(piece.attempt ?? 0) as Attempt,
    state,
    exitReason: state === 'exited' ? (reason ?? 'error') : null,
    checkpointed: piece.saved === true,
  };
}

function decodeForwardedHeartbeat(front: swiftford.peer.IFront): ForwardedHeartbeat {
  const common = {
    machine: (front.machine ?? '') as MachineId,
    agentEpoch: Number(front.session ?? 0),
    seq: Number(front.seq ?? 0),
    fencingToken: Number(front.token ?? 0) as FencingToken,
    preemptionNoticeS: front.noticeS ?? null,
  };
  const pieces = front.pieces ?? [];
  const baseSeq = Number(front.sameAs ?? 0);
  if (baseSeq > 0) {
    const changed = pieces.map((piece) => ({ at: piece.at ?? 0, task: decodeTask(piece) }));
    return { kind: 'delta', ...common, baseSeq, removed: front.dropped ?? [], changed };
  }
  return {
    kind: 'full',
    heartbeat: {
      ...common,
      addr: front.addr ?? '',
      type: (front.type ?? '') as TypeName,
      zone: (front.zone ?? '') as ZoneName,
      spot: front.spot === true,
      tasks: pieces.map(decodeTask),
    },
  };
}

function decodeCommand(order: swiftford.peer.IOrder): Command {
  const op = COMMAND_OPS[order.op ?? 0];
  if (op === undefined) throw new InvalidPeerMessageError(`a command is of the unknown kind ${order.op}`);
  const task = (order.task ?? '') as TaskId;
  const attempt = Number(order.attempt ?? 0) as Attempt;
  return op === 'stop' ? { op, task, attempt, graceS: order.graceS ?? 0 } : { op, task, attempt };
}

function decodeForwardedResponse(fronted: swiftford.peer.IFronted): ForwardedHeartbeatResponse {
  const { Kind } = Fronted;
  switch (fronted.kind) {
    case Kind.ORDERS:
      return {
        kind: 'commands',
        fencingToken: Number(fronted.token ?? 0) as FencingToken,
        commands: (fronted.orders ?? []).map(decodeCommand),
      };
    case Kind.WHOLE:
      return { kind: 'full-heartbeat-required' };
    case Kind.ELSEWHERE:
      return { kind: 'redirect', node: fronted.node ? (fronted.node as NodeId) : null };
    default:
      return null;
  }
}
