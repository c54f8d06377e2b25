// First step of a failover: the new leader reads all records, one kind of record after another and in pages.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  type MachineTypeName,
  NO_REVISION,
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
  type RegistryRecord,
} from '../machines/machine-registry.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import { MACHINE_TYPE_PREFIX, type MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import { DEPENDENCY_PART_PREFIX, OPEN_JOB_PREFIX } from '../storage/keys.ts';
import { SHARED_RECORD_VERSION } from '../storage/shared-record.ts';

const RETRY_DELAY_MS = 250;

/** The kinds of records, by the prefix of their keys. */
const KEY_PREFIX = {
  machineTypes: MACHINE_TYPE_PREFIX,
  jobs: OPEN_JOB_PREFIX,
  dependencyParts: DEPENDENCY_PART_PREFIX,
  doneBitmaps: DONE_BITMAP_PREFIX,
  machines: MACHINE_PREFIX,
} as const;

type RecordKind = keyof typeof KEY_PREFIX;

/** Receives the progress of a {@link RecordLoader}. */
export interface RecordLoaderListener {
  /** All recorded jobs have been read. */
  onJobsLoaded(): void;
  /** All records have been read. */
  onRecordsLoaded(): void;
}

/** Dependencies of {@link RecordLoader}. */
export interface RecordLoaderDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  machines: MachineTable;
  machineTypes: MachineTypeCatalog;
  progress: ArrayProgress;
  registry: MachineRegistry;
  listener: RecordLoaderListener;
}

/** Reads the records of the earlier terms into the tables of this one. */
export class RecordLoader {
  isLoaded = false;
  /**
   * Whether a record has a version that this program does not know. No requests are served in that case, as
   * the content of the record could only be guessed.
   */
  isUnreadable = false;
  /** The revision as of which jobs were read: jobs recorded after it have not been read. */
  jobsReadAt = NO_REVISION;
  private kind: RecordKind = 'machineTypes';
  /** The last key of the previous page; null for the first page of a kind. */
  private afterKey: string | null = null;
  private isReading = false;
  private retryAt: Instant = LONG_AGO;
  private readonly startedAt: Instant;
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly progress: ArrayProgress;
  private readonly registry: MachineRegistry;
  private readonly listener: RecordLoaderListener;

  constructor(dependencies: RecordLoaderDependencies) {
    this.io = dependencies.io;
    this.settings = dependencies.settings;
    this.jobs = dependencies.jobs;
    this.machines = dependencies.machines;
    this.machineTypes = dependencies.machineTypes;
    this.progress = dependencies.progress;
    this.registry = dependencies.registry;
    this.listener = dependencies.listener;
    this.startedAt = dependencies.io.now;
  }

  /**
   * Requests the next page, unless a request is pending, a retry delay is running, or a record is unreadable.
   */
  tick(): void {
    if (this.isReading || this.isUnreadable || this.io.now < this.retryAt) return;
    this.isReading = true;
    const prefix = KEY_PREFIX[this.kind];
    this.io.sendStoreRequest({ kind: 'list', prefix, after: this.afterKey }, StorePriority.leader, (reply) =>
      this.onPage(reply),
    );
  }

  private retry(): void {
    this.isReading = false;
    this.retryAt = addMs(this.io.now, RETRY_DELAY_MS);
  }

  private readNext(kind: RecordKind, afterKey: string | null): void {
    this.kind = kind;
    this.afterKey = afterKey;
    this.isReading = false;
    this.tick();
  }

  private onPage(reply: StoreReply): void {
    if (reply.kind !== 'items') return this.retry();
    if (this.kind === 'jobs' && this.afterKey === null) this.jobsReadAt = reply.revision;
    for (const item of reply.items) this.restore(item);
    if (this.isUnreadable) return;
    if (reply.more) this.readNext(this.kind, reply.items.at(-1)?.key ?? null);
    else this.onKindRead();
  }

  private onKindRead(): void {
    switch (this.kind) {
      case 'machineTypes':
        return this.onMachineTypesRead();
      case 'jobs':
        if (this.jobs.hasDependencyParts) return this.readNext('dependencyParts', null);
        return this.onJobsRead();
      case 'dependencyParts':
        return this.onJobsRead();
      case 'doneBitmaps':
        return this.readNext('machines', null);
      case 'machines':
        return this.finish();
    }
  }

  /**
   * No machine can be used while no machine type is known, from the records or the cloud: reads again until
   * one is.
   */
  private onMachineTypesRead(): void {
    if (this.machineTypes.isLoaded) this.readNext('jobs', null);
    else this.retry();
  }

  private onJobsRead(): void {
    this.listener.onJobsLoaded();
    this.readNext('doneBitmaps', null);
  }

  private restore(item: StoreItem): void {
    switch (this.kind) {
      case 'machineTypes':
        return this.restoreMachineType(item);
      case 'jobs':
        return this.jobs.restore(item);
      case 'dependencyParts':
        return this.jobs.restoreDependencyPart(item);
      case 'doneBitmaps':
        if (this.isKnownVersion(item)) this.progress.restore(item, this.jobs.openJobs);
        return;
      case 'machines':
        if (this.isKnownVersion(item)) this.restoreMachines(item);
        return;
    }
  }

  private restoreMachineType(item: StoreItem): void {
    const name = item.key.slice(MACHINE_TYPE_PREFIX.length) as MachineTypeName;
    this.machineTypes.restore(name, (item.value as { v: MachineType }).v);
  }

  private restoreMachines(item: StoreItem): void {
    const isKnown = (id: MachineId) => this.machines.byId.has(id);
    this.registry.load(item, isKnown, (machine, record) => this.restoreMachine(machine, record));
  }

  private restoreMachine(registered: RegisteredMachine, record: RegistryRecord): Machine {
    const { id, zone, spot } = registered;
    const type = this.machineTypes.types.get(registered.type) ?? placeholderType(registered.type);
    // The previous leader stops renewing leases early enough for all of them to expire by then
    // (docs/safety.md).
    const leaseExpiresAt = addMs(this.startedAt, this.settings.workers.cancelS * 1000);
    const machine = this.machines.addMachine(id, type, zone, spot, leaseExpiresAt);
    machine.registryRecord = record;
    this.machines.updateIndexes(machine);
    return machine;
  }

  private isKnownVersion(item: StoreItem): boolean {
    const version = (item.value as { v?: unknown } | null)?.v;
    if (version === SHARED_RECORD_VERSION) return true;
    if (!this.isUnreadable)
      this.io.log('error', 'a record is of a version this program does not know; nothing is served', {
        key: item.key,
      });
    this.isUnreadable = true;
    return false;
  }

  private finish(): void {
    this.isLoaded = true;
    this.isReading = false;
    this.listener.onRecordsLoaded();
  }
}

/**
 * Placeholder for a machine type that the catalog no longer has: large enough for any tasks, until the
 * machine is reconciled.
 */
const placeholderType = (name: MachineTypeName): MachineType => ({
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
