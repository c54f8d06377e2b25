// Client side of the protocol of the key-value store, used by controllers: encodes requests, decodes replies.
import type { StoreItem, StoreReply, StoreRequest } from '../core/base/model.ts';
import { stringifyJson } from '../types/exact-json.ts';
import type { Revision, StoreLeaseId } from '../types/index.ts';
import type { HttpCall } from './http-call.ts';
import { asObject, readList, readUint64 } from './json-fields.ts';

const LIST_PAGE_SIZE = 500;

type CompareAndSwap = Extract<StoreRequest, { kind: 'compare-and-swap' }>;

/** Encodes a request to the store as an HTTP request. */
export function encodeStoreRequest(request: StoreRequest): HttpCall {
  switch (request.kind) {
    case 'get':
      return { method: 'GET', path: `/store/${request.key}`, body: null };
    case 'list': {
      const from = request.after === null ? '' : `&from=${request.after}`;
      const path = `/store?prefix=${request.prefix}${from}&page=${LIST_PAGE_SIZE}`;
      return { method: 'GET', path, body: null };
    }
    case 'grant-lease':
      return { method: 'POST', path: '/holds', body: JSON.stringify({ lifeMs: request.ttlMs }) };
    case 'renew-lease':
      return { method: 'POST', path: `/holds/${request.lease}/extend`, body: '{}' };
    case 'revoke-lease':
      return { method: 'DELETE', path: `/holds/${request.lease}`, body: null };
    case 'watch': {
      const { prefix, after, waitMs } = request;
      return { method: 'GET', path: `/changes?prefix=${prefix}&from=${after}&blockMs=${waitMs}`, body: null };
    }
    case 'compare-and-swap':
      return { method: 'POST', path: '/commit', body: encodeCompareAndSwap(request) };
  }
}

function encodeCompareAndSwap(request: CompareAndSwap): string {
  const changes: unknown[] = request.puts.map((put) => ({
    set: put.key,
    v: put.value,
    ...(put.lease === undefined ? {} : { tenancy: put.lease }),
  }));
  for (const key of request.deletes) changes.push({ drop: key });
  return stringifyJson({
    if: request.conditions.map((condition) => ({ key: condition.key, stamp: condition.revision })),
    ...(changes.length === 0 ? {} : { apply: changes }),
  });
}

function decodeItem(json: unknown): StoreItem {
  const fields = asObject(json, 'an item');
  return {
    key: String(fields.key ?? fields.set),
    value: fields.v,
    revision: readUint64(fields, 'stamp') as Revision,
  };
}

const readReplyList = (json: unknown, name: string): unknown[] => readList(asObject(json, 'the reply'), name);

/** The store's revision at the time of the reply. */
const readRevision = (json: unknown): Revision =>
  readUint64(asObject(json, 'the reply'), 'ledger') as Revision;

function decodeChanges(json: unknown): StoreReply {
  const puts: StoreItem[] = [];
  const deletes: string[] = [];
  for (const event of readReplyList(json, 'events')) {
    const fields = asObject(event, 'an event');
    if (fields.drop !== undefined) deletes.push(String(fields.drop));
    else puts.push(decodeItem(event));
  }
  return { kind: 'changes', revision: readRevision(json), puts, deletes };
}

function decodeItems(json: unknown): StoreReply {
  const more = asObject(json, 'the reply').more === true;
  const items = readReplyList(json, 'items').map(decodeItem);
  return { kind: 'items', items, more, revision: readRevision(json) };
}

function decodeSuccess(request: StoreRequest, json: unknown): StoreReply {
  switch (request.kind) {
    case 'get':
      return { kind: 'item', item: decodeItem(json) };
    case 'list':
      return decodeItems(json);
    case 'grant-lease': {
      const lease = readUint64(asObject(json, 'the reply'), 'tenancy') as StoreLeaseId;
      return { kind: 'lease-granted', lease };
    }
    case 'watch':
      return decodeChanges(json);
    case 'compare-and-swap':
      return { kind: 'committed', revision: readRevision(json) };
    case 'renew-lease':
    case 'revoke-lease':
      return { kind: 'ok' };
  }
}

/** Decodes the store's reply to `request`; throws `InvalidMessageError`. */
export function decodeStoreReply(request: StoreRequest, status: number, json: unknown): StoreReply {
  switch (status) {
    case 200:
    case 204:
      return decodeSuccess(request, json);
    case 404:
      return { kind: 'missing' };
    case 409:
      return { kind: 'conflict', failed: readReplyList(json, 'failed').map(String) };
    case 410:
      return { kind: 'too-old' };
    case 429:
      return { kind: 'refused', busy: true };
    case 400:
      return { kind: 'rejected', reason: stringifyJson(json) };
    default:
      return { kind: 'refused', busy: false };
  }
}
