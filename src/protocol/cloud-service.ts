// Server side of the cloud protocol: decodes requests of controllers, encodes replies. The client side, used
// by controllers, is cloud.ts.
import type { CloudReply, CloudRequest, ListedMachine, MachineType } from '../core/base/model.ts';
import type { MachineId, MachineTypeName, ZoneName } from '../types/index.ts';
import { asObject, readBoolean, readCount, readString } from './json-fields.ts';
import {
  type DecodedRequest,
  decodeRequest,
  type EncodedReply,
  failureReply,
  jsonReply,
  type RequestTarget,
  refusedReply,
} from './service-side.ts';

const MAX_PAGE_SIZE = 500;
const MAX_MACHINES_PER_REQUEST = 50;

/** Decodes a controller's request; null if the path is unknown. Throws `InvalidMessageError`. */
export function decodeCloudRequest(
  method: string,
  path: string,
  body: unknown,
): DecodedRequest<CloudRequest> | null {
  return decodeRequest(path, MAX_PAGE_SIZE, (target) => decodeOperation(method, target, body));
}

function decodeOperation(
  method: string,
  { segments, query }: RequestTarget,
  body: unknown,
): CloudRequest | null {
  switch (`${method} ${segments.join('/')}`) {
    case 'GET flavors':
      return { kind: 'types' };
    case 'GET rentals':
      return { kind: 'list', after: query.get('from') as MachineId | null };
    case 'POST rentals/release': {
      const { berths } = asObject(body, 'the request');
      return { kind: 'release', machines: (berths ?? []) as MachineId[] };
    }
    case 'POST rentals':
      return decodeRent(body);
  }
  return null;
}

function decodeRent(body: unknown): CloudRequest {
  const fields = asObject(body, 'the request');
  return {
    kind: 'rent',
    request: readString(fields, 'hire'),
    type: readString(fields, 'berthkind') as MachineTypeName,
    zone: readString(fields, 'yard') as ZoneName,
    spot: readBoolean(fields, 'loaners'),
    count: readCount(fields, 'number', 1, MAX_MACHINES_PER_REQUEST),
  };
}

/** Encodes the cloud's reply with at most `pageSize` machines; null: no response is sent. */
export function encodeCloudReply(
  request: CloudRequest,
  reply: CloudReply,
  pageSize: number,
): EncodedReply | null {
  switch (reply.kind) {
    case 'types':
      return jsonReply(200, { berthkinds: reply.types.map(encodeMachineType) });
    case 'rented':
      return jsonReply(200, { berths: reply.machines });
    case 'no-capacity':
      return failureReply(503, 'no capacity');
    case 'released':
      return jsonReply(200, {});
    case 'listed':
      return encodeListing(reply.machines, request.kind === 'list' ? request.after : null, pageSize);
    case 'refused':
      return refusedReply(reply.busy);
    case 'no-answer':
      return null;
  }
}

const encodeMachineType = (type: MachineType): unknown => ({
  label: type.name,
  cores: type.cpus,
  accelerators: type.gpus,
  memoryGb: type.memoryGb,
  cacheGb: type.cacheGb,
  pullGbPerS: type.fetchGbPerS,
  rate: type.price,
  lowPrice: type.spotPrice,
  bootS: type.bootS,
  yards: type.zones,
});

const encodeListedMachine = (machine: ListedMachine): unknown => ({
  nameId: machine.id,
  endpoint: machine.addr,
  berthkind: machine.type,
  yard: machine.zone,
  loaners: machine.spot,
  status: machine.status,
  heldS: machine.ageS,
});

/** Encodes the first `pageSize` machines with ids greater than `after`; `machines` are sorted by id. */
function encodeListing(machines: ListedMachine[], after: MachineId | null, pageSize: number): EncodedReply {
  const rest = machines.filter((machine) => after === null || machine.id > after);
  const listed = rest.slice(0, pageSize);
  return jsonReply(200, { berths: listed.map(encodeListedMachine), more: listed.length < rest.length });
}
