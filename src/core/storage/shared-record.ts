// A record in the store that many small facts share, rewritten whole when one of them has changed: changes a
// second are scarce, and a value holds several kilobytes.
import type { Revision } from '../../types/index.ts';
import type { FencedWriter } from './fenced-writer.ts';

/**
 * Layout of the values, read and written by all versions from 0.1 on that may serve side by side; a record of
 * another layout is refused, see leader/failover.ts.
 */
export const SHARED_RECORD_VERSION = 1;

/** One shared record; at most one write of it is under way at a time. */
export class SharedRecord {
  /** A write is under way. */
  isWriting = false;

  /** `revision`: that of the value on record, 0 if there is none. */
  constructor(
    private readonly writer: FencedWriter,
    readonly key: string,
    public revision: Revision,
  ) {}

  /** Writes the value, or deletes the key for null; `onResult` tells whether this very value is on record. */
  write(
    value: Record<string, unknown> | null,
    priority: number,
    onResult: (isOnRecord: boolean) => void,
  ): void {
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
      onResult: (result) => {
        this.isWriting = false;
        if (result.kind === 'ok') this.revision = value === null ? (0 as Revision) : result.revision;
        // When it is rejected, or the term is over, nothing has changed on record.
        else if (result.kind === 'conflict') this.revision = result.item?.revision ?? (0 as Revision);
        onResult(result.kind === 'ok');
      },
    });
  }
}
