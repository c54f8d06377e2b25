// Asks a running lab at its own address.
import { HttpClient } from '../http/client.ts';
import { addrOf } from './files.ts';

export const LOCAL_CLUSTER_ADDR = '127.0.0.1:7070';
const ASK_MS = 5000;

/** `addr`: what was given with `--lab`, true for the usual address. Throws what went wrong, in a sentence. */
export function askLocalCluster(
  addr: string | true,
  method: string,
  path: string,
  body: unknown = null,
): Promise<unknown> {
  const at = addrOf(
    addr === true ? LOCAL_CLUSTER_ADDR : addr,
    `a lab's address looks like ${LOCAL_CLUSTER_ADDR}`,
  );
  const client = new HttpClient(at, 1, 64 << 20);
  return new Promise((resolve, reject) => {
    const call = { method, path, body: body === null ? null : JSON.stringify(body), timeoutMs: ASK_MS };
    client.call(call, (r) => {
      client.close();
      if (r === null) return reject(new Error(`there is no lab at ${at}; start one with swiftford lab`));
      const said = JSON.parse(r.body.toString('utf8')) as { error?: string };
      if (r.status === 200) resolve(said);
      else reject(new Error(said.error ?? `the lab answered ${r.status}`));
    });
  });
}
