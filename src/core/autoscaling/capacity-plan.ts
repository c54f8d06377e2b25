// One plan: packs the tasks of each job onto the supply, and requests machines for the tasks that do not fit.
import type { MachineId, ZoneName } from '../../types/index.ts';
import type { Job } from '../jobs/job.ts';
import { isGang, tasksPerMachine } from '../jobs/placement-constraints.ts';
import { isBoundToSameZone, isSpread, maxTasksPerZone } from '../jobs/zone-constraints.ts';
import { type CapacityDemand, type CapacitySupply, placeOn, requestedCapacity } from './capacity-supply.ts';
import { type MachineOffer, offerKey } from './machine-offer.ts';
import type { OfferBackoff } from './offer-backoff.ts';
import type { OfferSelection } from './offer-selection.ts';
import type { ScaleOut, ScaleOutRequest } from './scale-out.ts';
import type { SpareRequirement } from './spare-capacity.ts';

/** The most machines that the cloud provides for one request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** The most requests for one offer in a plan. */
const MAX_REQUESTS_PER_OFFER = 8;
/** The same after a refusal: a single request tests whether the cloud has machines of the offer again. */
const MAX_REQUESTS_AFTER_REFUSAL = 1;

/** Dependencies of {@link CapacityPlan}. */
export interface CapacityPlanDependencies {
  supply: CapacitySupply;
  offers: OfferSelection;
  backoff: OfferBackoff;
  scaleOut: ScaleOut;
  /** Filled with the machines that the plan uses. */
  neededMachines: Set<MachineId>;
}

/** Builds a plan: capacity is provided for one job after the other. */
export class CapacityPlan {
  private readonly requestsByOffer = new Map<string, ScaleOutRequest[]>();
  private readonly supply: CapacitySupply;
  private readonly offers: OfferSelection;
  private readonly backoff: OfferBackoff;
  private readonly scaleOut: ScaleOut;
  private readonly neededMachines: Set<MachineId>;

  constructor(dependencies: CapacityPlanDependencies) {
    this.supply = dependencies.supply;
    this.offers = dependencies.offers;
    this.backoff = dependencies.backoff;
    this.scaleOut = dependencies.scaleOut;
    this.neededMachines = dependencies.neededMachines;
  }

  /** The requests for machines that the plan needs. */
  get requests(): ScaleOutRequest[] {
    return [...this.requestsByOffer.values()].flat();
  }

  /**
   * Provides capacity for up to `tasks` waiting and queued tasks of the job; for a gang, for all or for none.
   */
  provideForJob(job: Job, tasks: number): void {
    const demand: CapacityDemand = { job, tasks, zone: null, isSpare: false };
    if (isGang(job.spec)) this.provideForGang(demand);
    else if (isSpread(job.spec)) this.provideSpread(demand);
    // A job bound to one zone cannot use capacity in a zone other than that of its placed tasks.
    else if (isBoundToSameZone(job.spec)) this.provideInOneZone(demand, this.eligibleZones(job));
    else this.provide(demand);
  }

  /**
   * Provides spare capacity for a job class. For gangs bound to one zone it is split into portions of the
   * size of the largest gang, each within one zone.
   */
  provideSpareCapacity({ job, tasks, maxTasksPerJob }: SpareRequirement): void {
    const demand: CapacityDemand = { job, tasks, zone: null, isSpare: true };
    if (job.spec.kind !== 'gang' || !job.spec.oneZone) {
      this.provide(demand);
      return;
    }
    for (let remaining = tasks; remaining > 0; remaining -= maxTasksPerJob) {
      const portion = { ...demand, tasks: Math.min(remaining, maxTasksPerJob) };
      this.provideInOneZone(portion, this.offers.allZones());
    }
  }

  private provide(demand: CapacityDemand): void {
    const { job, tasks, zone } = demand;
    const missingTasks = tasks - this.supply.reserve(demand, this.neededMachines);
    if (missingTasks > 0) this.requestMachines(job, missingTasks, zone);
  }

  private provideForGang(demand: CapacityDemand): void {
    const { job, tasks } = demand;
    if (tasks < job.waitingTasks + job.queuedTasks) return;
    if (job.spec.oneZone) this.provideInOneZone(demand, this.eligibleZones(job));
    else if (isSpread(job.spec)) this.provideSpread(demand);
    else this.provide(demand);
  }

  /** Provides all capacity in the zone where the machines for the missing capacity cost least. */
  private provideInOneZone(demand: CapacityDemand, zones: readonly ZoneName[]): void {
    const { job, tasks } = demand;
    let best: { zone: ZoneName; cost: number } | null = null;
    const offers = this.offers.offersFor(job);
    for (const zone of zones) {
      const missingTasks = tasks - this.supply.countPlaceable({ ...demand, zone });
      const offer = offers.find((candidate) => candidate.zone === zone);
      if (missingTasks > 0 && offer === undefined) continue;
      const cost = missingTasks * (offer?.costPerTask ?? 0);
      if (best === null || cost < best.cost) best = { zone, cost };
    }
    if (best !== null) this.provide({ ...demand, zone: best.zone });
  }

  /**
   * Provides capacity for a job whose tasks must be spread over zones, up to the number of its tasks that
   * each zone may have. Capacity beyond that number is not counted: the job cannot use it, and counting it
   * would prevent machines from being requested in the zones where the job can use them.
   */
  private provideSpread(demand: CapacityDemand): void {
    const { job, tasks } = demand;
    this.provide({ ...demand, tasks: Math.min(tasks, job.queuedTasks) });
    let remaining = tasks - job.queuedTasks;
    const offers = this.offers.offersFor(job);
    const allowedByZone = this.tasksAllowedByZone(job);
    for (const [zone, allowed] of allowedByZone) {
      if (remaining <= 0 || allowed <= 0) continue;
      const inZone = { ...demand, tasks: Math.min(remaining, allowed), zone };
      const used = this.supply.reserve(inZone, this.neededMachines);
      allowedByZone.set(zone, allowed - used);
      remaining -= used;
    }
    for (const { zone } of offers) {
      const requested = Math.min(remaining, allowedByZone.get(zone) ?? 0);
      if (requested <= 0) continue;
      this.requestMachines(job, requested, zone);
      allowedByZone.set(zone, 0);
      remaining -= requested;
    }
  }

  /** The number of further tasks of a spread job that each zone may have. */
  private tasksAllowedByZone(job: Job): Map<ZoneName, number> {
    const zones = job.spec.zone !== null ? [job.spec.zone] : this.offers.allZones();
    const limit = maxTasksPerZone(job.spec);
    return new Map(zones.map((zone) => [zone, limit - (job.tasksByZone.get(zone) ?? 0)]));
  }

  /**
   * The zones where the tasks of a job bound to one zone may run: that of its placed tasks, if there are any.
   */
  private eligibleZones(job: Job): ZoneName[] {
    if (job.tasksByZone.size > 0) return [...job.tasksByZone.keys()];
    if (job.spec.zone !== null) return [job.spec.zone];
    return this.offers.allZones();
  }

  /**
   * Requests machines for the tasks, cheapest offers first. The remaining capacity of these machines is added
   * to the supply for the jobs planned next.
   */
  private requestMachines(job: Job, tasks: number, zone: ZoneName | null): void {
    let remaining = tasks;
    for (const offer of this.offers.offersFor(job)) {
      if (zone !== null && offer.zone !== zone) continue;
      remaining -= this.requestOffer(offer, job, remaining);
      if (remaining <= 0) return;
    }
  }

  /** Requests machines of one offer; returns the number of tasks that they have capacity for. */
  private requestOffer(offer: MachineOffer, job: Job, tasks: number): number {
    const { type, zone, spot } = offer;
    const key = offerKey(offer);
    const requests = this.requestsByOffer.get(key) ?? [];
    this.requestsByOffer.set(key, requests);
    const maxRequests = this.backoff.wasRefused(offer) ? MAX_REQUESTS_AFTER_REFUSAL : MAX_REQUESTS_PER_OFFER;
    const requested = requests.reduce((sum, request) => sum + request.count, 0);
    const allowed = maxRequests * MAX_MACHINES_PER_REQUEST - requested;
    const machines = Math.min(allowed, Math.ceil(tasks / tasksPerMachine(type, job.spec)));
    let placed = 0;
    for (let i = 0; i < machines; i++) {
      this.unfilledRequest(requests, offer).count++;
      const capacity = requestedCapacity(type, zone, spot);
      placed += placeOn(capacity, job, tasks - placed);
      this.supply.add(capacity);
    }
    return placed;
  }

  /**
   * The last request for the offer, or a new one if there is none or the last one has reached its maximum.
   */
  private unfilledRequest(requests: ScaleOutRequest[], offer: MachineOffer): ScaleOutRequest {
    const last = requests.at(-1);
    if (last !== undefined && last.count < MAX_MACHINES_PER_REQUEST) return last;
    const request = this.scaleOut.createRequest(offer);
    requests.push(request);
    return request;
  }
}
