// Failover of a new leader, from its election until it knows all jobs and the machine of each running task:
// it reads the records, then reconciles them with the machines.
import type { Instant, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import { MachineReconciliation } from './machine-reconciliation.ts';
import { RecordLoader, type RecordLoaderDependencies, type RecordLoaderListener } from './record-loader.ts';
import type { RecoveryState } from './recovery-state.ts';

/** Dependencies of {@link Failover}. */
export type FailoverDependencies = Omit<RecordLoaderDependencies, 'listener'>;

/** Rebuilds the state of a new leader: loads the records, then reconciles the machines. */
export class Failover implements RecoveryState, RecordLoaderListener {
  isComplete = false;
  /** Called when all recorded jobs have been read. */
  onJobsLoaded: () => void = () => {};
  /** Called when all records have been read. */
  onLoaded: () => void = () => {};
  /** Called when every recorded machine has sent a heartbeat, or is certain to run no tasks. */
  onComplete: () => void = () => {};
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly recordLoader: RecordLoader;
  private readonly machineReconciliation: MachineReconciliation;

  constructor(dependencies: FailoverDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.machines = dependencies.machines;
    this.recordLoader = new RecordLoader({ ...dependencies, listener: this });
    this.machineReconciliation = new MachineReconciliation(dependencies);
  }

  /** Whether all records of the earlier terms have been read. */
  get isLoaded(): boolean {
    return this.recordLoader.isLoaded;
  }

  /**
   * Whether a record has a version that this program does not know. No requests are served in that case, as
   * the content of the record could only be guessed.
   */
  get isUnreadable(): boolean {
    return this.recordLoader.isUnreadable;
  }

  /** The revision as of which jobs were read: jobs recorded after it have not been read. */
  get jobsReadAt(): Revision {
    return this.recordLoader.jobsReadAt;
  }

  /**
   * `holdsLease`: no other leader can exist, so machines without a heartbeat here are not in contact with
   * one.
   */
  tick(holdsLease: boolean): void {
    if (!this.isLoaded) this.recordLoader.tick();
    else if (!this.isComplete && this.machineReconciliation.tick(holdsLease)) this.complete();
  }

  onRecordsLoaded(): void {
    this.machineReconciliation.begin();
    this.extendLeases();
    this.onLoaded();
    this.io.log('info', 'records loaded', this.counts());
  }

  /** This controller may have answered machines, and so renewed their leases, while it read the records. */
  private extendLeases(): void {
    const { leaseExpiryFromNow } = this.machines;
    for (const machine of this.machines.byId.values())
      machine.leaseExpiresAt = Math.max(machine.leaseExpiresAt, leaseExpiryFromNow) as Instant;
  }

  private complete(): void {
    this.isComplete = true;
    for (const job of this.jobs.openJobs.values()) job.resolveUnlocated();
    this.onComplete();
    this.io.log('info', 'all machines reconciled', this.counts());
  }

  private counts(): { jobs: number; machines: number } {
    return { jobs: this.jobs.openJobs.size, machines: this.machines.byId.size };
  }
}
