// The users' rules (PROTOCOL, "Rules"), judged by what users, machines and the state service saw and by nothing else: it knows
// neither controllers nor their state.
import type { JobSpec, UserAnswer, UserRequest } from '../../src/core/base/model.ts';
import { splitTask, type TaskId } from '../../src/types/index.ts';

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
export interface Limits {
  cancelMs: number;
  /** CPUs that a team's tasks may use at any time; a team that is missing may use any number. */
  cpusMax: ReadonlyMap<string, number>;
}

/** Once troubles are over, a job that is asked about is answered for within this. */
export const FORGOTTEN_MS = 75_000;

interface Seen {
  spec: JobSpec;
  accepted: boolean;
  cancelAsked: boolean;
  /** What its user was told that can't be taken back, and when. */
  final: { status: 'done' | 'cancelled'; at: number } | null;
  lastAnswer: number;
  lastAsked: number;
}

export class Rules {
  readonly broken: string[] = [];
  /** From the last confirmation to the last moment at which a cancelled job was seen on a machine, at the most. */
  latestGoneMs = 0;
  started = 0;
  /** Once troubles were over: the longest time for which a job that is asked about went unanswered, in milliseconds. */
  longestSilenceMs = 0;
  private readonly jobs = new Map<string, Seen>();
  private readonly results = new Set<string>();
  private readonly toldForgotten = new Set<string>();
  private overSince = Number.POSITIVE_INFINITY;

  constructor(
    private readonly limits: Limits,
    /** What is on machines now. */
    private readonly onMachines: () => Iterable<OnMachine>,
  ) {}

  private fault(now: number, rule: string, what: string): void {
    this.broken.push(`${(now / 1000).toFixed(2)} ${rule}: ${what}`);
  }

  asked(now: number, r: UserRequest): void {
    if (r.op === 'submit') {
      if (!this.jobs.has(r.spec.id))
        this.jobs.set(r.spec.id, {
          spec: r.spec,
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
  told(now: number, sentAt: number, r: UserRequest, a: UserAnswer): void {
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
    return (j.spec.awaits ?? []).some((id) => {
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
    const { job: id } = splitTask(task as TaskId);
    const j = this.jobs.get(id);
    if (j === undefined) return this.fault(now, 'invented', `${task} started`);
    const { spec } = j;
    const on = [...this.onMachines()];
    const twin = on.find((o) => o.task === task);
    if (twin !== undefined) this.fault(now, 'ran_twice', `${task} on ${m.id} and ${twin.machine.id}`);
    if (this.lateFor(j, now)) this.fault(now, 'ran_cancelled', `${task} started on ${m.id}`);
    if ((spec.types !== null && !(spec.types as string[]).includes(m.type)) || (m.spot && !spec.spot))
      this.fault(now, 'wrong_place', `${task} on ${m.type}`);
    if (spec.zone !== null && spec.zone !== m.zone) this.fault(now, 'wrong_place', `${task} in ${m.zone}`);
    const zones = on.filter((o) => splitTask(o.task as TaskId).job === id).map((o) => o.machine.zone);
    if (spec.oneZone && zones.some((z) => z !== m.zone))
      this.fault(now, 'wrong_place', `${task} in ${m.zone}`);
    if (spec.spread && zones.filter((z) => z === m.zone).length >= Math.ceil(spec.tasks / 2))
      this.fault(now, 'wrong_place', `${task} beyond half in ${m.zone}`);
    this.countTeam(now, spec, on);
  }

  private countTeam(now: number, spec: JobSpec, on: OnMachine[]): void {
    const max = this.limits.cpusMax.get(spec.team);
    if (max === undefined) return;
    let used = spec.cpus;
    for (const o of on) {
      const other = this.jobs.get(splitTask(o.task as TaskId).job)?.spec;
      if (other?.team === spec.team) used += other.cpus;
    }
    if (used > max) this.fault(now, 'quota', `${spec.team} uses ${used} of ${max}`);
  }

  private lateFor(j: Seen, now: number): boolean {
    return j.final?.status === 'cancelled' && now > j.final.at + this.limits.cancelMs;
  }

  troublesOver(now: number): void {
    this.overSince = now;
  }

  /** To be called at least every second or so. */
  look(now: number): void {
    for (const { task, machine } of this.onMachines()) {
      const j = this.jobs.get(splitTask(task as TaskId).job);
      if (j?.final?.status !== 'cancelled') continue;
      this.latestGoneMs = Math.max(this.latestGoneMs, now - j.final.at);
      if (this.lateFor(j, now)) this.fault(now, 'ran_cancelled', `${task} on ${machine.id}`);
    }
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
