// Determines from the store whether a job is cancelled through its dependencies. A job is cancelled when any
// of its direct or indirect dependencies is, although its own record does not show it.
import type { JobId } from '../../types/index.ts';
import type { JobReads } from './job-reads.ts';

/**
 * Status of a job by its dependencies. `queued`: no dependency was cancelled when it was read, which was
 * after the job's own record was read. `unavailable`: the store did not reply as expected. `limited`: there
 * are more dependencies than may be read now.
 */
export type DependencyStatus = 'queued' | 'cancelled' | 'unavailable' | 'limited';

/** Limit of the jobs that are read for one status. */
const MAX_DEPENDENCY_READS = 50;

type DependencyRead =
  | { kind: 'done' }
  | { kind: 'cancelled' }
  | { kind: 'open'; dependsOn: JobId[] }
  | { kind: 'unavailable' };

/**
 * Reads the direct and indirect dependencies of a job until one is found to be cancelled. `tryTakeBudget`
 * returns whether one more job may be read now, and deducts it from the budget if so.
 */
export function readDependencyStatus(
  reads: JobReads,
  dependsOn: readonly JobId[],
  tryTakeBudget: () => boolean,
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
    if (++readCount > MAX_DEPENDENCY_READS || !tryTakeBudget()) return onResult('limited');
    readDependency(reads, id, true, (read) => {
      if (read.kind === 'unavailable' || read.kind === 'cancelled') return onResult(read.kind);
      if (read.kind === 'open') addUnseen(read.dependsOn);
      readNext();
    });
  };
  readNext();
}

/**
 * Reads one dependency: first its final state, then its open record. If neither exists, the job may have
 * ended between the two reads, so the reads are repeated once.
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
