// The far ends of the protocol: how the state service, the cloud and a worker read what controllers send and write what
// they answer. state.ts, cloud.ts and worker.ts are the controllers' ends.
import type {
  CloudReply,
  CloudRequest,
  Command,
  Heartbeat,
  HeartbeatResponse,
  StorePut,
  StoreReply,
  StoreRequest,
} from '../core/base/model.ts';
import type {
  Attempt,
  FencingToken,
  MachineId,
  Revision,
  StoreLeaseId,
  TaskId,
  TypeName,
  ZoneName,
} from '../types/index.ts';
import { amount, asObject, count, flag, InvalidMessageError, nameOf, text } from './job.ts';
import { REASONS, STATES } from './worker.ts';

export interface EncodedReply {
  status: number;
  body: string;
}
const reply = (status: number, body: unknown): EncodedReply => ({ status, body: JSON.stringify(body) });
const failure = (status: number, error: string): EncodedReply => reply(status, { error });

function target(path: string): { parts: string[]; query: URLSearchParams } {
  const [name = '', query = ''] = path.split('?', 2);
  return { parts: name.split('/').slice(1), query: new URLSearchParams(query) };
}
const number = (q: URLSearchParams, name: string): number => {
  const n = Number(q.get(name) ?? 0);
  if (!Number.isFinite(n) || n < 0) throw new InvalidMessageError(`${name} must be a number`);
  return n;
};
function listOf(f: Record<string, unknown>, name: string): Record<string, unknown>[] {
  const v = f[name] ?? [];
  if (!Array.isArray(v)) throw new InvalidMessageError(`${name} must be a list`);
  return v.map((x) => asObject(x, name));
}

// ---- state service

const MAX_PAGE = 1000;

/** Null: there is no such path. */
export function decodeStoreRequest(
  method: string,
  path: string,
  body: unknown,
): { op: StoreRequest; page: number } | null {
  const { parts, query } = target(path);
  const what = `${method} ${parts[0]}${parts.length > 1 ? '/' : ''}`;
  const page = Math.min(MAX_PAGE, number(query, 'page') || MAX_PAGE);
  const op = ((): StoreRequest | null => {
    switch (what) {
      case 'GET store/':
        return { kind: 'get', key: parts.slice(1).join('/') };
      case 'GET store':
        return { kind: 'list', prefix: query.get('prefix') ?? '', after: query.get('from') };
      case 'POST holds':
        return { kind: 'grant-lease', ttlMs: amount(asObject(body, 'the hold'), 'lifeMs', 100, 600_000) };
      case 'POST holds/':
        return parts[2] === 'extend'
          ? { kind: 'renew-lease', lease: Number(parts[1]) as StoreLeaseId }
          : null;
      case 'DELETE holds/':
        return { kind: 'revoke-lease', lease: Number(parts[1]) as StoreLeaseId };
      case 'GET changes':
        return {
          kind: 'watch',
          prefix: query.get('prefix') ?? '',
          after: number(query, 'from') as Revision,
          waitMs: Math.min(60_000, number(query, 'blockMs')),
        };
      case 'POST commit':
        return decodeCommit(body);
    }
    return null;
  })();
  return op === null ? null : { op, page };
}

function decodeCommit(body: unknown): StoreRequest {
  const f = asObject(body, 'the transaction');
  const puts: StorePut[] = [];
  const deletes: string[] = [];
  for (const c of listOf(f, 'apply')) {
    if (c.drop !== undefined) deletes.push(text(c, 'drop'));
    else
      puts.push({
        key: text(c, 'set'),
        value: c.v,
        ...(c.tenancy === undefined ? {} : { lease: count(c, 'tenancy') as StoreLeaseId }),
      });
  }
  const conditions = listOf(f, 'if').map((c) => ({
    key: text(c, 'key'),
    revision: count(c, 'stamp') as Revision,
  }));
  return { kind: 'compare-and-swap', conditions, puts, deletes };
}

/** Null: no answer. */
export function encodeStoreReply(
  op: StoreRequest,
  r: StoreReply,
  page: number,
  ledger: number,
): EncodedReply | null {
  const item = (i: { key: string; value: unknown; revision: number }) => ({
    key: i.key,
    v: i.value,
    stamp: i.revision,
  });
  switch (r.kind) {
    case 'item':
      return reply(200, item(r.item));
    case 'missing':
      return reply(404, { ledger });
    case 'items': {
      const items = r.items.slice(0, page);
      return reply(200, {
        items: items.map(item),
        more: r.more || items.length < r.items.length,
        ledger: r.revision,
      });
    }
    case 'lease-granted':
      return reply(200, { tenancy: r.lease });
    case 'ok':
      return reply(200, op.kind === 'renew-lease' ? { tenancy: op.lease } : {});
    case 'committed':
      return reply(200, { ledger: r.revision });
    case 'conflict':
      return reply(409, { failed: r.failed, ledger });
    case 'changes':
      return reply(200, {
        ledger: r.revision,
        events: [
          ...r.puts.map((i) => ({ set: i.key, v: i.value, stamp: i.revision })),
          ...r.deletes.map((key) => ({ drop: key, stamp: r.revision })),
        ],
      });
    case 'too-old':
      return reply(410, { ledger });
    case 'rejected':
      return failure(400, r.reason);
    case 'refused':
      return r.busy ? failure(429, 'too many requests') : failure(503, 'trouble');
    case 'no-answer':
      return null;
  }
}

// ---- cloud

export function decodeCloudRequest(
  method: string,
  path: string,
  body: unknown,
): { op: CloudRequest; page: number } | null {
  const { parts, query } = target(path);
  const page = Math.min(500, number(query, 'page') || 500);
  const op = ((): CloudRequest | null => {
    switch (`${method} ${parts.join('/')}`) {
      case 'GET flavors':
        return { kind: 'types' };
      case 'GET rentals':
        return { kind: 'list', after: (query.get('from') as MachineId | null) ?? null };
      case 'POST rentals/release':
        return { kind: 'release', machines: (asObject(body, 'the request').berths ?? []) as MachineId[] };
      case 'POST rentals': {
        const f = asObject(body, 'the request');
        return {
          kind: 'rent',
          request: text(f, 'hire'),
          type: text(f, 'berthkind') as TypeName,
          zone: text(f, 'yard') as ZoneName,
          spot: flag(f, 'loaners'),
          count: count(f, 'number', 1, 50),
        };
      }
    }
    return null;
  })();
  return op === null ? null : { op, page };
}

export function encodeCloudReply(op: CloudRequest, r: CloudReply, page: number): EncodedReply | null {
  switch (r.kind) {
    case 'types':
      return reply(200, {
        berthkinds: r.types.map((t) => ({
          label: t.name,
          cores: t.cpus,
          accelerators: t.gpus,
          memoryGb: t.memoryGb,
          cacheGb: t.cacheGb,
          pullGbPerS: t.fetchGbPerS,
          rate: t.price,
          lowPrice: t.spotPrice,
          bootS: t.bootS,
          yards: t.zones,
        })),
      });
    case 'rented':
      return reply(200, { berths: r.machines });
    case 'no-capacity':
      return failure(503, 'no capacity');
    case 'released':
      return reply(200, {});
    case 'listed': {
      const after = op.kind === 'list' ? op.after : null;
      const rest = r.machines.filter((m) => after === null || m.id > after);
      const machines = rest.slice(0, page);
      return reply(200, {
        berths: machines.map((m) => ({
          nameId: m.id,
          endpoint: m.addr,
          berthkind: m.type,
          yard: m.zone,
          loaners: m.spot,
          status: m.status,
          heldS: m.ageS,
        })),
        more: machines.length < rest.length,
      });
    }
    case 'refused':
      return r.busy ? failure(429, 'too many requests') : failure(503, 'trouble');
    case 'no-answer':
      return null;
  }
}

// ---- worker

export function encodeHeartbeat(r: Heartbeat): string {
  return JSON.stringify({
    berth: r.machine,
    endpoint: r.addr,
    berthkind: r.type,
    yard: r.zone,
    loaners: r.spot,
    shift: r.agentEpoch,
    tally: r.seq,
    baton: r.fencingToken,
    recallS: r.preemptionNoticeS,
    pieces: r.tasks.map((t) => ({
      piece: t.task,
      try: t.attempt,
      status: nameOf(STATES, t.state),
      ...(t.exitReason === null ? {} : { cause: nameOf(REASONS, t.exitReason) }),
      ...(t.checkpointed ? { stored: true } : {}),
    })),
  });
}

function decodeCommand(c: Record<string, unknown>): Command {
  const task = text(c, 'piece') as TaskId;
  const attempt = count(c, 'try') as Attempt;
  switch (c.verb) {
    case 'launch':
      return { op: 'start', task, attempt };
    case 'kill':
      return { op: 'stop', task, attempt, graceS: amount(c, 'windownS') };
    case 'reap':
      return { op: 'forget', task, attempt };
  }
  throw new InvalidMessageError('verb is unknown');
}

export function decodeCommands(json: unknown): {
  token: FencingToken;
  session: number | null;
  commands: Command[];
} {
  const f = asObject(json, 'the orders');
  return {
    token: count(f, 'baton') as FencingToken,
    session: f.shift === undefined ? null : count(f, 'shift', 1),
    commands: listOf(f, 'orders').map(decodeCommand),
  };
}

/** Null: an answer like none. */
export function decodeHeartbeatResponse(status: number, json: unknown): HeartbeatResponse | null {
  if (status === 421) {
    const { foreman } = asObject(json, 'the answer');
    return { kind: 'redirect', node: (typeof foreman === 'string' ? foreman : null) as never };
  }
  if (status !== 200) return null;
  const { token, commands } = decodeCommands(json);
  return { kind: 'commands', fencingToken: token, commands };
}
