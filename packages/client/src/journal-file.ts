// Journal file on disk, with a lock that prevents two processes from writing it.
import { statSync } from 'node:fs';
import { type FileHandle, open as openFile, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import lockfile from 'proper-lockfile';
import { SwiftfordError } from '../../../src/types/errors.ts';
import type { JournalFile } from './request-journal.ts';
import { JournalError } from './types.ts';

/** A lock that was not renewed for this long is stale: its holder was probably killed. */
const LOCK_STALE_MS = 5000;
const LOCK_RENEW_INTERVAL_MS = 1000;
/** 14 retries at 500 ms wait 7 s, longer than the lock of a killed process takes to become stale. */
const LOCK_MAX_RETRIES = 14;
const LOCK_RETRY_INTERVAL_MS = 500;

/**
 * Opens or creates the file and locks it. Waits up to 7 s for the lock, so that the lock of a killed process
 * becomes stale. Throws JournalError if the file cannot be opened or another process holds the lock.
 */
export async function openJournalFile(path: string): Promise<JournalFile> {
  const lock = await FileLock.acquire(path);
  try {
    return await LockedJournalFile.open(path, lock);
  } catch (error) {
    await lock.release();
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    throw new JournalError(path, 0, reason, { cause: error });
  }
}

/** This process has lost the lock and may no longer write the file. */
class LockLostError extends SwiftfordError {
  readonly code = 'LOCK_LOST';
}

/**
 * Lock on the journal file: the directory `<path>.lock`. A process that takes over a stale lock creates the
 * directory anew, so it gets another inode number or birth time.
 */
class FileLock {
  private lostError: Error | null = null;
  private unlock: () => Promise<void> = async () => {};

  private constructor(private readonly path: string) {}

  /** Throws JournalError if another process still holds the lock after the last retry. */
  static async acquire(path: string): Promise<FileLock> {
    const lock = new FileLock(path);
    try {
      lock.unlock = await lockfile.lock(path, {
        stale: LOCK_STALE_MS,
        update: LOCK_RENEW_INTERVAL_MS,
        realpath: false,
        retries: {
          retries: LOCK_MAX_RETRIES,
          factor: 1,
          minTimeout: LOCK_RETRY_INTERVAL_MS,
          maxTimeout: LOCK_RETRY_INTERVAL_MS,
        },
        onCompromised: (error) => {
          lock.lostError = error;
        },
      });
      return lock;
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const reason = code === 'ELOCKED' ? 'another process is using it' : (code ?? message);
      throw new JournalError(path, 0, reason, { cause: error });
    }
  }

  /** Whether the periodic renewal has found that another process took over the lock. */
  get isLost(): boolean {
    return this.lostError !== null;
  }

  /** Inode number and birth time of the current lock directory, or `none`. */
  identity(): string {
    try {
      const { ino, birthtimeMs } = statSync(`${this.path}.lock`);
      return `${ino} ${birthtimeMs}`;
    } catch {
      return 'none';
    }
  }

  async release(): Promise<void> {
    if (!this.isLost) await this.unlock();
  }
}

/** The journal file and the lock that this process holds on it. */
class LockedJournalFile implements JournalFile {
  private readonly acquiredLockIdentity: string;

  private constructor(
    readonly name: string,
    private handle: FileHandle,
    private readonly lock: FileLock,
  ) {
    this.acquiredLockIdentity = lock.identity();
  }

  static async open(path: string, lock: FileLock): Promise<LockedJournalFile> {
    const handle = await openFile(path, 'a+');
    await syncDirectory(path);
    return new LockedJournalFile(path, handle, lock);
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
    const newPath = `${this.name}.new`;
    const newHandle = await openFile(newPath, 'w');
    try {
      await newHandle.writeFile(bytes);
      await newHandle.sync();
    } finally {
      await newHandle.close();
    }
    await rename(newPath, this.name);
    await syncDirectory(this.name);
    await this.handle.close();
    this.handle = await openFile(this.name, 'a+');
  }

  checkWritable(): void {
    if (this.lock.isLost) throw new LockLostError('another process has taken over the lock of the file');
    // A process that was suspended for longer than LOCK_STALE_MS may resume here before the renewal timer
    // runs. Another process may have taken over the lock and written records meanwhile, so the lock directory
    // itself is compared.
    if (this.lock.identity() !== this.acquiredLockIdentity)
      throw new LockLostError('another process took over the lock while this process was suspended');
  }

  async close(): Promise<void> {
    await this.handle.close();
    await this.lock.release();
  }
}

/** Creating or renaming a file survives a power failure only if its directory is synced. */
async function syncDirectory(path: string): Promise<void> {
  const directory = await openFile(dirname(path), 'r');
  try {
    await directory.sync();
  } finally {
    await directory.close();
  }
}
