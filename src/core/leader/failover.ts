// Failover, from the election of a new leader to the moment when it knows all jobs and what runs where: it
// reads the records, then reconciles them with the machines.
import type { Instant, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import { MachineReconciliation } from './machine-reconciliation.ts';
import { RecordLoader, type RecordLoaderDependencies, type RecordLoaderListener } from './record-loader.ts';
import type { RecoveryState } from './recovery-state.ts';

/** What {@link Failover} depends on. */
export type FailoverDependencies = Omit<RecordLoaderDependencies, 'listener'>;

/** The first steps of a new leader. */
export class Failover implements RecoveryState, RecordLoaderListener {
  isComplete = false;
  /** All jobs on record are known. */
  onJobsLoaded: () => void = () => {};
  /** All records have been read. */
  onLoaded: () => void = () => {};
  /** Every recorded machine has sent a heartbeat, or is certainly empty. */
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

  /** Jobs and machines of the earlier terms are known. */
  get isLoaded(): boolean {
    return this.recordLoader.isLoaded;
  }

  /** A record is of a version that this program does not know: nothing is served on a guess. */
  get isUnreadable(): boolean {
    return this.recordLoader.isUnreadable;
  }

  /** Jobs put on record after this revision have not been read. */
  get jobsReadAt(): Revision {
    return this.recordLoader.jobsReadAt;
  }

  /** `holdsLease`: no other leader can exist, whose machines would be taken for silent here. */
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

  /** This controller may itself have answered the machines while it read the records. */
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
