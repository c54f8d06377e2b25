// Sends requests for machines to the cloud, and repeats each until a response arrives.
import { addMs, type Instant, LONG_AGO, type Millis, NEVER, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply } from '../base/model.ts';
import type { TokenBucket } from '../base/token-bucket.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { MachineOffer } from './machine-offer.ts';
import type { OfferBackoff } from './offer-backoff.ts';

const RETRY_DELAY_MS: Millis = 1000;

/** A request for a number of machines of one offer. */
export interface ScaleOutRequest extends MachineOffer {
  /** Idempotency key: the cloud carries out a repeated request with the same name only once. */
  readonly name: string;
  count: number;
  isInFlight: boolean;
  retryAt: Instant;
}

/** Dependencies of {@link ScaleOut}. */
export interface ScaleOutDependencies {
  io: ControllerIo;
  machines: MachineTable;
  backoff: OfferBackoff;
  callBudget: TokenBucket;
  term: Revision;
}

/** Sends requests for machines and adds the machines received to the machine table. */
export class ScaleOut {
  /** Submitted requests without a final response. */
  readonly requests: ScaleOutRequest[] = [];
  private requestsCreated = 0;
  private readonly io: ControllerIo;
  private readonly machines: MachineTable;
  private readonly backoff: OfferBackoff;
  private readonly callBudget: TokenBucket;
  private readonly term: Revision;

  constructor(dependencies: ScaleOutDependencies) {
    this.io = dependencies.io;
    this.machines = dependencies.machines;
    this.backoff = dependencies.backoff;
    this.callBudget = dependencies.callBudget;
    this.term = dependencies.term;
  }

  /** Whether a call to the cloud that requests machines is in flight. */
  get isRequestInFlight(): boolean {
    return this.requests.some((request) => request.isInFlight);
  }

  /** Creates a request with a new name and a count of 0; it is sent once it has been submitted. */
  createRequest({ type, zone, spot }: MachineOffer): ScaleOutRequest {
    const name = `${this.term}-${++this.requestsCreated}`;
    return { name, type, zone, spot, count: 0, isInFlight: false, retryAt: LONG_AGO };
  }

  /**
   * Submits the requests: as many as the call budget allows are sent at once, the others in later calls of
   * `send`.
   */
  submit(requests: readonly ScaleOutRequest[]): void {
    for (const request of requests) {
      this.requests.push(request);
      const { name, type, zone, spot, count } = request;
      this.io.log('info', 'requesting machines', { request: name, type: type.name, zone, spot, count });
    }
    this.send();
  }

  /** Sends requests that have not been sent, and repeats those that got no usable response. */
  send(): void {
    for (const request of this.requests) {
      if (request.isInFlight || this.io.now < request.retryAt) continue;
      if (!this.callBudget.take(this.io.now)) continue;
      request.isInFlight = true;
      const { name, type, zone, spot, count } = request;
      this.io.sendCloudRequest({ kind: 'rent', request: name, type: type.name, zone, spot, count }, (reply) =>
        this.onReply(request, reply),
      );
    }
  }

  private onReply(request: ScaleOutRequest, reply: CloudReply): void {
    request.isInFlight = false;
    // A request without a response may have been carried out: it is repeated under the same name.
    if (reply.kind !== 'rented' && reply.kind !== 'no-capacity') {
      request.retryAt = addMs(this.io.now, RETRY_DELAY_MS);
      return;
    }
    this.requests.splice(this.requests.indexOf(request), 1);
    const { type, zone, spot, count } = request;
    const received = reply.kind === 'rented' ? reply.machines : [];
    if (received.length === count) this.backoff.onAvailable(request);
    else {
      this.backoff.onRefused(request);
      this.io.log('info', 'cloud has fewer machines', {
        type: type.name,
        zone,
        spot,
        requested: count,
        received: received.length,
      });
    }
    for (const id of received) {
      if (this.machines.byId.has(id) || this.machines.tombstones.has(id)) continue;
      this.machines.addMachine(id, type, zone, spot, NEVER);
    }
  }
}
