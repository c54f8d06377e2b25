// A record in the state service that many small facts share, rewritten whole when one of them has changed:
// changes a second are scarce, and a value holds several kilobytes.
import type { Revision } from '../../types/index.ts';
import type { FencedWriter } from './fenced-writer.ts';

/** Layout of the values, read and written by versions from 0.1 on that may serve side by side; a record of another version is refused, see recovery.ts. */
export const SHARED_RECORD_VERSION = 1;

export class SharedRecord {
  isWriting = false;
  private readonly writer: FencedWriter;
  constructor(
    store: FencedWriter,
    readonly key: string,
    public revision: Revision,
  ) {
    this.writer = store;
  }

  /** Writes the value, or drops the key for null; `done` tells whether this very value is on record. */
  write(value: Record<string, unknown> | null, priority: number, done: (ok: boolean) => void): void {
    const { key } = this;
    this.isWriting = true;
    const writeId = value === null ? null : this.writer.nextWriteId();
    this.writer.write({
      conditions: [{ key, revision: this.revision }],
      puts: value === null ? [] : [{ key, value: { v: SHARED_RECORD_VERSION, ...value, w: writeId } }],
      deletes: value === null ? [key] : [],
      verifyKey: key,
      writeId,
      priority,
      onResult: (r) => {
        this.isWriting = false;
        if (r.kind === 'ok') this.revision = value === null ? (0 as Revision) : r.revision;
        // Rejected, or the term is lost: nothing has changed on record.
        else if (r.kind === 'conflict') this.revision = r.item?.revision ?? (0 as Revision);
        done(r.kind === 'ok');
      },
    });
  }
}
