// The local cluster's records on disk: the contents of the key-value store, the descriptions of jobs and the
// tasks that are done. A change is answered only when it is on disk, so that a cluster that is killed comes back
// with all that its controllers know.
import { ClassicLevel } from 'classic-level';
import type { FakeStore, StoreChange, StoredEntry } from './fake-store.ts';
import type { JobDescription } from './task-run.ts';

type BatchOperation = { type: 'put'; key: string; value: unknown } | { type: 'del'; key: string };

/** Prefixes of the database's keys. */
const STORE_KEY_PREFIX = 'k/';
const LEASE_PREFIX = 'h/';
const JOB_PREFIX = 'j/';
const DONE_TASK_PREFIX = 'd/';
/** Single records. */
const STORE_REVISION = 'm/revision';
const MACHINES_RESERVED = 'm/made';
/** Machine names are reserved so many at a time. */
const RESERVED_AT_ONCE = 1000;

/** What machines know of jobs and tasks from earlier runs of the cluster. */
export interface RecordedWork {
  /** Jobs by id, as their users described them. */
  jobs: [string, JobDescription][];
  /** Tasks that are done. */
  doneTasks: string[];
}

/** An embedded database with write-behind: changes are collected and written in synced batches. */
export class ClusterStorage {
  private operations: BatchOperation[] = [];
  private writing: Promise<void> | null = null;
  private waiters: (() => void)[] = [];
  private failure: Error | null = null;

  private constructor(
    private readonly database: ClassicLevel<string, unknown>,
    private readonly onError: (error: Error) => void,
  ) {}

  /** `onError` is called with the first error of writing; nothing is answered after it. */
  static async open(dir: string, onError: (error: Error) => void): Promise<ClusterStorage> {
    const database = new ClassicLevel<string, unknown>(dir, { valueEncoding: 'json' });
    await database.open();
    return new ClusterStorage(database, onError);
  }

  /** Fills the store with what is on disk, and records its changes from now on. */
  async attach(store: FakeStore): Promise<void> {
    const entries: [string, StoredEntry][] = [];
    const leases: [number, number][] = [];
    for await (const [key, value] of this.records(STORE_KEY_PREFIX))
      entries.push([key, value as StoredEntry]);
    for await (const [id, ttlMs] of this.records(LEASE_PREFIX)) leases.push([Number(id), ttlMs as number]);
    const revision = await this.readNumber(STORE_REVISION);
    store.restore(revision, entries, leases);
    store.onChange = (change) => this.recordChange(change);
  }

  /** Jobs as their users described them, and tasks that are done. */
  async recordedWork(): Promise<RecordedWork> {
    const jobs: [string, JobDescription][] = [];
    const doneTasks: string[] = [];
    for await (const [job, description] of this.records(JOB_PREFIX))
      jobs.push([job, description as JobDescription]);
    for await (const [task] of this.records(DONE_TASK_PREFIX)) doneTasks.push(task);
    return { jobs, doneTasks };
  }

  private async *records(prefix: string): AsyncGenerator<[string, unknown]> {
    const range = { gte: prefix, lt: `${prefix}\uffff` };
    for await (const [key, value] of this.database.iterator(range)) yield [key.slice(prefix.length), value];
  }

  private async readNumber(key: string): Promise<number> {
    return ((await this.database.get(key)) as number | undefined) ?? 0;
  }

  private recordChange(change: StoreChange): void {
    if ('hold' in change) return this.put(LEASE_PREFIX + change.hold, change.ttlMs);
    this.put(STORE_KEY_PREFIX + change.key, change.kept === null ? null : { ...change.kept });
    this.put(STORE_REVISION, change.revision);
  }

  /** Records the description of a job. */
  recordJob(job: string, description: JobDescription): void {
    this.put(JOB_PREFIX + job, description);
  }

  /** Records that a task is done. */
  recordDone(task: string): void {
    this.put(DONE_TASK_PREFIX + task, 1);
  }

  /** The number after which machines of this run are named; no number of an earlier run is used again. */
  async reserveMachineNumbers(): Promise<number> {
    const reserved = await this.readNumber(MACHINES_RESERVED);
    this.put(MACHINES_RESERVED, reserved + RESERVED_AT_ONCE);
    await this.flushed();
    return reserved;
  }

  /** A machine got this number: further numbers are reserved before those at hand run out. */
  machineNumberUsed(used: number): void {
    if (used % RESERVED_AT_ONCE === RESERVED_AT_ONCE - 1)
      this.put(MACHINES_RESERVED, used + 1 + RESERVED_AT_ONCE);
  }

  /** Null deletes the record. */
  private put(key: string, value: unknown): void {
    this.operations.push(value === null ? { type: 'del', key } : { type: 'put', key, value });
  }

  /** Resolves when all that has changed so far is on disk; never after an error. */
  flushed(): Promise<void> {
    if (this.operations.length === 0 && this.writing === null) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiters.push(resolve);
      this.writing ??= this.write();
    });
  }

  private async write(): Promise<void> {
    while (this.waiters.length > 0 && this.failure === null) {
      const { operations, waiters } = this;
      this.operations = [];
      this.waiters = [];
      try {
        // What belongs to one transaction is in one batch, as it was changed in one turn of the event loop.
        if (operations.length > 0) await this.database.batch(operations, { sync: true });
      } catch (error) {
        this.failure = error as Error;
        this.onError(this.failure);
        break;
      }
      for (const resolve of waiters) resolve();
    }
    this.writing = null;
  }

  /** Writes what is left, and closes the database. */
  async close(): Promise<void> {
    if (this.failure === null) await this.flushed();
    await this.database.close();
  }
}
