// Write-ahead journal of submissions and cancellations, with which a script that was killed and is started
// again resumes its jobs under the same ids. Entries appended at the same time are written and synced
// together (group commit).
import { SwiftfordError } from '../../../src/types/errors.ts';
import { DamagedFrameError, encodeFrame, HEADER, readFrames } from './journal-frames.ts';
import type { JournalEntry, JournaledJob } from './session-messages.ts';
import { JournalError } from './types.ts';

/**
 * File operations that the journal uses; journal-file.ts implements them on disk. Methods throw the errors of
 * Node.js, with their `code`.
 */
export interface JournalFile {
  /** Name for error messages. */
  readonly name: string;
  /** Returns the contents; empty if the file does not exist. */
  read(): Promise<Buffer>;
  /** Appends all bytes to the file. */
  append(bytes: Buffer): Promise<void>;
  /** Resolves when the appended bytes would survive a power failure. */
  sync(): Promise<void>;
  /** Truncates the file to `length` bytes. */
  truncate(length: number): Promise<void>;
  /** Replaces the contents atomically and durably. */
  replace(bytes: Buffer): Promise<void>;
  /** Throws if this process may no longer write because another process has taken over the file. */
  checkWritable(): void;
  /** Closes the file and releases its lock. */
  close(): Promise<void>;
}

/** An incomplete record at the end of the file, never reported as persisted, that was cut off. */
export interface TornTail {
  /** Position in the file at which it began, in bytes. */
  offset: number;
  /** Its length in bytes. */
  bytes: number;
}

/** An entry that is not on disk yet. */
interface PendingEntry {
  readonly entry: JournalEntry;
  readonly onPersisted: () => void;
}

/** A file larger than this is compacted when less than a third of it is live data. */
const MIN_COMPACTION_BYTES = 1 << 20;
const MAX_FILE_TO_LIVE_RATIO = 3;
/** Jobs in one frame of a compacted file. */
const JOBS_PER_FRAME = 1000;
/** Estimated size of a job in the file, without its body. */
const ESTIMATED_JOB_OVERHEAD_BYTES = 200;

/** The jobs recorded in one journal file. */
export class RequestJournal {
  private readonly jobs = new Map<string, JournaledJob>();
  private readonly jobsByKey = new Map<string, JournaledJob>();
  private pending: PendingEntry[] = [];
  private activeWrite: Promise<void> | null = null;
  /** Length of the file in bytes. */
  private length = 0;
  /** Estimated length in bytes that the file would have after compaction. */
  private estimatedLiveBytes = HEADER.length;
  private failure: JournalError | null = null;
  /** The incomplete record that was cut off when the file was opened; null if there was none. */
  torn: TornTail | null = null;

  private constructor(
    private readonly file: JournalFile,
    private readonly onError: (error: JournalError) => void,
    private readonly minCompactionBytes: number,
  ) {}

  /**
   * Reads the file; throws JournalError if that fails. `onError` is called with the first write error, after
   * which nothing more is written.
   */
  static async open(
    file: JournalFile,
    onError: (error: JournalError) => void,
    minCompactionBytes = MIN_COMPACTION_BYTES,
  ): Promise<RequestJournal> {
    const journal = new RequestJournal(file, onError, minCompactionBytes);
    await journal.load();
    return journal;
  }

  private async load(): Promise<void> {
    const bytes = await this.wrapErrors(0, () => this.file.read());
    try {
      const { entries, validLength } = readFrames(bytes);
      for (const entry of entries) this.apply(entry as JournalEntry);
      this.length = validLength;
    } catch (error) {
      if (!(error instanceof DamagedFrameError)) throw error;
      throw new JournalError(this.file.name, error.offset, error.reason, { cause: error });
    }
    if (this.length < bytes.length) {
      this.torn = { offset: this.length, bytes: bytes.length - this.length };
      await this.wrapErrors(this.length, () => this.file.truncate(this.length));
    }
    if (this.length === 0) await this.write(HEADER);
  }

  /** All jobs in the order of their submission, including ended ones with their outcomes. */
  all(): JournaledJob[] {
    return [...this.jobs.values()];
  }

  /** The job with this id. */
  get(id: string): JournaledJob | undefined {
    return this.jobs.get(id);
  }

  /** The job that was submitted under this key. */
  getByKey(key: string): JournaledJob | undefined {
    return this.jobsByKey.get(key);
  }

  /** Appends an entry. `onPersisted` is called when the entry is on disk, never if the write fails. */
  append(entry: JournalEntry, onPersisted: () => void): void {
    if (this.failure !== null) return;
    this.pending.push({ entry, onPersisted });
    this.activeWrite ??= this.writePending();
  }

  private async writePending(): Promise<void> {
    // Entries appended synchronously one after another are written together.
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
    this.activeWrite = null;
  }

  private async writeBatch(batch: readonly PendingEntry[]): Promise<void> {
    await this.write(encodeFrame(batch.map(({ entry }) => entry)));
    for (const { entry } of batch) this.apply(entry);
    const isMostlyObsolete = this.estimatedLiveBytes * MAX_FILE_TO_LIVE_RATIO < this.length;
    if (this.length > this.minCompactionBytes && isMostlyObsolete) await this.compact();
  }

  private async write(bytes: Buffer): Promise<void> {
    const offset = this.length;
    this.checkWritable(offset);
    try {
      await this.file.append(bytes);
    } catch (error) {
      // Part of the frame may have been written. It would be read as an incomplete record; it is removed so
      // that the next process does not find one.
      await this.file.truncate(offset).catch(() => {});
      throw this.errorAt(offset, error);
    }
    // After a failed sync it is unknown which bytes are on disk, so the error ends all writing.
    await this.wrapErrors(offset, () => this.file.sync());
    this.length = offset + bytes.length;
  }

  private checkWritable(offset: number): void {
    try {
      this.file.checkWritable();
    } catch (error) {
      throw this.errorAt(offset, error);
    }
  }

  private async wrapErrors<T>(offset: number, operation: () => Promise<T>): Promise<T> {
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
        this.estimatedLiveBytes -= job.body?.length ?? 0;
        job.body = null;
        job.outcome ??= entry.outcome;
    }
  }

  private applySubmit({ id, key, body }: Extract<JournalEntry, { op: 'submit' }>): void {
    const job: JournaledJob = { id, key, body, accepted: false, cancelRequested: false, outcome: null };
    this.jobs.set(id, job);
    if (key !== null) this.jobsByKey.set(key, job);
    this.estimatedLiveBytes += body.length + ESTIMATED_JOB_OVERHEAD_BYTES;
  }

  /**
   * Rewrites the file without the bodies of ended jobs. Keys and outcomes are kept, so that a later run of
   * the script finds them.
   */
  private async compact(): Promise<void> {
    const jobs = this.all().map(entriesOf);
    const frames: Buffer[] = [HEADER];
    for (let first = 0; first < jobs.length; first += JOBS_PER_FRAME)
      frames.push(encodeFrame(jobs.slice(first, first + JOBS_PER_FRAME).flat()));
    const bytes = Buffer.concat(frames);
    this.checkWritable(0);
    await this.wrapErrors(0, () => this.file.replace(bytes));
    this.length = bytes.length;
    this.estimatedLiveBytes = bytes.length;
  }

  /** Waits for the current write and closes the file. Entries appended later are ignored. */
  async close(): Promise<void> {
    await this.activeWrite;
    this.failure ??= new JournalError(this.file.name, this.length, 'the journal is closed');
    await this.file.close();
  }
}

/** Describes the error of a file operation for a JournalError. */
function reasonOf(cause: unknown): string {
  if (cause instanceof SwiftfordError) return cause.message;
  const { code, message } = cause as NodeJS.ErrnoException;
  return code === 'ENOSPC' ? 'the disk is full' : (code ?? message);
}

/** The minimal list of entries that describes a job. */
function entriesOf({ id, key, body, accepted, cancelRequested, outcome }: JournaledJob): JournalEntry[] {
  const entries: JournalEntry[] = [{ op: 'submit', id, key, body: body ?? '' }];
  if (accepted) entries.push({ op: 'accepted', id });
  if (cancelRequested) entries.push({ op: 'cancel', id });
  if (outcome !== null) entries.push({ op: 'over', id, outcome });
  return entries;
}
