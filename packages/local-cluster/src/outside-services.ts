// State service and cloud behind sockets: their limits, delays and lost answers, around the stand-ins that do the work.

import type { Random } from '../../../src/core/base/io.ts';
import type { CloudReply, MachineType, StoreReply } from '../../../src/core/base/model.ts';
import { TokenBucket } from '../../../src/core/base/token-bucket.ts';
import { decodeCloudRequest, encodeCloudReply } from '../../../src/protocol/cloud-service.ts';
import { decodeStoreRequest, encodeStoreReply } from '../../../src/protocol/store-service.ts';
import type { Instant, TypeName, ZoneName } from '../../../src/types/index.ts';
import { type CloudEnvironment, FakeCloud } from './fake-cloud.ts';
import { FakeStore } from './fake-store.ts';
import { error, type Serve } from './json-server.ts';
import type { LocalClusterOptions } from './options.ts';

/** What the services have been asked for since they began. */
export interface ServiceCounts {
  stateRequests: number;
  /** Puts and deletes. */
  stateChanges: number;
  /** Requests to the state service that were over one of its limits. */
  stateRefused: number;
  cloudCalls: number;
  cloudRefused: number;
}

export class OutsideServices {
  readonly state: FakeStore;
  readonly cloud: FakeCloud;
  readonly counts: ServiceCounts = {
    stateRequests: 0,
    stateChanges: 0,
    stateRefused: 0,
    cloudCalls: 0,
    cloudRefused: 0,
  };
  /** Until when half of the state service's answers are lost, and until when it executes late. Milliseconds. */
  silentUntil = 0;
  lateUntil = 0;
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  private readonly calls: TokenBucket;

  constructor(
    private readonly place: CloudEnvironment,
    private readonly options: LocalClusterOptions,
    private readonly random: Random,
    /** Calls back when what was changed so far may be told. */
    private readonly whenKept: (answer: () => void) => void,
  ) {
    const { lab, state, cloud } = options;
    this.requests = new TokenBucket(state.rps, state.rps);
    this.writes = new TokenBucket(state.write_rps, state.write_rps);
    this.calls = new TokenBucket(cloud.rps, 2 * cloud.rps);
    this.state = new FakeStore(place);
    this.state.limits = { valueBytes: state.value_kb * 1024, txnOps: state.txn_ops };
    this.cloud = new FakeCloud(place);
    this.cloud.lagMs = cloud.list_lag_s * 1000;
    this.cloud.types = Object.entries(options.types).map(
      ([name, t]): MachineType => ({
        name: name as TypeName,
        cpus: t.cpus,
        gpus: t.gpus,
        memoryGb: t.memory_gb,
        cacheGb: t.cache_gb,
        fetchGbPerS: t.fetch_gb_per_s,
        price: t.price,
        spotPrice: t.spot_price,
        bootS: t.boot_s,
        zones: lab.zones as ZoneName[],
      }),
    );
    this.cloud.room = (type, _zone, spot) => options.types[type]?.[spot ? 'spot' : 'count'] ?? 0;
    this.cloud.bootMs = (type) =>
      ((options.types[type]!.boot_s * 1000) / lab.speed) * (0.6 + random.below(90) / 100);
  }

  readonly serveState: Serve = (method, path, body, answer) => {
    const call = decodeStoreRequest(method, path, body);
    if (call === null) return answer(error(404, 'no such path'));
    const { op, page } = call;
    const { place } = this;
    const now = place.now as Instant;
    const changes = op.kind === 'compare-and-swap' ? op.puts.length + op.deletes.length : 0;
    this.counts.stateRequests++;
    if (!this.state.down && (!this.requests.take(now) || (changes > 0 && !this.writes.take(now, changes)))) {
      this.counts.stateRefused++;
      return answer(error(429, 'too many requests'));
    }
    this.counts.stateChanges += changes;
    if (place.now < this.lateUntil && op.kind !== 'watch')
      return place.after(this.lateUntil - place.now, () => this.state.serve('', op, () => {}));
    const silent = place.now < this.silentUntil && this.random.below(2) === 0;
    this.state.serve('', op, (r: StoreReply) => {
      if (silent) return;
      const said = encodeStoreReply(op, r, page, this.state.revision);
      this.whenKept(() => place.after(this.options.state.latency_ms, () => answer(said)));
    });
    this.state.served.length = 0;
  };

  readonly serveCloud: Serve = (method, path, body, answer) => {
    const call = decodeCloudRequest(method, path, body);
    if (call === null) return answer(error(404, 'no such path'));
    this.counts.cloudCalls++;
    if (!this.calls.take(this.place.now as Instant)) {
      this.counts.cloudRefused++;
      return answer(error(429, 'too many requests'));
    }
    const r: CloudReply = this.cloud.serve(call.op);
    this.cloud.released.length = 0;
    const said = encodeCloudReply(call.op, r, call.page);
    this.whenKept(() => this.place.after(this.options.cloud.latency_ms, () => answer(said)));
  };
}
