// Records the ids of removed machines for as long as the cloud may still list them.
import { elapsedMs, type Instant, type MachineId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

const TOMBSTONE_TTL_MS = 300_000;

/** Ids of recently removed machines, which must not be added again. */
export class Tombstones {
  private readonly removedAt = new Map<MachineId, Instant>();

  constructor(private readonly io: ControllerIo) {}

  /** Records that the machine has just been removed. */
  add(id: MachineId): void {
    this.removedAt.set(id, this.io.now);
  }

  /** Whether the machine was removed recently. */
  has(id: MachineId): boolean {
    return this.removedAt.has(id);
  }

  /** Drops tombstones that are older than their time to live. */
  expire(): void {
    for (const [id, removedAt] of this.removedAt)
      if (elapsedMs(this.io.now, removedAt) > TOMBSTONE_TTL_MS) this.removedAt.delete(id);
  }
}
