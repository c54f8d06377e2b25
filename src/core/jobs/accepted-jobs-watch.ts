// Jobs that other controllers accepted without the leader (fallback admission): the leader watches the stored
// jobs and opens those that it does not know.
import { addMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { OPEN_JOB_PREFIX } from '../storage/keys.ts';
import type { JobTable } from './job-table.ts';

/** How long the store is asked to wait for a change. */
const WATCH_MS = 10_000;
/** How much longer its reply is waited for. */
const WATCH_REPLY_MARGIN_MS = 3000;
const RETRY_DELAY_MS = 500;

/** Watches the stored jobs, and lists all of them again whenever changes may have been missed. */
export class AcceptedJobsWatch {
  private isRequestOpen = false;
  private retryAt: Instant = LONG_AGO;
  /** Changes after this revision are watched for; null while all stored jobs are to be listed. */
  private watchFrom: Revision | null;
  /** The last key of the list read so far, and the store's revision when that was begun. */
  private listedUpTo: string | null = null;
  private listedFrom: Revision | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly jobs: JobTable,
    readAt: Revision,
    /** While true no other controller can have become the leader, and so none can have started the job. */
    private readonly mayAdopt: () => boolean,
  ) {
    this.watchFrom = readAt;
  }

  /** Sends the next request, if none is open. */
  tick(): void {
    if (this.isRequestOpen || this.io.now < this.retryAt || !this.mayAdopt()) return;
    this.isRequestOpen = true;
    if (this.watchFrom === null) this.list(this.listedUpTo);
    else this.watch(this.watchFrom);
  }

  private list(after: string | null): void {
    this.io.store({ kind: 'list', prefix: OPEN_JOB_PREFIX, after }, StorePriority.work, (reply) =>
      this.onList(reply),
    );
  }

  private watch(after: Revision): void {
    this.io.store(
      { kind: 'watch', prefix: OPEN_JOB_PREFIX, after, waitMs: WATCH_MS },
      StorePriority.work,
      (reply) => this.onChanges(reply),
      WATCH_MS + WATCH_REPLY_MARGIN_MS,
    );
  }

  private listAgainLater(): void {
    this.watchFrom = null;
    this.listedUpTo = null;
    this.listedFrom = null;
    this.retryAt = addMs(this.io.now, RETRY_DELAY_MS);
  }

  private onChanges(reply: StoreReply): void {
    this.isRequestOpen = false;
    // A later leader may have started a job that is found too late: it is listed again, or left to that
    // leader.
    if (reply.kind !== 'changes' || !this.mayAdopt()) return this.listAgainLater();
    const deleted = new Set(reply.deletes);
    for (const item of reply.puts) if (!deleted.has(item.key)) this.jobs.adopt(item);
    this.watchFrom = reply.revision;
    this.tick();
  }

  private onList(reply: StoreReply): void {
    this.isRequestOpen = false;
    if (reply.kind !== 'items' || !this.mayAdopt()) return this.listAgainLater();
    this.listedFrom ??= reply.revision;
    for (const item of reply.items) this.jobs.adopt(item);
    if (reply.more) this.listedUpTo = reply.items.at(-1)?.key ?? null;
    else {
      this.watchFrom = this.listedFrom;
      this.listedUpTo = null;
      this.listedFrom = null;
    }
    this.tick();
  }
}
