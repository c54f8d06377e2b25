// Reads single jobs from the store: the record of an open job, with its dependency parts, and the final state
// of an ended one.
import type { JobId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreItem, StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import {
  decodeFinalState,
  decodeJobRecord,
  dependenciesInPart,
  dependencyPartKeys,
  type FinalState,
  type JobRecord,
} from './job-record.ts';
import { FINAL_STATE_PREFIX, OPEN_JOB_PREFIX } from './keys.ts';

/** Result of a read; `unavailable` if the store did not reply as expected. */
export type RecordRead<T> = { kind: 'found'; record: T } | { kind: 'missing' } | { kind: 'unavailable' };

/** Reads single jobs, with one request to the store for each value. */
export class JobReads {
  constructor(private readonly io: ControllerIo) {}

  /** Reads the final state of a job; missing if it has none. */
  readFinalState(id: JobId, onResult: (read: RecordRead<FinalState>) => void): void {
    this.get(FINAL_STATE_PREFIX + id, (reply) => onResult(decodeReply(reply, decodeFinalState)));
  }

  /** Reads the record of a job that has not ended; missing if there is none. */
  readOpenJob(id: JobId, onResult: (read: RecordRead<JobRecord>) => void): void {
    this.get(OPEN_JOB_PREFIX + id, (reply) => onResult(decodeReply(reply, decodeJobRecord)));
  }

  /**
   * Reads all dependencies of a job: those in its record and those in its dependency parts. The result is
   * null if a part cannot be read.
   */
  readDependencies(record: JobRecord, onResult: (dependsOn: JobId[] | null) => void): void {
    const dependsOn = [...(record.spec.dependsOn ?? [])];
    const partKeys = dependencyPartKeys(record.spec.id, record.dependencyParts);
    const readNext = (): void => {
      const key = partKeys.shift();
      if (key === undefined) {
        onResult(dependsOn);
        return;
      }
      this.get(key, (reply) => {
        if (reply.kind !== 'item') {
          onResult(null);
          return;
        }
        dependsOn.push(...dependenciesInPart(reply.item));
        readNext();
      });
    };
    readNext();
  }

  private get(key: string, onReply: (reply: StoreReply) => void): void {
    this.io.sendStoreRequest({ kind: 'get', key }, StorePriority.query, onReply);
  }
}

function decodeReply<T>(reply: StoreReply, decode: (item: StoreItem) => T): RecordRead<T> {
  if (reply.kind === 'item') return { kind: 'found', record: decode(reply.item) };
  return { kind: reply.kind === 'missing' ? 'missing' : 'unavailable' };
}
