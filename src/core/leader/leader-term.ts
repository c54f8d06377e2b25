// One term of a leader, from its election until it loses the leadership. Composes the components of the term,
// and ticks them in order.
import { addMs, type Instant, LONG_AGO, NEVER, type Revision } from '../../types/index.ts';
import type { Autoscaler } from '../autoscaling/autoscaler.ts';
import type { ControllerIo } from '../base/io.ts';
import type { ForwardedHeartbeat, Heartbeat, Settings, StoreCondition, StorePut } from '../base/model.ts';
import type { AppliedChange, Configuration } from '../configuration/configuration.ts';
import { Rollout } from '../configuration/rollout.ts';
import { AcceptedJobsWatch } from '../jobs/accepted-jobs-watch.ts';
import { Dependencies } from '../jobs/dependencies.ts';
import type { TaskAssignment } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable, MachineTableListener } from '../machines/machine-table.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';
import type { Scheduler, SchedulerOptions } from '../scheduling/scheduler.ts';
import { type FencedWriter, type FencingCondition, WritePriority } from '../storage/fenced-writer.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';
import { CONFIGURED_LEADER_KEY } from '../storage/keys.ts';
import type { RecoveryRecord } from '../storage/shard-records.ts';
import type { Quota } from '../teams/quota.ts';
import { UsageAccounting } from '../teams/usage-accounting.ts';
import { AttemptReservation } from './attempt-reservation.ts';
import { EarlyLeaseRenewal, recordRecovery } from './early-lease-renewal.ts';
import { Failover } from './failover.ts';
import { HeartbeatHandler } from './heartbeat-handler.ts';
import { HeldResponses } from './held-responses.ts';
import { JobLifecycle } from './job-lifecycle.ts';
import { MachineAdoption } from './machine-adoption.ts';
import { OverQuotaEviction } from './over-quota-eviction.ts';
import type { ForwardedHeartbeatResponder, HeartbeatResponder } from './responders.ts';
import type { TermAuthority } from './term-authority.ts';
import { TermConfiguration } from './term-configuration.ts';
import { createTermScheduling, type TermScheduling } from './term-scheduling.ts';
import { createTermState, type TermState } from './term-state.ts';
import { UserRequestHandler } from './user-request-handler.ts';

const SCORE_REFRESH_MS = 500;
/** Capacity is kept free for the tasks that are expected to arrive within this time. */
const ARRIVAL_FORECAST_MS = 20_000;

/** Dependencies of {@link LeaderTerm}. */
export interface LeaderTermDependencies {
  io: ControllerIo;
  settings: Settings;
  options: SchedulerOptions;
  /** The leader key at the revision of this term: the condition of all writes. */
  fencingCondition: FencingCondition;
  configuration: Configuration;
  peers: Pick<PeerRegistry, 'configRevisions'>;
  machineTypes: MachineTypeCatalog;
  jobRecords: JobRecordReader;
  /** The last completed recovery: the latest earlier leader that had read all records. */
  lastRecovery: RecoveryRecord | null;
  authority: TermAuthority;
  /** Called when a write fails because another leader has taken over. */
  onSuperseded: () => void;
}

/** One term of a leader; every term has a new instance. */
export class LeaderTerm {
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly autoscaler: Autoscaler;
  readonly failover: Failover;
  readonly writer: FencedWriter;
  readonly scheduler: Scheduler;
  readonly quota: Quota;
  readonly capacityIndex: CapacityIndex;
  readonly dependencies: Dependencies;
  readonly usageAccounting: UsageAccounting;
  readonly userRequests: UserRequestHandler;
  readonly rollout: Rollout;
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly authority: TermAuthority;
  private readonly state: TermState;
  private readonly scheduling: TermScheduling;
  private readonly heldResponses: HeldResponses;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly overQuotaEviction: OverQuotaEviction;
  private readonly termConfiguration: TermConfiguration;
  private readonly attemptReservation: AttemptReservation;
  private acceptedJobsWatch: AcceptedJobsWatch | null = null;
  private nextScoreRefreshAt: Instant = LONG_AGO;

  constructor(dependencies: LeaderTermDependencies) {
    const { io, settings, options, configuration, machineTypes, authority } = dependencies;
    this.io = io;
    this.settings = settings;
    this.machineTypes = machineTypes;
    this.authority = authority;
    const state = createTermState(dependencies, this.createMachineTableListener());
    const { jobs, machines, quota, writer, progress, registry, term } = state;
    this.state = state;
    this.jobs = jobs;
    this.machines = machines;
    this.autoscaler = state.autoscaler;
    this.writer = writer;
    this.quota = quota;
    this.capacityIndex = state.capacityIndex;
    this.failover = new Failover({ io, settings, jobs, machines, machineTypes, progress, registry });
    this.scheduling = this.createScheduling(options);
    this.scheduler = this.scheduling.scheduler;
    this.attemptReservation = this.createAttemptReservation();
    this.heldResponses = this.createHeldResponses();
    this.heartbeatHandler = this.createHeartbeatHandler(dependencies.lastRecovery);
    this.dependencies = new Dependencies(io, settings, jobs, state.estimates);
    this.userRequests = this.createUserRequests(dependencies);
    this.usageAccounting = new UsageAccounting(io, writer, term);
    const peerRevisions = () => dependencies.peers.configRevisions();
    this.rollout = new Rollout({ io, writer, term, configuration, peerRevisions });
    this.overQuotaEviction = new OverQuotaEviction({ io, jobs, machines, quota, configuration });
    const { scheduling } = this;
    this.termConfiguration = new TermConfiguration({ settings, options, configuration, state, scheduling });
    this.termConfiguration.apply();
    this.listenToFailover();
    new JobLifecycle(this).listen();
  }

  private createMachineTableListener(): MachineTableListener {
    return {
      requestCycle: () => this.scheduler.requestCycle(),
      onTaskStarted: () => {},
      onTaskCompleted: (assignment) => this.recordRuntime(assignment),
    };
  }

  private createScheduling(options: SchedulerOptions): TermScheduling {
    const { io, settings, state, authority } = this;
    return createTermScheduling({
      io,
      settings,
      options,
      state,
      types: this.machineTypes.types,
      recovery: this.failover,
      authority,
      commandDelayS: (machine) => this.commandDelayS(machine),
    });
  }

  private createAttemptReservation(): AttemptReservation {
    const { io, writer } = this;
    return new AttemptReservation({ io, writer, attempts: this.state.attempts });
  }

  private createHeldResponses(): HeldResponses {
    const { io, machines, scheduler, authority } = this;
    const { heartbeatS } = this.settings.workers;
    return new HeldResponses({ io, machines, heartbeatS, scheduler, authority });
  }

  private createHeartbeatHandler(lastRecovery: RecoveryRecord | null): HeartbeatHandler {
    const { io, settings, machines, heldResponses, authority } = this;
    return new HeartbeatHandler({
      io,
      machines,
      recovery: this.failover,
      heldResponses,
      earlyLeaseRenewal: new EarlyLeaseRenewal(io, settings.workers, lastRecovery),
      machineAdoption: new MachineAdoption(io, machines, this.machineTypes, authority),
    });
  }

  private createUserRequests({ jobRecords, configuration }: LeaderTermDependencies): UserRequestHandler {
    const { io, settings, jobs, quota, writer, machineTypes, dependencies } = this;
    const recovery = this.failover;
    return new UserRequestHandler({
      io,
      settings,
      jobs,
      quota,
      writer,
      machineTypes,
      jobRecords,
      configuration,
      dependencies,
      recovery,
    });
  }

  private listenToFailover(): void {
    this.failover.onJobsLoaded = () => this.dependencies.onJobsRestored();
    this.failover.onLoaded = () => {
      recordRecovery(this.io, this.writer, this.state.term);
      this.rollout.begin();
    };
    this.failover.onComplete = () => this.scheduler.requestCycle();
  }

  /** The controller has applied another revision of the configuration. */
  onConfigurationApplied(change: AppliedChange): void {
    this.termConfiguration.apply();
    if (!this.failover.isLoaded) return;
    this.overQuotaEviction.onQuotaChanged();
    this.rollout.onApplied(change);
  }

  /** Moves the leader record to another key in a separate transaction; the result is null if that failed. */
  migrateLeaderKey(
    conditions: StoreCondition[],
    puts: StorePut[],
    onResult: (revision: Revision | null) => void,
  ): void {
    this.writer.write({
      conditions,
      puts,
      deletes: [],
      verifyKey: CONFIGURED_LEADER_KEY,
      writeId: null,
      priority: WritePriority.cancel,
      needsOwnTransaction: true,
      onResult: (result) => onResult(result.kind === 'ok' ? result.revision : null),
    });
  }

  /** `mayCommand`: machines may be commanded, and their leases renewed. */
  tick(mayCommand: boolean): void {
    if (this.termConfiguration.isInitialRevisionApplied) this.failover.tick(this.authority.holdsLease());
    this.writer.tick();
    this.attemptReservation.tick();
    this.dependencies.tick();
    this.heartbeatHandler.tick(mayCommand);
    if (!this.failover.isLoaded) return;
    this.tickJobs();
    this.tickMachines(mayCommand);
    if (!mayCommand) return this.close();
    this.refreshScores();
    this.afterInput();
    this.heldResponses.respondDue();
  }

  private tickJobs(): void {
    this.machineTypes.persist(this.writer);
    this.acceptedJobsWatch ??= this.createAcceptedJobsWatch();
    this.acceptedJobsWatch.tick();
    this.jobs.tick();
    this.usageAccounting.tick(this.jobs.openJobs.values());
  }

  private createAcceptedJobsWatch(): AcceptedJobsWatch {
    const holdsLease = () => this.authority.holdsLease();
    return new AcceptedJobsWatch(this.io, this.jobs, this.failover.jobsReadAt, holdsLease);
  }

  private tickMachines(mayCommand: boolean): void {
    const canCommandFleet = this.failover.isComplete && mayCommand;
    this.state.registry.tick();
    this.machines.tick(this.authority.holdsLease(), mayCommand);
    this.autoscaler.tick(canCommandFleet, this.authority.holdsLease());
    this.rollout.tick(this.authority.holdsLease());
    this.overQuotaEviction.tick(canCommandFleet);
    this.scheduling.waitingJobReport.tick();
  }

  private refreshScores(): void {
    if (this.io.now < this.nextScoreRefreshAt) return;
    this.nextScoreRefreshAt = addMs(this.io.now, SCORE_REFRESH_MS);
    this.scheduling.binPacking.refresh({
      now: this.io.now,
      jobs: this.jobs.openJobs.values(),
      capacityIndex: this.capacityIndex,
      expectedTasks: (jobClass) =>
        this.autoscaler.spareCapacity.expectedArrivals(jobClass, ARRIVAL_FORECAST_MS),
      allowedTasks: (job) => this.quota.allowedTasks(job),
    });
    // Queue timeouts and back-offs expire without an input that would request a cycle.
    this.scheduler.requestCycle();
  }

  /** Called after any input: new work may start at once on a machine whose response is held. */
  afterInput(): void {
    if (!this.failover.isLoaded) return;
    this.heartbeatHandler.afterInput();
    if (this.scheduler.runCycle()) this.heldResponses.onCycle();
  }

  /**
   * Processes a heartbeat under this term's fencing token; the caller checks that it may command machines.
   */
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder, respondBy: Instant = NEVER): void {
    this.heartbeatHandler.onHeartbeat(heartbeat, respond, respondBy);
  }

  /** A heartbeat that another controller has forwarded. */
  onForwardedHeartbeat(heartbeat: ForwardedHeartbeat, respond: ForwardedHeartbeatResponder): void {
    this.heartbeatHandler.onForwardedHeartbeat(heartbeat, respond);
  }

  /** The term has ended: redirects the agents that wait for a response. */
  close(): void {
    this.heartbeatHandler.close();
    this.heldResponses.close();
  }

  private recordRuntime({ job, runningAt }: TaskAssignment): void {
    if (runningAt === null) return;
    const runS = (this.io.now - runningAt) / 1000;
    this.state.estimates.record(job.spec.class, job.spec.estimatedRunS, runS);
    this.usageAccounting.onTaskCompleted(job, job.spec.cpus * runS);
  }

  /**
   * Seconds until a start command can be sent to the machine, in the response to its next heartbeat; 0 if a
   * response is held.
   */
  private commandDelayS(machine: Machine): number {
    if (this.heldResponses.has(machine)) return 0;
    const sinceHeartbeatS = (this.io.now - machine.lastHeartbeat) / 1000;
    return Math.max(0, this.settings.workers.heartbeatS - sinceHeartbeatS);
  }
}
