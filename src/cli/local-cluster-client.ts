// Client of the control API of a running local cluster.
import { HttpClient } from '../http/client.ts';
import { SwiftfordError } from '../types/errors.ts';
import { checkAddress } from './arguments.ts';

/** The address at which a local cluster listens by default. */
export const LOCAL_CLUSTER_ADDR = '127.0.0.1:7070';
const REQUEST_TIMEOUT_MS = 5000;
const MAX_REPLY_BYTES = 64 << 20;

/** The value of an address option: an address, or true for the default address. */
export type LocalClusterAddr = string | true;

/** Options that name a local cluster; `--lab` is the older name of `--local-cluster`. */
export interface LocalClusterAddrFlags {
  localCluster?: LocalClusterAddr;
  lab?: LocalClusterAddr;
}

/** Thrown if no local cluster responds at the address, or it refuses the request. */
export class LocalClusterError extends SwiftfordError {
  readonly code = 'LOCAL_CLUSTER';
}

/** The address that the options set; undefined if they set none. */
export const localClusterAddrOf = (flags: LocalClusterAddrFlags): LocalClusterAddr | undefined =>
  flags.localCluster ?? flags.lab;

/**
 * Sends a request; returns the JSON of the response. Throws `LocalClusterError`, or `InvalidSettingsError`
 * for an invalid address.
 */
export function requestLocalCluster(
  addr: LocalClusterAddr,
  method: string,
  path: string,
  body: unknown = null,
): Promise<unknown> {
  const validAddr = checkAddress(
    addr === true ? LOCAL_CLUSTER_ADDR : addr,
    `the address of a local cluster looks like ${LOCAL_CLUSTER_ADDR}`,
  );
  const client = new HttpClient(validAddr, 1, MAX_REPLY_BYTES);
  const call = {
    method,
    path,
    body: body === null ? null : JSON.stringify(body),
    timeoutMs: REQUEST_TIMEOUT_MS,
  };
  return new Promise((resolve, reject) => {
    client.call(call, (response) => {
      client.close();
      if (response === null) {
        reject(new LocalClusterError(`there is no lab at ${validAddr}; start one with swiftford lab`));
        return;
      }
      const json = JSON.parse(response.body.toString('utf8')) as { error?: string };
      if (response.status === 200) resolve(json);
      else
        reject(
          new LocalClusterError(json.error ?? `the local cluster responded with status ${response.status}`),
        );
    });
  });
}
