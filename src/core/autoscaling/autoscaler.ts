// Scales the fleet out and in: requests machines for demand that the supply does not cover, and releases idle
// machines.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  type MachineTypeName,
  type Millis,
  type Revision,
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
/**
 * A plan examines every machine: in a large fleet the interval grows, so that plans examine at most 4000
 * machines a second.
 */
const PLAN_INTERVAL_MS_PER_MACHINE = 0.25;
/** The fraction of the cloud's call budget used for scaling; the rest is reserved for listing machines. */
const SCALING_BUDGET_FRACTION = 0.7;

/** Dependencies of {@link Autoscaler}. */
export interface AutoscalerDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  machines: MachineTable;
  quota: Quota;
  estimates: RuntimeEstimates;
  ordering: JobOrdering;
  term: Revision;
  types: Map<MachineTypeName, MachineType>;
}

/** Adjusts the size of the fleet to its workload. */
export class Autoscaler {
  /** The machine types that the cloud offers. */
  readonly types: Map<MachineTypeName, MachineType>;
  /** Spare capacity for jobs that are expected to arrive. */
  readonly spareCapacity: SpareCapacity;
  private nextPlanAt: Instant = LONG_AGO;
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
      io,
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

  /** The number of machines of each type that were booting when the last plan was made. */
  get pendingCapacity(): PendingCapacity {
    return this.supplyForecast.pendingCapacity;
  }

  /** Machines that the last plan keeps; the set is updated by each plan. */
  get neededMachines(): ReadonlySet<MachineId> {
    return this.planner.neededMachines;
  }

  /** Whether a call to the cloud that releases machines is in flight. */
  get isScalingIn(): boolean {
    return this.scaleIn.isInProgress;
  }

  /**
   * Runs one scaling step. `recovered`: failover is complete (every machine on record has sent a heartbeat or
   * is certain to run no tasks), and this leader may send commands to machines. `holdsLease`: no other leader
   * can exist.
   */
  tick(recovered: boolean, holdsLease: boolean): void {
    if (this.types.size === 0) return;
    this.inventory.tick(recovered);
    // The last plan determines which machines are needed; before the first plan, no machine has been idle for
    // long enough to be released. Releases are sent before requests, which are repeated as long as any task
    // waits and would otherwise use up the call budget.
    this.scaleIn.tick(recovered, holdsLease);
    this.scaleOut.send();
    if (recovered && this.io.now >= this.nextPlanAt) this.plan();
    this.fleetReport.tick();
  }

  private plan(): void {
    const intervalMs = Math.max(PLAN_INTERVAL_MS, this.machines.byId.size * PLAN_INTERVAL_MS_PER_MACHINE);
    this.nextPlanAt = addMs(this.io.now, intervalMs * this.io.intervalFactor);
    this.scaleOut.submit(this.planner.plan());
  }
}
