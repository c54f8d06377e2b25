// Server side of the store protocol: decodes requests of controllers, encodes replies. The client side, used
// by controllers, is store.ts.
import type { StoreItem, StorePut, StoreReply, StoreRequest } from '../core/base/model.ts';
import type { Revision, StoreLeaseId } from '../types/index.ts';
import { asObject, readAmount, readString, readUint64 } from './json-fields.ts';
import {
  type DecodedRequest,
  decodeRequest,
  type EncodedReply,
  failureReply,
  jsonReply,
  parseUint64,
  type RequestTarget,
  readObjectList,
  readQueryNumber,
  refusedReply,
} from './service-side.ts';

const MAX_PAGE_SIZE = 1000;
const MIN_LEASE_MS = 100;
const MAX_LEASE_MS = 600_000;
const MAX_WATCH_MS = 60_000;

/** Decodes a controller's request; null if the path is unknown. Throws `InvalidMessageError`. */
export function decodeStoreRequest(
  method: string,
  path: string,
  body: unknown,
): DecodedRequest<StoreRequest> | null {
  return decodeRequest(path, MAX_PAGE_SIZE, (target) => decodeOperation(method, target, body));
}

function decodeOperation(
  method: string,
  { segments, query }: RequestTarget,
  body: unknown,
): StoreRequest | null {
  const route = `${method} ${segments[0]}${segments.length > 1 ? '/' : ''}`;
  switch (route) {
    case 'GET store/':
      return { kind: 'get', key: segments.slice(1).join('/') };
    case 'GET store':
      return { kind: 'list', prefix: query.get('prefix') ?? '', after: query.get('from') };
    case 'POST holds': {
      const ttlMs = readAmount(asObject(body, 'the hold'), 'lifeMs', MIN_LEASE_MS, MAX_LEASE_MS);
      return { kind: 'grant-lease', ttlMs };
    }
    case 'POST holds/':
      if (segments[2] !== 'extend') return null;
      return { kind: 'renew-lease', lease: parseUint64(segments[1], 'the hold') as StoreLeaseId };
    case 'DELETE holds/':
      return { kind: 'revoke-lease', lease: parseUint64(segments[1], 'the hold') as StoreLeaseId };
    case 'GET changes':
      return {
        kind: 'watch',
        prefix: query.get('prefix') ?? '',
        after: parseUint64(query.get('from') ?? '0', 'from') as Revision,
        waitMs: Math.min(MAX_WATCH_MS, readQueryNumber(query, 'blockMs')),
      };
    case 'POST commit':
      return decodeCompareAndSwap(body);
  }
  return null;
}

function decodeCompareAndSwap(body: unknown): StoreRequest {
  const fields = asObject(body, 'the transaction');
  const puts: StorePut[] = [];
  const deletes: string[] = [];
  for (const change of readObjectList(fields, 'apply')) {
    if (change.drop !== undefined) {
      deletes.push(readString(change, 'drop'));
      continue;
    }
    puts.push({
      key: readString(change, 'set'),
      value: change.v,
      ...(change.tenancy === undefined ? {} : { lease: readUint64(change, 'tenancy') as StoreLeaseId }),
    });
  }
  const conditions = readObjectList(fields, 'if').map((condition) => ({
    key: readString(condition, 'key'),
    revision: readUint64(condition, 'stamp') as Revision,
  }));
  return { kind: 'compare-and-swap', conditions, puts, deletes };
}

const encodeItem = (item: StoreItem): unknown => ({ key: item.key, v: item.value, stamp: item.revision });

/** Encodes the store's reply with at most `pageSize` items at its `revision`; null: no response is sent. */
export function encodeStoreReply(
  request: StoreRequest,
  reply: StoreReply,
  pageSize: number,
  revision: Revision,
): EncodedReply | null {
  switch (reply.kind) {
    case 'item':
      return jsonReply(200, encodeItem(reply.item));
    case 'missing':
      return jsonReply(404, { ledger: revision });
    case 'items':
      return encodeItems(reply, pageSize);
    case 'lease-granted':
      return jsonReply(200, { tenancy: reply.lease });
    case 'ok':
      return jsonReply(200, request.kind === 'renew-lease' ? { tenancy: request.lease } : {});
    case 'committed':
      return jsonReply(200, { ledger: reply.revision });
    case 'conflict':
      return jsonReply(409, { failed: reply.failed, ledger: revision });
    case 'changes':
      return encodeChanges(reply);
    case 'too-old':
      return jsonReply(410, { ledger: revision });
    case 'rejected':
      return failureReply(400, reply.reason);
    case 'refused':
      return refusedReply(reply.busy);
    case 'no-answer':
      return null;
  }
}

function encodeItems(reply: Extract<StoreReply, { kind: 'items' }>, pageSize: number): EncodedReply {
  const items = reply.items.slice(0, pageSize);
  return jsonReply(200, {
    items: items.map(encodeItem),
    more: reply.more || items.length < reply.items.length,
    ledger: reply.revision,
  });
}

function encodeChanges(reply: Extract<StoreReply, { kind: 'changes' }>): EncodedReply {
  const puts = reply.puts.map((item) => ({ set: item.key, v: item.value, stamp: item.revision }));
  const deletes = reply.deletes.map((key) => ({ drop: key, stamp: reply.revision }));
  return jsonReply(200, { ledger: reply.revision, events: [...puts, ...deletes] });
}
