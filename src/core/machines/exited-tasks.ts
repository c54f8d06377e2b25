// The exited tasks that a machine lists, with what they take of its task list.
import type { Uint64 } from '../../types/uint64.ts';
import { exitedTaskBytes } from '../base/message-size.ts';
import type { ExitedTask } from './machine-tasks.ts';

/** Exited tasks by `assignmentKey`. */
export class ExitedTasks {
  /** What the tasks take of the machine's task list. */
  listBytes = 0;
  private readonly byKey = new Map<string, ExitedTask>();

  get size(): number {
    return this.byKey.size;
  }

  get(key: string): ExitedTask | undefined {
    return this.byKey.get(key);
  }

  /** All tasks, in the order in which they were added. */
  values(): Iterable<ExitedTask> {
    return this.byKey.values();
  }

  /** Adds a task that the machine lists for the first time. */
  add(key: string, exited: ExitedTask): void {
    this.byKey.set(key, exited);
    this.listBytes += exitedTaskBytes(exited);
  }

  /** Removes the tasks that the heartbeat with the sequence number `seq` did not list. */
  removeUnlisted(seq: Uint64): void {
    for (const [key, exited] of this.byKey) {
      if (exited.seenSeq === seq) continue;
      exited.isGone = true;
      this.byKey.delete(key);
      this.listBytes -= exitedTaskBytes(exited);
    }
  }

  /** Removes all tasks. */
  clear(): void {
    for (const exited of this.byKey.values()) exited.isGone = true;
    this.byKey.clear();
    this.listBytes = 0;
  }
}
