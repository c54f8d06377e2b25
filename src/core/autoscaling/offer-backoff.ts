// Offers of which the cloud had fewer machines than requested: they are left out for a while, longer with
// each refusal in a row, as requests for what is not there would use up the cloud's call budget.
import { addMs, type Instant, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { type MachineOffer, offerKey } from './machine-offer.ts';

const FIRST_BACKOFF_MS: Millis = 15_000;
const MAX_BACKOFF_MS: Millis = 60_000;

interface Refusal {
  until: Instant;
  /** Refusals in a row. */
  count: number;
}

/** The offers that were refused. */
export class OfferBackoff {
  private readonly refusals = new Map<string, Refusal>();

  constructor(private readonly io: ControllerIo) {}

  /** Whether the offer is to be left out now. */
  isBackedOff(offer: MachineOffer): boolean {
    const refusal = this.refusals.get(offerKey(offer));
    return refusal !== undefined && this.io.now < refusal.until;
  }

  /** Whether the offer was refused when it was last requested. */
  wasRefused(offer: MachineOffer): boolean {
    return this.refusals.has(offerKey(offer));
  }

  /** The cloud had fewer machines of the offer than requested. */
  onRefused(offer: MachineOffer): void {
    const key = offerKey(offer);
    const known = this.refusals.get(key);
    // Several requests of one plan are refused together.
    if (known !== undefined && this.io.now < known.until) return;
    const count = (known?.count ?? 0) + 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (count - 1));
    this.refusals.set(key, { until: addMs(this.io.now, backoffMs), count });
  }

  /** The cloud has machines of the offer. */
  onAvailable(offer: MachineOffer): void {
    this.refusals.delete(offerKey(offer));
  }
}
