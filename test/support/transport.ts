// How messages of a simulated world pass from sender to receiver: as objects, or encoded as on the wire.
import type {
  Heartbeat,
  HeartbeatResponse,
  PeerMessage,
  StoreReply,
  StoreRequest,
  WorkerReply,
} from '../../src/core/base/model.ts';
import { decodeReply } from '../../src/protocol/http-call.ts';
import { encodePeerMessage, PeerDecoder } from '../../src/protocol/peer.ts';
import { decodeStoreReply, encodeStoreRequest } from '../../src/protocol/store.ts';
import { decodeStoreRequest, encodeStoreReply } from '../../src/protocol/store-service.ts';
import { encodeCommands, encodeHeartbeatResponse, parseHeartbeat } from '../../src/protocol/worker.ts';
import { decodeCommands, decodeHeartbeatResponse, encodeHeartbeat } from '../../src/protocol/worker-agent.ts';
import { parseJson } from '../../src/types/exact-json.ts';
import type { FencingToken, Revision } from '../../src/types/index.ts';
import type { Uint64 } from '../../src/types/uint64.ts';

/** The address part of a probe: under which token, and to which epoch of the agent, it is sent. */
export interface ProbeHeader {
  fencingToken: FencingToken;
  agentEpoch: Uint64;
}

/** Returns each message as its receiver gets it; the receiver shares no memory with the sender. */
export interface Transport {
  storeRequest(request: StoreRequest): StoreRequest;
  /** `revision`: the store's present revision. */
  storeReply(request: StoreRequest, reply: StoreReply, revision: Revision): StoreReply;
  heartbeat(heartbeat: Heartbeat): Heartbeat;
  heartbeatResponse(response: HeartbeatResponse): HeartbeatResponse;
  probe(header: ProbeHeader): ProbeHeader;
  probeReply(reply: WorkerReply): WorkerReply;
  peerMessage(message: PeerMessage): PeerMessage;
}

/** Passes objects; requests and replies of the store are copied by the store itself. */
export const objectTransport: Transport = {
  storeRequest: (request) => request,
  storeReply: (_request, reply) => reply,
  heartbeat: (heartbeat) => structuredClone(heartbeat),
  heartbeatResponse: (response) => response,
  probe: (header) => header,
  probeReply: (reply) => reply,
  peerMessage: (message) => structuredClone(message),
};

const STORE_PAGE_SIZE = 1000;

const reencodeHeartbeat = (heartbeat: Heartbeat): Heartbeat =>
  parseHeartbeat(parseJson(encodeHeartbeat(heartbeat)));

/** Encodes and decodes each message with the codecs of the program. */
export const wireTransport: Transport = {
  storeRequest(request) {
    const { method, path, body } = encodeStoreRequest(request);
    return decodeStoreRequest(method, path, body === null ? {} : parseJson(body))!.request;
  },
  storeReply(request, reply, revision) {
    const encoded = encodeStoreReply(request, reply, STORE_PAGE_SIZE, revision);
    const response = encoded === null ? null : { status: encoded.status, body: Buffer.from(encoded.body) };
    return decodeReply(response, (status, json) => decodeStoreReply(request, status, json));
  },
  heartbeat: reencodeHeartbeat,
  heartbeatResponse(response) {
    const { status, body } = encodeHeartbeatResponse(response);
    return decodeHeartbeatResponse(status, parseJson(body))!;
  },
  probe({ fencingToken, agentEpoch }) {
    const decoded = decodeCommands(parseJson(encodeCommands(fencingToken, [], agentEpoch)));
    return { fencingToken: decoded.fencingToken, agentEpoch: decoded.agentEpoch! };
  },
  probeReply: (reply) =>
    reply.kind === 'heartbeat' ? { ...reply, heartbeat: reencodeHeartbeat(reply.heartbeat) } : reply,
  peerMessage: (message) => new PeerDecoder().feed(encodePeerMessage(message))[0]!,
};
