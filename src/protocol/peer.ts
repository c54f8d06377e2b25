// Frames between controllers: a varint-free 4-byte length, then one protobuf Envelope.
import type {
  Command,
  ExitReason,
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  JobStatus,
  PeerMessage,
  TaskState,
  TaskStatus,
  UserRequest,
  UserResponse,
} from '../core/base/model.ts';
import { decodeJobSpec, encodeJobSpec, type StoredJobSpec } from '../core/storage/job-record.ts';
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
import {
  decodeRelayedHeartbeat,
  decodeRelayedResponse,
  encodeRelayedHeartbeat,
  encodeRelayedResponse,
} from './relay.ts';

const { Envelope, Ask, Reply, Fronted } = swiftford.peer;
const MAX_FRAME = 256 * 1024;

function askFields(id: number, r: UserRequest): swiftford.peer.IAsk {
  if (r.op === 'submit')
    return { id, op: Ask.Op.SUBMIT, job: r.spec.id, spec: JSON.stringify(encodeJobSpec(r.spec)) };
  return { id, op: r.op === 'status' ? Ask.Op.STATUS : Ask.Op.CANCEL, job: r.id };
}

function replyFields(id: number, a: UserResponse | null): swiftford.peer.IReply {
  const K = Reply.Kind;
  if (a === null) return { id, kind: K.NONE };
  switch (a.kind) {
    case 'accepted':
      return { id, kind: K.ACCEPTED, job: a.id };
    case 'known':
      return { id, kind: K.KNOWN, job: a.id, status: a.status };
    case 'ended':
      return { id, kind: K.ENDED, job: a.id, status: a.status };
    case 'status':
      return {
        id,
        kind: K.STATUS,
        job: a.id,
        status: a.status,
        done: a.done,
        running: a.running,
        awaits: a.dependsOn ?? [],
        reason: a.reason ?? '',
      };
    case 'too-large':
      return { id, kind: K.TOO_LARGE, reason: a.reason };
    case 'impossible':
      return { id, kind: K.IMPOSSIBLE, reason: a.reason };
    case 'not-found':
      return { id, kind: K.NOT_FOUND };
    case 'retry':
      return { id, kind: K.RETRY, afterS: a.afterS, reason: a.reason, overload: a.overload };
  }
}

/** Numbers on the wire are places in these lists: new names go to the end. */
const STATES: TaskState[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];
const REASONS: (ExitReason | null)[] = [
  null,
  'done',
  'stopped',
  'peers',
  'alone',
  'error',
  'no_room',
  'busy',
  'unknown',
];
const OPS: Command['op'][] = ['start', 'stop', 'forget'];

const pieceFields = (t: TaskStatus): swiftford.peer.IPiece => ({
  task: t.task,
  attempt: t.attempt,
  state: STATES.indexOf(t.state),
  why: REASONS.indexOf(t.exitReason),
  saved: t.checkpointed,
});

function frontFields(id: number, f: ForwardedHeartbeat): swiftford.peer.IFront {
  if (f.kind === 'delta') {
    const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS, baseSeq, removed } = f;
    const pieces = f.changed.map((c) => ({ ...pieceFields(c.task), at: c.at }));
    return {
      id,
      machine,
      session: agentEpoch,
      seq,
      token: fencingToken,
      noticeS: preemptionNoticeS,
      sameAs: baseSeq,
      dropped: removed,
      pieces,
    };
  }
  const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS, addr, type, zone, spot, tasks } =
    f.heartbeat;
  const pieces = tasks.map(pieceFields);
  return {
    id,
    machine,
    session: agentEpoch,
    seq,
    token: fencingToken,
    noticeS: preemptionNoticeS,
    addr,
    type,
    zone,
    spot,
    pieces,
  };
}

function frontedFields(id: number, a: ForwardedHeartbeatResponse): swiftford.peer.IFronted {
  const K = Fronted.Kind;
  if (a === null) return { id, kind: K.NONE };
  if (a.kind === 'full-heartbeat-required') return { id, kind: K.WHOLE };
  if (a.kind === 'redirect') return { id, kind: K.ELSEWHERE, node: a.node ?? '' };
  const orders = a.commands.map((c) => ({
    op: OPS.indexOf(c.op),
    task: c.task,
    attempt: c.attempt,
    graceS: c.op === 'stop' ? c.graceS : 0,
  }));
  return { id, kind: K.ORDERS, token: a.fencingToken, orders };
}

function envelopeOf(m: PeerMessage): swiftford.peer.IEnvelope {
  switch (m.kind) {
    case 'hello':
      return {
        hello: {
          node: m.node,
          owner: m.leaderTerm,
          chains: m.supportsDependencies,
          fronts: m.supportsForwarding,
          documents: m.supportsConfigDocuments,
        },
      };
    case 'user-request':
      return { ask: askFields(m.id, m.request) };
    case 'user-response':
      return { reply: replyFields(m.id, m.response) };
    case 'relayed-heartbeat':
      return { relay: { id: m.id, report: JSON.stringify(encodeRelayedHeartbeat(m.heartbeat)) } };
    case 'load':
      return {
        load: {
          level: m.level,
          afterS: m.afterS,
          workers: m.workers,
          backlogS: m.backlogS,
          short: m.memoryShort,
          config: m.configRevision,
          owner: m.leaderTerm,
        },
      };
    case 'forwarded-heartbeat':
      return { front: frontFields(m.id, m.heartbeat) };
    case 'forwarded-heartbeat-response':
      return { fronted: frontedFields(m.id, m.response) };
    case 'relayed-heartbeat-response':
      return {
        relayed: {
          id: m.id,
          answer: m.response === null ? '' : JSON.stringify(encodeRelayedResponse(m.response)),
        },
      };
  }
}

export function encodePeerMessage(m: PeerMessage): Buffer {
  const envelope = envelopeOf(m);
  const body = Envelope.encode(envelope).finish();
  const frame = Buffer.allocUnsafe(4 + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, 4);
  return frame;
}

function decodeAsk(a: swiftford.peer.IAsk): UserRequest {
  const id = (a.job ?? '') as JobId;
  if (a.op === Ask.Op.STATUS) return { op: 'status', id };
  if (a.op === Ask.Op.CANCEL) return { op: 'cancel', id };
  return { op: 'submit', spec: decodeJobSpec(JSON.parse(a.spec ?? '') as StoredJobSpec) };
}

function decodeAnswer(r: swiftford.peer.IReply): UserResponse | null {
  const K = Reply.Kind;
  const id = (r.job ?? '') as JobId;
  const status = (r.status ?? 'queued') as JobStatus;
  switch (r.kind) {
    case K.ACCEPTED:
      return { kind: 'accepted', id };
    case K.KNOWN:
      return { kind: 'known', id, status };
    case K.ENDED:
      return { kind: 'ended', id, status: status === 'done' ? 'done' : 'cancelled' };
    case K.STATUS:
      return {
        kind: 'status',
        id,
        status,
        done: r.done ?? 0,
        running: r.running ?? 0,
        ...(r.awaits?.length ? { dependsOn: r.awaits as JobId[] } : {}),
        ...(r.reason ? { reason: r.reason } : {}),
      };
    case K.TOO_LARGE:
      return { kind: 'too-large', reason: r.reason ?? '' };
    case K.IMPOSSIBLE:
      return { kind: 'impossible', reason: r.reason ?? '' };
    case K.NOT_FOUND:
      return { kind: 'not-found' };
    case K.RETRY:
      return { kind: 'retry', afterS: r.afterS ?? 1, reason: r.reason ?? '', overload: r.overload ?? false };
    default:
      return null;
  }
}

function decodePiece(p: swiftford.peer.IPiece): TaskStatus {
  const state = STATES[p.state ?? 0];
  if (state === undefined) throw new Error('a state that no peer of ours would send');
  const why = REASONS[p.why ?? 0] ?? null;
  return {
    task: (p.task ?? '') as TaskId,
    attempt: Number(p.attempt ?? 0) as Attempt,
    state,
    exitReason: state === 'exited' ? (why ?? 'error') : null,
    checkpointed: p.saved === true,
  };
}

function decodeFront(f: swiftford.peer.IFront): ForwardedHeartbeat {
  const head = {
    machine: (f.machine ?? '') as MachineId,
    agentEpoch: Number(f.session ?? 0),
    seq: Number(f.seq ?? 0),
    fencingToken: Number(f.token ?? 0) as FencingToken,
    preemptionNoticeS: f.noticeS ?? null,
  };
  const baseSeq = Number(f.sameAs ?? 0);
  if (baseSeq > 0) {
    const changed = (f.pieces ?? []).map((p) => ({ at: p.at ?? 0, task: decodePiece(p) }));
    return { kind: 'delta', ...head, baseSeq, removed: f.dropped ?? [], changed };
  }
  return {
    kind: 'full',
    heartbeat: {
      ...head,
      addr: f.addr ?? '',
      type: (f.type ?? '') as TypeName,
      zone: (f.zone ?? '') as ZoneName,
      spot: f.spot === true,
      tasks: (f.pieces ?? []).map(decodePiece),
    },
  };
}

function decodeOrder(o: swiftford.peer.IOrder): Command {
  const op = OPS[o.op ?? 0];
  const of = { task: (o.task ?? '') as TaskId, attempt: Number(o.attempt ?? 0) as Attempt };
  if (op === undefined) throw new Error('a command that no peer of ours would send');
  return op === 'stop' ? { op, ...of, graceS: o.graceS ?? 0 } : { op, ...of };
}

function decodeFronted(f: swiftford.peer.IFronted): ForwardedHeartbeatResponse {
  const K = Fronted.Kind;
  if (f.kind === K.ORDERS)
    return {
      kind: 'commands',
      fencingToken: Number(f.token ?? 0) as FencingToken,
      commands: (f.orders ?? []).map(decodeOrder),
    };
  if (f.kind === K.WHOLE) return { kind: 'full-heartbeat-required' };
  if (f.kind === K.ELSEWHERE) return { kind: 'redirect', node: f.node ? (f.node as NodeId) : null };
  return null;
}

/** null: of a kind that this version does not know. */
export function decodePeerMessage(body: Uint8Array): PeerMessage | null {
  const e = Envelope.decode(body);
  if (e.hello)
    return {
      kind: 'hello',
      node: e.hello.node as NodeId,
      leaderTerm: Number(e.hello.owner ?? 0) as Revision,
      supportsDependencies: e.hello.chains === true,
      supportsForwarding: e.hello.fronts === true,
      supportsConfigDocuments: e.hello.documents === true,
    };
  if (e.load) {
    const level = Math.min(2, e.load.level ?? 0) as 0 | 1 | 2;
    const { afterS, workers, backlogS, short, config, owner } = e.load;
    return {
      kind: 'load',
      level,
      afterS: afterS ?? 1,
      workers: workers ?? 0,
      backlogS: backlogS ?? 0,
      memoryShort: short ?? false,
      configRevision: Number(config ?? 0) as Revision,
      leaderTerm: Number(owner ?? 0) as Revision,
    };
  }
  if (e.front) return { kind: 'forwarded-heartbeat', id: e.front.id ?? 0, heartbeat: decodeFront(e.front) };
  if (e.fronted)
    return {
      kind: 'forwarded-heartbeat-response',
      id: e.fronted.id ?? 0,
      response: decodeFronted(e.fronted),
    };
  if (e.ask) return { kind: 'user-request', id: e.ask.id ?? 0, request: decodeAsk(e.ask) };
  if (e.reply) return { kind: 'user-response', id: e.reply.id ?? 0, response: decodeAnswer(e.reply) };
  if (e.relay)
    return {
      kind: 'relayed-heartbeat',
      id: e.relay.id ?? 0,
      heartbeat: decodeRelayedHeartbeat(JSON.parse(e.relay.report ?? '')),
    };
  if (e.relayed) {
    const response = e.relayed.answer ? decodeRelayedResponse(JSON.parse(e.relayed.answer)) : null;
    return { kind: 'relayed-heartbeat-response', id: e.relayed.id ?? 0, response };
  }
  return null;
}

/** The first byte of a frame with a report passed on: field 6, a message. */
const FRONT_TAG = (6 << 3) | 2;

/** Whether a frame holds a worker's report, of which there may be thousands at once; told without decoding it. */
export const isForwardedHeartbeat = (frame: Uint8Array): boolean => frame[0] === FRONT_TAG;

/** Collects bytes into frames; throws on a frame no peer of ours would send. */
export class PeerDecoder {
  private pending: Buffer = Buffer.alloc(0);

  frames(chunk: Buffer): Buffer[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const out: Buffer[] = [];
    while (this.pending.length >= 4) {
      const size = this.pending.readUInt32BE(0);
      if (size > MAX_FRAME) throw new Error('peer frame too large');
      if (this.pending.length < 4 + size) break;
      out.push(this.pending.subarray(4, 4 + size));
      this.pending = this.pending.subarray(4 + size);
    }
    return out;
  }

  feed(chunk: Buffer): PeerMessage[] {
    return this.frames(chunk)
      .map(decodePeerMessage)
      .filter((m) => m !== null);
  }
}
