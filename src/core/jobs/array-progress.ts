// Which tasks of open arrays are done, as bitmaps; those of many jobs share a page.
import { type Instant, type JobId, LONG_AGO, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreItem } from '../base/model.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { SharedRecord } from '../storage/shared-record.ts';
import type { Job } from './job.ts';

export const DONE_BITMAP_PREFIX = 'd/';
/** Parts are named by where they begin, in units of this; versions before 0.2 know whole units only. */
const CHUNK_TASKS = 32_768;
const FLUSH_MS = 500;
/** Part of the region's write budget for bitmaps; with many pages each is written less often. */
const WRITE_SHARE = 0.2;
const OVERHEAD = 128;
/** Longer than any job's id. */
const NAME_MAX = 140;

interface Unit {
  job: Job;
  from: number;
  size: number;
}

class ProgressPage {
  readonly units = new Map<string, Unit>();
  bytes = 0;
  /** Since when something in it waits to be written. */
  dirtySince: Instant | null = null;
  /** Pages that take over parts of this one: until they are on record it stays as it is. */
  heirs: ProgressPage[] = [];
  /** Written under this term, with all that was settled in it before. */
  written = false;
  constructor(readonly page: SharedRecord) {}
}

export class ArrayProgress {
  private readonly pages: ProgressPage[] = [];
  private readonly home = new Map<string, ProgressPage>();
  private made = 0;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly limits: Settings['store'];
  private readonly term: Revision;

  /** Bytes that a page may have, and tasks in one part of a bitmap. */
  private readonly room: number;
  private readonly partTasks: number;

  constructor(io: ControllerIo, store: FencedWriter, limits: Settings['store'], term: Revision) {
    this.io = io;
    this.writer = store;
    this.limits = limits;
    this.term = term;
    this.room = store.maxValueBytes - OVERHEAD;
    let part = CHUNK_TASKS;
    while (part > 64 && bitsSize(part) + NAME_MAX > this.room) part /= 2;
    this.partTasks = part;
  }

  /** A page written in an earlier term, perhaps by an earlier version and larger than one may be now. */
  restore(item: StoreItem, open: Map<JobId, Job>): void {
    const p = new ProgressPage(new SharedRecord(this.writer, item.key, item.revision));
    this.pages.push(p);
    const { b } = item.value as { b: Record<string, string> };
    for (const [name, bits] of Object.entries(b)) {
      const cut = name.lastIndexOf('/');
      const job = open.get(name.slice(0, cut) as JobId);
      if (job === undefined) {
        p.dirtySince = LONG_AGO;
        continue;
      }
      const from = Number(name.slice(cut + 1)) * CHUNK_TASKS;
      const bytes = Buffer.from(bits, 'base64');
      job.restoreDoneBits(from, bytes);
      const end = Math.min(from + bytes.length * 8, job.spec.tasks);
      // Two pages may hold a job's bits after a late write or a split: both keep them, so none is lost when one
      // of the two is written first. New results go with the first.
      for (let part = from; part < end; part += this.partTasks) this.settleIn(p, job, part);
    }
  }

  /** A task of the job is done: written soon. */
  markChanged(job: Job, index: number): void {
    const from = index - (index % this.partTasks);
    let p = this.home.get(partName(job, from));
    if (p === undefined) {
      p = this.pageFor(this.sizeOf(job, from));
      this.settleIn(p, job, from);
    }
    p.dirtySince ??= this.io.now;
  }

  private sizeOf(job: Job, from: number): number {
    const tasks = Math.min(this.partTasks, job.spec.tasks - from);
    return partName(job, from).length + 6 + bitsSize(tasks);
  }

  private settleIn(p: ProgressPage, job: Job, from: number): void {
    const name = partName(job, from);
    const size = this.sizeOf(job, from);
    p.units.set(name, { job, from, size });
    p.bytes += size;
    if (!this.home.has(name)) this.home.set(name, p);
  }

  private pageFor(size: number): ProgressPage {
    for (const p of this.pages) if (p.bytes + size <= this.room) return p;
    return this.newPage();
  }

  private newPage(): ProgressPage {
    const key = `${DONE_BITMAP_PREFIX}${this.term}.${++this.made}`;
    const p = new ProgressPage(new SharedRecord(this.writer, key, 0 as Revision));
    this.pages.push(p);
    return p;
  }

  /** The job is over: its bits go with the page's next write. */
  remove(job: Job): void {
    for (let from = 0; from < job.spec.tasks; from += this.partTasks) {
      const name = partName(job, from);
      const p = this.home.get(name);
      if (p === undefined) continue;
      this.home.delete(name);
      this.removeUnit(p, name);
      if (p.units.size === 0) p.dirtySince ??= this.io.now;
    }
  }

  private removeUnit(p: ProgressPage, name: string): void {
    p.bytes -= p.units.get(name)?.size ?? 0;
    p.units.delete(name);
  }

  tick(): void {
    const every = Math.max(FLUSH_MS, (this.pages.length * 1000) / (this.limits.writesPerS * WRITE_SHARE));
    for (const p of this.pages)
      if (p.dirtySince !== null && !p.page.isWriting && this.io.now - p.dirtySince >= every)
        if (this.fits(p)) this.flush(p);
  }

  /**
   * A page on record that is larger than a value may be by now is split before it is written again: first its
   * heirs are put on record with what it can no longer hold, then it is written without that. An owner that dies
   * between the two leaves the same bits twice.
   */
  private fits(p: ProgressPage): boolean {
    p.heirs = p.heirs.filter((h) => h.page.revision === 0 && h.units.size > 0);
    if (p.heirs.length > 0) return false;
    let bytes = 0;
    let heir: ProgressPage | null = null;
    for (const [name, u] of p.units) {
      if (u.job.isOver) {
        this.removeUnit(p, name);
        continue;
      }
      bytes += u.size;
      if (bytes <= this.room) continue;
      if (this.heldByAnother(p, name)) this.removeUnit(p, name);
      else {
        if (heir === null || heir.bytes + u.size > this.room) {
          heir = this.newPage();
          heir.dirtySince = LONG_AGO;
          p.heirs.push(heir);
        }
        this.home.set(name, heir);
        this.settleIn(heir, u.job, u.from);
      }
    }
    return p.heirs.length === 0;
  }

  /** Whether another page holds this part on record. */
  private heldByAnother(p: ProgressPage, name: string): boolean {
    const home = this.home.get(name);
    return home !== undefined && home !== p && home.written;
  }

  private flush(p: ProgressPage): void {
    p.dirtySince = null;
    const written: { job: Job; from: number; bits: Buffer }[] = [];
    const b: Record<string, string> = {};
    for (const [name, { job, from }] of p.units) {
      const bits = Buffer.from(job.doneBits(from, from + this.partTasks));
      written.push({ job, from, bits });
      b[name] = bits.toString('base64');
    }
    if (written.length === 0 && p.page.revision === 0) return;
    p.page.write(written.length === 0 ? null : { b }, WritePriority.sharedRecord, (ok) => {
      if (!ok) p.dirtySince ??= this.io.now;
      else {
        p.written = true;
        for (const w of written) w.job.markRecorded(w.from, w.bits);
      }
    });
  }
}

const partName = (job: Job, from: number): string => `${job.id}/${from / CHUNK_TASKS}`;

const bitsSize = (tasks: number): number => Math.ceil(Math.ceil(tasks / 8) / 3) * 4;
