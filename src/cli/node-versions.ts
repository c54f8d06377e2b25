// Checks whether all controllers support configuration documents, before a command changes documents.
import type { Settings } from '../core/base/model.ts';
import { HttpClient } from '../http/client.ts';

const STATUS_TIMEOUT_MS = 3000;
const MAX_STATUS_BYTES = 1 << 20;

/** The fields of a node's status (`GET /status`) that this check needs. */
export interface NodeStatus {
  configuration?: { nodes?: { node: string; linked: boolean; knowsDocuments: boolean | null }[] };
}

/** Fetches the status of a node; null if it does not respond or the response is invalid. */
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
 * The reason why documents must not be changed now, in one line; null if they may be. A controller without
 * support for documents would apply the settings file alone. `status`: status of the node with these
 * settings, null if it did not respond.
 */
export function versionObstacle(status: NodeStatus | null, { node, listen }: Settings): string | null {
  if (status === null)
    return `node ${node} at ${listen} does not answer: it is unknown whether all controllers support documents`;
  const nodes = status.configuration?.nodes;
  if (nodes === undefined) return `node ${node} is of a version that does not know documents`;
  const outdatedNode = nodes.find((peer) => peer.knowsDocuments === false);
  if (outdatedNode !== undefined)
    return `node ${outdatedNode.node} is of a version that does not know documents: upgrade it first`;
  const unknownNode = nodes.find((peer) => peer.knowsDocuments === null);
  if (unknownNode !== undefined)
    return `the version of node ${unknownNode.node} is unknown: it has not been heard of yet`;
  return null;
}
