// Requests for machines, sent to the cloud until they are answered.
import { addMs, type Instant, LONG_AGO, type Millis, NEVER, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply } from '../base/model.ts';
import type { TokenBucket } from '../base/token-bucket.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { MachineOffer } from './machine-offer.ts';
import type { OfferBackoff } from './offer-backoff.ts';

const RETRY_DELAY_MS: Millis = 1000;

/** A request for a number of like machines. */
export interface ScaleOutRequest extends MachineOffer {
  /** The name under which it is repeated: the cloud carries it out once. */
  readonly name: string;
  count: number;
  isInFlight: boolean;
  retryAt: Instant;
}

/** What {@link ScaleOut} depends on. */
export interface ScaleOutDependencies {
  io: ControllerIo;
  machines: MachineTable;
  backoff: OfferBackoff;
  callBudget: TokenBucket;
  term: Revision;
}

/** The open requests for machines. */
export class ScaleOut {
  /** Requests that are not answered yet. */
  readonly requests: ScaleOutRequest[] = [];
  private requestsMade = 0;
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

  /** Whether a request has been sent whose answer is still open. */
  get isRequestInFlight(): boolean {
    return this.requests.some((request) => request.isInFlight);
  }

  /** A request for no machines yet, under a new name; it is not sent before it is submitted. */
  createRequest({ type, zone, spot }: MachineOffer): ScaleOutRequest {
    const name = `${this.term}-${++this.requestsMade}`;
    return { name, type, zone, spot, count: 0, isInFlight: false, retryAt: LONG_AGO };
  }

  /** Sends the requests, as far as the call budget allows, the rest later. */
  submit(requests: readonly ScaleOutRequest[]): void {
    for (const request of requests) {
      this.requests.push(request);
      const { name, type, zone, spot, count } = request;
      this.io.log('info', 'requesting machines', { request: name, type: type.name, zone, spot, count });
    }
    this.send();
  }

  /** Sends requests that have not been sent, and repeats those whose answer was lost. */
  send(): void {
    for (const request of this.requests) {
      if (request.isInFlight || this.io.now < request.retryAt) continue;
      if (!this.callBudget.take(this.io.now)) continue;
      request.isInFlight = true;
      const { name, type, zone, spot, count } = request;
      this.io.cloud({ kind: 'rent', request: name, type: type.name, zone, spot, count }, (reply) =>
        this.onReply(request, reply),
      );
    }
  }

  private onReply(request: ScaleOutRequest, reply: CloudReply): void {
    request.isInFlight = false;
    // An unanswered request may have been carried out: it is repeated, under its own name.
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
