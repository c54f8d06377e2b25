// Which tasks of open arrays are done, stored as bitmaps. Many jobs share a record, because changes a second
// are scarce; a long bitmap is cut into parts, each of which may be in another record.
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

/** A changed record is written at the earliest after this time. */
const MIN_WRITE_INTERVAL_MS = 500;
/** Fraction of the shard's write budget for bitmaps; with many records each is written less often. */
const WRITE_BUDGET_FRACTION = 0.2;
/** Parts are never made smaller than this, however little a value may hold. */
const MIN_PART_TASKS = 64;

/** A part of a job's bitmap, in a record. */
interface BitmapPart {
  job: Job;
  /** Its first task. */
  from: number;
  /** Bytes that it takes in the stored value. */
  bytes: number;
}

class BitmapRecord {
  /** By their names; see `partName`. */
  readonly parts = new Map<string, BitmapPart>();
  /** Sum of the parts' bytes. */
  bytes = 0;
  /** Since when a change has been waiting to be written; null if none has. */
  dirtySince: Instant | null = null;
  /** Records to which parts of this one move: until those are stored, this one is not written without them. */
  successors: BitmapRecord[] = [];
  /** Stored under this term, with all parts that were on it then. */
  isStored = false;
  constructor(readonly shared: SharedRecord) {}

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
  private readonly records: BitmapRecord[] = [];
  /** The record in which a part's new results are stored, by the part's name. */
  private readonly recordOfPart = new Map<string, BitmapRecord>();
  private recordsCreated = 0;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly limits: Settings['store'];
  private readonly term: Revision;
  /** Bytes that the parts of one record may take. */
  private readonly maxRecordBytes: number;
  /** Number of tasks in one part of a bitmap. */
  private readonly partTasks: number;

  constructor(io: ControllerIo, writer: FencedWriter, limits: Settings['store'], term: Revision) {
    this.io = io;
    this.writer = writer;
    this.limits = limits;
    this.term = term;
    this.maxRecordBytes = writer.maxValueBytes - BITMAP_RECORD_OVERHEAD_BYTES;
    this.partTasks = largestPartTasks(this.maxRecordBytes);
  }

  /**
   * Takes over a record of an earlier term, perhaps written by an earlier version and larger than one may be
   * now.
   */
  restore(item: StoreItem, openJobs: Map<JobId, Job>): void {
    const record = new BitmapRecord(new SharedRecord(this.writer, item.key, item.revision));
    this.records.push(record);
    for (const { jobId, from, bits } of decodeDoneBitmaps(item)) {
      const job = openJobs.get(jobId);
      if (job === undefined) {
        record.dirtySince = LONG_AGO;
        continue;
      }
      job.restoreDoneBits(from, bits);
      const end = Math.min(from + bits.length * 8, job.spec.tasks);
      // Two records may hold the same bits of a job, after a late write or a split: both keep them, so that
      // none is lost when one of the two is written first. New results go to the first.
      for (let start = from; start < end; start += this.partTasks) this.addPart(record, job, start);
    }
  }

  /** A task of the job is done: its bit is stored with the next write of its record. */
  markChanged(job: Job, index: number): void {
    const from = index - (index % this.partTasks);
    let record = this.recordOfPart.get(partName(job.id, from));
    if (record === undefined) {
      record = this.recordWithSpace(this.bytesOfPart(job, from));
      this.addPart(record, job, from);
    }
    record.dirtySince ??= this.io.now;
  }

  private bytesOfPart(job: Job, from: number): number {
    const tasks = Math.min(this.partTasks, job.spec.tasks - from);
    return partBytes(partName(job.id, from), tasks);
  }

  private addPart(record: BitmapRecord, job: Job, from: number): void {
    const name = partName(job.id, from);
    record.add(name, { job, from, bytes: this.bytesOfPart(job, from) });
    if (!this.recordOfPart.has(name)) this.recordOfPart.set(name, record);
  }

  private recordWithSpace(bytes: number): BitmapRecord {
    for (const record of this.records) if (record.bytes + bytes <= this.maxRecordBytes) return record;
    return this.createRecord();
  }

  private createRecord(): BitmapRecord {
    const key = `${DONE_BITMAP_PREFIX}${this.term}.${++this.recordsCreated}`;
    const record = new BitmapRecord(new SharedRecord(this.writer, key, 0 as Revision));
    this.records.push(record);
    return record;
  }

  /** The job is over: its bits are dropped with the next writes of their records. */
  remove(job: Job): void {
    for (let from = 0; from < job.spec.tasks; from += this.partTasks) {
      const name = partName(job.id, from);
      const record = this.recordOfPart.get(name);
      if (record === undefined) continue;
      this.recordOfPart.delete(name);
      record.remove(name);
      if (record.parts.size === 0) record.dirtySince ??= this.io.now;
    }
  }

  /** Writes the records that are due. Work: the records. */
  tick(): void {
    const intervalMs = Math.max(
      MIN_WRITE_INTERVAL_MS,
      (this.records.length * 1000) / (this.limits.writesPerS * WRITE_BUDGET_FRACTION),
    );
    for (const record of this.records)
      if (this.isDue(record, intervalMs) && this.makeFit(record)) this.write(record);
  }

  private isDue(record: BitmapRecord, intervalMs: number): boolean {
    if (record.dirtySince === null || record.shared.isWriting) return false;
    return this.io.now - record.dirtySince >= intervalMs;
  }

  /**
   * Drops parts of ended jobs, and splits a stored record that is larger than a value may be by now: first
   * the parts for which it has no space are stored on its successors, then it is written without them. A
   * leader that fails between the two leaves the same bits twice. Returns whether the record can be written
   * now.
   */
  private makeFit(record: BitmapRecord): boolean {
    record.successors = record.successors.filter((next) => next.shared.revision === 0 && next.parts.size > 0);
    if (record.successors.length > 0) return false;
    let bytes = 0;
    for (const [name, part] of record.parts) {
      if (part.job.isOver) {
        record.remove(name);
        continue;
      }
      bytes += part.bytes;
      if (bytes <= this.maxRecordBytes) continue;
      if (this.isStoredElsewhere(record, name)) record.remove(name);
      else this.moveToSuccessor(record, name, part);
    }
    return record.successors.length === 0;
  }

  private moveToSuccessor(record: BitmapRecord, name: string, part: BitmapPart): void {
    let successor = record.successors.at(-1);
    if (successor === undefined || successor.bytes + part.bytes > this.maxRecordBytes) {
      successor = this.createRecord();
      successor.dirtySince = LONG_AGO;
      record.successors.push(successor);
    }
    this.recordOfPart.set(name, successor);
    this.addPart(successor, part.job, part.from);
  }

  private isStoredElsewhere(record: BitmapRecord, name: string): boolean {
    const other = this.recordOfPart.get(name);
    return other !== undefined && other !== record && other.isStored;
  }

  private write(record: BitmapRecord): void {
    record.dirtySince = null;
    const written = [...record.parts.values()].map(({ job, from }) => ({
      job,
      jobId: job.id,
      from,
      // A copy: more tasks may be done before the write has ended.
      bits: job.doneBits(from, from + this.partTasks).slice(),
    }));
    if (written.length === 0 && record.shared.revision === 0) return;
    const value = written.length === 0 ? null : encodeDoneBitmaps(written);
    record.shared.write(value, WritePriority.sharedRecord, (ok) => {
      if (!ok) {
        record.dirtySince ??= this.io.now;
        return;
      }
      record.isStored = true;
      for (const { job, from, bits } of written) job.markRecorded(from, bits);
    });
  }
}

/** The most tasks that one part of a bitmap may have for a record to hold it. */
function largestPartTasks(maxRecordBytes: number): number {
  let tasks = BITMAP_UNIT_TASKS;
  while (tasks > MIN_PART_TASKS && encodedBitsBytes(tasks) + MAX_PART_NAME_BYTES > maxRecordBytes) tasks /= 2;
  return tasks;
}
