// A new owner's first steps: read what is recorded, then learn from the machines what runs where.
import {
  type Instant,
  LONG_AGO,
  later,
  type MachineId,
  NEVER,
  type Revision,
  type TypeName,
} from '../../types/index.ts';
import type { Outbox } from '../base/io.ts';
import type { Item, MachineType, Settings, StateReply } from '../base/model.ts';
import { Rank } from '../base/statebudget.ts';
import type { Jobs } from '../jobs/jobs.ts';
import { BITS, type Progress } from '../jobs/progress.ts';
import { type Catalogue, TYPE } from '../machines/catalogue.ts';
import type { Machine } from '../machines/machine.ts';
import type { Machines } from '../machines/machines.ts';
import { MACHINE, type Roster, type RosterMachine, type RosterPage } from '../machines/roster.ts';
import { MORE, OPEN } from '../record/keys.ts';
import { PAGE_VERSION } from '../record/page.ts';

const RETRY_MS = 250;
const PROBE_MS = 2000;

/** Machines are asked directly only so many at a time; most come by themselves within a report period. */
const PROBES_AT_ONCE = 16;
/** Up to this part of the fleet counts as a few: what they may run is worth less than all that they hold up. */
const FEW = 0.01;
/** A worker whose node has gone waits for 4 s, and 1 s more before it tries the next. */
const WORKER_TURN_MS = 5500;

export class Recovery {
  /** Jobs and machines of the earlier terms are known. */
  loaded = false;
  /** Every recorded machine has been heard, or is certainly empty. */
  complete = false;
  /** What was on record later than this has not been read. */
  jobsReadAt = 0 as Revision;
  onComplete: () => void = () => {};
  /** All records have been read. */
  onLoaded: () => void = () => {};
  /** All jobs on record are known. */
  onJobs: () => void = () => {};
  private step: 'types' | 'jobs' | 'more' | 'bits' | 'machines' = 'types';
  private busy = false;
  private retryAt: Instant = LONG_AGO;
  private after: string | null = null;
  private readonly takenAt: Instant;
  /** Machines are given time to speak from here, however long reading the records took. */
  private loadedAt: Instant = NEVER;
  private readonly probedAt = new Map<MachineId, Instant>();
  private readonly io: Outbox;
  private readonly settings: Settings;
  private readonly jobs: Jobs;
  private readonly machines: Machines;
  private readonly catalogue: Catalogue;
  private readonly progress: Progress;
  private readonly roster: Roster;
  private probing = 0;
  /** A record of a version that this program does not know: nothing is served on a guess. */
  unreadable = false;

  constructor(
    io: Outbox,
    settings: Settings,
    jobs: Jobs,
    machines: Machines,
    catalogue: Catalogue,
    progress: Progress,
    roster: Roster,
  ) {
    this.progress = progress;
    this.roster = roster;
    this.io = io;
    this.settings = settings;
    this.jobs = jobs;
    this.machines = machines;
    this.catalogue = catalogue;
    this.takenAt = io.now;
  }

  /** `current`: no other owner can exist, whose machines would be taken for silent here. */
  tick(current: boolean): void {
    if (!this.loaded) this.load();
    else if (!this.complete) this.locate(current);
  }

  private load(): void {
    if (this.busy || this.unreadable || this.io.now < this.retryAt) return;
    this.busy = true;
    const prefix = { types: TYPE, jobs: OPEN, more: MORE, bits: BITS, machines: MACHINE }[this.step];
    this.io.state({ kind: 'list', prefix, after: this.after }, Rank.owner, (r) => this.onPage(r));
  }

  private again(): void {
    this.busy = false;
    this.retryAt = later(this.io.now, RETRY_MS);
  }

  private next(step: Recovery['step']): void {
    this.step = step;
    this.after = null;
    this.busy = false;
    this.load();
  }

  private onPage(r: StateReply): void {
    if (r.kind !== 'items') return this.again();
    if (this.step === 'jobs' && this.after === null) this.jobsReadAt = r.revision;
    for (const item of r.items) this.take(item);
    if (this.unreadable) return;
    if (r.more) {
      this.after = r.items.at(-1)?.key ?? null;
      this.busy = false;
      this.load();
    } else if (this.step === 'types') this.afterTypes();
    else if (this.step === 'jobs' && this.jobs.inParts) this.next('more');
    else if (this.step === 'jobs' || this.step === 'more') {
      this.onJobs();
      this.next('bits');
    } else if (this.step === 'bits') this.next('machines');
    else this.finishLoading();
  }

  /** Without any type, from the record or the cloud, nothing can be judged: asked again until there is one. */
  private afterTypes(): void {
    if (this.catalogue.known) this.next('jobs');
    else this.again();
  }

  private take(item: Item): void {
    if (this.step === 'types')
      return this.catalogue.restore(
        item.key.slice(TYPE.length) as TypeName,
        (item.value as { v: MachineType }).v,
      );
    if (this.step === 'jobs') return this.jobs.load(item);
    if (this.step === 'more') return this.jobs.loadMore(item);
    if ((item.value as { v?: unknown } | null)?.v !== PAGE_VERSION) return this.refuse(item.key);
    if (this.step === 'bits') this.progress.load(item, this.jobs.open);
    else
      this.roster.load(
        item,
        (id) => this.machines.all.has(id),
        (m, page) => this.takeMachine(m, page),
      );
  }

  private refuse(key: string): void {
    if (!this.unreadable)
      this.io.log('error', 'a record is of a version this program does not know; nothing is served', { key });
    this.unreadable = true;
  }

  private takeMachine(r: RosterMachine, page: RosterPage): Machine {
    // A type no longer offered still counts, as if it held everything, until the machine is settled.
    const type = this.catalogue.types.get(r.type) ?? vanishedType(r.type);
    // Whoever owned the share before stops answering in time for this (see docs/safety.md).
    const leaseEnds = later(this.takenAt, this.settings.workers.cancelS * 1000);
    const m = this.machines.newMachine(r.id, type, r.zone, r.spot, leaseEnds);
    m.page = page;
    this.machines.touch(m);
    return m;
  }

  private finishLoading(): void {
    this.loaded = true;
    this.loadedAt = this.io.now;
    this.busy = false;
    // This node may itself have answered the machines while it read.
    const { leaseFromNow } = this.machines;
    for (const m of this.machines.all.values()) m.leaseEnds = Math.max(m.leaseEnds, leaseFromNow) as Instant;
    this.onLoaded();
    this.io.log('info', 'state read', { jobs: this.jobs.open.size, machines: this.machines.all.size });
  }

  /** Machines not heard yet: asked with the new token, fenced by returning them if they stay silent. */
  private locate(current: boolean): void {
    const silent = [...this.machines.all.values()].filter((m) => m.page !== null && !m.synced);
    if (silent.length === 0) return this.finish();
    const blocked = this.machinesBlockWork();
    for (const m of silent) {
      this.probe(m);
      if (
        current &&
        blocked &&
        !m.releasing &&
        this.io.now - this.loadedAt > this.fenceAfterMs(silent.length)
      ) {
        this.machines.giveBack(m);
        this.io.log('info', 'silent machine is returned to settle what it runs', { machine: m.id });
      }
    }
  }

  private machinesBlockWork(): boolean {
    for (const j of this.jobs.open.values()) if (j.unlocated > 0 && !j.blocked) return true;
    return false;
  }

  /** A few machines that miss one turn are given up; more are given time, as something else may keep them away. */
  private fenceAfterMs(silent: number): number {
    const reportMs = this.settings.workers.reportS * 1000;
    const few = silent <= Math.max(1, this.machines.all.size * FEW);
    return few ? reportMs * 1.25 + WORKER_TURN_MS : Math.max(3 * reportMs, 8000) + 4000;
  }

  private probe(m: Machine): void {
    const last = this.probedAt.get(m.id) ?? LONG_AGO;
    if (m.addr === null || this.io.now - last < PROBE_MS || this.probing >= PROBES_AT_ONCE) return;
    this.probing++;
    this.probedAt.set(m.id, this.io.now);
    this.io.probe(m.addr, this.machines.token, Math.max(1, m.session), (r) => {
      this.probing--;
      // Once the machine is in use, only its own reports tell what is not on it: a start that answered
      // one of them may still be under way when this reply is made.
      if (r.kind !== 'report' || this.machines.all.get(m.id) !== m || m.synced) return;
      // Its address may be another machine's by now.
      if (r.report.machine !== m.id) return;
      const known = m.session;
      this.machines.report(m, r.report, true);
      // The session was another: ask again at once with the right one.
      if (!r.executed && r.report.session !== known) this.probedAt.delete(m.id);
    });
  }

  private finish(): void {
    this.complete = true;
    for (const job of this.jobs.open.values()) job.settle();
    this.onComplete();
    this.io.log('info', 'all machines heard', {
      machines: this.machines.all.size,
      jobs: this.jobs.open.size,
    });
  }
}

const vanishedType = (name: TypeName): MachineType => ({
  name,
  cpus: 1e6,
  gpus: 1e6,
  memoryGb: 1e6,
  cacheGb: 0,
  fetchGbPerS: 1,
  price: 0,
  spotPrice: 0,
  bootS: 1,
  zones: [],
});
