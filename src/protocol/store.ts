// Requests to the state service and its replies.
import type { StoreItem, StoreReply, StoreRequest } from '../core/base/model.ts';
import type { Revision, StoreLeaseId } from '../types/index.ts';
import type { HttpCall } from './cloud.ts';
import { asObject, count, InvalidMessageError } from './job.ts';

const LIST_PAGE = 500;

export function encodeStoreRequest(op: StoreRequest): HttpCall {
  switch (op.kind) {
    case 'get':
      return { method: 'GET', path: `/store/${op.key}`, body: null };
    case 'list': {
      const from = op.after === null ? '' : `&from=${op.after}`;
      return { method: 'GET', path: `/store?prefix=${op.prefix}${from}&page=${LIST_PAGE}`, body: null };
    }
    case 'grant-lease':
      return { method: 'POST', path: '/holds', body: JSON.stringify({ lifeMs: op.ttlMs }) };
    case 'renew-lease':
      return { method: 'POST', path: `/holds/${op.lease}/extend`, body: '{}' };
    case 'revoke-lease':
      return { method: 'DELETE', path: `/holds/${op.lease}`, body: null };
    case 'watch':
      return {
        method: 'GET',
        path: `/changes?prefix=${op.prefix}&from=${op.after}&blockMs=${op.waitMs}`,
        body: null,
      };
    case 'compare-and-swap':
      return { method: 'POST', path: '/commit', body: encodeCommit(op) };
  }
}

function encodeCommit(op: Extract<StoreRequest, { kind: 'compare-and-swap' }>): string {
  const changes: unknown[] = op.puts.map((p) => ({
    set: p.key,
    v: p.value,
    ...(p.lease === undefined ? {} : { tenancy: p.lease }),
  }));
  for (const key of op.deletes) changes.push({ drop: key });
  return JSON.stringify({
    if: op.conditions.map((c) => ({ key: c.key, stamp: c.revision })),
    ...(changes.length === 0 ? {} : { apply: changes }),
  });
}

function item(json: unknown): StoreItem {
  const f = asObject(json, 'an item');
  return { key: String(f.key ?? f.set), value: f.v, revision: count(f, 'stamp') as Revision };
}

function items(json: unknown, name: string): unknown[] {
  const v = asObject(json, 'the reply')[name];
  if (!Array.isArray(v)) throw new InvalidMessageError(`${name} must be a list`);
  return v;
}

const ledger = (json: unknown): Revision => count(asObject(json, 'the reply'), 'ledger') as Revision;

function decodeChanges(json: unknown): StoreReply {
  const puts: StoreItem[] = [];
  const deletes: string[] = [];
  for (const e of items(json, 'events')) {
    const f = asObject(e, 'an event');
    if (f.drop !== undefined) deletes.push(String(f.drop));
    else puts.push(item(e));
  }
  return { kind: 'changes', revision: ledger(json), puts, deletes };
}

function decodeOk(op: StoreRequest, json: unknown): StoreReply {
  switch (op.kind) {
    case 'get':
      return { kind: 'item', item: item(json) };
    case 'list': {
      const more = asObject(json, 'the reply').more === true;
      return { kind: 'items', items: items(json, 'items').map(item), more, revision: ledger(json) };
    }
    case 'grant-lease':
      return { kind: 'lease-granted', lease: count(asObject(json, 'the reply'), 'tenancy') as StoreLeaseId };
    case 'watch':
      return decodeChanges(json);
    case 'compare-and-swap':
      return { kind: 'committed', revision: ledger(json) };
    case 'renew-lease':
    case 'revoke-lease':
      return { kind: 'ok' };
  }
}

export function decodeStoreReply(op: StoreRequest, status: number, json: unknown): StoreReply {
  switch (status) {
    case 200:
    case 204:
      return decodeOk(op, json);
    case 404:
      return { kind: 'missing' };
    case 409:
      return { kind: 'conflict', failed: items(json, 'failed').map(String) };
    case 410:
      return { kind: 'too-old' };
    case 429:
      return { kind: 'refused', busy: true };
    case 400:
      return { kind: 'rejected', reason: JSON.stringify(json) };
    default:
      return { kind: 'refused', busy: false };
  }
}
