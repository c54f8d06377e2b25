// A new owner's first steps: read what is recorded, then learn from the machines what runs where.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  NEVER,
  type Revision,
  type TypeName,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { MachineType, Settings, StoreItem, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { type ArrayProgress, DONE_BITMAP_PREFIX } from '../jobs/array-progress.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { Machine } from '../machines/machine.ts';
import {
  MACHINE_PREFIX,
  type MachineRegistry,
  type RegisteredMachine,
  type RegistryPage,
} from '../machines/machine-registry.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import { MACHINE_TYPE_PREFIX, type MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import { DEPENDENCY_PART_PREFIX, OPEN_JOB_PREFIX } from '../storage/keys.ts';
import { SHARED_RECORD_VERSION } from '../storage/shared-record.ts';

const RETRY_MS = 250;
const PROBE_MS = 2000;

/** Machines are asked directly only so many at a time; most come by themselves within a report period. */
const PROBES_AT_ONCE = 16;
/** Up to this part of the fleet counts as a few: what they may run is worth less than all that they hold up. */
const FEW = 0.01;
/** A worker whose node has gone waits for 4 s, and 1 s more before it tries the next. */
const WORKER_TURN_MS = 5500;
/** What {@link Failover} depends on. */
export interface FailoverDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  machines: MachineTable;
  machineTypes: MachineTypeCatalog;
  progress: ArrayProgress;
  registry: MachineRegistry;
}

export class Failover {
  /** Jobs and machines of the earlier terms are known. */
  isLoaded = false;
  /** Every recorded machine has been heard, or is certainly empty. */
  isComplete = false;
  /** What was on record later than this has not been read. */
  jobsReadAt = 0 as Revision;
  onComplete: () => void = () => {};
  /** All records have been read. */
  onLoaded: () => void = () => {};
  /** All jobs on record are known. */
  onJobsLoaded: () => void = () => {};
  private step: 'types' | 'jobs' | 'more' | 'bits' | 'machines' = 'types';
  private busy = false;
  private retryAt: Instant = LONG_AGO;
  private after: string | null = null;
  private readonly takenAt: Instant;
  /** Machines are given time to speak from here, however long reading the records took. */
  private loadedAt: Instant = NEVER;
  private readonly probedAt = new Map<MachineId, Instant>();
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly progress: ArrayProgress;
  private readonly registry: MachineRegistry;
  private probing = 0;
  /** A record of a version that this program does not know: nothing is served on a guess. */
  isUnreadable = false;

  constructor(dependencies: FailoverDependencies) {
    const { io } = dependencies;
    this.progress = dependencies.progress;
    this.registry = dependencies.registry;
    this.io = io;
    this.settings = dependencies.settings;
    this.jobs = dependencies.jobs;
    this.machines = dependencies.machines;
    this.machineTypes = dependencies.machineTypes;
    this.takenAt = io.now;
  }

  /** `current`: no other owner can exist, whose machines would be taken for silent here. */
  tick(current: boolean): void {
    if (!this.isLoaded) this.load();
    else if (!this.isComplete) this.locate(current);
  }

  private load(): void {
    if (this.busy || this.isUnreadable || this.io.now < this.retryAt) return;
    this.busy = true;
    const prefix = {
      types: MACHINE_TYPE_PREFIX,
      jobs: OPEN_JOB_PREFIX,
      more: DEPENDENCY_PART_PREFIX,
      bits: DONE_BITMAP_PREFIX,
      machines: MACHINE_PREFIX,
    }[this.step];
    this.io.store({ kind: 'list', prefix, after: this.after }, StorePriority.leader, (r) => this.onPage(r));
  }

  private again(): void {
    this.busy = false;
    this.retryAt = addMs(this.io.now, RETRY_MS);
  }

  private next(step: Failover['step']): void {
    this.step = step;
    this.after = null;
    this.busy = false;
    this.load();
  }

  private onPage(r: StoreReply): void {
    if (r.kind !== 'items') return this.again();
    if (this.step === 'jobs' && this.after === null) this.jobsReadAt = r.revision;
    for (const item of r.items) this.take(item);
    if (this.isUnreadable) return;
    if (r.more) {
      this.after = r.items.at(-1)?.key ?? null;
      this.busy = false;
      this.load();
    } else if (this.step === 'types') this.afterTypes();
    else if (this.step === 'jobs' && this.jobs.hasDependencyParts) this.next('more');
    else if (this.step === 'jobs' || this.step === 'more') {
      this.onJobsLoaded();
      this.next('bits');
    } else if (this.step === 'bits') this.next('machines');
    else this.finishLoading();
  }

  /** Without any type, from the record or the cloud, nothing can be judged: asked again until there is one. */
  private afterTypes(): void {
    if (this.machineTypes.isLoaded) this.next('jobs');
    else this.again();
  }

  private take(item: StoreItem): void {
    if (this.step === 'types')
      return this.machineTypes.restore(
        item.key.slice(MACHINE_TYPE_PREFIX.length) as TypeName,
        (item.value as { v: MachineType }).v,
      );
    if (this.step === 'jobs') return this.jobs.restore(item);
    if (this.step === 'more') return this.jobs.restoreDependencyPart(item);
    if ((item.value as { v?: unknown } | null)?.v !== SHARED_RECORD_VERSION) return this.refuse(item.key);
    if (this.step === 'bits') this.progress.restore(item, this.jobs.openJobs);
    else
      this.registry.load(
        item,
        (id) => this.machines.byId.has(id),
        (m, page) => this.takeMachine(m, page),
      );
  }

  private refuse(key: string): void {
    if (!this.isUnreadable)
      this.io.log('error', 'a record is of a version this program does not know; nothing is served', { key });
    this.isUnreadable = true;
  }

  private takeMachine(r: RegisteredMachine, page: RegistryPage): Machine {
    // A type no longer offered still counts, as if it held everything, until the machine is settled.
    const type = this.machineTypes.types.get(r.type) ?? vanishedType(r.type);
    // Whoever owned the share before stops answering in time for this (see docs/safety.md).
    const leaseEnds = addMs(this.takenAt, this.settings.workers.cancelS * 1000);
    const m = this.machines.addMachine(r.id, type, r.zone, r.spot, leaseEnds);
    m.registryPage = page;
    this.machines.updateIndexes(m);
    return m;
  }

  private finishLoading(): void {
    this.isLoaded = true;
    this.loadedAt = this.io.now;
    this.busy = false;
    // This node may itself have answered the machines while it read.
    const { leaseExpiryFromNow } = this.machines;
    for (const m of this.machines.byId.values())
      m.leaseExpiresAt = Math.max(m.leaseExpiresAt, leaseExpiryFromNow) as Instant;
    this.onLoaded();
    this.io.log('info', 'state read', { jobs: this.jobs.openJobs.size, machines: this.machines.byId.size });
  }

  /** Machines not heard yet: asked with the new token, fenced by returning them if they stay silent. */
  private locate(current: boolean): void {
    const silent = [...this.machines.byId.values()].filter((m) => m.registryPage !== null && !m.isReconciled);
    if (silent.length === 0) return this.finish();
    const blocked = this.machinesBlockWork();
    for (const m of silent) {
      this.probe(m);
      if (
        current &&
        blocked &&
        !m.isReleasing &&
        this.io.now - this.loadedAt > this.fenceAfterMs(silent.length)
      ) {
        this.machines.beginRelease(m);
        this.io.log('info', 'silent machine is returned to settle what it runs', { machine: m.id });
      }
    }
  }

  private machinesBlockWork(): boolean {
    for (const j of this.jobs.openJobs.values()) if (j.unlocatedTasks > 0 && !j.isBlocked) return true;
    return false;
  }

  /** A few machines that miss one turn are given up; more are given time, as something else may keep them away. */
  private fenceAfterMs(silent: number): number {
    const reportMs = this.settings.workers.heartbeatS * 1000;
    const few = silent <= Math.max(1, this.machines.byId.size * FEW);
    return few ? reportMs * 1.25 + WORKER_TURN_MS : Math.max(3 * reportMs, 8000) + 4000;
  }

  private probe(m: Machine): void {
    const last = this.probedAt.get(m.id) ?? LONG_AGO;
    if (m.addr === null || this.io.now - last < PROBE_MS || this.probing >= PROBES_AT_ONCE) return;
    this.probing++;
    this.probedAt.set(m.id, this.io.now);
    this.io.probe(m.addr, this.machines.fencingToken, Math.max(1, m.agentEpoch), (r) => {
      this.probing--;
      // Once the machine is in use, only its own reports tell what is not on it: a start that answered
      // one of them may still be under way when this reply is made.
      if (r.kind !== 'heartbeat' || this.machines.byId.get(m.id) !== m || m.isReconciled) return;
      // Its address may be another machine's by now.
      if (r.heartbeat.machine !== m.id) return;
      const known = m.agentEpoch;
      this.machines.onHeartbeat(m, r.heartbeat, true);
      // The session was another: ask again at once with the right one.
      if (!r.executed && r.heartbeat.agentEpoch !== known) this.probedAt.delete(m.id);
    });
  }

  private finish(): void {
    this.isComplete = true;
    for (const job of this.jobs.openJobs.values()) job.resolveUnlocated();
    this.onComplete();
    this.io.log('info', 'all machines heard', {
      machines: this.machines.byId.size,
      jobs: this.jobs.openJobs.size,
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
