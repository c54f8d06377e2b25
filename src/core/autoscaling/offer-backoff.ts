// Backs off from offers of which the cloud had fewer machines than requested. The back-off doubles with each
// consecutive refusal up to a maximum: requests that the cloud cannot fulfil would use up its call budget.
import { addMs, type Instant, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { type MachineOffer, offerKey } from './machine-offer.ts';

const FIRST_BACKOFF_MS: Millis = 15_000;
const MAX_BACKOFF_MS: Millis = 60_000;

interface Refusal {
  until: Instant;
  /** Number of consecutive refusals. */
  count: number;
}

/** Tracks offers that were refused, and for how long each is not requested. */
export class OfferBackoff {
  private readonly refusals = new Map<string, Refusal>();

  constructor(private readonly io: ControllerIo) {}

  /** Whether the offer must not be requested yet. */
  isBackedOff(offer: MachineOffer): boolean {
    const refusal = this.refusals.get(offerKey(offer));
    return refusal !== undefined && this.io.now < refusal.until;
  }

  /** Whether the last request for the offer was refused. */
  wasRefused(offer: MachineOffer): boolean {
    return this.refusals.has(offerKey(offer));
  }

  /** Called when the cloud had fewer machines of the offer than requested. */
  onRefused(offer: MachineOffer): void {
    const key = offerKey(offer);
    const previous = this.refusals.get(key);
    // The refusals of several requests of one plan count as one.
    if (previous !== undefined && this.io.now < previous.until) return;
    const count = (previous?.count ?? 0) + 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (count - 1));
    this.refusals.set(key, { until: addMs(this.io.now, backoffMs), count });
  }

  /** Called when the cloud is known to have machines of the offer. */
  onAvailable(offer: MachineOffer): void {
    this.refusals.delete(offerKey(offer));
  }
}
