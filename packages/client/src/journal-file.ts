// The outbox's file on a real disk, with a lock against a second writer.
import { statSync } from 'node:fs';
import { open as openFile, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import lockfile from 'proper-lockfile';
import type { Disk } from './request-journal.ts';
import { JournalError } from './types.ts';

/** A writer that has not renewed its lock for so long is taken for dead, as after SIGKILL. */
const STALE_MS = 5000;
const RENEW_MS = 1000;
/** As long as it may take until a lock of a killed writer is stale, and a little more. */
const LOCK_TRIES = 14;
const TRY_MS = 500;

/** Opens or creates the file. Waits up to 7 s for the lock of a process that was killed; throws OutboxError. */
export async function openDisk(file: string): Promise<Disk> {
  const lock = await takeLock(file);
  try {
    return await openLocked(file, lock);
  } catch (e) {
    await lock.release();
    throw new JournalError(file, 0, (e as NodeJS.ErrnoException).code ?? String(e));
  }
}

interface Lock {
  lost: Error | null;
  release(): Promise<void>;
}

async function takeLock(file: string): Promise<Lock> {
  const lock: Lock = { lost: null, release: async () => {} };
  try {
    const release = await lockfile.lock(file, {
      stale: STALE_MS,
      update: RENEW_MS,
      realpath: false,
      retries: { retries: LOCK_TRIES, factor: 1, minTimeout: TRY_MS, maxTimeout: TRY_MS },
      onCompromised: (e) => {
        lock.lost = e;
      },
    });
    lock.release = () => (lock.lost === null ? release() : Promise.resolve());
    return lock;
  } catch (e) {
    const { code, message } = e as NodeJS.ErrnoException;
    throw new JournalError(file, 0, code === 'ELOCKED' ? 'another process is using it' : (code ?? message));
  }
}

async function openLocked(file: string, lock: Lock): Promise<Disk> {
  let handle = await openFile(file, 'a+');
  await syncDirectory(file);
  const ours = identity(file);
  return {
    name: file,
    read: () => readFile(file),
    async append(bytes) {
      await handle.appendFile(bytes);
    },
    sync: () => handle.datasync(),
    async truncate(length) {
      await handle.truncate(length);
      await handle.sync();
    },
    async replace(bytes) {
      const next = `${file}.new`;
      const h = await openFile(next, 'w');
      try {
        await h.writeFile(bytes);
        await h.sync();
      } finally {
        await h.close();
      }
      await rename(next, file);
      await syncDirectory(file);
      await handle.close();
      handle = await openFile(file, 'a+');
    },
    check() {
      if (lock.lost !== null) throw new Error('another process has taken it over');
      // A process that was stopped for longer than its lock lasts may wake up in here, before the lock's own timer has
      // looked: what it would write now might follow the records of another.
      if (identity(file) !== ours) throw new Error('its lock was lost while this process did not run');
    },
    async close() {
      await handle.close();
      await lock.release();
    },
  };
}

/** The lock is a directory; whoever takes it over makes another one. */
function identity(file: string): string {
  try {
    const s = statSync(`${file}.lock`);
    return `${s.ino} ${s.birthtimeMs}`;
  } catch {
    return 'none';
  }
}

/** A file that was created or renamed is there after a power failure only if its directory was synced. */
async function syncDirectory(file: string): Promise<void> {
  const h = await openFile(dirname(file), 'r');
  try {
    await h.sync();
  } finally {
    await h.close();
  }
}
