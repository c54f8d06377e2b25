// Scales the fleet out and in: requests machines for demand that the supply does not cover, releases idle
// ones.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type Millis,
  type Revision,
  type TypeName,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { MachineType, Settings } from '../base/model.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import type { JobOrdering, RuntimeEstimates } from '../jobs/job-ordering.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { PendingCapacity } from '../machines/capacity-index.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Quota } from '../teams/quota.ts';
import { CloudInventory } from './cloud-inventory.ts';
import { DemandPlanner } from './demand-planner.ts';
import { FleetReport } from './fleet-report.ts';
import { OfferBackoff } from './offer-backoff.ts';
import { OfferSelection } from './offer-selection.ts';
import { ScaleIn } from './scale-in.ts';
import { ScaleOut } from './scale-out.ts';
import { SpareCapacity } from './spare-capacity.ts';
import { SupplyForecast } from './supply-forecast.ts';
import { ZoneReachability } from './zone-reachability.ts';

const PLAN_INTERVAL_MS: Millis = 500;
/** A plan examines every machine once: at most so many a second, however many there are. */
const PLAN_INTERVAL_MS_PER_MACHINE = 0.25;
/** The fraction of the cloud's call budget used for scaling; the rest is for lists. */
const SCALING_BUDGET_FRACTION = 0.7;

/** What {@link Autoscaler} depends on. */
export interface AutoscalerDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  machines: MachineTable;
  quota: Quota;
  estimates: RuntimeEstimates;
  ordering: JobOrdering;
  term: Revision;
  types: Map<TypeName, MachineType>;
}

/** Keeps the fleet as large as its work needs it. */
export class Autoscaler {
  /** The machine types that the cloud offers. */
  readonly types: Map<TypeName, MachineType>;
  /** Spare capacity for jobs that are expected to arrive. */
  readonly spareCapacity: SpareCapacity;
  private nextPlan: Instant = LONG_AGO;
  private readonly io: ControllerIo;
  private readonly machines: MachineTable;
  private readonly supplyForecast: SupplyForecast;
  private readonly planner: DemandPlanner;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;
  private readonly inventory: CloudInventory;
  private readonly fleetReport: FleetReport;

  constructor(dependencies: AutoscalerDependencies) {
    const { io, settings, jobs, machines, quota, estimates, ordering, term, types } = dependencies;
    this.types = types;
    this.io = io;
    this.machines = machines;
    this.spareCapacity = new SpareCapacity(io);
    const callsPerS = settings.cloud.requestsPerS * SCALING_BUDGET_FRACTION;
    const callBudget = new TokenBucket(callsPerS, Math.max(1, callsPerS));
    const backoff = new OfferBackoff(io);
    const reachability = new ZoneReachability(io);
    const scaleOut = new ScaleOut({ io, machines, backoff, callBudget, term });
    this.scaleOut = scaleOut;
    this.supplyForecast = new SupplyForecast({ io, machines, estimates, reachability, scaleOut });
    this.planner = new DemandPlanner({
      jobs,
      quota,
      types,
      supplyForecast: this.supplyForecast,
      spareCapacity: this.spareCapacity,
      offers: new OfferSelection({ io, types, ordering, backoff, reachability }),
      backoff,
      scaleOut,
    });
    const { neededMachines } = this.planner;
    this.scaleIn = new ScaleIn({ io, machines, backoff, callBudget, neededMachines });
    this.inventory = new CloudInventory(io, machines, types, () => scaleOut.isRequestInFlight);
    this.fleetReport = new FleetReport(io, jobs, machines);
  }

  /** Machines that were booting when the last plan was made. */
  get pendingCapacity(): PendingCapacity {
    return this.supplyForecast.pendingCapacity;
  }

  /** Whether a call that releases machines is under way. */
  get isScalingIn(): boolean {
    return this.scaleIn.isInProgress;
  }

  /**
   * `recovered`: every machine on record has been heard from or given up, and machines may be commanded.
   * `holdsLease`: no other leader can exist.
   */
  tick(recovered: boolean, holdsLease: boolean): void {
    if (this.types.size === 0) return;
    this.inventory.tick(recovered);
    // Which machines are needed is known from the last plan; before the first, none has been idle for long
    // enough. Releases go ahead of requests, which are repeated as long as anything waits.
    this.scaleIn.tick(recovered, holdsLease);
    this.scaleOut.send();
    if (recovered && this.io.now >= this.nextPlan) this.plan();
    this.fleetReport.tick();
  }

  private plan(): void {
    const intervalMs = Math.max(PLAN_INTERVAL_MS, this.machines.byId.size * PLAN_INTERVAL_MS_PER_MACHINE);
    this.nextPlan = addMs(this.io.now, intervalMs * this.io.intervalFactor);
    this.scaleOut.submit(this.planner.plan());
  }
}
