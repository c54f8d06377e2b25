// Requests to the cloud and its replies.
import type { CloudReply, CloudRequest, ListedMachine, MachineType } from '../core/base/model.ts';
import type { MachineId, TypeName, ZoneName } from '../types/index.ts';
import { amount, asObject, flag, InvalidMessageError, text } from './job.ts';

const LIST_PAGE = 500;

export interface HttpCall {
  method: string;
  path: string;
  body: string | null;
}

export function encodeCloudRequest(op: CloudRequest): HttpCall {
  switch (op.kind) {
    case 'types':
      return { method: 'GET', path: '/flavors', body: null };
    case 'list': {
      const from = op.after === null ? '' : `from=${op.after}&`;
      return { method: 'GET', path: `/rentals?${from}page=${LIST_PAGE}`, body: null };
    }
    case 'release':
      return { method: 'POST', path: '/rentals/release', body: JSON.stringify({ berths: op.machines }) };
    case 'rent': {
      const body = {
        hire: op.request,
        berthkind: op.type,
        yard: op.zone,
        loaners: op.spot,
        number: op.count,
      };
      return { method: 'POST', path: '/rentals', body: JSON.stringify(body) };
    }
  }
}

function list(json: unknown, name: string): unknown[] {
  const v = asObject(json, 'the reply')[name];
  if (!Array.isArray(v)) throw new InvalidMessageError(`${name} must be a list`);
  return v;
}

function machineType(json: unknown): MachineType {
  const f = asObject(json, 'a machine type');
  return {
    name: text(f, 'label') as TypeName,
    cpus: amount(f, 'cores'),
    gpus: amount(f, 'accelerators'),
    memoryGb: amount(f, 'memoryGb'),
    cacheGb: amount(f, 'cacheGb'),
    fetchGbPerS: amount(f, 'pullGbPerS'),
    price: amount(f, 'rate'),
    spotPrice: amount(f, 'lowPrice'),
    bootS: amount(f, 'bootS'),
    zones: list(f, 'yards') as ZoneName[],
  };
}

function listed(json: unknown): ListedMachine {
  const f = asObject(json, 'a machine');
  return {
    id: text(f, 'nameId') as MachineId,
    addr: text(f, 'endpoint'),
    type: text(f, 'berthkind') as TypeName,
    zone: text(f, 'yard') as ZoneName,
    spot: flag(f, 'loaners'),
    status: text(f, 'status') as ListedMachine['status'],
    ageS: amount(f, 'heldS'),
  };
}

export function decodeCloudReply(op: CloudRequest, status: number, json: unknown): CloudReply {
  if (status !== 200) {
    const reason =
      status === 503 && typeof json === 'object' && json !== null ? (json as { error?: unknown }).error : '';
    return reason === 'no capacity' ? { kind: 'no-capacity' } : { kind: 'refused', busy: status === 429 };
  }
  switch (op.kind) {
    case 'types':
      return { kind: 'types', types: list(json, 'berthkinds').map(machineType) };
    case 'rent':
      return { kind: 'rented', machines: list(json, 'berths') as MachineId[] };
    case 'release':
      return { kind: 'released' };
    case 'list':
      return {
        kind: 'listed',
        machines: list(json, 'berths').map(listed),
        more: (json as { more?: unknown }).more === true,
      };
  }
}
