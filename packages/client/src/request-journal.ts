// What a script has asked for, kept in one file so that the same script, started again after it was killed, goes on with
// the same ids. Entries that come together are written and synced together.
import { DamagedFrameError, encodeFrame, HEAD, readFrames } from './journal-frames.ts';
import type { Entry, Kept } from './session.ts';
import { JournalError } from './types.ts';

/** The file as the outbox uses it; disk.ts has the real one. Errors are those of Node, with their `code`. */
export interface Disk {
  readonly name: string;
  /** Empty if there is no such file. */
  read(): Promise<Buffer>;
  /** Writes all bytes at the end. */
  append(bytes: Buffer): Promise<void>;
  /** Returns when what was appended outlives a power failure. */
  sync(): Promise<void>;
  truncate(length: number): Promise<void>;
  /** Puts other contents in its place: all of them, durably, or none. */
  replace(bytes: Buffer): Promise<void>;
  /** Throws if this process may no longer write (another one has taken the file over). */
  check(): void;
  close(): Promise<void>;
}

/** Found at the end of the file: the start of a record that was never said to be kept. It is cut off. */
export interface TornTail {
  offset: number;
  bytes: number;
}

/** From this size on, a file of which less than a third is still of use is written anew. */
const COMPACT_BYTES = 1 << 20;
/** A frame takes as many jobs. */
const PER_FRAME = 1000;

export class RequestJournal {
  private readonly jobs = new Map<string, Kept>();
  private readonly byKey = new Map<string, Kept>();
  private waiting: { entry: Entry; done: () => void }[] = [];
  private writing: Promise<void> | null = null;
  private length = 0;
  /** Length that a file written anew would have, about. */
  private live = HEAD.length;
  private failure: JournalError | null = null;
  torn: TornTail | null = null;

  private constructor(
    private readonly disk: Disk,
    private readonly onError: (e: JournalError) => void,
    private readonly compactBytes: number,
  ) {}

  /** `onError` hears the first error of writing; from then on nothing more is written. */
  static async open(
    disk: Disk,
    onError: (e: JournalError) => void,
    compactBytes = COMPACT_BYTES,
  ): Promise<RequestJournal> {
    const outbox = new RequestJournal(disk, onError, compactBytes);
    await outbox.load();
    return outbox;
  }

  private async load(): Promise<void> {
    const bytes = await this.attempt(0, () => this.disk.read());
    try {
      const { entries, end } = readFrames(bytes);
      for (const e of entries) this.apply(e as Entry);
      this.length = end;
    } catch (e) {
      if (e instanceof DamagedFrameError) throw new JournalError(this.disk.name, e.offset, e.reason);
      throw e;
    }
    if (this.length < bytes.length) {
      this.torn = { offset: this.length, bytes: bytes.length - this.length };
      await this.attempt(this.length, () => this.disk.truncate(this.length));
    }
    if (this.length === 0) await this.write(HEAD);
  }

  /** All that is known, in the order in which it was submitted; those that are over too, with their outcomes. */
  all(): Kept[] {
    return [...this.jobs.values()];
  }

  get(id: string): Kept | undefined {
    return this.jobs.get(id);
  }

  find(key: string): Kept | undefined {
    return this.byKey.get(key);
  }

  /** `done` is called when the entry is kept; never if it could not be. */
  keep(entry: Entry, done: () => void): void {
    if (this.failure !== null) return;
    this.waiting.push({ entry, done });
    this.writing ??= this.writeAll();
  }

  private async writeAll(): Promise<void> {
    // What is asked for in the same round of the loop goes together.
    await Promise.resolve();
    while (this.waiting.length > 0 && this.failure === null) {
      const batch = this.waiting;
      this.waiting = [];
      try {
        await this.write(encodeFrame(batch.map((b) => b.entry)));
        for (const { entry } of batch) this.apply(entry);
        if (this.length > this.compactBytes && this.live * 3 < this.length) await this.compact();
      } catch (e) {
        this.failure = e as JournalError;
        this.onError(this.failure);
        break;
      }
      for (const { done } of batch) done();
    }
    this.writing = null;
  }

  private async write(bytes: Buffer): Promise<void> {
    const at = this.length;
    this.guard(at);
    try {
      await this.disk.append(bytes);
    } catch (e) {
      // A part of it may be there. It would be taken for torn, but the next writer should not find it.
      await this.disk.truncate(at).catch(() => {});
      throw this.error(at, e);
    }
    // After a failed sync nobody knows what is on disk: nothing more is written.
    await this.attempt(at, () => this.disk.sync());
    this.length = at + bytes.length;
  }

  private guard(at: number): void {
    try {
      this.disk.check();
    } catch (e) {
      throw this.error(at, e);
    }
  }

  private async attempt<T>(at: number, run: () => Promise<T>): Promise<T> {
    try {
      return await run();
    } catch (e) {
      throw this.error(at, e);
    }
  }

  private error(at: number, e: unknown): JournalError {
    const { code, message } = e as NodeJS.ErrnoException;
    return new JournalError(this.disk.name, at, code === 'ENOSPC' ? 'the disk is full' : (code ?? message));
  }

  private apply(e: Entry): void {
    if (e.op === 'submit') {
      const kept: Kept = {
        id: e.id,
        key: e.key,
        body: e.body,
        accepted: false,
        cancel: false,
        outcome: null,
      };
      this.jobs.set(e.id, kept);
      if (e.key !== null) this.byKey.set(e.key, kept);
      this.live += e.body.length + 200;
      return;
    }
    const kept = this.jobs.get(e.id);
    if (kept === undefined) return;
    if (e.op === 'accepted') kept.accepted = true;
    else if (e.op === 'cancel') kept.cancel = true;
    else {
      this.live -= kept.body?.length ?? 0;
      kept.body = null;
      kept.outcome ??= e.outcome;
    }
  }

  /** Bodies of jobs that are over are dropped; their keys and outcomes stay, for scripts that run again. */
  private async compact(): Promise<void> {
    const entries = this.all().map((k): Entry[] => [
      { op: 'submit', id: k.id, key: k.key, body: k.body ?? '' },
      ...(k.accepted ? [{ op: 'accepted', id: k.id } as const] : []),
      ...(k.cancel ? [{ op: 'cancel', id: k.id } as const] : []),
      ...(k.outcome === null ? [] : [{ op: 'over', id: k.id, outcome: k.outcome } as const]),
    ]);
    const parts: Buffer[] = [HEAD];
    for (let i = 0; i < entries.length; i += PER_FRAME)
      parts.push(encodeFrame(entries.slice(i, i + PER_FRAME).flat()));
    const bytes = Buffer.concat(parts);
    this.guard(0);
    await this.attempt(0, () => this.disk.replace(bytes));
    this.length = bytes.length;
    this.live = bytes.length;
  }

  /** Waits for what is being written; nothing may be kept after it. */
  async close(): Promise<void> {
    await this.writing;
    this.failure ??= new JournalError(this.disk.name, this.length, 'it is closed');
    await this.disk.close();
  }
}
