// The lab's records on disk: what the state service holds, and what the outside world remembers of jobs. An embedded store
// keeps them; a change is answered only when it is on disk, so that a lab that is killed comes back with all that its
// controllers were told.
import { ClassicLevel } from 'classic-level';
import type { FakeStore, StoreChange, StoredEntry } from './fake-store.ts';
import type { Description } from './task-runner.ts';

type Op = { type: 'put'; key: string; value: unknown } | { type: 'del'; key: string };

/** Parts of the store, by the first letters of their keys. */
const KEY = 'k/';
const HOLD = 'h/';
const JOB = 'j/';
const DONE = 'd/';
const REVISION = 'm/revision';
const MADE = 'm/made';
/** Machine names are reserved so many at a time. */
const NAMES = 1000;

export class ClusterStorage {
  private ops: Op[] = [];
  private writing: Promise<void> | null = null;
  private waiting: (() => void)[] = [];
  private failure: Error | null = null;

  private constructor(
    private readonly db: ClassicLevel<string, unknown>,
    private readonly onError: (e: Error) => void,
  ) {}

  /** `onError` hears the first error of writing; nothing is answered after it. */
  static async open(dir: string, onError: (e: Error) => void): Promise<ClusterStorage> {
    const db = new ClassicLevel<string, unknown>(dir, { valueEncoding: 'json' });
    await db.open();
    return new ClusterStorage(db, onError);
  }

  /** Fills the state service with what was kept, and keeps what it does from now on. */
  async attach(state: FakeStore): Promise<void> {
    const keys: [string, StoredEntry][] = [];
    const holds: [number, number][] = [];
    for await (const [k, v] of this.part(KEY)) keys.push([k, v as StoredEntry]);
    for await (const [k, v] of this.part(HOLD)) holds.push([Number(k), v as number]);
    state.restore(((await this.db.get(REVISION)) as number | undefined) ?? 0, keys, holds);
    state.onChange = (c) => this.change(c);
  }

  /** Jobs as their users described them, and tasks that are done. */
  async world(): Promise<{ jobs: [string, Description][]; done: string[] }> {
    const jobs: [string, Description][] = [];
    const done: string[] = [];
    for await (const [k, v] of this.part(JOB)) jobs.push([k, v as Description]);
    for await (const [k] of this.part(DONE)) done.push(k);
    return { jobs, done };
  }

  private async *part(prefix: string): AsyncGenerator<[string, unknown]> {
    for await (const [k, v] of this.db.iterator({ gte: prefix, lt: `${prefix}\uffff` }))
      yield [k.slice(prefix.length), v];
  }

  private change(c: StoreChange): void {
    if ('hold' in c) this.set(HOLD + c.hold, c.ttlMs);
    else {
      this.set(KEY + c.key, c.kept === null ? null : { ...c.kept });
      this.set(REVISION, c.revision);
    }
  }

  describe(job: string, d: Description): void {
    this.set(JOB + job, d);
  }
  done(task: string): void {
    this.set(DONE + task, 1);
  }

  /** The number after which machines of this life are named; none of an earlier life is used again. */
  async reserveNames(): Promise<number> {
    const made = ((await this.db.get(MADE)) as number | undefined) ?? 0;
    this.set(MADE, made + NAMES);
    await this.kept();
    return made;
  }
  named(made: number): void {
    if (made % NAMES === NAMES - 1) this.set(MADE, made + 1 + NAMES);
  }

  private set(key: string, value: unknown): void {
    this.ops.push(value === null ? { type: 'del', key } : { type: 'put', key, value });
  }

  /** Resolves when all that has changed so far is on disk; never after an error. */
  kept(): Promise<void> {
    if (this.ops.length === 0 && this.writing === null) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.writing ??= this.write();
    });
  }

  private async write(): Promise<void> {
    while (this.waiting.length > 0 && this.failure === null) {
      const { ops, waiting } = this;
      this.ops = [];
      this.waiting = [];
      try {
        // What belongs to one transaction is in one batch, as it was changed in one go.
        if (ops.length > 0) await this.db.batch(ops, { sync: true });
      } catch (e) {
        this.failure = e as Error;
        this.onError(this.failure);
        break;
      }
      for (const done of waiting) done();
    }
    this.writing = null;
  }

  async close(): Promise<void> {
    if (this.failure === null) await this.kept();
    await this.db.close();
  }
}
