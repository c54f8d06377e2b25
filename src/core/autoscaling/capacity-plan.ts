// One plan: packs the tasks of each job onto the supply, and requests machines for what does not fit.
import type { MachineId, ZoneName } from '../../types/index.ts';
import type { Job } from '../jobs/job.ts';
import { isGang, tasksPerMachine } from '../jobs/placement-constraints.ts';
import { isBoundToSameZone, isSpread, maxTasksPerZone } from '../jobs/zone-constraints.ts';
import { type CapacitySupply, placeOn, requestedCapacity } from './capacity-supply.ts';
import { type MachineOffer, offerKey } from './machine-offer.ts';
import type { OfferBackoff } from './offer-backoff.ts';
import type { OfferSelection } from './offer-selection.ts';
import type { ScaleOut, ScaleOutRequest } from './scale-out.ts';
import type { SpareRequirement } from './spare-capacity.ts';

/** Machines that the cloud provides for one request. */
const MAX_MACHINES_PER_REQUEST = 50;
/**
 * Requests for one offer in a plan; after a refusal one request finds out whether there are more machines.
 */
const MAX_REQUESTS_PER_OFFER = 8;
const MAX_REQUESTS_AFTER_REFUSAL = 1;

/** What {@link CapacityPlan} depends on. */
export interface CapacityPlanDependencies {
  supply: CapacitySupply;
  offers: OfferSelection;
  backoff: OfferBackoff;
  scaleOut: ScaleOut;
  /** Filled with the machines that the plan uses. */
  neededMachines: Set<MachineId>;
}

/** A plan in the making. */
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

  /** What has to be requested. */
  get requests(): ScaleOutRequest[] {
    return [...this.requestsByOffer.values()].flat();
  }

  /** Provides for so many waiting and queued tasks of the job, of a gang for all or none. */
  provideForJob(job: Job, tasks: number): void {
    if (isGang(job.spec)) this.provideForGang(job, tasks);
    else if (isSpread(job.spec)) this.provideSpread(job, tasks);
    // Capacity in another zone than that of its other tasks is of no use to it.
    else if (isBoundToSameZone(job.spec)) this.provideInOneZone(job, tasks, this.zonesFor(job));
    else this.provide(job, tasks, null);
  }

  /** Spare capacity for gangs bound to a zone is kept in parts for the largest of them, each in one zone. */
  provideSpare({ job, tasks, maxTasksPerJob }: SpareRequirement): void {
    if (job.spec.kind !== 'gang' || !job.spec.oneZone) {
      this.provide(job, tasks, null);
      return;
    }
    for (let remaining = tasks; remaining > 0; remaining -= maxTasksPerJob)
      this.provideInOneZone(job, Math.min(remaining, maxTasksPerJob), this.offers.allZones());
  }

  private provide(job: Job, tasks: number, zone: ZoneName | null): void {
    const missing = tasks - this.supply.use(job, tasks, zone, this.neededMachines);
    if (missing > 0) this.requestMachines(job, missing, zone);
  }

  private provideForGang(job: Job, tasks: number): void {
    if (tasks < job.waitingTasks + job.queuedTasks) return;
    if (job.spec.oneZone) this.provideInOneZone(job, tasks, this.zonesFor(job));
    else this.provide(job, tasks, null);
  }

  /** All capacity is provided in the zone where what is missing costs least. */
  private provideInOneZone(job: Job, tasks: number, zones: readonly ZoneName[]): void {
    let best: { zone: ZoneName; cost: number } | null = null;
    const offers = this.offers.offersFor(job);
    for (const zone of zones) {
      const missing = tasks - this.supply.count(job, tasks, zone);
      const offer = offers.find((candidate) => candidate.zone === zone);
      if (missing > 0 && offer === undefined) continue;
      const cost = missing * (offer?.costPerTask ?? 0);
      if (best === null || cost < best.cost) best = { zone, cost };
    }
    if (best !== null) this.provide(job, tasks, best.zone);
  }

  /**
   * Capacity in a zone that has as many of the job's tasks as it may have is of no use to it: counted for the
   * job, it kept machines from being requested where they could be used.
   */
  private provideSpread(job: Job, tasks: number): void {
    this.provide(job, Math.min(tasks, job.queuedTasks), null);
    let remaining = tasks - job.queuedTasks;
    const offers = this.offers.offersFor(job);
    const allowedByZone = this.tasksAllowedByZone(job);
    for (const [zone, allowed] of allowedByZone) {
      if (remaining <= 0 || allowed <= 0) continue;
      const used = this.supply.use(job, Math.min(remaining, allowed), zone, this.neededMachines);
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

  /** How many more tasks of a spread job each zone may have. */
  private tasksAllowedByZone(job: Job): Map<ZoneName, number> {
    const zones = job.spec.zone !== null ? [job.spec.zone] : this.offers.allZones();
    const limit = maxTasksPerZone(job.spec);
    return new Map(zones.map((zone) => [zone, limit - (job.zones.get(zone) ?? 0)]));
  }

  /** Where the tasks of a job bound to one zone may go. */
  private zonesFor(job: Job): ZoneName[] {
    if (job.zones.size > 0) return [...job.zones.keys()];
    if (job.spec.zone !== null) return [job.spec.zone];
    return this.offers.allZones();
  }

  /**
   * Requests machines for the tasks, cheapest offers first; what is left of them serves the jobs that follow.
   */
  private requestMachines(job: Job, tasks: number, zone: ZoneName | null): void {
    let remaining = tasks;
    for (const offer of this.offers.offersFor(job)) {
      if (zone !== null && offer.zone !== zone) continue;
      remaining -= this.requestOffer(offer, job, remaining);
      if (remaining <= 0) return;
    }
  }

  /** Requests machines of one offer; returns for how many tasks. */
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
      this.openRequest(requests, offer).count++;
      const capacity = requestedCapacity(type, zone, spot);
      placed += placeOn(capacity, job, tasks - placed);
      this.supply.add(capacity);
    }
    return placed;
  }

  /** The last request for the offer, or a new one if that is full. */
  private openRequest(requests: ScaleOutRequest[], offer: MachineOffer): ScaleOutRequest {
    const last = requests.at(-1);
    if (last !== undefined && last.count < MAX_MACHINES_PER_REQUEST) return last;
    const request = this.scaleOut.createRequest(offer);
    requests.push(request);
    return request;
  }
}
