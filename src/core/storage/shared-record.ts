// A record in the store that combines many small items, and is rewritten as a whole when one of them has
// changed: the store allows few changes per second, while a value holds several kilobytes.
import { NO_REVISION, type Revision } from '../../types/index.ts';
import type { FencedWriter } from './fenced-writer.ts';

/**
 * Layout version of the values. All versions since 0.1 that may run side by side read and write this layout;
 * a record of another layout is refused, see leader/failover.ts.
 */
export const SHARED_RECORD_VERSION = 1;

/** One shared record; at most one write of it is in progress at a time. */
export class SharedRecord {
  /** A write is in progress. */
  isWriting = false;

  /** `revision` is that of the stored value, 0 if there is none. */
  constructor(
    private readonly writer: FencedWriter,
    readonly key: string,
    public revision: Revision,
  ) {}

  /**
   * Writes the value, or deletes the key if the value is null. `onResult` receives whether exactly this value
   * is now stored.
   */
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
        if (result.kind === 'ok') this.revision = value === null ? NO_REVISION : result.revision;
        // A rejected write has changed nothing in the store, and after the end of the term nothing more is
        // written: the revision stays as it is.
        else if (result.kind === 'conflict') this.revision = result.item?.revision ?? NO_REVISION;
        onResult(result.kind === 'ok');
      },
    });
  }
}
