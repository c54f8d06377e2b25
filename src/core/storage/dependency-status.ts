// Whether a job is cancelled through its dependencies, read from the store. A job is cancelled when any of
// its dependencies is, through any number of others, though its own record does not say so.
import type { JobId } from '../../types/index.ts';
import type { JobReads } from './job-reads.ts';

/**
 * What the dependencies make of a job. `queued`: none was cancelled when it was read, later than the job's
 * own record. `unavailable`: the store has not replied. `limited`: there are too many to read now.
 */
export type DependencyStatus = 'queued' | 'cancelled' | 'unavailable' | 'limited';

/** Jobs read to answer one question. */
const MAX_READS = 50;

type DependencyRead =
  | { kind: 'done' }
  | { kind: 'cancelled' }
  | { kind: 'open'; dependsOn: JobId[] }
  | { kind: 'unavailable' };

/**
 * Reads the dependencies of a job, and theirs in turn, until one is found to be cancelled; `takeRead` says
 * whether one more may be read now.
 */
export function readDependencyStatus(
  reads: JobReads,
  dependsOn: readonly JobId[],
  takeRead: () => boolean,
  onResult: (status: DependencyStatus) => void,
): void {
  const seen = new Set(dependsOn);
  const unread = [...seen];
  let readCount = 0;
  const addUnseen = (ids: readonly JobId[]): void => {
    for (const id of ids) {
      if (seen.has(id)) continue;
      seen.add(id);
      unread.push(id);
    }
  };
  const readNext = (): void => {
    const id = unread.pop();
    if (id === undefined) return onResult('queued');
    if (++readCount > MAX_READS || !takeRead()) return onResult('limited');
    readDependency(reads, id, true, (read) => {
      if (read.kind === 'unavailable' || read.kind === 'cancelled') return onResult(read.kind);
      if (read.kind === 'open') addUnseen(read.dependsOn);
      readNext();
    });
  };
  readNext();
}

/**
 * Reads one dependency; the final state first. A job that has neither may have ended between the two reads,
 * so the final state is then read once more.
 */
function readDependency(
  reads: JobReads,
  id: JobId,
  retryIfMissing: boolean,
  onResult: (read: DependencyRead) => void,
): void {
  reads.readFinalState(id, (final) => {
    if (final.kind === 'found') return onResult({ kind: final.record.status });
    if (final.kind === 'unavailable') return onResult(final);
    reads.readOpenJob(id, (open) => {
      if (open.kind === 'missing' && retryIfMissing) return readDependency(reads, id, false, onResult);
      if (open.kind !== 'found') return onResult({ kind: 'unavailable' });
      if (open.record.cancelled) return onResult({ kind: 'cancelled' });
      reads.readDependencies(open.record, (dependsOn) =>
        onResult(dependsOn === null ? { kind: 'unavailable' } : { kind: 'open', dependsOn }),
      );
    });
  });
}
