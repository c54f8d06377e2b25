// Checks that all controllers support configuration documents before documents are changed.
import type { Settings } from '../core/base/model.ts';
import { HttpClient } from '../http/client.ts';

const STATUS_TIMEOUT_MS = 3000;
const MAX_STATUS_BYTES = 1 << 20;

/** The part of a node's status (`GET /status`) that is needed here. */
export interface NodeStatus {
  configuration?: { nodes?: { node: string; linked: boolean; knowsDocuments: boolean | null }[] };
}

/** The status of the node at an address; null if it does not respond. */
export function fetchNodeStatus(addr: string): Promise<NodeStatus | null> {
  const client = new HttpClient(addr, 1, MAX_STATUS_BYTES);
  const call = { method: 'GET', path: '/status', body: null, timeoutMs: STATUS_TIMEOUT_MS };
  return new Promise((resolve) =>
    client.call(call, (response) => {
      client.close();
      try {
        const isOk = response?.status === 200;
        resolve(isOk ? (JSON.parse(response.body.toString('utf8')) as NodeStatus) : null);
      } catch {
        resolve(null);
      }
    }),
  );
}

/**
 * Why documents may not be changed now, in one line; null if there is no reason. A controller that does not support
 * them would go by the settings file alone. `status`: that of the node with these settings, null if it does not respond.
 */
export function versionObstacle(status: NodeStatus | null, { node, listen }: Settings): string | null {
  if (status === null)
    return `node ${node} at ${listen} does not answer: whether all controllers know documents is unknown`;
  const nodes = status.configuration?.nodes;
  if (nodes === undefined) return `node ${node} is of a version that does not know documents`;
  const older = nodes.find((peer) => peer.knowsDocuments === false);
  if (older !== undefined)
    return `node ${older.node} is of a version that does not know documents: upgrade it first`;
  const unknown = nodes.find((peer) => peer.knowsDocuments === null);
  if (unknown !== undefined)
    return `the version of node ${unknown.node} is unknown: it has not been heard of yet`;
  return null;
}
