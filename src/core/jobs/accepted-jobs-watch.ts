// Jobs that other nodes took in (intake.ts): the owner watches the jobs on record and takes up what it does not know.
import { addMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { OPEN_JOB_PREFIX } from '../storage/keys.ts';
import type { JobTable } from './job-table.ts';

const WATCH_MS = 10_000;
const RETRY_MS = 500;

export class AcceptedJobsWatch {
  private busy = false;
  private retryAt: Instant = LONG_AGO;
  /** null: what is on record must be read again. */
  private from: Revision | null;
  private after: string | null = null;
  private listedFrom: Revision | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly jobs: JobTable,
    readAt: Revision,
    /** While true nobody else can have become the owner, and so nobody else can have started the job. */
    private readonly current: () => boolean,
  ) {
    this.from = readAt;
  }

  tick(): void {
    if (this.busy || this.io.now < this.retryAt || !this.current()) return;
    this.busy = true;
    if (this.from === null)
      this.io.store({ kind: 'list', prefix: OPEN_JOB_PREFIX, after: this.after }, StorePriority.work, (r) =>
        this.onList(r),
      );
    else
      this.io.store(
        { kind: 'watch', prefix: OPEN_JOB_PREFIX, after: this.from, waitMs: WATCH_MS },
        StorePriority.work,
        (r) => this.onChanges(r),
        WATCH_MS + 3000,
      );
  }

  private again(): void {
    this.from = null;
    this.after = null;
    this.listedFrom = null;
    this.retryAt = addMs(this.io.now, RETRY_MS);
  }

  private onChanges(r: StoreReply): void {
    this.busy = false;
    // A job learned of too late may have been started by a later owner: it is read again, or left to that owner.
    if (r.kind !== 'changes' || !this.current()) return this.again();
    const dropped = new Set(r.deletes);
    for (const item of r.puts) if (!dropped.has(item.key)) this.jobs.adopt(item);
    this.from = r.revision;
    this.tick();
  }

  private onList(r: StoreReply): void {
    this.busy = false;
    if (r.kind !== 'items' || !this.current()) return this.again();
    this.listedFrom ??= r.revision;
    for (const item of r.items) this.jobs.adopt(item);
    if (r.more) this.after = r.items.at(-1)?.key ?? null;
    else {
      this.from = this.listedFrom;
      this.after = null;
      this.listedFrom = null;
    }
    this.tick();
  }
}
