// Client side of the cloud protocol, used by controllers: encodes requests, decodes replies.
import type { CloudReply, CloudRequest, ListedMachine, MachineType } from '../core/base/model.ts';
import type { MachineId, MachineTypeName, ZoneName } from '../types/index.ts';
import type { HttpCall } from './http-call.ts';
import { asObject, readAmount, readBoolean, readList, readString } from './json-fields.ts';

const LIST_PAGE_SIZE = 500;

/** Encodes a request to the cloud as an HTTP request. */
export function encodeCloudRequest(request: CloudRequest): HttpCall {
  switch (request.kind) {
    case 'types':
      return { method: 'GET', path: '/flavors', body: null };
    case 'list': {
      const from = request.after === null ? '' : `from=${request.after}&`;
      return { method: 'GET', path: `/rentals?${from}page=${LIST_PAGE_SIZE}`, body: null };
    }
    case 'release':
      return { method: 'POST', path: '/rentals/release', body: JSON.stringify({ berths: request.machines }) };
    case 'rent': {
      const body = {
        hire: request.request,
        berthkind: request.type,
        yard: request.zone,
        loaners: request.spot,
        number: request.count,
      };
      return { method: 'POST', path: '/rentals', body: JSON.stringify(body) };
    }
  }
}

const readReplyList = (json: unknown, name: string): unknown[] => readList(asObject(json, 'the reply'), name);

function decodeMachineType(json: unknown): MachineType {
  const fields = asObject(json, 'a machine type');
  return {
    name: readString(fields, 'label') as MachineTypeName,
    cpus: readAmount(fields, 'cores'),
    gpus: readAmount(fields, 'accelerators'),
    memoryGb: readAmount(fields, 'memoryGb'),
    cacheGb: readAmount(fields, 'cacheGb'),
    fetchGbPerS: readAmount(fields, 'pullGbPerS'),
    price: readAmount(fields, 'rate'),
    spotPrice: readAmount(fields, 'lowPrice'),
    bootS: readAmount(fields, 'bootS'),
    zones: readList(fields, 'yards') as ZoneName[],
  };
}

function decodeListedMachine(json: unknown): ListedMachine {
  const fields = asObject(json, 'a machine');
  return {
    id: readString(fields, 'nameId') as MachineId,
    addr: readString(fields, 'endpoint'),
    type: readString(fields, 'berthkind') as MachineTypeName,
    zone: readString(fields, 'yard') as ZoneName,
    spot: readBoolean(fields, 'loaners'),
    status: readString(fields, 'status') as ListedMachine['status'],
    ageS: readAmount(fields, 'heldS'),
  };
}

function decodeRefusal(status: number, json: unknown): CloudReply {
  const hasReason = status === 503 && typeof json === 'object' && json !== null;
  const reason = hasReason ? (json as { error?: unknown }).error : '';
  return reason === 'no capacity' ? { kind: 'no-capacity' } : { kind: 'refused', busy: status === 429 };
}

/** Decodes the cloud's reply to `request`; throws `InvalidMessageError`. */
export function decodeCloudReply(request: CloudRequest, status: number, json: unknown): CloudReply {
  if (status !== 200) return decodeRefusal(status, json);
  switch (request.kind) {
    case 'types':
      return { kind: 'types', types: readReplyList(json, 'berthkinds').map(decodeMachineType) };
    case 'rent':
      return { kind: 'rented', machines: readReplyList(json, 'berths') as MachineId[] };
    case 'release':
      return { kind: 'released' };
    case 'list':
      return {
        kind: 'listed',
        machines: readReplyList(json, 'berths').map(decodeListedMachine),
        more: (json as { more?: unknown }).more === true,
      };
  }
}
