// The local cluster's records on disk: the contents of the key-value store, the descriptions of jobs and the
// completed tasks. A request is answered only once its changes are on disk, so that after a kill the
// restarted cluster has every change that its controllers had confirmed.
import { ClassicLevel } from 'classic-level';
import { parseUint64 } from '../../../src/protocol/service-side.ts';
import { parseJson, stringifyJson } from '../../../src/types/exact-json.ts';
import { NO_REVISION, type Revision, type StoreLeaseId } from '../../../src/types/index.ts';
import type { FakeStore, StoreChange, StoredEntry } from './fake-store.ts';
import type { JobDescription } from './task-run.ts';

type BatchOperation = { type: 'put'; key: string; value: unknown } | { type: 'del'; key: string };

// Key prefixes in the database.
const STORE_KEY_PREFIX = 'k/';
const LEASE_KEY_PREFIX = 'h/';
const JOB_KEY_PREFIX = 'j/';
const DONE_TASK_KEY_PREFIX = 'd/';
// Keys of single records.
const STORE_REVISION_KEY = 'm/revision';
/** Last machine number that is reserved. */
const RESERVED_MACHINE_NUMBERS_KEY = 'm/made';
const MACHINE_NUMBERS_PER_RESERVATION = 1000;

/** Values on disk: JSON, as earlier versions write it, with integers above 2^53 kept exactly. */
const EXACT_JSON = { name: 'json', format: 'utf8', encode: stringifyJson, decode: parseJson } as const;

/** Jobs and completed tasks recorded by earlier runs of the cluster. */
export interface RecordedWork {
  /** Job ids with the descriptions that their users sent. */
  jobs: [string, JobDescription][];
  /** Completed tasks. */
  doneTasks: string[];
}

/** An embedded database with write-behind: changes are buffered and written in batches with fsync. */
export class ClusterStorage {
  private unwrittenOperations: BatchOperation[] = [];
  private writing: Promise<void> | null = null;
  private flushCallbacks: (() => void)[] = [];
  private writeError: Error | null = null;

  private constructor(
    private readonly database: ClassicLevel<string, unknown>,
    private readonly onError: (error: Error) => void,
  ) {}

  /**
   * `onError` is called with the first write error; after it `flush` never resolves, so no request is
   * answered.
   */
  static async open(dir: string, onError: (error: Error) => void): Promise<ClusterStorage> {
    const database = new ClassicLevel<string, unknown>(dir, { valueEncoding: EXACT_JSON });
    await database.open();
    return new ClusterStorage(database, onError);
  }

  /** Loads the store from disk, and records all later changes of it. */
  async attach(store: FakeStore): Promise<void> {
    const entries: [string, StoredEntry][] = [];
    const leases: [StoreLeaseId, number][] = [];
    for await (const [key, value] of this.records(STORE_KEY_PREFIX))
      entries.push([key, value as StoredEntry]);
    for await (const [id, ttlMs] of this.records(LEASE_KEY_PREFIX))
      leases.push([parseUint64(id, 'a lease') as StoreLeaseId, ttlMs as number]);
    const revision = (await this.database.get(STORE_REVISION_KEY)) as Revision | undefined;
    store.restore(revision ?? NO_REVISION, entries, leases);
    store.onChange = (change) => this.recordChange(change);
  }

  /** Reads the job descriptions and completed tasks of earlier runs. */
  async readWork(): Promise<RecordedWork> {
    const jobs: [string, JobDescription][] = [];
    const doneTasks: string[] = [];
    for await (const [job, description] of this.records(JOB_KEY_PREFIX))
      jobs.push([job, description as JobDescription]);
    for await (const [task] of this.records(DONE_TASK_KEY_PREFIX)) doneTasks.push(task);
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
    if ('lease' in change) return this.put(LEASE_KEY_PREFIX + change.lease, change.ttlMs);
    this.put(STORE_KEY_PREFIX + change.key, change.entry === null ? null : { ...change.entry });
    this.put(STORE_REVISION_KEY, change.revision);
  }

  /** Records the description of a job. */
  recordJob(job: string, description: JobDescription): void {
    this.put(JOB_KEY_PREFIX + job, description);
  }

  /** Records that a task is complete. */
  recordDone(task: string): void {
    this.put(DONE_TASK_KEY_PREFIX + task, 1);
  }

  /**
   * Reserves machine numbers for this run and returns the number before the first; numbers of earlier runs
   * are never reused.
   */
  async reserveMachineNumbers(): Promise<number> {
    const reserved = await this.readNumber(RESERVED_MACHINE_NUMBERS_KEY);
    this.put(RESERVED_MACHINE_NUMBERS_KEY, reserved + MACHINE_NUMBERS_PER_RESERVATION);
    await this.flush();
    return reserved;
  }

  /** Reserves the next range of numbers when a machine got the last but one number of the current range. */
  onMachineNumberUsed(used: number): void {
    if (used % MACHINE_NUMBERS_PER_RESERVATION === MACHINE_NUMBERS_PER_RESERVATION - 1)
      this.put(RESERVED_MACHINE_NUMBERS_KEY, used + 1 + MACHINE_NUMBERS_PER_RESERVATION);
  }

  /** Buffers a write; a null value deletes the record. */
  private put(key: string, value: unknown): void {
    this.unwrittenOperations.push(value === null ? { type: 'del', key } : { type: 'put', key, value });
  }

  /** Resolves when all changes made so far are on disk; never resolves after a write error. */
  flush(): Promise<void> {
    if (this.unwrittenOperations.length === 0 && this.writing === null) return Promise.resolve();
    return new Promise((resolve) => {
      this.flushCallbacks.push(resolve);
      this.writing ??= this.write();
    });
  }

  private async write(): Promise<void> {
    while (this.flushCallbacks.length > 0 && this.writeError === null) {
      const { unwrittenOperations, flushCallbacks } = this;
      this.unwrittenOperations = [];
      this.flushCallbacks = [];
      try {
        // The changes of one transaction are made in one turn of the event loop, so they are in the same
        // batch.
        if (unwrittenOperations.length > 0) await this.database.batch(unwrittenOperations, { sync: true });
      } catch (error) {
        this.writeError = error as Error;
        this.onError(this.writeError);
        break;
      }
      for (const resolve of flushCallbacks) resolve();
    }
    this.writing = null;
  }

  /** Writes the buffered changes, and closes the database. */
  async close(): Promise<void> {
    if (this.writeError === null) await this.flush();
    await this.database.close();
  }
}
