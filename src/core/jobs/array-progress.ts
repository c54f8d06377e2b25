// Which tasks of open arrays are done, stored as bitmaps. Many jobs share a stored value ("page"), because changes a
// second are scarce; a long bitmap is cut into parts, each of which may be on another page.
import { type Instant, type JobId, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreItem } from '../base/model.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { SharedRecord } from '../storage/shared-record.ts';
import {
  BITMAP_RECORD_OVERHEAD_BYTES,
  BITMAP_UNIT_TASKS,
  DONE_BITMAP_PREFIX,
  decodeDoneBitmaps,
  encodeDoneBitmaps,
  encodedBitsBytes,
  MAX_PART_NAME_BYTES,
  partBytes,
  partName,
} from './done-bitmap-record.ts';
import type { Job } from './job.ts';

export { DONE_BITMAP_PREFIX } from './done-bitmap-record.ts';

/** A changed page is written at the earliest after this time. */
const MIN_WRITE_INTERVAL_MS = 500;
/** Fraction of the shard's write budget for bitmaps; with many pages each is written less often. */
const WRITE_BUDGET_FRACTION = 0.2;
/** Parts are never made smaller than this, however little a value may hold. */
const MIN_PART_TASKS = 64;

/** A part of a job's bitmap, on a page. */
interface BitmapPart {
  job: Job;
  /** Its first task. */
  from: number;
  /** Bytes that it takes in the stored value. */
  bytes: number;
}

class BitmapPage {
  /** By their names; see `partName`. */
  readonly parts = new Map<string, BitmapPart>();
  /** Sum of the parts' bytes. */
  bytes = 0;
  /** Since when a change has been waiting to be written; null if none has. */
  dirtySince: Instant | null = null;
  /** Pages to which parts of this one move: until those are stored, this one is not written without them. */
  successors: BitmapPage[] = [];
  /** Stored under this term, with all parts that were on it then. */
  isStored = false;
  constructor(readonly record: SharedRecord) {}

  add(name: string, part: BitmapPart): void {
    this.parts.set(name, part);
    this.bytes += part.bytes;
  }

  remove(name: string): void {
    this.bytes -= this.parts.get(name)?.bytes ?? 0;
    this.parts.delete(name);
  }
}

/** Stores which tasks are done, within a fraction of the write budget. */
export class ArrayProgress {
  private readonly pages: BitmapPage[] = [];
  /** The page on which a part's new results are stored, by the part's name. */
  private readonly pageOfPart = new Map<string, BitmapPage>();
  private pagesCreated = 0;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly limits: Settings['store'];
  private readonly term: Revision;
  /** Bytes that the parts of one page may take. */
  private readonly maxPageBytes: number;
  /** Number of tasks in one part of a bitmap. */
  private readonly partTasks: number;

  constructor(io: ControllerIo, writer: FencedWriter, limits: Settings['store'], term: Revision) {
    this.io = io;
    this.writer = writer;
    this.limits = limits;
    this.term = term;
    this.maxPageBytes = writer.maxValueBytes - BITMAP_RECORD_OVERHEAD_BYTES;
    this.partTasks = largestPartTasks(this.maxPageBytes);
  }

  /** Takes over a page of an earlier term, perhaps written by an earlier version and larger than one may be now. */
  restore(item: StoreItem, openJobs: Map<JobId, Job>): void {
    const page = new BitmapPage(new SharedRecord(this.writer, item.key, item.revision));
    this.pages.push(page);
    for (const { jobId, from, bits } of decodeDoneBitmaps(item)) {
      const job = openJobs.get(jobId);
      if (job === undefined) {
        page.dirtySince = LONG_AGO;
        continue;
      }
      job.restoreDoneBits(from, bits);
      const end = Math.min(from + bits.length * 8, job.spec.tasks);
      // Two pages may hold the same bits of a job, after a late write or a split: both keep them, so that none is lost when
      // one of the two is written first. New results go to the first.
      for (let start = from; start < end; start += this.partTasks) this.addPart(page, job, start);
    }
  }

  /** A task of the job is done: its bit is stored with the next write of its page. */
  markChanged(job: Job, index: number): void {
    const from = index - (index % this.partTasks);
    let page = this.pageOfPart.get(partName(job.id, from));
    if (page === undefined) {
      page = this.pageWithSpace(this.bytesOfPart(job, from));
      this.addPart(page, job, from);
    }
    page.dirtySince ??= this.io.now;
  }

  private bytesOfPart(job: Job, from: number): number {
    const tasks = Math.min(this.partTasks, job.spec.tasks - from);
    return partBytes(partName(job.id, from), tasks);
  }

  private addPart(page: BitmapPage, job: Job, from: number): void {
    const name = partName(job.id, from);
    page.add(name, { job, from, bytes: this.bytesOfPart(job, from) });
    if (!this.pageOfPart.has(name)) this.pageOfPart.set(name, page);
  }

  private pageWithSpace(bytes: number): BitmapPage {
    for (const page of this.pages) if (page.bytes + bytes <= this.maxPageBytes) return page;
    return this.createPage();
  }

  private createPage(): BitmapPage {
    const key = `${DONE_BITMAP_PREFIX}${this.term}.${++this.pagesCreated}`;
    const page = new BitmapPage(new SharedRecord(this.writer, key, 0 as Revision));
    this.pages.push(page);
    return page;
  }

  /** The job is over: its bits are dropped with the next writes of their pages. */
  remove(job: Job): void {
    for (let from = 0; from < job.spec.tasks; from += this.partTasks) {
      const name = partName(job.id, from);
      const page = this.pageOfPart.get(name);
      if (page === undefined) continue;
      this.pageOfPart.delete(name);
      page.remove(name);
      if (page.parts.size === 0) page.dirtySince ??= this.io.now;
    }
  }

  /** Writes the pages that are due. Work: the pages. */
  tick(): void {
    const intervalMs = Math.max(
      MIN_WRITE_INTERVAL_MS,
      (this.pages.length * 1000) / (this.limits.writesPerS * WRITE_BUDGET_FRACTION),
    );
    for (const page of this.pages) if (this.isDue(page, intervalMs) && this.makeFit(page)) this.write(page);
  }

  private isDue(page: BitmapPage, intervalMs: number): boolean {
    if (page.dirtySince === null || page.record.isWriting) return false;
    return this.io.now - page.dirtySince >= intervalMs;
  }

  /**
   * Drops parts of ended jobs, and splits a stored page that is larger than a value may be by now: first the parts for
   * which it has no space are stored on its successors, then it is written without them. A leader that fails between the two
   * leaves the same bits twice. Returns whether the page can be written now.
   */
  private makeFit(page: BitmapPage): boolean {
    page.successors = page.successors.filter((next) => next.record.revision === 0 && next.parts.size > 0);
    if (page.successors.length > 0) return false;
    let bytes = 0;
    for (const [name, part] of page.parts) {
      if (part.job.isOver) {
        page.remove(name);
        continue;
      }
      bytes += part.bytes;
      if (bytes <= this.maxPageBytes) continue;
      if (this.isStoredElsewhere(page, name)) page.remove(name);
      else this.moveToSuccessor(page, name, part);
    }
    return page.successors.length === 0;
  }

  private moveToSuccessor(page: BitmapPage, name: string, part: BitmapPart): void {
    let successor = page.successors.at(-1);
    if (successor === undefined || successor.bytes + part.bytes > this.maxPageBytes) {
      successor = this.createPage();
      successor.dirtySince = LONG_AGO;
      page.successors.push(successor);
    }
    this.pageOfPart.set(name, successor);
    this.addPart(successor, part.job, part.from);
  }

  private isStoredElsewhere(page: BitmapPage, name: string): boolean {
    const other = this.pageOfPart.get(name);
    return other !== undefined && other !== page && other.isStored;
  }

  private write(page: BitmapPage): void {
    page.dirtySince = null;
    const written = [...page.parts.values()].map(({ job, from }) => ({
      job,
      jobId: job.id,
      from,
      // A copy: more tasks may be done before the write has ended.
      bits: job.doneBits(from, from + this.partTasks).slice(),
    }));
    if (written.length === 0 && page.record.revision === 0) return;
    const value = written.length === 0 ? null : encodeDoneBitmaps(written);
    page.record.write(value, WritePriority.sharedRecord, (ok) => {
      if (!ok) {
        page.dirtySince ??= this.io.now;
        return;
      }
      page.isStored = true;
      for (const { job, from, bits } of written) job.markRecorded(from, bits);
    });
  }
}

/** The most tasks that one part of a bitmap may have for a page to hold it. */
function largestPartTasks(maxPageBytes: number): number {
  let tasks = BITMAP_UNIT_TASKS;
  while (tasks > MIN_PART_TASKS && encodedBitsBytes(tasks) + MAX_PART_NAME_BYTES > maxPageBytes) tasks /= 2;
  return tasks;
}
