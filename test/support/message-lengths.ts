// Measures the messages of a simulated world in their encoded form, as the protocol limits their lengths.
import type { HeartbeatResponse, StoreRequest } from '../../src/core/base/model.ts';
import { encodePeerMessage } from '../../src/protocol/peer.ts';
import { encodeStoreRequest } from '../../src/protocol/store.ts';
import { encodeHeartbeatResponse } from '../../src/protocol/worker.ts';
import { encodeHeartbeat } from '../../src/protocol/worker-agent.ts';
import type { SimulatedWorld } from './simulated-world.ts';
import type { Transport } from './transport.ts';

/** Largest body of a request, and longest line of a response to a worker or user (PROTOCOL). */
export const MAX_MESSAGE_BYTES = 64 * 1024;
/** Largest message that every version of the program reads from another controller. */
export const MAX_PEER_MESSAGE_BYTES = 256 * 1024;

/** The longest messages of each kind that a world has sent, in bytes. */
export interface LongestMessages {
  heartbeat: number;
  heartbeatResponse: number;
  storeRequest: number;
  peerMessage: number;
  /** Number of tasks in the heartbeat with the most. */
  tasks: number;
}

const heartbeatResponseBytes = (response: HeartbeatResponse): number =>
  Buffer.byteLength(encodeHeartbeatResponse(response).body);

const storeRequestBytes = (request: StoreRequest): number =>
  Buffer.byteLength(encodeStoreRequest(request).body ?? '');

/** Measures every message that the world passes from now on. */
export function measureMessages(world: SimulatedWorld): LongestMessages {
  const longest = { heartbeat: 0, heartbeatResponse: 0, storeRequest: 0, peerMessage: 0, tasks: 0 };
  const { transport } = world;
  const measure = (kind: keyof LongestMessages, length: number): void => {
    longest[kind] = Math.max(longest[kind], length);
  };
  const measured: Transport = {
    ...transport,
    heartbeat: (heartbeat) => {
      measure('heartbeat', Buffer.byteLength(encodeHeartbeat(heartbeat)));
      measure('tasks', heartbeat.tasks.length);
      return transport.heartbeat(heartbeat);
    },
    heartbeatResponse: (response) => {
      measure('heartbeatResponse', heartbeatResponseBytes(response));
      return transport.heartbeatResponse(response);
    },
    storeRequest: (request) => {
      measure('storeRequest', storeRequestBytes(request));
      return transport.storeRequest(request);
    },
    peerMessage: (message) => {
      measure('peerMessage', encodePeerMessage(message).length);
      return transport.peerMessage(message);
    },
  };
  world.transport = measured;
  return longest;
}
