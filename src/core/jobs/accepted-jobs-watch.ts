// Finds jobs that other controllers accepted without the leader (fallback admission): the leader watches the
// stored records of open jobs and adds those that are not in its job table.
import { addMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { OPEN_JOB_PREFIX } from '../storage/keys.ts';
import type { JobTable } from './job-table.ts';

/** How long the store may delay its reply to a watch request until a record changes. */
const WATCH_WAIT_MS = 10_000;
/** Added to `WATCH_WAIT_MS` for the time after which a watch request counts as unanswered. */
const WATCH_REPLY_MARGIN_MS = 3000;
const RETRY_DELAY_MS = 500;

/** Watches the records of open jobs, and lists all of them again whenever changes may have been missed. */
export class AcceptedJobsWatch {
  private isRequestOpen = false;
  private retryAt: Instant = LONG_AGO;
  /** Changes after this revision are watched for; null while all records of open jobs are to be listed. */
  private watchAfter: Revision | null;
  /** Last key of the pages listed so far; null before the first page. */
  private lastListedKey: string | null = null;
  /** Revision of the first page, after which changes are watched for once the list is complete. */
  private listRevision: Revision | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly jobs: JobTable,
    /** The store's revision as of which the leader has read the records of open jobs. */
    readRevision: Revision,
    /** While true, no other controller can have become the leader and started the jobs. */
    private readonly mayAdopt: () => boolean,
  ) {
    this.watchAfter = readRevision;
  }

  /**
   * Sends the next request, unless one is open, the delay before a retry has not passed, or jobs may not be
   * adopted now.
   */
  tick(): void {
    if (this.isRequestOpen || this.io.now < this.retryAt || !this.mayAdopt()) return;
    this.isRequestOpen = true;
    if (this.watchAfter === null) this.list(this.lastListedKey);
    else this.watch(this.watchAfter);
  }

  private list(after: string | null): void {
    this.io.sendStoreRequest({ kind: 'list', prefix: OPEN_JOB_PREFIX, after }, StorePriority.work, (reply) =>
      this.onList(reply),
    );
  }

  private watch(after: Revision): void {
    this.io.sendStoreRequest(
      { kind: 'watch', prefix: OPEN_JOB_PREFIX, after, waitMs: WATCH_WAIT_MS },
      StorePriority.work,
      (reply) => this.onChanges(reply),
      WATCH_WAIT_MS + WATCH_REPLY_MARGIN_MS,
    );
  }

  private listAgainLater(): void {
    this.watchAfter = null;
    this.lastListedKey = null;
    this.listRevision = null;
    this.retryAt = addMs(this.io.now, RETRY_DELAY_MS);
  }

  private onChanges(reply: StoreReply): void {
    this.isRequestOpen = false;
    // Without the lease a later leader may have started these jobs already: they are not added. If this
    // controller is still the leader, it lists them again.
    if (reply.kind !== 'changes' || !this.mayAdopt()) return this.listAgainLater();
    const deleted = new Set(reply.deletes);
    for (const item of reply.puts) if (!deleted.has(item.key)) this.jobs.adopt(item);
    this.watchAfter = reply.revision;
    this.tick();
  }

  private onList(reply: StoreReply): void {
    this.isRequestOpen = false;
    if (reply.kind !== 'items' || !this.mayAdopt()) return this.listAgainLater();
    this.listRevision ??= reply.revision;
    for (const item of reply.items) this.jobs.adopt(item);
    if (reply.more) this.lastListedKey = reply.items.at(-1)?.key ?? null;
    else {
      this.watchAfter = this.listRevision;
      this.lastListedKey = null;
      this.listRevision = null;
    }
    this.tick();
  }
}
