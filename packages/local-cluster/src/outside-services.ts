// HTTP request handlers of the key-value store and the cloud: they add rate limits, latencies and lost
// replies to the stand-ins.
import type { Random } from '../../../src/core/base/io.ts';
import type { MachineType } from '../../../src/core/base/model.ts';
import { TokenBucket } from '../../../src/core/base/token-bucket.ts';
import { decodeCloudRequest, encodeCloudReply } from '../../../src/protocol/cloud-service.ts';
import { decodeStoreRequest, encodeStoreReply } from '../../../src/protocol/store-service.ts';
import type { Instant, MachineTypeName, ZoneName } from '../../../src/types/index.ts';
import { type CloudEnvironment, FakeCloud } from './fake-cloud.ts';
import { FakeStore } from './fake-store.ts';
import { errorResponse, type RequestHandler, type Respond } from './json-server.ts';
import type { LocalClusterOptions } from './options.ts';

/** Numbers of requests to the services since they were started. */
export interface ServiceCounts {
  stateRequests: number;
  /** Puts and deletes in transactions within the rate limits. */
  stateChanges: number;
  /** Requests to the store that were refused as over a rate limit. */
  stateRefused: number;
  cloudCalls: number;
  cloudRefused: number;
}

type StoreCall = NonNullable<ReturnType<typeof decodeStoreRequest>>;

/** Size of the cloud's token bucket, in seconds of its request rate. */
const CLOUD_BURST_S = 2;
/** Minimum boot time, as a fraction of the nominal one. */
const MIN_BOOT_FRACTION = 0.6;
/** Random addition to the boot time, in percentage points of the nominal one. */
const BOOT_SPREAD_PERCENT = 90;

/** The key-value store and the cloud with their request handlers. */
export class OutsideServices {
  readonly store: FakeStore;
  readonly cloud: FakeCloud;
  readonly counts: ServiceCounts = {
    stateRequests: 0,
    stateChanges: 0,
    stateRefused: 0,
    cloudCalls: 0,
    cloudRefused: 0,
  };
  /** Time until which half of the store's replies are lost, in milliseconds. */
  storeSilentUntil = 0;
  /** Time at which the store executes the requests received before it, without replies, in milliseconds. */
  storeLateUntil = 0;
  private readonly storeRequestLimit: TokenBucket;
  private readonly storeWriteLimit: TokenBucket;
  private readonly cloudLimit: TokenBucket;

  /** `whenDurable` calls `callback` when all changes made so far are on disk and may be confirmed. */
  constructor(
    private readonly environment: CloudEnvironment,
    private readonly options: LocalClusterOptions,
    private readonly random: Random,
    private readonly whenDurable: (callback: () => void) => void,
  ) {
    const { state, cloud } = options;
    this.storeRequestLimit = new TokenBucket(state.rps, state.rps);
    this.storeWriteLimit = new TokenBucket(state.write_rps, state.write_rps);
    this.cloudLimit = new TokenBucket(cloud.rps, CLOUD_BURST_S * cloud.rps);
    this.store = new FakeStore(environment);
    this.store.limits = { valueBytes: state.value_kb * 1024, txnOps: state.txn_ops };
    this.cloud = new FakeCloud(environment);
    this.configureCloud();
  }

  private configureCloud(): void {
    const { lab, cloud, types } = this.options;
    this.cloud.listLagMs = cloud.list_lag_s * 1000;
    this.cloud.types = Object.entries(types).map(([name, type]) => machineType(name, type, lab.zones));
    this.cloud.capacityOf = (type, _zone, spot) => types[type]?.[spot ? 'spot' : 'count'] ?? 0;
    this.cloud.bootMs = (type) =>
      ((types[type]!.boot_s * 1000) / lab.speed) *
      (MIN_BOOT_FRACTION + this.random.below(BOOT_SPREAD_PERCENT) / 100);
  }

  /** Handles requests to the key-value store. */
  readonly serveStore: RequestHandler = (method, path, body, respond) => {
    const call = decodeStoreRequest(method, path, body);
    if (call === null) return respond(errorResponse(404, 'no such path'));
    const { request } = call;
    const changes = request.kind === 'compare-and-swap' ? request.puts.length + request.deletes.length : 0;
    this.counts.stateRequests++;
    if (!this.store.down && this.isOverStoreLimit(changes)) {
      this.counts.stateRefused++;
      return respond(errorResponse(429, 'too many requests'));
    }
    this.counts.stateChanges += changes;
    const remainingDelayMs = this.storeLateUntil - this.environment.now;
    if (remainingDelayMs > 0 && request.kind !== 'watch')
      return this.environment.after(remainingDelayMs, () => this.store.serve('', request, () => {}));
    this.executeStoreCall(call, respond);
  };

  private isOverStoreLimit(changes: number): boolean {
    const now = this.environment.now as Instant;
    if (!this.storeRequestLimit.take(now)) return true;
    return changes > 0 && !this.storeWriteLimit.take(now, changes);
  }

  private executeStoreCall({ request, pageSize }: StoreCall, respond: Respond): void {
    const isReplyLost = this.environment.now < this.storeSilentUntil && this.random.below(2) === 0;
    this.store.serve('', request, (reply) => {
      if (isReplyLost) return;
      const response = encodeStoreReply(request, reply, pageSize, this.store.revision);
      this.respondAfter(this.options.state.latency_ms, () => respond(response));
    });
    this.store.executedRequests.length = 0;
  }

  /** Handles requests to the cloud. */
  readonly serveCloud: RequestHandler = (method, path, body, respond) => {
    const call = decodeCloudRequest(method, path, body);
    if (call === null) return respond(errorResponse(404, 'no such path'));
    this.counts.cloudCalls++;
    if (!this.cloudLimit.take(this.environment.now as Instant)) {
      this.counts.cloudRefused++;
      return respond(errorResponse(429, 'too many requests'));
    }
    const reply = this.cloud.serve(call.request);
    this.cloud.released.length = 0;
    const response = encodeCloudReply(call.request, reply, call.pageSize);
    this.respondAfter(this.options.cloud.latency_ms, () => respond(response));
  };

  private respondAfter(latencyMs: number, respond: () => void): void {
    this.whenDurable(() => this.environment.after(latencyMs, respond));
  }
}

const machineType = (
  name: string,
  options: LocalClusterOptions['types'][string],
  zones: readonly string[],
): MachineType => ({
  name: name as MachineTypeName,
  cpus: options.cpus,
  gpus: options.gpus,
  memoryGb: options.memory_gb,
  cacheGb: options.cache_gb,
  fetchGbPerS: options.fetch_gb_per_s,
  price: options.price,
  spotPrice: options.spot_price,
  bootS: options.boot_s,
  zones: zones as ZoneName[],
});
