// Usage accounting: totals of each team's ended and open jobs by class, which show operators the work that is
// served least. Totals of ended jobs are stored every few seconds, with many accounts in one value; open jobs
// are counted from their own records. A new leader continues from the stored totals; they lack only the jobs
// that ended after the last write.
import { addMs, type Instant, LONG_AGO, NO_REVISION, type Revision } from '../../types/index.ts';
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
import { byServedFraction, type UsageSummary, UsageSummaryBuilder } from './usage-summary.ts';

const WRITE_INTERVAL_MS = 10_000;
const RETRY_DELAY_MS = 1000;
const LOG_INTERVAL_MS = 30_000;
/** Maximum number of accounts in one log line: the least served ones. */
const MAX_LOGGED_ACCOUNTS = 40;
/**
 * Users choose the names of classes. Above this number of accounts, all further classes of a team are counted
 * in one account, so that many new names cannot displace existing ones.
 */
const MAX_ACCOUNTS = 2000;
const OTHER_CLASSES = '(others)';

/** A record in the store with the totals of several accounts. */
class AccountRecord {
  readonly names = new Set<AccountName>();
  /** Whether some totals have changed since the record was last written. */
  isDirty = false;
  constructor(readonly sharedRecord: SharedRecord) {}
}

/** Counts ended jobs by team and class, stores the totals, and logs which work is served least. */
export class UsageAccounting {
  private readonly totals = new Map<AccountName, WorkTotals>();
  private readonly records: AccountRecord[] = [];
  /** The record in which the totals of each account are stored. */
  private readonly recordByAccount = new Map<AccountName, AccountRecord>();
  private readonly maxAccountsPerRecord: number;
  /** Whether the totals stored in earlier terms have been read. */
  private loadState: 'not-read' | 'reading' | 'read' = 'not-read';
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

  /** Counts a job whose final state has been stored. */
  onJobClosed(job: Job, status: FinalStatus): void {
    const totals = this.totalsForUpdate(this.accountOf(job));
    totals.jobsEnded++;
    if (status !== 'done') return;
    totals.jobsDone++;
    totals.tasksDone += job.spec.tasks;
  }

  /** Counts a completed task that used `cpuS` CPU seconds. */
  onTaskCompleted(job: Job, cpuS: number): void {
    this.totalsForUpdate(this.accountOf(job)).cpuS += cpuS;
  }

  private accountOf({ spec }: Job): AccountName {
    const name = accountName(spec.team, spec.class);
    if (this.totals.has(name) || this.totals.size < MAX_ACCOUNTS) return name;
    return accountName(spec.team, OTHER_CLASSES);
  }

  /** The totals of the account, created if need be; marks the account's record to be written. */
  private totalsForUpdate(name: AccountName): WorkTotals {
    let totals = this.totals.get(name);
    if (totals === undefined) {
      totals = { jobsEnded: 0, jobsDone: 0, tasksDone: 0, cpuS: 0 };
      this.totals.set(name, totals);
    }
    const record = this.recordByAccount.get(name);
    if (record !== undefined) record.isDirty = true;
    return totals;
  }

  /** Reads, writes and logs totals when due. Cost: linear in the open jobs whenever the summary is logged. */
  tick(openJobs: Iterable<Job>): void {
    if (this.loadState !== 'read') return this.readStoredTotals();
    if (this.io.now >= this.nextWriteAt) {
      this.nextWriteAt = addMs(this.io.now, WRITE_INTERVAL_MS);
      this.writeChangedRecords();
    }
    if (this.io.now < this.nextLogAt) return;
    this.nextLogAt = addMs(this.io.now, LOG_INTERVAL_MS);
    this.logSummaries(this.summarize(openJobs));
  }

  // ---- stored totals

  private readStoredTotals(): void {
    if (this.loadState === 'reading' || this.io.now < this.nextReadAt) return;
    this.loadState = 'reading';
    this.io.sendStoreRequest(
      { kind: 'list', prefix: USAGE_PREFIX, after: null },
      StorePriority.work,
      (reply) => this.onStoredTotals(reply),
    );
  }

  private onStoredTotals(reply: StoreReply): void {
    this.loadState = reply.kind === 'items' ? 'read' : 'not-read';
    this.nextReadAt = addMs(this.io.now, RETRY_DELAY_MS);
    if (reply.kind === 'items') for (const item of reply.items) this.restore(item);
  }

  private restore(item: StoreItem): void {
    const record = new AccountRecord(new SharedRecord(this.writer, item.key, item.revision));
    this.records.push(record);
    for (const [name, stored] of decodeAccounts(item)) {
      const totals = this.totalsForUpdate(name);
      totals.jobsEnded += stored.jobsEnded;
      totals.jobsDone += stored.jobsDone;
      totals.tasksDone += stored.tasksDone;
      totals.cpuS += stored.cpuS;
      this.addToRecord(name, record);
    }
  }

  private addToRecord(name: AccountName, record: AccountRecord): void {
    record.names.add(name);
    if (!this.recordByAccount.has(name)) this.recordByAccount.set(name, record);
  }

  private writeChangedRecords(): void {
    for (const name of this.totals.keys()) {
      if (this.recordByAccount.has(name)) continue;
      const record = this.recordWithFreeSlot();
      this.addToRecord(name, record);
      record.isDirty = true;
    }
    for (const record of this.records)
      if (record.isDirty && !record.sharedRecord.isWriting) this.writeRecord(record);
  }

  /** A record that can take another account; created if all are full. */
  private recordWithFreeSlot(): AccountRecord {
    const record = this.records.find((candidate) => candidate.names.size < this.maxAccountsPerRecord);
    if (record !== undefined) return record;
    const key = `${USAGE_PREFIX}${this.term}.${this.records.length + 1}`;
    const created = new AccountRecord(new SharedRecord(this.writer, key, NO_REVISION));
    this.records.push(created);
    return created;
  }

  private writeRecord(record: AccountRecord): void {
    record.isDirty = false;
    const accounts: [AccountName, WorkTotals][] = [];
    for (const name of record.names)
      if (this.recordByAccount.get(name) === record) accounts.push([name, this.totals.get(name)!]);
    record.sharedRecord.write(encodeAccounts(accounts), WritePriority.sharedRecord, (isStored) => {
      if (!isStored) record.isDirty = true;
    });
  }

  // ---- summaries

  /** Summaries of the ended and open jobs of each team by class. Cost: linear in the open jobs. */
  summarize(openJobs: Iterable<Job>): UsageSummary[] {
    const builder = new UsageSummaryBuilder();
    for (const [name, totals] of this.totals) builder.addEnded(name, totals);
    for (const job of openJobs)
      if (!job.cancelled) builder.addOpen(this.accountOf(job), job, this.io.wallTime);
    return builder.build();
  }

  private logSummaries(summaries: UsageSummary[]): void {
    if (summaries.length === 0) return;
    const leastServed = summaries.sort(byServedFraction).slice(0, MAX_LOGGED_ACCOUNTS);
    const served = leastServed.map((summary) => ({
      ...summary,
      oldestWaitS: Math.round(summary.oldestWaitS),
      cpuS: Math.round(summary.cpuS),
    }));
    this.io.log('info', 'work served by team and class, least first', { served, of: summaries.length });
  }
}
