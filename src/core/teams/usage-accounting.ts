// What became of each team's work, by class, for operators who ask which work is served least. Totals of
// ended jobs are stored, rarely, in values that many accounts share; open jobs are counted from their own
// records. A new leader goes on from the stored totals: jobs that ended in the seconds since are missing from
// them, and nothing else.
import { addMs, type Instant, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreItem, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import type { Job } from '../jobs/job.ts';
import type { FinalStatus } from '../jobs/job-events.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { SharedRecord } from '../storage/shared-record.ts';
import {
  type AccountName,
  accountName,
  decodeAccounts,
  encodeAccounts,
  MAX_ACCOUNT_BYTES,
  USAGE_PREFIX,
  type WorkTotals,
} from './usage-record.ts';
import { byServed, type UsageSummary, UsageSummaryBuilder } from './usage-summary.ts';

const WRITE_INTERVAL_MS = 10_000;
const RETRY_DELAY_MS = 1000;
const LOG_INTERVAL_MS = 30_000;
/** Accounts in one log line: those least served. */
const MAX_LOGGED_ACCOUNTS = 40;
/**
 * Classes are named by users: above this number of accounts all further classes of a team are counted
 * together, so that no flood of new names displaces known ones.
 */
const MAX_ACCOUNTS = 2000;
const OTHER_CLASSES = '(others)';

/** A stored value with the totals of some accounts. */
class AccountRecord {
  readonly names = new Set<AccountName>();
  isDirty = false;
  constructor(readonly shared: SharedRecord) {}
}

/** Counts ended work by team and class, stores the totals, and logs which work is served least. */
export class UsageAccounting {
  private readonly totals = new Map<AccountName, WorkTotals>();
  private readonly records: AccountRecord[] = [];
  /** The record in which an account's totals are stored. */
  private readonly recordOfAccount = new Map<AccountName, AccountRecord>();
  private readonly maxAccountsPerRecord: number;
  /** Whether the totals of earlier terms have been read. */
  private loading: 'not-read' | 'reading' | 'read' = 'not-read';
  private nextReadAt: Instant = LONG_AGO;
  private nextWriteAt: Instant = LONG_AGO;
  private nextLogAt: Instant;

  constructor(
    private readonly io: ControllerIo,
    private readonly writer: FencedWriter,
    private readonly term: Revision,
  ) {
    this.maxAccountsPerRecord = Math.max(1, Math.floor(writer.maxValueBytes / MAX_ACCOUNT_BYTES));
    this.nextLogAt = addMs(io.now, LOG_INTERVAL_MS);
  }

  /** A job's final state is stored. */
  onJobClosed(job: Job, status: FinalStatus): void {
    const totals = this.totalsToChange(this.accountOf(job));
    totals.jobsEnded++;
    if (status !== 'done') return;
    totals.jobsDone++;
    totals.tasksDone += job.spec.tasks;
  }

  /** A task has completed after using so many CPU seconds. */
  onTaskCompleted(job: Job, cpuS: number): void {
    this.totalsToChange(this.accountOf(job)).cpuS += cpuS;
  }

  private accountOf({ spec }: Job): AccountName {
    const name = accountName(spec.team, spec.class);
    if (this.totals.has(name) || this.totals.size < MAX_ACCOUNTS) return name;
    return accountName(spec.team, OTHER_CLASSES);
  }

  private totalsToChange(name: AccountName): WorkTotals {
    let totals = this.totals.get(name);
    if (totals === undefined) {
      totals = { jobsEnded: 0, jobsDone: 0, tasksDone: 0, cpuS: 0 };
      this.totals.set(name, totals);
    }
    const record = this.recordOfAccount.get(name);
    if (record !== undefined) record.isDirty = true;
    return totals;
  }

  /** Reads, writes and logs what is due. Work: the open jobs, as often as it is logged. */
  tick(openJobs: Iterable<Job>): void {
    if (this.loading !== 'read') return this.read();
    if (this.io.now >= this.nextWriteAt) {
      this.nextWriteAt = addMs(this.io.now, WRITE_INTERVAL_MS);
      this.write();
    }
    if (this.io.now < this.nextLogAt) return;
    this.nextLogAt = addMs(this.io.now, LOG_INTERVAL_MS);
    this.log(this.summarize(openJobs));
  }

  // ---- stored totals

  private read(): void {
    if (this.loading === 'reading' || this.io.now < this.nextReadAt) return;
    this.loading = 'reading';
    this.io.store({ kind: 'list', prefix: USAGE_PREFIX, after: null }, StorePriority.work, (reply) =>
      this.onRead(reply),
    );
  }

  private onRead(reply: StoreReply): void {
    this.loading = reply.kind === 'items' ? 'read' : 'not-read';
    this.nextReadAt = addMs(this.io.now, RETRY_DELAY_MS);
    if (reply.kind === 'items') for (const item of reply.items) this.restore(item);
  }

  private restore(item: StoreItem): void {
    const record = new AccountRecord(new SharedRecord(this.writer, item.key, item.revision));
    this.records.push(record);
    for (const [name, stored] of decodeAccounts(item)) {
      const totals = this.totalsToChange(name);
      totals.jobsEnded += stored.jobsEnded;
      totals.jobsDone += stored.jobsDone;
      totals.tasksDone += stored.tasksDone;
      totals.cpuS += stored.cpuS;
      this.addToRecord(name, record);
    }
  }

  private addToRecord(name: AccountName, record: AccountRecord): void {
    record.names.add(name);
    if (!this.recordOfAccount.has(name)) this.recordOfAccount.set(name, record);
  }

  private write(): void {
    for (const name of this.totals.keys()) {
      if (this.recordOfAccount.has(name)) continue;
      const record = this.recordWithSpace();
      this.addToRecord(name, record);
      record.isDirty = true;
    }
    for (const record of this.records)
      if (record.isDirty && !record.shared.isWriting) this.writeRecord(record);
  }

  private recordWithSpace(): AccountRecord {
    const record = this.records.find((candidate) => candidate.names.size < this.maxAccountsPerRecord);
    if (record !== undefined) return record;
    const key = `${USAGE_PREFIX}${this.term}.${this.records.length + 1}`;
    const created = new AccountRecord(new SharedRecord(this.writer, key, 0 as Revision));
    this.records.push(created);
    return created;
  }

  private writeRecord(record: AccountRecord): void {
    record.isDirty = false;
    const accounts: [AccountName, WorkTotals][] = [];
    for (const name of record.names)
      if (this.recordOfAccount.get(name) === record) accounts.push([name, this.totals.get(name)!]);
    record.shared.write(encodeAccounts(accounts), WritePriority.sharedRecord, (ok) => {
      if (!ok) record.isDirty = true;
    });
  }

  // ---- summaries

  /** The work of each team by class, ended and open. Work: the open jobs. */
  summarize(openJobs: Iterable<Job>): UsageSummary[] {
    const builder = new UsageSummaryBuilder();
    for (const [name, totals] of this.totals) builder.addEnded(name, totals);
    for (const job of openJobs)
      if (!job.cancelled) builder.addOpen(this.accountOf(job), job, this.io.wallTime);
    return builder.build();
  }

  private log(summaries: UsageSummary[]): void {
    if (summaries.length === 0) return;
    const leastServed = summaries.sort(byServed).slice(0, MAX_LOGGED_ACCOUNTS);
    const served = leastServed.map((summary) => ({
      ...summary,
      oldestWaitS: Math.round(summary.oldestWaitS),
      cpuS: Math.round(summary.cpuS),
    }));
    this.io.log('info', 'work served by team and class, least first', { served, of: summaries.length });
  }
}
