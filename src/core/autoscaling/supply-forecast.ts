// Forecasts the capacity that a plan may use: free capacity of machines that are up, capacity of tasks that
// end soon, and capacity of machines that are booting or requested.
import type { Instant } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { listedTaskBytes } from '../base/message-size.ts';
import type { MachineType } from '../base/model.ts';
import type { TaskAssignment } from '../jobs/job.ts';
import type { RuntimeEstimates } from '../jobs/job-ordering.ts';
import type { PendingCapacity } from '../machines/capacity-index.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import {
  CapacitySupply,
  type MachineCapacity,
  requestedCapacity,
  unusedCapacityOf,
} from './capacity-supply.ts';
import type { ScaleOut } from './scale-out.ts';
import type { ZoneReachability } from './zone-reachability.ts';

/**
 * The capacity of a task expected to end within this fraction of its machine type's boot time counts as free:
 * it becomes available before a new machine would be ready.
 */
const ENDS_SOON_BOOT_FRACTION = 0.7;

/** Dependencies of {@link SupplyForecast}. */
export interface SupplyForecastDependencies {
  io: ControllerIo;
  machines: MachineTable;
  estimates: RuntimeEstimates;
  reachability: ZoneReachability;
  scaleOut: ScaleOut;
}

/** Forecasts the capacity supply for a plan. */
export class SupplyForecast {
  /** The number of machines of each type that were booting at the last forecast. */
  pendingCapacity: PendingCapacity = new Map();
  private readonly io: ControllerIo;
  private readonly machines: MachineTable;
  private readonly estimates: RuntimeEstimates;
  private readonly reachability: ZoneReachability;
  private readonly scaleOut: ScaleOut;

  constructor(dependencies: SupplyForecastDependencies) {
    this.io = dependencies.io;
    this.machines = dependencies.machines;
    this.estimates = dependencies.estimates;
    this.reachability = dependencies.reachability;
    this.scaleOut = dependencies.scaleOut;
  }

  /** Forecasts the supply from the current state of machines and requests. */
  forecast(): CapacitySupply {
    const supply = new CapacitySupply(this.io.now);
    const pending = new Map<MachineType, number>();
    this.reachability.update(this.machines.byId.values());
    for (const machine of this.machines.byId.values()) {
      if (machine.isReleasing || machine.cordonReason !== null) continue;
      if (this.reachability.isUnreachable(machine.zone)) continue;
      // Machines that are only requested do not count as pending: the cloud may not provide them.
      if (!machine.isUp) pending.set(machine.type, (pending.get(machine.type) ?? 0) + 1);
      supply.add(this.expectedCapacityOf(machine));
    }
    for (const { type, zone, spot, count } of this.scaleOut.requests)
      for (let i = 0; i < count; i++) supply.add(requestedCapacity(type, zone, spot));
    this.pendingCapacity = pending;
    return supply;
  }

  private expectedCapacityOf(machine: Machine): MachineCapacity {
    const capacity = unusedCapacityOf(machine);
    // The machine is told to forget them as soon as their results are stored.
    capacity.taskListBytes += machine.exitedTasks.listBytes;
    for (const assignment of machine.assignments.values()) {
      if (!this.endsSoon(assignment, machine)) continue;
      const { spec } = assignment.job;
      capacity.cpus += spec.cpus;
      capacity.gpus += spec.gpus;
      capacity.memoryGb += spec.memoryGb;
      capacity.taskListBytes += listedTaskBytes(spec);
    }
    return capacity;
  }

  private endsSoon({ job, runningAt }: TaskAssignment, machine: Machine): boolean {
    if (runningAt === null || job.spec.kind === 'service') return false;
    const remainingS = this.estimates.remainingS(job, this.elapsedS(runningAt));
    return remainingS < machine.type.bootS * ENDS_SOON_BOOT_FRACTION;
  }

  private elapsedS(since: Instant): number {
    return (this.io.now - since) / 1000;
  }
}
