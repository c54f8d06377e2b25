// What the owner of the share does during one term. A new term starts with a new one of these.
import {
  addMs,
  type FencingToken,
  type Instant,
  LONG_AGO,
  type MachineId,
  NEVER,
  type Revision,
} from '../../types/index.ts';
import { Autoscaler } from '../autoscaling/autoscaler.ts';
import type { ControllerIo } from '../base/io.ts';
import type {
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  Heartbeat,
  HeartbeatResponse,
  Settings,
  StoreCondition,
  StorePut,
} from '../base/model.ts';
import type { AppliedChange, Configuration } from '../configuration/configuration.ts';
import type { DispatchDocument } from '../configuration/documents.ts';
import { Rollout } from '../configuration/rollout.ts';
import { PendingHeartbeats } from '../heartbeats/pending-heartbeats.ts';
import { applyTaskListDelta } from '../heartbeats/task-list-delta.ts';
import { AcceptedJobsWatch } from '../jobs/accepted-jobs-watch.ts';
import { ArrayProgress } from '../jobs/array-progress.ts';
import { Dependencies } from '../jobs/dependencies.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import { JobOrdering, RuntimeEstimates } from '../jobs/job-ordering.ts';
import { JobTable } from '../jobs/job-table.ts';
import { CapacityIndex } from '../machines/capacity-index.ts';
import type { Machine } from '../machines/machine.ts';
import { MachineRegistry } from '../machines/machine-registry.ts';
import { MachineTable } from '../machines/machine-table.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import type { PeerConfigRevision } from '../membership/peer-registry.ts';
import { BinPackingScorer } from '../scheduling/bin-packing.ts';
import { FairShare } from '../scheduling/fair-share.ts';
import { JobRanking } from '../scheduling/job-ranking.ts';
import { MachineSets } from '../scheduling/machine-sets.ts';
import { Preemption } from '../scheduling/preemption.ts';
import { Reservations } from '../scheduling/reservations.ts';
import { Scheduler, type SchedulerOptions } from '../scheduling/scheduler.ts';
import { FencedWriter, type FencingCondition, WritePriority } from '../storage/fenced-writer.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';
import { CONFIGURED_LEADER_KEY, LAST_RECOVERY_KEY } from '../storage/keys.ts';
import { encodeRecoveryRecord, type RecoveryRecord } from '../storage/shard-records.ts';
import { Quota } from '../teams/quota.ts';
import { UsageAccounting } from '../teams/usage-accounting.ts';
import { Failover } from './failover.ts';
import { HeldResponses } from './held-responses.ts';
import { OverQuotaEviction } from './over-quota-eviction.ts';
import { UserRequestHandler } from './user-request-handler.ts';

const FIT_MS = 500;
/** Room is kept for what is expected to come within this time. */
const KEEP_FOR_MS = 20_000;

/** Workers give up after 4 s. */
const EARLY_MS = 3300;
/** A report is sent this long before it is read, at the most: later its worker drops the answer. */
const LATE_REPORT_MS = 4500;
/** Two nodes' times of day are never this far apart: they keep within some tens of milliseconds of true time. */
const WALLS_APART_MS = 1000;
/** Twice what steady clocks drift apart. */
const DRIFT = 1.001;
/** A report that had to wait for the records is answered this soon after it has been read. */
const LATE_MS = 500;
/** Read so many a tick and, as other inputs come, so many with each: the fleet's reports must not hold up the timer. */
const EARLY_A_TICK = 30;
const EARLY_A_STEP = 2;
/** What {@link LeaderTerm} depends on. */
export interface LeaderTermDependencies {
  io: ControllerIo;
  settings: Settings;
  options: SchedulerOptions;
  fencingCondition: FencingCondition;
  configuration: Configuration;
  peerRevisions: () => readonly PeerConfigRevision[];
  machineTypes: MachineTypeCatalog;
  jobRecords: JobRecordReader;
  /** The last owner before this one that had read all records. */
  lastRecovery: RecoveryRecord | null;
  holdsLease: () => boolean;
  mayStart: () => boolean;
  onSuperseded: () => void;
}

export class LeaderTerm {
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly autoscaler: Autoscaler;
  readonly failover: Failover;
  readonly writer: FencedWriter;
  readonly scheduler: Scheduler;
  readonly quota: Quota;
  readonly capacityIndex = new CapacityIndex();
  readonly dependencies: Dependencies;
  readonly usageAccounting: UsageAccounting;
  /** What users ask. */
  readonly userRequests: UserRequestHandler;
  readonly rollout: Rollout;
  private readonly aboveLimits: OverQuotaEviction;
  private readonly fairShare: FairShare;
  private readonly ordering: JobOrdering;
  private readonly machineRegistry: MachineRegistry;
  private readonly progress: ArrayProgress;
  private readonly binPacking: BinPackingScorer;
  private nextFit: Instant = LONG_AGO;
  private readonly heldResponses: HeldResponses;
  private readonly pendingHeartbeats: PendingHeartbeats;
  /** When machines were first answered, while the records are being read. */
  private readonly raised = new Map<MachineId, Instant>();
  private readonly unreadMs: number;
  private readonly estimates = new RuntimeEstimates();
  private readonly io: ControllerIo;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly settings: Settings;
  private acceptedJobs: AcceptedJobsWatch | null = null;
  private readonly holdsLease: () => boolean;
  /** The revision of the configuration that was on record when the term began. */
  private readonly configuredAt: Revision;
  private readonly options: SchedulerOptions;
  private readonly configuration: Configuration;
  private readonly lastRecovery: RecoveryRecord | null;
  private readonly mayStart: () => boolean;

  constructor(dependencies: LeaderTermDependencies) {
    this.options = dependencies.options;
    this.configuration = dependencies.configuration;
    this.lastRecovery = dependencies.lastRecovery;
    this.mayStart = dependencies.mayStart;
    const {
      io,
      settings,
      options,
      fencingCondition,
      configuration,
      peerRevisions,
      machineTypes,
      jobRecords,
      holdsLease,
      mayStart,
      onSuperseded,
    } = dependencies;
    this.holdsLease = holdsLease;
    const term = fencingCondition.revision;
    this.configuredAt = configuration.newest;
    this.pendingHeartbeats = new PendingHeartbeats(io, EARLY_MS);
    const { cancelS, leaseS } = settings.workers;
    this.unreadMs = (cancelS - 2 * leaseS * DRIFT) * 1000;
    this.io = io;
    this.settings = settings;
    this.machineTypes = machineTypes;
    this.writer = new FencedWriter(io, settings, fencingCondition, onSuperseded);
    this.progress = new ArrayProgress(io, this.writer, settings.store, term);
    this.machineRegistry = new MachineRegistry(io, this.writer, term);
    this.jobs = new JobTable(io, this.writer, this.progress);
    const listener = {
      requestCycle: () => this.scheduler.requestCycle(),
      onTaskStarted: () => {},
      onTaskCompleted: (e: TaskAssignment) => this.learn(e),
    };
    this.quota = new Quota(configuration.effective.teams);
    const { jobs, quota, capacityIndex, machineRegistry } = this;
    this.machines = new MachineTable({
      io,
      settings,
      jobs,
      registry: machineRegistry,
      quota,
      capacityIndex,
      listener,
      term,
    });
    this.heldResponses = new HeldResponses({
      io,
      machines: this.machines,
      heartbeatS: settings.workers.heartbeatS,
      isCyclePending: () => this.scheduler.hasPendingCycle,
      mayStart,
      holdsLease,
    });
    const ordering = new JobOrdering(configuration.effective.objectives, this.estimates);
    this.ordering = ordering;
    this.autoscaler = new Autoscaler({
      io,
      settings,
      jobs,
      machines: this.machines,
      quota,
      estimates: this.estimates,
      ordering,
      term,
      types: machineTypes.types,
    });
    this.binPacking = new BinPackingScorer(
      machineTypes.types,
      (cls) => ordering.shortestWaitS(cls),
      (m) => this.answerInS(m),
    );
    const fairShare = new FairShare(quota.usage);
    this.fairShare = fairShare;
    const ranking = new JobRanking({
      io,
      jobs,
      quota,
      ordering,
      estimates: this.estimates,
      fairShare,
      machineSets: new MachineSets(
        capacityIndex,
        quota.usage,
        this.estimates,
        () => this.autoscaler.pendingCapacity,
      ),
    });
    const preemption = new Preemption(
      io,
      settings.workers.heartbeatS,
      () => this.failover.isComplete && this.holdsLease(),
    );
    const reservations = new Reservations({
      io,
      machines: this.machines,
      capacityIndex,
      binPacking: this.binPacking,
      estimates: this.estimates,
      preemption,
    });
    this.scheduler = new Scheduler({
      io,
      jobs,
      machines: this.machines,
      capacityIndex,
      quota,
      ranking,
      fairShare,
      options,
      term,
      binPacking: this.binPacking,
      reservations,
      preemption,
    });
    this.failover = new Failover({
      io,
      settings,
      jobs,
      machines: this.machines,
      machineTypes,
      progress: this.progress,
      registry: machineRegistry,
    });
    this.dependencies = new Dependencies(io, settings, this.jobs, this.estimates);
    this.userRequests = new UserRequestHandler({
      io,
      settings,
      jobs,
      quota,
      writer: this.writer,
      machineTypes,
      jobRecords,
      configuration,
      dependencies: this.dependencies,
      isLoaded: () => this.failover.isLoaded,
    });
    this.jobs.listener = this.dependencies;
    this.failover.onJobsLoaded = () => this.dependencies.onJobsRestored();
    this.failover.onLoaded = () => {
      this.noteRead(term);
      this.rollout.begin();
    };
    // To the machines a job comes when it may start, not when it is accepted.
    this.jobs.onAccepted = (job) => {
      if (!job.isBlocked) this.dependencies.onReady(job);
    };
    this.dependencies.onReady = (job) => {
      // Read from the record after a take-over, it may have become ready long ago.
      if (job.unlocatedTasks === 0) this.autoscaler.spareCapacity.onJobReady(job);
      this.scheduler.requestCycle();
    };
    this.failover.onComplete = () => this.scheduler.requestCycle();
    this.jobs.onEnded = (job) => this.unqueue(job);
    this.jobs.onCancellationFailed = () => this.scheduler.requestCycle();
    this.usageAccounting = new UsageAccounting(io, this.writer, term);
    this.rollout = new Rollout({ io, writer: this.writer, term, configuration, peerRevisions });
    this.aboveLimits = new OverQuotaEviction({ io, jobs, machines: this.machines, quota, configuration });
    this.configure();
    this.jobs.onClosed = (job, status) => this.usageAccounting.onJobClosed(job, status);
  }

  /** The configuration that this controller applies, from now on, in every part of the share. */
  private configure(): void {
    const { teams, objectives, dispatch } = this.configuration.effective;
    const options = overlaid(this.options, dispatch, this.settings.workers.heartbeatS);
    this.quota.configure(teams);
    this.ordering.configure(objectives);
    this.fairShare.configure(teams.values(), { team: options.teamFloor, class: options.classFloor });
    this.autoscaler.spareCapacity.configure(objectives, teams.values());
    this.scheduler.configure(options);
  }

  /** The controller has applied another revision. */
  onConfigurationApplied(change: AppliedChange): void {
    this.configure();
    if (!this.failover.isLoaded) return;
    this.aboveLimits.onQuotaChanged();
    this.rollout.onApplied(change);
  }

  /** Moves the share to another key, alone in its transaction; the revision, or null if it was not made as asked. */
  migrateLeaderKey(
    conditions: StoreCondition[],
    puts: StorePut[],
    done: (revision: Revision | null) => void,
  ): void {
    this.writer.write({
      conditions,
      puts,
      deletes: [],
      verifyKey: CONFIGURED_LEADER_KEY,
      writeId: null,
      priority: WritePriority.cancel,
      alone: true,
      onResult: (r) => done(r.kind === 'ok' ? r.revision : null),
    });
  }

  /** Whether the configuration is known that was on record when the term began; nothing is done before. */
  private get configured(): boolean {
    return this.configuration.applied >= this.configuredAt;
  }

  tick(mayCommand: boolean): void {
    if (this.configured) this.failover.tick(this.holdsLease());
    this.writer.tick();
    this.dependencies.tick();
    // Any answer under the token renews a lease: past the bound these must not be answered either.
    if (!mayCommand) this.closeEarly();
    else this.readEarly(EARLY_A_TICK);
    if (!this.failover.isLoaded) return;
    this.machineTypes.persist(this.writer);
    this.acceptedJobs ??= new AcceptedJobsWatch(
      this.io,
      this.jobs,
      this.failover.jobsReadAt,
      this.holdsLease,
    );
    this.acceptedJobs.tick();
    this.jobs.tick();
    this.usageAccounting.tick(this.jobs.openJobs.values());
    this.machineRegistry.tick();
    this.machines.tick(this.holdsLease(), mayCommand);
    this.autoscaler.tick(this.failover.isComplete && mayCommand, this.holdsLease());
    this.rollout.tick(this.holdsLease());
    this.aboveLimits.tick(this.failover.isComplete && mayCommand);
    if (!mayCommand) return this.close();
    if (this.io.now >= this.nextFit) {
      this.nextFit = addMs(this.io.now, FIT_MS);
      this.binPacking.refresh(
        this.jobs.openJobs.values(),
        this.capacityIndex,
        (cls) => this.autoscaler.spareCapacity.expectedArrivals(cls, KEEP_FOR_MS),
        (job) => this.quota.allowedTasks(job),
      );
      // Waits, take-backs and backed-off jobs fall due without any input.
      this.scheduler.requestCycle();
    }
    this.afterInput();
    this.heldResponses.respondDue();
  }

  /** After any input: work that has come may start at once on a machine whose report is held. */
  afterInput(): void {
    if (!this.failover.isLoaded) return;
    this.readEarly(EARLY_A_STEP);
    if (this.scheduler.runCycle()) this.heldResponses.onCycle();
  }

  private learn(e: TaskAssignment): void {
    if (e.runningAt === null) return;
    const ranS = (this.io.now - e.runningAt) / 1000;
    this.estimates.record(e.job.spec.class, e.job.spec.estimatedRunS, ranS);
    this.usageAccounting.onTaskCompleted(e.job, e.job.spec.cpus * ranS);
  }

  private unqueue(job: Job): void {
    if (job.queuedTasks === 0) return;
    for (const m of this.machines.byId.values())
      for (const q of [...m.queue]) if (q.job === job) this.machines.dequeue(m, q);
    this.scheduler.requestCycle();
  }

  // ---- workers

  /**
   * Takes a report in under this node's token; the caller has checked that it may. An idle machine's answer is
   * held for a moment, so that work arriving meanwhile starts without waiting for the next report.
   */
  onHeartbeat(r: Heartbeat, answer: (a: HeartbeatResponse) => void, by: Instant = NEVER): void {
    const { fencingToken } = this.machines;
    if (!this.failover.isLoaded) {
      // Raising the token is all that may be done before the records are read. A report made after that waits for
      // them: answered unread, its machine would be heard a whole report period later.
      if (r.fencingToken !== fencingToken && this.mayRaise(r.machine, r.fencingToken))
        answer({ kind: 'commands', fencingToken, commands: [] });
      else this.pendingHeartbeats.add(r, answer, by);
      return;
    }
    const m = this.machines.byId.get(r.machine) ?? this.adopt(r);
    if (m === null) return answer({ kind: 'redirect', node: null });
    const commands = this.machines.onHeartbeat(m, r);
    if (commands === null) {
      // Older than what is known: its task list says nothing, and its worker has mostly given up waiting.
      if (!m.mayRespondTo(r)) return answer({ kind: 'redirect', node: null });
      this.machines.renewLease(m);
      // The worker takes one answer to it, and this may be the one: what is to be stopped is told again.
      return answer({ kind: 'commands', fencingToken, commands: this.machines.commandsFor(m) });
    }
    // Only a newer report shows it: a late copy sent the worker away from the answer that was held for it.
    this.heldResponses.release(m);
    if (m.isReconciled) this.machines.register(m);
    this.heldResponses.add(m, commands, answer, by);
  }

  /**
   * A report that another node passes on. One that builds on an earlier one is read only if that was the last to be
   * read: otherwise it is asked for whole.
   */
  onForwardedHeartbeat(f: ForwardedHeartbeat, answer: (a: ForwardedHeartbeatResponse) => void): void {
    if (f.kind === 'full') return this.onHeartbeat(f.heartbeat, answer);
    if (!this.failover.isLoaded)
      return answer(
        f.fencingToken !== this.machines.fencingToken && this.mayRaise(f.machine, f.fencingToken)
          ? { kind: 'commands', fencingToken: this.machines.fencingToken, commands: [] }
          : { kind: 'full-heartbeat-required' },
      );
    const m = this.machines.byId.get(f.machine);
    if (m === undefined || m.addr === null || m.lastTaskList === null)
      return answer({ kind: 'full-heartbeat-required' });
    if (m.agentEpoch !== f.agentEpoch || m.seq !== f.baseSeq)
      return answer({ kind: 'full-heartbeat-required' });
    const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS } = f;
    const tasks = applyTaskListDelta(m.lastTaskList, f);
    if (tasks === null) return answer({ kind: 'full-heartbeat-required' });
    const { addr, zone, spot } = m;
    this.onHeartbeat(
      {
        machine,
        addr,
        type: m.type.name,
        zone,
        spot,
        agentEpoch,
        seq,
        fencingToken,
        preemptionNoticeS,
        tasks,
      },
      answer,
    );
  }

  /** Reports that came before the records were read: in portions, as a whole fleet may have sent one. */
  private readEarly(most: number): void {
    if (this.failover.isLoaded) {
      this.raised.clear();
      for (const e of this.pendingHeartbeats.take(most))
        this.onHeartbeat(e.heartbeat, e.respond, addMs(e.until, LATE_MS));
    }
    const { fencingToken } = this.machines;
    for (const e of this.pendingHeartbeats.takeOverdue())
      e.respond(
        this.mayRaise(e.heartbeat.machine, e.heartbeat.fencingToken)
          ? { kind: 'commands', fencingToken, commands: [] }
          : { kind: 'redirect', node: null },
      );
  }

  /** From now on this owner's answers stop what is cancelled: the next one may build on them; see `mayRaise`. */
  private noteRead(term: Revision): void {
    const writeId = this.writer.nextWriteId();
    // The same value whichever copy is carried out, under this term only.
    this.writer.write({
      conditions: [],
      puts: [
        { key: LAST_RECOVERY_KEY, value: encodeRecoveryRecord({ term, at: this.io.wallTime }, writeId) },
      ],
      deletes: [],
      verifyKey: LAST_RECOVERY_KEY,
      writeId,
      priority: WritePriority.machineRegistry,
      onResult: () => {},
    });
  }

  /**
   * Whether a machine may be answered, and its lease renewed, before the records are read. What an earlier owner told a
   * user is cancelled may run there, and this owner does not know it yet. Only if the last answer that the machine took
   * came from an owner that knew: then what was cancelled later was told later, and the machine, first heard within a
   * lease of that answer, may be given leases until all must be gone within `cancel_s` of what may have been told. It came
   * from one that knew if the machine has seen no later token, and that owner read the records more than a lease ago: an
   * answer from before that is over (docs/safety.md, point 15).
   */
  private mayRaise(id: MachineId, seen: FencingToken): boolean {
    const first = this.raised.get(id);
    if (first !== undefined) return this.io.now <= first + this.unreadMs - LATE_REPORT_MS;
    if (this.unreadMs < 0 || this.lastRecovery === null || seen !== (this.lastRecovery.term as number))
      return false;
    const leaseMs = this.settings.workers.leaseS * 1000 * DRIFT;
    if (this.io.wallTime - this.lastRecovery.at <= leaseMs + WALLS_APART_MS) return false;
    this.raised.set(id, this.io.now);
    return true;
  }

  /** How long a start sent to the machine waits for its next report; none if one is held. */
  private answerInS(m: Machine): number {
    if (this.heldResponses.has(m)) return 0;
    return Math.max(0, this.settings.workers.heartbeatS - (this.io.now - m.lastHeartbeat) / 1000);
  }

  /** The term is over: workers are sent on. */
  close(): void {
    this.closeEarly();
    this.heldResponses.close();
  }

  private closeEarly(): void {
    for (const e of this.pendingHeartbeats.take()) e.respond({ kind: 'redirect', node: null });
  }

  /** A machine nobody expected: rented by an unanswered request, or by an earlier owner. */
  private adopt(r: Heartbeat): Machine | null {
    const type = this.autoscaler.types.get(r.type);
    if (type === undefined || this.machines.tombstones.has(r.machine)) return null;
    // Out of the others' reach nothing is started: the machine may serve whoever owns the share by now.
    if (!this.mayStart()) return null;
    this.io.log('info', 'machine adopted from its report', { machine: r.machine });
    return this.machines.addMachine(r.machine, type, r.zone, r.spot, NEVER);
  }
}

/** The operators' own settings as the documents change them; `reportS`: the workers' report period. */
function overlaid(base: SchedulerOptions, d: DispatchDocument, reportS: number): SchedulerOptions {
  return {
    threshold: d.threshold ?? base.threshold,
    dequeueAfterMs:
      d.takeBackReports === undefined ? base.dequeueAfterMs : d.takeBackReports * reportS * 1000,
    teamFloor: d.teamFloor ?? base.teamFloor,
    classFloor: d.classFloor ?? base.classFloor,
  };
}
