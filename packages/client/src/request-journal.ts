// A write-ahead journal of what a script has asked for, so that the same script, started again after it was
// killed, resumes with the same ids. Entries that come together are written and synced together (group
// commit).
import { SwiftfordError } from '../../../src/types/errors.ts';
import { DamagedFrameError, encodeFrame, HEADER, readFrames } from './journal-frames.ts';
import type { JournalEntry, JournaledJob } from './session-messages.ts';
import { JournalError } from './types.ts';

/**
 * The file as the journal uses it; journal-file.ts has the real one. Errors are those of Node, with their
 * `code`.
 */
export interface JournalFile {
  /** Name for error messages. */
  readonly name: string;
  /** Empty if there is no such file. */
  read(): Promise<Buffer>;
  /** Writes all bytes at the end. */
  append(bytes: Buffer): Promise<void>;
  /** Returns when what was appended outlives a power failure. */
  sync(): Promise<void>;
  /** Cuts the file off after `length` bytes. */
  truncate(length: number): Promise<void>;
  /** Replaces the contents atomically and durably. */
  replace(bytes: Buffer): Promise<void>;
  /** Throws if this process may no longer write (another one has taken the file over). */
  check(): void;
  /** Closes the file and gives up its lock. */
  close(): Promise<void>;
}

/** Found at the end of the file: the start of a record that was never reported as written. It was cut off. */
export interface TornTail {
  /** Where it began, in bytes. */
  offset: number;
  /** How long it was. */
  bytes: number;
}

interface PendingEntry {
  readonly entry: JournalEntry;
  readonly onPersisted: () => void;
}

/** From this size on, a file of which less than a third is live data is compacted. */
const COMPACT_BYTES = 1 << 20;
const MAX_DEAD_FACTOR = 3;
/** Jobs in one frame of a compacted file. */
const JOBS_PER_FRAME = 1000;
/** About what a job takes in the file besides its body. */
const JOB_OVERHEAD_BYTES = 200;

/** All jobs that were submitted with one journal file. */
export class RequestJournal {
  private readonly jobs = new Map<string, JournaledJob>();
  private readonly jobsByKey = new Map<string, JournaledJob>();
  private pending: PendingEntry[] = [];
  private writing: Promise<void> | null = null;
  /** Length of the file in bytes. */
  private length = 0;
  /** About the length that a compacted file would have. */
  private liveBytes = HEADER.length;
  private failure: JournalError | null = null;
  /** What was cut off when the file was opened; null if nothing was. */
  torn: TornTail | null = null;

  private constructor(
    private readonly file: JournalFile,
    private readonly onError: (error: JournalError) => void,
    private readonly compactBytes: number,
  ) {}

  /**
   * Reads the file; throws JournalError if that fails. `onError` is called with the first error of writing;
   * from then on nothing more is written.
   */
  static async open(
    file: JournalFile,
    onError: (error: JournalError) => void,
    compactBytes = COMPACT_BYTES,
  ): Promise<RequestJournal> {
    const journal = new RequestJournal(file, onError, compactBytes);
    await journal.load();
    return journal;
  }

  private async load(): Promise<void> {
    const bytes = await this.withContext(0, () => this.file.read());
    try {
      const { entries, end } = readFrames(bytes);
      for (const entry of entries) this.apply(entry as JournalEntry);
      this.length = end;
    } catch (error) {
      if (!(error instanceof DamagedFrameError)) throw error;
      throw new JournalError(this.file.name, error.offset, error.reason, { cause: error });
    }
    if (this.length < bytes.length) {
      this.torn = { offset: this.length, bytes: bytes.length - this.length };
      await this.withContext(this.length, () => this.file.truncate(this.length));
    }
    if (this.length === 0) await this.write(HEADER);
  }

  /** All jobs in the order of their submission; ended ones too, with their outcomes. */
  all(): JournaledJob[] {
    return [...this.jobs.values()];
  }

  /** The job of this id. */
  get(id: string): JournaledJob | undefined {
    return this.jobs.get(id);
  }

  /** The job of this key. */
  find(key: string): JournaledJob | undefined {
    return this.jobsByKey.get(key);
  }

  /** Appends an entry. `onPersisted` is called when it is on disk; never if it could not be written. */
  append(entry: JournalEntry, onPersisted: () => void): void {
    if (this.failure !== null) return;
    this.pending.push({ entry, onPersisted });
    this.writing ??= this.writePending();
  }

  private async writePending(): Promise<void> {
    // Entries of the same turn of the event loop are written together.
    await Promise.resolve();
    while (this.pending.length > 0 && this.failure === null) {
      const batch = this.pending;
      this.pending = [];
      try {
        await this.writeBatch(batch);
      } catch (error) {
        this.failure = error as JournalError;
        this.onError(this.failure);
        break;
      }
      for (const { onPersisted } of batch) onPersisted();
    }
    this.writing = null;
  }

  private async writeBatch(batch: readonly PendingEntry[]): Promise<void> {
    await this.write(encodeFrame(batch.map(({ entry }) => entry)));
    for (const { entry } of batch) this.apply(entry);
    const mostlyDead = this.liveBytes * MAX_DEAD_FACTOR < this.length;
    if (this.length > this.compactBytes && mostlyDead) await this.compact();
  }

  private async write(bytes: Buffer): Promise<void> {
    const offset = this.length;
    this.checkOwnership(offset);
    try {
      await this.file.append(bytes);
    } catch (error) {
      // A part of it may be there. It would be taken for torn, but the next writer should not find it.
      await this.file.truncate(offset).catch(() => {});
      throw this.errorAt(offset, error);
    }
    // After a failed sync nobody knows what is on disk: nothing more is written.
    await this.withContext(offset, () => this.file.sync());
    this.length = offset + bytes.length;
  }

  private checkOwnership(offset: number): void {
    try {
      this.file.check();
    } catch (error) {
      throw this.errorAt(offset, error);
    }
  }

  private async withContext<T>(offset: number, operation: () => Promise<T>): Promise<T> {
    try {
      return await operation();
    } catch (error) {
      throw this.errorAt(offset, error);
    }
  }

  private errorAt(offset: number, cause: unknown): JournalError {
    return new JournalError(this.file.name, offset, reasonOf(cause), { cause });
  }

  private apply(entry: JournalEntry): void {
    if (entry.op === 'submit') return this.applySubmit(entry);
    const job = this.jobs.get(entry.id);
    if (job === undefined) return;
    switch (entry.op) {
      case 'accepted':
        job.accepted = true;
        return;
      case 'cancel':
        job.cancelRequested = true;
        return;
      default:
        this.liveBytes -= job.body?.length ?? 0;
        job.body = null;
        job.outcome ??= entry.outcome;
    }
  }

  private applySubmit({ id, key, body }: Extract<JournalEntry, { op: 'submit' }>): void {
    const job: JournaledJob = { id, key, body, accepted: false, cancelRequested: false, outcome: null };
    this.jobs.set(id, job);
    if (key !== null) this.jobsByKey.set(key, job);
    this.liveBytes += body.length + JOB_OVERHEAD_BYTES;
  }

  /** Bodies of jobs that have ended are dropped; their keys and outcomes stay, for scripts that run again. */
  private async compact(): Promise<void> {
    const jobs = this.all().map(entriesOf);
    const parts: Buffer[] = [HEADER];
    for (let first = 0; first < jobs.length; first += JOBS_PER_FRAME)
      parts.push(encodeFrame(jobs.slice(first, first + JOBS_PER_FRAME).flat()));
    const bytes = Buffer.concat(parts);
    this.checkOwnership(0);
    await this.withContext(0, () => this.file.replace(bytes));
    this.length = bytes.length;
    this.liveBytes = bytes.length;
  }

  /** Waits for what is being written; nothing may be appended after it. */
  async close(): Promise<void> {
    await this.writing;
    this.failure ??= new JournalError(this.file.name, this.length, 'it is closed');
    await this.file.close();
  }
}

function reasonOf(cause: unknown): string {
  if (cause instanceof SwiftfordError) return cause.message;
  const { code, message } = cause as NodeJS.ErrnoException;
  return code === 'ENOSPC' ? 'the disk is full' : (code ?? message);
}

/** The fewest entries that describe a job. */
function entriesOf({ id, key, body, accepted, cancelRequested, outcome }: JournaledJob): JournalEntry[] {
  const entries: JournalEntry[] = [{ op: 'submit', id, key, body: body ?? '' }];
  if (accepted) entries.push({ op: 'accepted', id });
  if (cancelRequested) entries.push({ op: 'cancel', id });
  if (outcome !== null) entries.push({ op: 'over', id, outcome });
  return entries;
}
