// The users' rules (PROTOCOL, "Rules"), judged by what users, machines and the state service saw and by nothing else: it knows
// neither controllers nor their state.
import type { JobSpec, UserRequest, UserResponse } from '../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';

export interface Place {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}
/** A task that is on a machine at this moment. */
export interface OnMachine {
  task: string;
  machine: Place;
}
/** What a machine has free; of those that are there, reach controllers and can run what they are given. */
export interface Room {
  machine: Place;
  cpus: number;
  gpus: number;
  memoryGb: number;
}
export interface Limits {
  cancelMs: number;
  /** Why a job can never run, or what it lacks; null if it can. */
  unfit?: (spec: JobSpec) => string | null;
  /** Machines with room, to judge whether work waits in vain; without it that is not judged. */
  rooms?: () => Iterable<Room>;
  /** What a team's tasks may use at a time; Infinity for no limit. */
  limitOf: (team: string, now: number) => TeamAmounts;
}
export interface TeamAmounts {
  cpus: number;
  gpus: number;
}
export const UNLIMITED: TeamAmounts = { cpus: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY };

/** What is on machines now, as whoever plays the world knows it. */
export interface Placements {
  all(): Iterable<OnMachine>;
  /** A machine that the task is on. */
  ofTask(task: string): OnMachine | undefined;
  ofJob(job: string): Iterable<OnMachine>;
  /** What the team's tasks use. `specOf`: null for a job that is not known. */
  usedBy(team: string, specOf: (job: string) => JobSpec | null): TeamAmounts;
  /** The most that the team has used lately, where tasks end all the time; absent: what it uses now. */
  lastingUseOf?(team: string): TeamAmounts;
}

/** Placements of a small world, found by looking at all that is on machines. */
export class ScannedPlacements implements Placements {
  constructor(readonly all: () => Iterable<OnMachine>) {}

  ofTask(task: string): OnMachine | undefined {
    for (const o of this.all()) if (o.task === task) return o;
    return undefined;
  }

  *ofJob(job: string): Iterable<OnMachine> {
    for (const o of this.all()) if (parseTaskId(o.task as TaskId).job === job) yield o;
  }

  usedBy(team: string, specOf: (job: string) => JobSpec | null): TeamAmounts {
    const used = { cpus: 0, gpus: 0 };
    for (const o of this.all()) {
      const spec = specOf(parseTaskId(o.task as TaskId).job);
      if (spec === null || spec.team !== team) continue;
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
    }
    return used;
  }
}

/** Sums of fractions drift by less than this. */
const EPS = 1e-6;

/** Once troubles are over, a job that is asked about is answered for within this. */
export const FORGOTTEN_MS = 75_000;

/** Once troubles are over, nothing is left waiting for this long while a machine has room for it. */
export const NEEDLESS_MS = 90_000;
/** Workers drop answers after this: a start on its way when a cancellation is confirmed may still come. */
const ON_ITS_WAY_MS = 4100;

interface Seen {
  /** Since when a task of it waits though there is room. */
  roomSince: number | null;
  spec: JobSpec;
  accepted: boolean;
  cancelAsked: boolean;
  /** What its user was told that can't be taken back, and when. */
  final: { status: 'done' | 'cancelled'; at: number } | null;
  lastAnswer: number;
  lastAsked: number;
}

export class RuleChecker {
  readonly broken: string[] = [];
  /** From the last confirmation to the last moment at which a cancelled job was seen on a machine, at the most. */
  latestGoneMs = 0;
  started = 0;
  /** Once troubles were over: the longest time for which a job that is asked about went unanswered, in milliseconds. */
  longestSilenceMs = 0;
  /** Once troubles were over: the longest time for which a task waited though a machine had room for it. */
  longestNeedlessMs = 0;
  /** The latest start of a cancelled job after its user was told, in milliseconds. */
  latestStartMs = 0;
  private readonly jobs = new Map<string, Seen>();
  private readonly results = new Set<string>();
  private readonly toldForgotten = new Set<string>();
  private overSince = Number.POSITIVE_INFINITY;

  constructor(
    private readonly limits: Limits,
    private readonly placements: Placements,
  ) {}

  private fault(now: number, rule: string, what: string): void {
    this.broken.push(`${(now / 1000).toFixed(2)} ${rule}: ${what}`);
  }

  asked(now: number, r: UserRequest): void {
    if (r.op === 'submit') {
      if (!this.jobs.has(r.spec.id))
        this.jobs.set(r.spec.id, {
          spec: r.spec,
          roomSince: null,
          accepted: false,
          cancelAsked: false,
          final: null,
          lastAnswer: now,
          lastAsked: now,
        });
      return;
    }
    const j = this.jobs.get(r.id);
    if (j === undefined) return;
    j.lastAsked = now;
    if (r.op === 'cancel') j.cancelAsked = true;
  }

  /** A user has an answer to what was asked at `sentAt`: only what was told before that binds it. */
  told(now: number, sentAt: number, r: UserRequest, a: UserResponse): void {
    const id = r.op === 'submit' ? r.spec.id : r.id;
    const j = this.jobs.get(id);
    if (a.kind === 'retry') return;
    if (j === undefined) {
      if (a.kind !== 'not-found') this.fault(now, 'invented', `${id} ${a.kind}`);
      return;
    }
    if (a.kind === 'not-found' || a.kind === 'impossible' || a.kind === 'too-large') {
      if (j.accepted && sentAt >= j.lastAnswer) this.fault(now, 'forgotten', `${id} told ${a.kind}`);
      return;
    }
    j.lastAnswer = now;
    const status = a.kind === 'accepted' ? 'queued' : a.status;
    if (!j.accepted) {
      const why = this.limits.unfit?.(j.spec) ?? null;
      if (why !== null) this.fault(now, 'accepted_unfit', `${id}: ${why}`);
    }
    if (j.final !== null && status !== j.final.status && sentAt >= j.final.at)
      this.fault(now, 'went_back', `${id} told ${status} after ${j.final.status}`);
    j.accepted = true;
    if (status === 'cancelled' && !this.mayBeCancelled(j))
      this.fault(now, 'went_back', `${id} cancelled unasked`);
    if (status === 'done' && !this.allDone(j.spec)) this.fault(now, 'not_done', id);
    if (status === 'done' || status === 'cancelled') j.final ??= { status, at: now };
  }

  /** Asked for by its user, or that of a job that it awaits. */
  private mayBeCancelled(j: Seen): boolean {
    if (j.cancelAsked) return true;
    return (j.spec.dependsOn ?? []).some((id) => {
      const need = this.jobs.get(id);
      return need !== undefined && this.mayBeCancelled(need);
    });
  }

  private allDone(spec: JobSpec): boolean {
    for (let i = 0; i < spec.tasks; i++) if (!this.results.has(`${spec.id}/${i}`)) return false;
    return true;
  }

  completed(task: string): void {
    this.results.add(task);
  }

  /** The task is about to be on the machine; what is on machines does not hold it yet. */
  placing(now: number, task: string, m: Place): void {
    this.started++;
    const { job: id } = parseTaskId(task as TaskId);
    const j = this.jobs.get(id);
    if (j === undefined) return this.fault(now, 'invented', `${task} started`);
    const { spec } = j;
    const twin = this.placements.ofTask(task);
    if (twin !== undefined) this.fault(now, 'ran_twice', `${task} on ${m.id} and ${twin.machine.id}`);
    if (j.final?.status === 'cancelled') this.latestStartMs = Math.max(this.latestStartMs, now - j.final.at);
    if (this.lateFor(j, now)) this.fault(now, 'ran_cancelled', `${task} started on ${m.id}`);
    else if (j.final?.status === 'cancelled' && now > j.final.at + ON_ITS_WAY_MS)
      this.fault(
        now,
        'started_cancelled',
        `${task} on ${m.id}, ${now - j.final.at} ms after its user was told`,
      );
    if (
      (spec.machineTypes !== null && !(spec.machineTypes as string[]).includes(m.type)) ||
      (m.spot && !spec.spot)
    )
      this.fault(now, 'wrong_place', `${task} on ${m.type}`);
    if (spec.zone !== null && spec.zone !== m.zone) this.fault(now, 'wrong_place', `${task} in ${m.zone}`);
    const bound = spec.oneZone || spec.spread;
    const zones = bound ? [...this.placements.ofJob(id)].map((o) => o.machine.zone) : [];
    if (spec.oneZone && zones.some((z) => z !== m.zone))
      this.fault(now, 'wrong_place', `${task} in ${m.zone}`);
    if (spec.spread && zones.filter((z) => z === m.zone).length >= Math.ceil(spec.tasks / 2))
      this.fault(now, 'wrong_place', `${task} beyond half in ${m.zone}`);
    this.countTeam(now, spec);
  }

  private readonly specOf = (id: string): JobSpec | null => this.jobs.get(id)?.spec ?? null;

  /** What the team would use with so many more tasks of the job, if that is beyond its limit; null if it is not. */
  private beyondLimit(spec: JobSpec, tasks: number, now: number, use?: TeamAmounts): string | null {
    const max = this.limits.limitOf(spec.team, now);
    if (max.cpus === Number.POSITIVE_INFINITY && max.gpus === Number.POSITIVE_INFINITY) return null;
    const used = use ?? this.placements.usedBy(spec.team, this.specOf);
    const cpus = used.cpus + spec.cpus * tasks;
    if (cpus > max.cpus + EPS) return `${cpus} of ${max.cpus} CPUs`;
    const gpus = used.gpus + spec.gpus * tasks;
    return gpus > max.gpus + EPS ? `${gpus} of ${max.gpus} accelerators` : null;
  }

  private countTeam(now: number, spec: JobSpec): void {
    const beyond = this.beyondLimit(spec, 1, now);
    if (beyond !== null) this.fault(now, 'quota', `${spec.team} uses ${beyond}`);
  }

  private lateFor(j: Seen, now: number): boolean {
    return j.final?.status === 'cancelled' && now > j.final.at + this.limits.cancelMs;
  }

  troublesOver(now: number): void {
    this.overSince = now;
  }

  /** To be called at least every second or so. */
  look(now: number): void {
    for (const { task, machine } of this.placements.all()) {
      const j = this.jobs.get(parseTaskId(task as TaskId).job);
      if (j?.final?.status !== 'cancelled') continue;
      this.latestGoneMs = Math.max(this.latestGoneMs, now - j.final.at);
      if (this.lateFor(j, now)) this.fault(now, 'ran_cancelled', `${task} on ${machine.id}`);
    }
    this.judgeWaits(now);
    for (const [id, j] of this.jobs) {
      if (!j.accepted || this.toldForgotten.has(id)) continue;
      const silentSince = Math.max(j.lastAnswer, this.overSince);
      if (j.lastAsked > silentSince)
        this.longestSilenceMs = Math.max(this.longestSilenceMs, now - silentSince);
      if (j.lastAsked <= silentSince || now - silentSince <= FORGOTTEN_MS) continue;
      this.toldForgotten.add(id);
      this.fault(now, 'forgotten', `${id}: no answer for ${FORGOTTEN_MS / 1000} s`);
    }
  }

  /** Work that waits though a machine that is allowed and has room is there and its team may use it. */
  private judgeWaits(now: number): void {
    if (this.limits.rooms === undefined || now < this.overSince) return;
    const rooms = [...this.limits.rooms()];
    for (const [id, j] of this.jobs) {
      if (!j.accepted || j.final !== null || j.cancelAsked || !this.startable(j, rooms, now)) {
        j.roomSince = null;
        continue;
      }
      j.roomSince ??= now;
      const ms = now - j.roomSince;
      if (ms > this.longestNeedlessMs) this.longestNeedlessMs = ms;
      if (ms <= NEEDLESS_MS || this.toldWaiting.has(id)) continue;
      this.toldWaiting.add(id);
      this.fault(now, 'left_waiting', `${id} for ${ms} ms though there is room`);
    }
  }

  private readonly toldWaiting = new Set<string>();

  /** A task of an array or service, or all that is missing of a gang, could be started now by all that users can know. */
  private startable(j: Seen, rooms: Room[], now: number): boolean {
    const { spec } = j;
    for (const need of spec.dependsOn ?? []) if (this.jobs.get(need)?.final?.status !== 'done') return false;
    const there = [...this.placements.ofJob(spec.id)];
    const placed = new Set(there.map((o) => o.task));
    let missing = 0;
    for (let i = 0; i < spec.tasks; i++)
      if (!placed.has(`${spec.id}/${i}`) && !this.results.has(`${spec.id}/${i}`)) missing++;
    if (missing === 0) return false;
    const gang = spec.kind === 'gang';
    // Part of it runs: the rest comes with the next attempt, when these have ended.
    if (gang && there.length > 0) return false;
    const n = gang ? missing : 1;
    if (this.beyondLimit(spec, n, now, this.placements.lastingUseOf?.(spec.team)) !== null) return false;
    const zones = new Map<string, number>();
    for (const o of there) zones.set(o.machine.zone, (zones.get(o.machine.zone) ?? 0) + 1);
    const slots = new Map<string, number>();
    for (const r of rooms) {
      const m = r.machine;
      if (spec.machineTypes !== null && !(spec.machineTypes as string[]).includes(m.type)) continue;
      if ((m.spot && !spec.spot) || (spec.zone !== null && spec.zone !== m.zone)) continue;
      if (spec.oneZone && zones.size > 0 && !zones.has(m.zone)) continue;
      const per = (free: number, each: number) => (each <= 0 ? spec.tasks : Math.floor((free + 1e-9) / each));
      const fit = Math.min(per(r.cpus, spec.cpus), per(r.gpus, spec.gpus), per(r.memoryGb, spec.memoryGb));
      slots.set(m.zone, (slots.get(m.zone) ?? 0) + Math.max(0, fit));
    }
    let total = 0;
    for (const [zone, fit] of slots) {
      const most = spec.spread ? Math.max(0, Math.ceil(spec.tasks / 2) - (zones.get(zone) ?? 0)) : fit;
      total = spec.oneZone ? Math.max(total, Math.min(fit, most)) : total + Math.min(fit, most);
    }
    return total >= n;
  }

  /** At the end of a day: accepted jobs that were neither done nor cancelled, services aside. */
  unfinished(): string[] {
    return [...this.jobs]
      .filter(([, j]) => j.accepted && j.final === null && j.spec.kind !== 'service')
      .map(([id]) => id);
  }

  /** At the end of a day on which something was accepted that nobody wanted cancelled. */
  close(now: number): void {
    if (this.started === 0 && [...this.jobs.values()].some((j) => j.accepted && !this.mayBeCancelled(j)))
      this.fault(now, 'nothing_ran', 'no task was started');
  }
}
