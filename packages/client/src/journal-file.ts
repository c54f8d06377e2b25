// The journal's file on a real disk, with a lock against a second writer.
import { statSync } from 'node:fs';
import { type FileHandle, open as openFile, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import lockfile from 'proper-lockfile';
import { SwiftfordError } from '../../../src/types/errors.ts';
import type { JournalFile } from './request-journal.ts';
import { JournalError } from './types.ts';

/** The lock of a writer that has not renewed it for so long is stale, as after SIGKILL. */
const LOCK_STALE_MS = 5000;
const LOCK_RENEW_MS = 1000;
/** As long as it may take until the lock of a killed writer is stale, and a little more. */
const LOCK_RETRIES = 14;
const LOCK_RETRY_MS = 500;

/**
 * Opens or creates the file. Waits up to 7 s for the lock of a process that was killed. Throws JournalError
 * if the file cannot be opened or another process holds its lock.
 */
export async function openJournalFile(file: string): Promise<JournalFile> {
  const lock = await FileLock.acquire(file);
  try {
    return await LockedJournalFile.open(file, lock);
  } catch (error) {
    await lock.release();
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    throw new JournalError(file, 0, reason, { cause: error });
  }
}

/** This process may no longer write the file. */
class LockLostError extends SwiftfordError {
  readonly code = 'LOCK_LOST';
}

/** A lock beside the file; it is a directory, and whoever takes it over makes another one. */
class FileLock {
  private lost: Error | null = null;
  private unlock: () => Promise<void> = async () => {};

  private constructor(private readonly file: string) {}

  /** Throws JournalError if another process holds the lock for as long as is waited. */
  static async acquire(file: string): Promise<FileLock> {
    const lock = new FileLock(file);
    try {
      lock.unlock = await lockfile.lock(file, {
        stale: LOCK_STALE_MS,
        update: LOCK_RENEW_MS,
        realpath: false,
        retries: {
          retries: LOCK_RETRIES,
          factor: 1,
          minTimeout: LOCK_RETRY_MS,
          maxTimeout: LOCK_RETRY_MS,
        },
        onCompromised: (error) => {
          lock.lost = error;
        },
      });
      return lock;
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const reason = code === 'ELOCKED' ? 'another process is using it' : (code ?? message);
      throw new JournalError(file, 0, reason, { cause: error });
    }
  }

  /** Whether the lock was taken over by another process, as far as its own timer has noticed. */
  get isLost(): boolean {
    return this.lost !== null;
  }

  /** Which lock directory is there now. */
  identity(): string {
    try {
      const { ino, birthtimeMs } = statSync(`${this.file}.lock`);
      return `${ino} ${birthtimeMs}`;
    } catch {
      return 'none';
    }
  }

  async release(): Promise<void> {
    if (!this.isLost) await this.unlock();
  }
}

class LockedJournalFile implements JournalFile {
  private readonly ownLock: string;

  private constructor(
    readonly name: string,
    private handle: FileHandle,
    private readonly lock: FileLock,
  ) {
    this.ownLock = lock.identity();
  }

  static async open(file: string, lock: FileLock): Promise<LockedJournalFile> {
    const handle = await openFile(file, 'a+');
    await syncDirectory(file);
    return new LockedJournalFile(file, handle, lock);
  }

  read(): Promise<Buffer> {
    return readFile(this.name);
  }

  async append(bytes: Buffer): Promise<void> {
    await this.handle.appendFile(bytes);
  }

  sync(): Promise<void> {
    return this.handle.datasync();
  }

  async truncate(length: number): Promise<void> {
    await this.handle.truncate(length);
    await this.handle.sync();
  }

  async replace(bytes: Buffer): Promise<void> {
    const newFile = `${this.name}.new`;
    const newHandle = await openFile(newFile, 'w');
    try {
      await newHandle.writeFile(bytes);
      await newHandle.sync();
    } finally {
      await newHandle.close();
    }
    await rename(newFile, this.name);
    await syncDirectory(this.name);
    await this.handle.close();
    this.handle = await openFile(this.name, 'a+');
  }

  check(): void {
    if (this.lock.isLost) throw new LockLostError('another process has taken it over');
    // A process that was stopped for longer than its lock lasts may wake up in here, before the lock's own
    // timer has looked: what it would write now might follow the records of another.
    if (this.lock.identity() !== this.ownLock)
      throw new LockLostError('its lock was lost while this process did not run');
  }

  async close(): Promise<void> {
    await this.handle.close();
    await this.lock.release();
  }
}

/** A file that was created or renamed is there after a power failure only if its directory was synced. */
async function syncDirectory(file: string): Promise<void> {
  const directory = await openFile(dirname(file), 'r');
  try {
    await directory.sync();
  } finally {
    await directory.close();
  }
}
