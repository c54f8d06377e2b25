// Selects the cloud's offers that a job's tasks can run on, and orders them by price per task.
import type { MachineTypeName, ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { JobOrdering } from '../jobs/job-ordering.ts';
import { mayRunOnType, tasksPerMachine } from '../jobs/placement-constraints.ts';
import type { MachineOffer } from './machine-offer.ts';
import type { OfferBackoff } from './offer-backoff.ts';
import type { ZoneReachability } from './zone-reachability.ts';

/** Offers that cost more than this many times the lowest price per task are used for urgent jobs only. */
const MAX_PRICE_RATIO = 8;
/** Jobs of this priority or above are always urgent. */
const URGENT_PRIORITY = 2;
/** The cost of a machine with GPUs is multiplied by this for jobs that need no GPU. */
const UNUSED_GPU_COST_FACTOR = 1.5;
/**
 * Costs are raised at random by less than 1 %, in this many steps, so that requests are distributed over
 * offers of equal price.
 */
const COST_VARIATION_STEPS = 100;
/** Converts steps into the fraction by which a cost is raised. */
const COST_VARIATION_DIVISOR = 10_000;

/** An offer with its cost per task, by which offers are compared. */
export interface PricedOffer extends MachineOffer {
  /**
   * Price per hour of a machine, divided by the tasks that fit on it, with factors for comparison applied.
   */
  readonly costPerTask: number;
}

/** Dependencies of {@link OfferSelection}. */
export interface OfferSelectionDependencies {
  io: ControllerIo;
  types: ReadonlyMap<MachineTypeName, MachineType>;
  ordering: JobOrdering;
  backoff: OfferBackoff;
  reachability: ZoneReachability;
}

/** Selects the offers for a job. */
export class OfferSelection {
  private readonly io: ControllerIo;
  private readonly types: ReadonlyMap<MachineTypeName, MachineType>;
  private readonly ordering: JobOrdering;
  private readonly backoff: OfferBackoff;
  private readonly reachability: ZoneReachability;

  constructor(dependencies: OfferSelectionDependencies) {
    this.io = dependencies.io;
    this.types = dependencies.types;
    this.ordering = dependencies.ordering;
    this.backoff = dependencies.backoff;
    this.reachability = dependencies.reachability;
  }

  /** All zones of the cloud. */
  allZones(): ZoneName[] {
    return [...new Set([...this.types.values()].flatMap((type) => type.zones))];
  }

  /**
   * The offers that the job's tasks can run on, cheapest first, without offers that are backed off and
   * without unreachable zones.
   */
  offersFor(job: Job): PricedOffer[] {
    const offers: PricedOffer[] = [];
    let cheapest = Number.POSITIVE_INFINITY;
    for (const type of this.types.values()) {
      const tasks = tasksPerMachine(type, job.spec);
      if (tasks < 1 || !mayRunOnType(type, job.spec)) continue;
      cheapest = Math.min(cheapest, lowestPrice(type, job.spec) / tasks);
      for (const zone of type.zones) {
        if (job.spec.zone !== null && job.spec.zone !== zone) continue;
        if (this.reachability.isUnreachable(zone)) continue;
        this.addOffers(offers, type, zone, job.spec, tasks);
      }
    }
    // Above this cost, waiting until other jobs release capacity is cheaper for the users than a new machine.
    const maxCost = this.isUrgent(job) ? Number.POSITIVE_INFINITY : cheapest * MAX_PRICE_RATIO;
    return offers
      .filter((offer) => offer.costPerTask <= maxCost)
      .sort((a, b) => a.costPerTask - b.costPerTask);
  }

  private addOffers(
    offers: PricedOffer[],
    type: MachineType,
    zone: ZoneName,
    spec: JobSpec,
    tasks: number,
  ): void {
    for (const spot of spec.spot ? [true, false] : [false]) {
      const offer = { type, zone, spot, costPerTask: 0 };
      if (this.backoff.isBackedOff(offer)) continue;
      const price = spot ? type.spotPrice : type.price;
      const gpuFactor = spec.gpus === 0 && type.gpus > 0 ? UNUSED_GPU_COST_FACTOR : 1;
      const variation = this.io.random.below(COST_VARIATION_STEPS) / COST_VARIATION_DIVISOR;
      offer.costPerTask = (price / tasks) * gpuFactor * (1 + variation);
      offers.push(offer);
    }
  }

  /**
   * Whether the priority is high, or at least half of the time within which the job should start has passed.
   */
  private isUrgent(job: Job): boolean {
    if (job.spec.priority >= URGENT_PRIORITY) return true;
    const waitedS = (this.io.now - job.readyAt) / 1000;
    return waitedS >= this.ordering.slackS(job, this.io.now, this.io.wallTime);
  }
}

const lowestPrice = (type: MachineType, spec: JobSpec): number =>
  spec.spot ? Math.min(type.spotPrice, type.price) : type.price;
