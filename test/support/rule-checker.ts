// The users' rules (PROTOCOL, "Rules"), checked by what users, machines and the key-value store saw and by
// nothing else: it knows neither controllers nor their state.
import type { JobSpec, UserRequest, UserResponse } from '../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';
import { type Room, startableTasks } from './free-capacity.ts';
import { type Place, type Placements, type TeamAmounts, wrongPlaces } from './placement-rules.ts';

export type { Room } from './free-capacity.ts';
export {
  type OnMachine,
  type Place,
  type Placements,
  ScannedPlacements,
  type TeamAmounts,
  UNLIMITED,
} from './placement-rules.ts';

/** What the rules allow in a world. */
export interface Limits {
  /**
   * How long after its user was told that a job is cancelled its tasks may be on machines, in milliseconds.
   */
  cancelMs: number;
  /** Why a job can never run, or what it lacks; null if it can. */
  unfit?: (spec: JobSpec) => string | null;
  /** Machines with free capacity, to check whether work waits in vain; without it that is not checked. */
  rooms?: () => Iterable<Room>;
  /** What a team's tasks may use at a time; Infinity for no limit. */
  limitOf: (team: string, now: number) => TeamAmounts;
}

/** Sums of fractions drift by less than this. */
const ROUNDING = 1e-6;

/** Once faults are over, a job that is asked about is answered for within this, in milliseconds. */
export const FORGOTTEN_MS = 75_000;

/**
 * Once faults are over, nothing is left waiting for this long while a machine has room for it, in
 * milliseconds.
 */
export const NEEDLESS_MS = 90_000;
/** Workers drop responses after this: a start on its way when a cancellation is confirmed may still come. */
const ON_ITS_WAY_MS = 4100;

/** What users have said of a job, and what they were told. */
interface ObservedJob {
  readonly spec: JobSpec;
  /** Since when a task of it waits though a machine has room for it. */
  startableSince: number | null;
  accepted: boolean;
  cancelRequested: boolean;
  /** What its user was told that can't be taken back, and when. */
  final: { status: 'done' | 'cancelled'; at: number } | null;
  lastAnsweredAt: number;
  lastAskedAt: number;
}

/** Is told of what happens in a world, and writes down each rule that is broken. */
export class RuleChecker {
  /** A line for each rule that was broken: seconds, the rule's name, and what broke it. */
  readonly broken: string[] = [];
  /**
   * From the last confirmation to the last moment at which a cancelled job was seen on a machine, at the
   * most.
   */
  latestGoneMs = 0;
  /** Tasks that were started. */
  started = 0;
  /**
   * Once faults were over: the longest time for which a job that is asked about went unanswered, in
   * milliseconds.
   */
  longestSilenceMs = 0;
  /** Once faults were over: the longest time for which a task waited though a machine had room for it. */
  longestNeedlessMs = 0;
  /** The latest start of a cancelled job after its user was told, in milliseconds. */
  latestStartMs = 0;
  private readonly jobs = new Map<string, ObservedJob>();
  private readonly completedTasks = new Set<string>();
  private readonly reportedForgotten = new Set<string>();
  private readonly reportedWaiting = new Set<string>();
  private faultsOverAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly limits: Limits,
    private readonly placements: Placements,
  ) {}

  // ---- what happens in the world

  /** A user sends a request. */
  asked(now: number, request: UserRequest): void {
    if (request.op === 'submit') return this.observe(now, request.spec);
    const job = this.jobs.get(request.id);
    if (job === undefined) return;
    job.lastAskedAt = now;
    if (request.op === 'cancel') job.cancelRequested = true;
  }

  /** A user has a response to what was asked at `sentAt`: only what was told before that binds it. */
  told(now: number, sentAt: number, request: UserRequest, response: UserResponse): void {
    if (response.kind === 'retry') return;
    const id = request.op === 'submit' ? request.spec.id : request.id;
    const job = this.jobs.get(id);
    if (job === undefined) {
      if (response.kind !== 'not-found') this.report(now, 'invented', `${id} ${response.kind}`);
      return;
    }
    if (response.kind === 'not-found' || response.kind === 'impossible' || response.kind === 'too-large') {
      if (job.accepted && sentAt >= job.lastAnsweredAt)
        this.report(now, 'forgotten', `${id} told ${response.kind}`);
      return;
    }
    job.lastAnsweredAt = now;
    this.checkStatus(now, sentAt, job, response.kind === 'accepted' ? 'queued' : response.status);
  }

  /** A task has ended by itself, with its work done. */
  completed(task: string): void {
    this.completedTasks.add(task);
  }

  /** The task is about to be on the machine; what is on machines does not hold it yet. */
  placing(now: number, task: string, machine: Place): void {
    this.started++;
    const job = this.jobs.get(parseTaskId(task as TaskId).job);
    if (job === undefined) return this.report(now, 'invented', `${task} started`);
    const twin = this.placements.ofTask(task);
    if (twin !== undefined) this.report(now, 'ran_twice', `${task} on ${machine.id} and ${twin.machine.id}`);
    this.checkStartOfCancelled(now, job, task, machine);
    for (const where of wrongPlaces(job.spec, machine, this.placements))
      this.report(now, 'wrong_place', `${task} ${where}`);
    const beyond = this.beyondLimit(job.spec, 1, now);
    if (beyond !== null) this.report(now, 'quota', `${job.spec.team} uses ${beyond}`);
  }

  /** There are no faults from now on. */
  troublesOver(now: number): void {
    this.faultsOverAt = now;
  }

  /** Checks what depends on time alone; to be called at least every second or so. */
  look(now: number): void {
    this.checkCancelledOnMachines(now);
    this.checkWaitingJobs(now);
    this.checkSilence(now);
  }

  /** At the end of a day: accepted jobs that were neither done nor cancelled, services aside. */
  unfinished(): string[] {
    return [...this.jobs]
      .filter(([, job]) => job.accepted && job.final === null && job.spec.kind !== 'service')
      .map(([id]) => id);
  }

  /** At the end of a day on which something was accepted that nobody wanted cancelled. */
  close(now: number): void {
    if (this.started > 0) return;
    if ([...this.jobs.values()].some((job) => job.accepted && !this.mayBeCancelled(job)))
      this.report(now, 'nothing_ran', 'no task was started');
  }

  // ---- checks

  private report(now: number, rule: string, what: string): void {
    this.broken.push(`${(now / 1000).toFixed(2)} ${rule}: ${what}`);
  }

  private observe(now: number, spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      startableSince: null,
      accepted: false,
      cancelRequested: false,
      final: null,
      lastAnsweredAt: now,
      lastAskedAt: now,
    });
  }

  private checkStatus(now: number, sentAt: number, job: ObservedJob, status: string): void {
    const { id } = job.spec;
    if (!job.accepted) {
      const reason = this.limits.unfit?.(job.spec) ?? null;
      if (reason !== null) this.report(now, 'accepted_unfit', `${id}: ${reason}`);
    }
    if (job.final !== null && status !== job.final.status && sentAt >= job.final.at)
      this.report(now, 'went_back', `${id} told ${status} after ${job.final.status}`);
    job.accepted = true;
    if (status === 'cancelled' && !this.mayBeCancelled(job))
      this.report(now, 'went_back', `${id} cancelled unasked`);
    if (status === 'done' && !this.allDone(job.spec)) this.report(now, 'not_done', id);
    if (status === 'done' || status === 'cancelled') job.final ??= { status, at: now };
  }

  /** Asked for by its user, or that of a job that it depends on. */
  private mayBeCancelled(job: ObservedJob): boolean {
    if (job.cancelRequested) return true;
    return (job.spec.dependsOn ?? []).some((id) => {
      const dependency = this.jobs.get(id);
      return dependency !== undefined && this.mayBeCancelled(dependency);
    });
  }

  private allDone(spec: JobSpec): boolean {
    for (let i = 0; i < spec.tasks; i++) if (!this.completedTasks.has(`${spec.id}/${i}`)) return false;
    return true;
  }

  private checkStartOfCancelled(now: number, job: ObservedJob, task: string, machine: Place): void {
    if (job.final?.status !== 'cancelled') return;
    const lateMs = now - job.final.at;
    this.latestStartMs = Math.max(this.latestStartMs, lateMs);
    if (this.isPastCancellation(job, now))
      this.report(now, 'ran_cancelled', `${task} started on ${machine.id}`);
    else if (now > job.final.at + ON_ITS_WAY_MS)
      this.report(now, 'started_cancelled', `${task} on ${machine.id}, ${lateMs} ms after its user was told`);
  }

  private isPastCancellation(job: ObservedJob, now: number): boolean {
    return job.final?.status === 'cancelled' && now > job.final.at + this.limits.cancelMs;
  }

  private readonly specOf = (id: string): JobSpec | null => this.jobs.get(id)?.spec ?? null;

  /**
   * What the team would use with so many more tasks of the job, if that is beyond its limit; null if it is
   * not.
   */
  private beyondLimit(spec: JobSpec, tasks: number, now: number, use?: TeamAmounts): string | null {
    const limit = this.limits.limitOf(spec.team, now);
    if (limit.cpus === Number.POSITIVE_INFINITY && limit.gpus === Number.POSITIVE_INFINITY) return null;
    const used = use ?? this.placements.usedBy(spec.team, this.specOf);
    const cpus = used.cpus + spec.cpus * tasks;
    if (cpus > limit.cpus + ROUNDING) return `${cpus} of ${limit.cpus} CPUs`;
    const gpus = used.gpus + spec.gpus * tasks;
    return gpus > limit.gpus + ROUNDING ? `${gpus} of ${limit.gpus} accelerators` : null;
  }

  private checkCancelledOnMachines(now: number): void {
    for (const { task, machine } of this.placements.all()) {
      const job = this.jobs.get(parseTaskId(task as TaskId).job);
      if (job?.final?.status !== 'cancelled') continue;
      this.latestGoneMs = Math.max(this.latestGoneMs, now - job.final.at);
      if (this.isPastCancellation(job, now)) this.report(now, 'ran_cancelled', `${task} on ${machine.id}`);
    }
  }

  /** Jobs that are asked about in vain. */
  private checkSilence(now: number): void {
    for (const [id, job] of this.jobs) {
      if (!job.accepted || this.reportedForgotten.has(id)) continue;
      const silentSince = Math.max(job.lastAnsweredAt, this.faultsOverAt);
      if (job.lastAskedAt <= silentSince) continue;
      const silentMs = now - silentSince;
      this.longestSilenceMs = Math.max(this.longestSilenceMs, silentMs);
      if (silentMs <= FORGOTTEN_MS) continue;
      this.reportedForgotten.add(id);
      this.report(now, 'forgotten', `${id}: no answer for ${FORGOTTEN_MS / 1000} s`);
    }
  }

  /** Work that waits though a machine that is allowed and has room is there and its team may use it. */
  private checkWaitingJobs(now: number): void {
    if (this.limits.rooms === undefined || now < this.faultsOverAt) return;
    const rooms = [...this.limits.rooms()];
    for (const [id, job] of this.jobs) {
      if (!this.isStartable(job, rooms, now)) {
        job.startableSince = null;
        continue;
      }
      job.startableSince ??= now;
      const waitedMs = now - job.startableSince;
      if (waitedMs > this.longestNeedlessMs) this.longestNeedlessMs = waitedMs;
      if (waitedMs <= NEEDLESS_MS || this.reportedWaiting.has(id)) continue;
      this.reportedWaiting.add(id);
      this.report(now, 'left_waiting', `${id} for ${waitedMs} ms though there is room`);
    }
  }

  /**
   * A task of an array or service, or all that is missing of a gang, could be started now by all that users
   * can know.
   */
  private isStartable(job: ObservedJob, rooms: readonly Room[], now: number): boolean {
    if (!job.accepted || job.final !== null || job.cancelRequested) return false;
    const { spec } = job;
    for (const id of spec.dependsOn ?? []) if (this.jobs.get(id)?.final?.status !== 'done') return false;
    const placed = new Set([...this.placements.ofJob(spec.id)].map((placement) => placement.task));
    const missing = this.missingTasks(spec, placed);
    if (missing === 0) return false;
    const isGang = spec.kind === 'gang';
    // Part of it runs: the rest comes with the next attempt, when these have ended.
    if (isGang && placed.size > 0) return false;
    const needed = isGang ? missing : 1;
    const lastingUse = this.placements.lastingUseOf?.(spec.team);
    if (this.beyondLimit(spec, needed, now, lastingUse) !== null) return false;
    return startableTasks(spec, rooms, this.placements) >= needed;
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
