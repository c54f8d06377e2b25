// Stores which tasks of open array jobs are done, as bitmaps. Many jobs share a record, because the store
// limits the number of changes per second; a long bitmap is divided into segments, each of which may be in
// another record.
import { type Instant, type JobId, LONG_AGO, NO_REVISION, type Revision } from '../../types/index.ts';
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
  MAX_SEGMENT_NAME_BYTES,
  segmentBytes,
  segmentName,
} from './done-bitmap-record.ts';
import type { Job } from './job.ts';

export { DONE_BITMAP_PREFIX } from './done-bitmap-record.ts';

/** Minimum time from the first unwritten change of a record to its next write. */
const MIN_WRITE_INTERVAL_MS = 500;
/**
 * Fraction of the shard's write budget that bitmaps may use: the more records there are, the less often each
 * of them is written.
 */
const WRITE_BUDGET_FRACTION = 0.2;
/** Minimum number of tasks in a segment, however low the size limit of a value is. */
const MIN_SEGMENT_TASKS = 64;

/** A segment of a job's bitmap, in a record. */
interface BitmapSegment {
  job: Job;
  /** Index of the task that the first bit stands for. */
  firstTask: number;
  /** Bytes that the segment takes in the stored value. */
  bytes: number;
}

class BitmapRecord {
  /** Segments by name; see `segmentName`. */
  readonly segments = new Map<string, BitmapSegment>();
  /** Total bytes of the segments. */
  bytes = 0;
  /** Time of the first change that is not written yet; null if there is none. */
  dirtySince: Instant | null = null;
  /**
   * Records to which segments of this one are moved. This record is not written before they are stored, so
   * that the moved segments are in the store at all times.
   */
  successors: BitmapRecord[] = [];
  /** The record was written under this term, with all segments that it had at that time. */
  isStored = false;
  constructor(readonly shared: SharedRecord) {}

  add(name: string, segment: BitmapSegment): void {
    this.segments.set(name, segment);
    this.bytes += segment.bytes;
  }

  remove(name: string): void {
    this.bytes -= this.segments.get(name)?.bytes ?? 0;
    this.segments.delete(name);
  }
}

/** Stores which tasks of open jobs are done, within a fraction of the write budget. */
export class ArrayProgress {
  private readonly records: BitmapRecord[] = [];
  /** The record in which new results of a segment are stored, by the segment's name. */
  private readonly recordBySegment = new Map<string, BitmapRecord>();
  private recordsCreated = 0;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly limits: Settings['store'];
  private readonly term: Revision;
  /** Maximum total bytes of the segments of one record. */
  private readonly maxRecordBytes: number;
  /** Number of tasks in each segment of a bitmap. */
  private readonly tasksPerSegment: number;

  constructor(io: ControllerIo, writer: FencedWriter, limits: Settings['store'], term: Revision) {
    this.io = io;
    this.writer = writer;
    this.limits = limits;
    this.term = term;
    this.maxRecordBytes = writer.maxValueBytes - BITMAP_RECORD_OVERHEAD_BYTES;
    this.tasksPerSegment = largestTasksPerSegment(this.maxRecordBytes);
  }

  /**
   * Loads a record that was written under an earlier term. If an earlier version wrote it, it may be larger
   * than the current limit allows.
   */
  restore(item: StoreItem, openJobs: Map<JobId, Job>): void {
    const record = new BitmapRecord(new SharedRecord(this.writer, item.key, item.revision));
    this.records.push(record);
    for (const { jobId, firstTask, bits } of decodeDoneBitmaps(item)) {
      const job = openJobs.get(jobId);
      if (job === undefined) {
        record.dirtySince = LONG_AGO;
        continue;
      }
      job.restoreDoneBits(firstTask, bits);
      const end = Math.min(firstTask + bits.length * 8, job.spec.tasks);
      // After a write that was executed late, or a split, two records may hold the same bits of a job. Both
      // keep them, so that none is lost whichever of the two is written first; new results are stored in the
      // record that was loaded first.
      for (let start = firstTask; start < end; start += this.tasksPerSegment)
        this.addSegment(record, job, start);
    }
  }

  /** Schedules a write of the record that holds the bit of a task that is done. */
  markChanged(job: Job, index: number): void {
    const firstTask = index - (index % this.tasksPerSegment);
    let record = this.recordBySegment.get(segmentName(job.id, firstTask));
    if (record === undefined) {
      record = this.findOrCreateRecordWithSpace(this.bytesOfSegment(job, firstTask));
      this.addSegment(record, job, firstTask);
    }
    record.dirtySince ??= this.io.now;
  }

  private bytesOfSegment(job: Job, firstTask: number): number {
    const tasks = Math.min(this.tasksPerSegment, job.spec.tasks - firstTask);
    return segmentBytes(segmentName(job.id, firstTask), tasks);
  }

  private addSegment(record: BitmapRecord, job: Job, firstTask: number): void {
    const name = segmentName(job.id, firstTask);
    record.add(name, { job, firstTask, bytes: this.bytesOfSegment(job, firstTask) });
    if (!this.recordBySegment.has(name)) this.recordBySegment.set(name, record);
  }

  private findOrCreateRecordWithSpace(bytes: number): BitmapRecord {
    for (const record of this.records) if (record.bytes + bytes <= this.maxRecordBytes) return record;
    return this.createRecord();
  }

  private createRecord(): BitmapRecord {
    const key = `${DONE_BITMAP_PREFIX}${this.term}.${++this.recordsCreated}`;
    const record = new BitmapRecord(new SharedRecord(this.writer, key, NO_REVISION));
    this.records.push(record);
    return record;
  }

  /** Removes the bitmap of a job that has ended; the next writes of its records are made without it. */
  remove(job: Job): void {
    for (let firstTask = 0; firstTask < job.spec.tasks; firstTask += this.tasksPerSegment) {
      const name = segmentName(job.id, firstTask);
      const record = this.recordBySegment.get(name);
      if (record === undefined) continue;
      this.recordBySegment.delete(name);
      record.remove(name);
      if (record.segments.size === 0) record.dirtySince ??= this.io.now;
    }
  }

  /** Writes the records that are due; the cost is proportional to the number of records. */
  tick(): void {
    const intervalMs = Math.max(
      MIN_WRITE_INTERVAL_MS,
      (this.records.length * 1000) / (this.limits.writesPerS * WRITE_BUDGET_FRACTION),
    );
    for (const record of this.records)
      if (this.isDue(record, intervalMs) && this.fitToMaxSize(record)) this.write(record);
  }

  private isDue(record: BitmapRecord, intervalMs: number): boolean {
    if (record.dirtySince === null || record.shared.isWriting) return false;
    return this.io.now - record.dirtySince >= intervalMs;
  }

  /**
   * Drops segments of ended jobs, and splits a record that is larger than the current limit of a value: the
   * segments beyond the limit are first stored in successor records, and only then is the record written
   * without them. If the leader fails between the two writes, these segments are stored twice. Returns
   * whether the record can be written now.
   */
  private fitToMaxSize(record: BitmapRecord): boolean {
    record.successors = record.successors.filter(
      (next) => next.shared.revision === 0 && next.segments.size > 0,
    );
    if (record.successors.length > 0) return false;
    let bytes = 0;
    for (const [name, segment] of record.segments) {
      if (segment.job.isOver) {
        record.remove(name);
        continue;
      }
      bytes += segment.bytes;
      if (bytes <= this.maxRecordBytes) continue;
      if (this.isStoredElsewhere(record, name)) record.remove(name);
      else this.moveToSuccessor(record, name, segment);
    }
    return record.successors.length === 0;
  }

  private moveToSuccessor(record: BitmapRecord, name: string, segment: BitmapSegment): void {
    let successor = record.successors.at(-1);
    if (successor === undefined || successor.bytes + segment.bytes > this.maxRecordBytes) {
      successor = this.createRecord();
      successor.dirtySince = LONG_AGO;
      record.successors.push(successor);
    }
    this.recordBySegment.set(name, successor);
    this.addSegment(successor, segment.job, segment.firstTask);
  }

  private isStoredElsewhere(record: BitmapRecord, name: string): boolean {
    const other = this.recordBySegment.get(name);
    return other !== undefined && other !== record && other.isStored;
  }

  private write(record: BitmapRecord): void {
    record.dirtySince = null;
    const written = [...record.segments.values()].map(({ job, firstTask }) => ({
      job,
      jobId: job.id,
      firstTask,
      // Copied, because more tasks may be done before the write has ended.
      bits: job.doneBits(firstTask, firstTask + this.tasksPerSegment).slice(),
    }));
    if (written.length === 0 && record.shared.revision === 0) return;
    const value = written.length === 0 ? null : encodeDoneBitmaps(written);
    record.shared.write(value, WritePriority.sharedRecord, (ok) => {
      if (!ok) {
        record.dirtySince ??= this.io.now;
        return;
      }
      record.isStored = true;
      for (const { job, firstTask, bits } of written) job.markRecorded(firstTask, bits);
    });
  }
}

/** Halves the tasks per segment until a segment fits into a record, but not below `MIN_SEGMENT_TASKS`. */
function largestTasksPerSegment(maxRecordBytes: number): number {
  let tasks = BITMAP_UNIT_TASKS;
  while (tasks > MIN_SEGMENT_TASKS && encodedBitsBytes(tasks) + MAX_SEGMENT_NAME_BYTES > maxRecordBytes)
    tasks /= 2;
  return tasks;
}
