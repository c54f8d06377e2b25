// Executes the effects that the core returns: requests to the store, the cloud and workers, responses to HTTP
// requests, messages to other controllers, and log lines.
import type { Effect, Input } from '../core/base/io.ts';
import type { CloudReply, StoreReply, StoreRequest, WorkerReply } from '../core/base/model.ts';
import { HttpClient } from '../http/client.ts';
import { decodeCloudReply, encodeCloudRequest } from '../protocol/cloud.ts';
import { decodeReply } from '../protocol/http-call.ts';
import { decodeStoreReply, encodeStoreRequest } from '../protocol/store.ts';
import { encodeUserResponse } from '../protocol/user-response.ts';
import { encodeCommands, encodeHeartbeatResponse, parseHeartbeat } from '../protocol/worker.ts';
import type { InvalidMessageLog, MessageSource } from './invalid-message-log.ts';
import type { Log } from './log.ts';
import type { PeerLinks } from './peer-links.ts';
import type { PendingResponses } from './pending-responses.ts';

type EffectOf<K extends Effect['kind']> = Extract<Effect, { kind: K }>;

/** Dependencies of an `EffectExecutor`. */
export interface EffectExecutorDependencies {
  storeAddr: string;
  cloudAddr: string;
  responses: PendingResponses;
  peers: PeerLinks;
  /** Feeds a reply to the core. */
  step: (input: Input) => void;
  log: Log;
  invalidMessages: InvalidMessageLog;
}

const MAX_REPLY_BYTES = 64 * 1024 * 1024;
const STORE_CONNECTIONS = 4;
/**
 * Leases have connections of their own: a hanging renewal must not delay other requests or the next renewal.
 */
const LEASE_CONNECTIONS = 5;
/** Watches are long polls that occupy a connection, so they have connections of their own. */
const WATCH_CONNECTIONS = 3;
const CLOUD_CONNECTIONS = 3;

/** Executes effects; replies to requests are fed to the core as inputs. */
export class EffectExecutor {
  private readonly store: HttpClient;
  private readonly leases: HttpClient;
  private readonly watches: HttpClient;
  private readonly cloud: HttpClient;

  constructor(private readonly dependencies: EffectExecutorDependencies) {
    const { storeAddr, cloudAddr } = dependencies;
    this.store = new HttpClient(storeAddr, STORE_CONNECTIONS, MAX_REPLY_BYTES);
    this.leases = new HttpClient(storeAddr, LEASE_CONNECTIONS, MAX_REPLY_BYTES);
    this.watches = new HttpClient(storeAddr, WATCH_CONNECTIONS, MAX_REPLY_BYTES);
    this.cloud = new HttpClient(cloudAddr, CLOUD_CONNECTIONS, MAX_REPLY_BYTES);
  }

  execute(effect: Effect): void {
    const { responses, peers, log } = this.dependencies;
    switch (effect.kind) {
      case 'user-response':
        return responses.respond(effect.requestId, encodeUserResponse(effect.response));
      case 'heartbeat-response':
        return responses.respond(effect.requestId, encodeHeartbeatResponse(effect.response));
      case 'store':
        return this.callStore(effect);
      case 'cloud':
        return this.callCloud(effect);
      case 'probe':
        return this.probe(effect);
      case 'peer':
        return peers.send(effect.node, effect.message);
      case 'log':
        return log(effect.level, effect.message, effect.fields);
    }
  }

  private callStore({ tag, request, timeoutMs }: EffectOf<'store'>): void {
    this.storeClient(request).call({ ...encodeStoreRequest(request), timeoutMs }, (response) => {
      const reply = decodeReply<StoreReply>(
        response,
        (status, json) => decodeStoreReply(request, status, json),
        this.onInvalid('store reply'),
      );
      this.dependencies.step({ kind: 'store', tag, reply });
    });
  }

  private storeClient(request: StoreRequest): HttpClient {
    switch (request.kind) {
      case 'watch':
        return this.watches;
      case 'grant-lease':
      case 'renew-lease':
      case 'revoke-lease':
        return this.leases;
      default:
        return this.store;
    }
  }

  private callCloud({ tag, request, timeoutMs }: EffectOf<'cloud'>): void {
    this.cloud.call({ ...encodeCloudRequest(request), timeoutMs }, (response) => {
      const reply = decodeReply<CloudReply>(
        response,
        (status, json) => decodeCloudReply(request, status, json),
        this.onInvalid('cloud reply'),
      );
      this.dependencies.step({ kind: 'cloud', tag, reply });
    });
  }

  private onInvalid(source: MessageSource): (error: unknown) => void {
    return (error) => this.dependencies.invalidMessages.record(source, error);
  }

  /** Raises a machine's fencing token without sending commands; the response contains its heartbeat. */
  private probe({ tag, addr, fencingToken, agentEpoch, timeoutMs }: EffectOf<'probe'>): void {
    const client = new HttpClient(addr, 1, MAX_REPLY_BYTES);
    const body = encodeCommands(fencingToken, [], agentEpoch);
    client.call({ method: 'POST', path: '/orders', body, timeoutMs }, (response) => {
      const reply = decodeReply<WorkerReply>(response, decodeProbeReply, this.onInvalid('worker reply'));
      client.close();
      this.dependencies.step({ kind: 'worker', tag, reply });
    });
  }
}

/**
 * A worker refuses commands under an old fencing token with 409; that response contains its heartbeat, too.
 */
function decodeProbeReply(status: number, json: unknown): WorkerReply {
  if (status !== 200 && status !== 409) return { kind: 'no-answer' };
  return { kind: 'heartbeat', heartbeat: parseHeartbeat(json), executed: status === 200 };
}
