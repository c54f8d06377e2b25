// Machines that were removed for good, remembered for as long as lists of the cloud may still show them.
import { elapsedMs, type Instant, type MachineId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

const TOMBSTONE_TTL_MS = 300_000;

/** Ids of machines that have been removed lately and must not be added again. */
export class Tombstones {
  private readonly removedAt = new Map<MachineId, Instant>();

  constructor(private readonly io: ControllerIo) {}

  /** The machine has been removed now. */
  add(id: MachineId): void {
    this.removedAt.set(id, this.io.now);
  }

  /** Whether the machine has been removed lately. */
  has(id: MachineId): boolean {
    return this.removedAt.has(id);
  }

  /** Drops the tombstones whose time is up. */
  expire(): void {
    for (const [id, removedAt] of this.removedAt)
      if (elapsedMs(this.io.now, removedAt) > TOMBSTONE_TTL_MS) this.removedAt.delete(id);
  }
}
