// Checks the users' rules (PROTOCOL, "Rules") from outside: only by what users, machines and the key-value
// store observe, without access to controllers or their state.
import type { JobSpec, UserRequest, UserResponse } from '../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';
import { type FreeCapacity, startableTasks } from './free-capacity.ts';
import {
  type MachineInfo,
  type Placements,
  placementViolations,
  type TeamAmounts,
} from './placement-rules.ts';

export type { FreeCapacity } from './free-capacity.ts';
export {
  type MachineInfo,
  type PlacedTask,
  type Placements,
  ScannedPlacements,
  type TeamAmounts,
  UNLIMITED,
} from './placement-rules.ts';

/** Limits that the rules set in a world. */
export interface Limits {
  /** How long tasks of a cancelled job may be on machines after the confirmation, in milliseconds. */
  cancelMs: number;
  /** Why a job can never run, such as a missing field; null if it can run. */
  unfit?: (spec: JobSpec) => string | null;
  /** Machines with free capacity, for the rule `left_waiting`; without it that rule is not checked. */
  rooms?: () => Iterable<FreeCapacity>;
  /** What a team's tasks may use at the same time; Infinity for no limit. */
  limitOf: (team: string, now: number) => TeamAmounts;
}

/** Tolerance for floating-point errors in sums of fractional amounts. */
const ROUNDING_TOLERANCE = 1e-6;

/** After the last fault, a status request for a job must be answered within this many milliseconds. */
export const MAX_UNANSWERED_MS = 75_000;

/** After the last fault, a task that could be started may wait no longer than this, in milliseconds. */
export const MAX_STARTABLE_WAIT_MS = 90_000;
/**
 * Workers discard responses that arrive later than this, in milliseconds: a start command that was in transit
 * when the cancellation was confirmed may take effect within this time.
 */
const START_IN_TRANSIT_MS = 4100;

/** A job as its users see it: their requests and the responses to them. */
interface ObservedJob {
  readonly spec: JobSpec;
  /** Since when a task of it could be started but waits; null if none does. */
  startableSince: number | null;
  accepted: boolean;
  cancelRequested: boolean;
  /** The final status that was reported to its user, and when. */
  finalOutcome: { status: 'done' | 'cancelled'; at: number } | null;
  lastAnsweredAt: number;
  lastRequestedAt: number;
}

/** Receives the events of a world and records each violation of a rule. */
export class RuleChecker {
  /** One line for each violation: time in seconds, name of the rule, and details. */
  readonly violations: string[] = [];
  /**
   * The longest time for which a task was still on a machine after its job's cancellation was confirmed, in
   * milliseconds.
   */
  latestGoneMs = 0;
  /** Number of tasks that were started. */
  started = 0;
  /** After the last fault: the longest time without an answer about a polled job, in milliseconds. */
  longestSilenceMs = 0;
  /** After the last fault: the longest time for which a startable task waited, in milliseconds. */
  longestNeedlessMs = 0;
  /** The longest time from a confirmed cancellation to the start of a task of that job, in milliseconds. */
  latestStartMs = 0;
  private readonly jobs = new Map<string, ObservedJob>();
  private readonly completedTasks = new Set<string>();
  private readonly jobsReportedUnanswered = new Set<string>();
  private readonly jobsReportedWaiting = new Set<string>();
  private faultsEndedAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly limits: Limits,
    private readonly placements: Placements,
  ) {}

  // ---- events of the world

  /** Records that a user sends a request. */
  onRequest(now: number, request: UserRequest): void {
    if (request.op === 'submit') return this.registerJob(now, request.spec);
    const job = this.jobs.get(request.id);
    if (job === undefined) return;
    job.lastRequestedAt = now;
    if (request.op === 'cancel') job.cancelRequested = true;
  }

  /** Checks a response to a request sent at `sentAt` against the responses received before that. */
  onResponse(now: number, sentAt: number, request: UserRequest, response: UserResponse): void {
    if (response.kind === 'retry') return;
    const id = request.op === 'submit' ? request.spec.id : request.id;
    const job = this.jobs.get(id);
    if (job === undefined) {
      if (response.kind !== 'not-found')
        this.report(now, 'invented', `${id}: got ${response.kind} but was never submitted`);
      return;
    }
    if (response.kind === 'not-found' || response.kind === 'impossible' || response.kind === 'too-large') {
      if (job.accepted && sentAt >= job.lastAnsweredAt)
        this.report(now, 'forgotten', `${id}: got ${response.kind} after it was accepted`);
      return;
    }
    job.lastAnsweredAt = now;
    this.checkStatus(now, sentAt, job, response.kind === 'accepted' ? 'queued' : response.status);
  }

  /** Records that a task has completed its work. */
  onTaskDone(task: string): void {
    this.completedTasks.add(task);
  }

  /** Checks the start of a task on a machine; `placements` must not contain the task yet. */
  onTaskStart(now: number, task: string, machine: MachineInfo): void {
    this.started++;
    const job = this.jobs.get(parseTaskId(task as TaskId).job);
    if (job === undefined)
      return this.report(now, 'invented', `${task} started, but its job was never submitted`);
    const other = this.placements.ofTask(task);
    if (other !== undefined)
      this.report(now, 'ran_twice', `${task} on ${machine.id} and ${other.machine.id}`);
    this.checkStartOfCancelled(now, job, task, machine);
    for (const violation of placementViolations(job.spec, machine, this.placements))
      this.report(now, 'wrong_place', `${task} ${violation}`);
    const overLimit = this.useOverLimit(job.spec, 1, now);
    if (overLimit !== null) this.report(now, 'quota', `${job.spec.team} uses ${overLimit}`);
  }

  /** Records that no faults occur from now on. */
  onFaultsEnded(now: number): void {
    this.faultsEndedAt = now;
  }

  /** Checks the rules with time limits; must be called about every second or more often. */
  checkTimeLimits(now: number): void {
    this.checkCancelledOnMachines(now);
    this.checkWaitingJobs(now);
    this.checkUnansweredJobs(now);
  }

  /** Accepted jobs that are neither done nor cancelled, except services. */
  unfinishedJobs(): string[] {
    return [...this.jobs]
      .filter(([, job]) => job.accepted && job.finalOutcome === null && job.spec.kind !== 'service')
      .map(([id]) => id);
  }

  /** To be called at the end: reports `nothing_ran` if no task of the accepted, uncancelled jobs started. */
  checkAnyTaskStarted(now: number): void {
    if (this.started > 0) return;
    if ([...this.jobs.values()].some((job) => job.accepted && !this.mayBeCancelled(job)))
      this.report(now, 'nothing_ran', 'jobs were accepted and not cancelled, but no task was started');
  }

  // ---- checks

  private report(now: number, rule: string, detail: string): void {
    this.violations.push(`${(now / 1000).toFixed(2)} ${rule}: ${detail}`);
  }

  private registerJob(now: number, spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      startableSince: null,
      accepted: false,
      cancelRequested: false,
      finalOutcome: null,
      lastAnsweredAt: now,
      lastRequestedAt: now,
    });
  }

  private checkStatus(now: number, sentAt: number, job: ObservedJob, status: string): void {
    const { id } = job.spec;
    if (!job.accepted) {
      const reason = this.limits.unfit?.(job.spec) ?? null;
      if (reason !== null) this.report(now, 'accepted_unfit', `${id}: ${reason}`);
    }
    if (job.finalOutcome !== null && status !== job.finalOutcome.status && sentAt >= job.finalOutcome.at)
      this.report(now, 'went_back', `${id}: got ${status} after ${job.finalOutcome.status}`);
    job.accepted = true;
    if (status === 'cancelled' && !this.mayBeCancelled(job))
      this.report(now, 'went_back', `${id} was cancelled, but no user requested that`);
    if (status === 'done' && !this.areAllTasksDone(job.spec))
      this.report(now, 'not_done', `${id}: got done before all its tasks completed`);
    if (status === 'done' || status === 'cancelled') job.finalOutcome ??= { status, at: now };
  }

  /** Whether a user requested the cancellation of the job or of a job that it depends on. */
  private mayBeCancelled(job: ObservedJob): boolean {
    if (job.cancelRequested) return true;
    return (job.spec.dependsOn ?? []).some((id) => {
      const dependency = this.jobs.get(id);
      return dependency !== undefined && this.mayBeCancelled(dependency);
    });
  }

  private areAllTasksDone(spec: JobSpec): boolean {
    for (let i = 0; i < spec.tasks; i++) if (!this.completedTasks.has(`${spec.id}/${i}`)) return false;
    return true;
  }

  private checkStartOfCancelled(now: number, job: ObservedJob, task: string, machine: MachineInfo): void {
    if (job.finalOutcome?.status !== 'cancelled') return;
    const delayMs = now - job.finalOutcome.at;
    this.latestStartMs = Math.max(this.latestStartMs, delayMs);
    if (this.isPastCancelDeadline(job, now))
      this.report(now, 'ran_cancelled', `${task} started on ${machine.id}`);
    else if (now > job.finalOutcome.at + START_IN_TRANSIT_MS)
      this.report(
        now,
        'started_cancelled',
        `${task} on ${machine.id}, ${delayMs} ms after the confirmed cancellation`,
      );
  }

  private isPastCancelDeadline(job: ObservedJob, now: number): boolean {
    return job.finalOutcome?.status === 'cancelled' && now > job.finalOutcome.at + this.limits.cancelMs;
  }

  private readonly specOf = (id: string): JobSpec | null => this.jobs.get(id)?.spec ?? null;

  /** Describes the use by the team with `tasks` more tasks of the job, if over its limit; null otherwise. */
  private useOverLimit(spec: JobSpec, tasks: number, now: number, use?: TeamAmounts): string | null {
    const limit = this.limits.limitOf(spec.team, now);
    if (limit.cpus === Number.POSITIVE_INFINITY && limit.gpus === Number.POSITIVE_INFINITY) return null;
    const used = use ?? this.placements.usedBy(spec.team, this.specOf);
    const cpus = used.cpus + spec.cpus * tasks;
    if (cpus > limit.cpus + ROUNDING_TOLERANCE) return `${cpus} of ${limit.cpus} CPUs`;
    const gpus = used.gpus + spec.gpus * tasks;
    return gpus > limit.gpus + ROUNDING_TOLERANCE ? `${gpus} of ${limit.gpus} accelerators` : null;
  }

  private checkCancelledOnMachines(now: number): void {
    for (const { task, machine } of this.placements.all()) {
      const job = this.jobs.get(parseTaskId(task as TaskId).job);
      if (job?.finalOutcome?.status !== 'cancelled') continue;
      this.latestGoneMs = Math.max(this.latestGoneMs, now - job.finalOutcome.at);
      if (this.isPastCancelDeadline(job, now)) this.report(now, 'ran_cancelled', `${task} on ${machine.id}`);
    }
  }

  /** Reports jobs whose status requests have not been answered in time. */
  private checkUnansweredJobs(now: number): void {
    for (const [id, job] of this.jobs) {
      if (!job.accepted || this.jobsReportedUnanswered.has(id)) continue;
      const unansweredSince = Math.max(job.lastAnsweredAt, this.faultsEndedAt);
      if (job.lastRequestedAt <= unansweredSince) continue;
      const unansweredMs = now - unansweredSince;
      this.longestSilenceMs = Math.max(this.longestSilenceMs, unansweredMs);
      if (unansweredMs <= MAX_UNANSWERED_MS) continue;
      this.jobsReportedUnanswered.add(id);
      this.report(now, 'forgotten', `${id}: no answer for ${MAX_UNANSWERED_MS / 1000} s`);
    }
  }

  /** Reports jobs that wait although an allowed machine has free capacity and the team's quota suffices. */
  private checkWaitingJobs(now: number): void {
    if (this.limits.rooms === undefined || now < this.faultsEndedAt) return;
    const machines = [...this.limits.rooms()];
    for (const [id, job] of this.jobs) {
      if (!this.isStartable(job, machines, now)) {
        job.startableSince = null;
        continue;
      }
      job.startableSince ??= now;
      const waitedMs = now - job.startableSince;
      if (waitedMs > this.longestNeedlessMs) this.longestNeedlessMs = waitedMs;
      if (waitedMs <= MAX_STARTABLE_WAIT_MS || this.jobsReportedWaiting.has(id)) continue;
      this.jobsReportedWaiting.add(id);
      this.report(
        now,
        'left_waiting',
        `${id} for ${waitedMs} ms although a machine has free capacity and the quota allows it`,
      );
    }
  }

  /**
   * Whether a task of an array or service, or all missing tasks of a gang, could be started now, judged by
   * what users can observe.
   */
  private isStartable(job: ObservedJob, machines: readonly FreeCapacity[], now: number): boolean {
    if (!job.accepted || job.finalOutcome !== null || job.cancelRequested) return false;
    const { spec } = job;
    for (const id of spec.dependsOn ?? [])
      if (this.jobs.get(id)?.finalOutcome?.status !== 'done') return false;
    const placed = new Set([...this.placements.ofJob(spec.id)].map((placement) => placement.task));
    const missing = this.missingTasks(spec, placed);
    if (missing === 0) return false;
    const isGang = spec.kind === 'gang';
    // A gang that runs in part starts its next attempt only after its running tasks have ended.
    if (isGang && placed.size > 0) return false;
    const needed = isGang ? missing : 1;
    const lastingUse = this.placements.recentPeakUseOf?.(spec.team);
    if (this.useOverLimit(spec, needed, now, lastingUse) !== null) return false;
    return startableTasks(spec, machines, this.placements) >= needed;
  }

  private missingTasks(spec: JobSpec, placed: ReadonlySet<string>): number {
    let missing = 0;
    for (let i = 0; i < spec.tasks; i++) {
      const task = `${spec.id}/${i}`;
      if (!placed.has(task) && !this.completedTasks.has(task)) missing++;
    }
    return missing;
  }
}
