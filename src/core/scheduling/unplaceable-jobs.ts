// Jobs for which a search found no machine, so that it is not repeated for jobs that need as much.
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { needsAtLeast, placementKey } from '../jobs/placement-constraints.ts';

/** Jobs of the same kind differ, for the choice of a machine, only in how much their tasks need. */
export const placementKind = (spec: JobSpec): string => `${spec.class}|${placementKey(spec)}`;

interface UnplaceableJob {
  kind: string;
  job: Job;
}

/** The jobs that found no machine since the last `clear`. */
export class UnplaceableJobs {
  private readonly entries: UnplaceableJob[] = [];

  /** Forgets all, as capacity may have come free. */
  clear(): void {
    this.entries.length = 0;
  }

  /** No machine was found for a task of the job; `kind` is its `placementKind`. */
  add(job: Job, kind: string): void {
    this.entries.push({ kind, job });
  }

  /** Whether a job of this kind, no more urgent and with tasks no larger, has found no machine. */
  covers(job: Job, kind: string): boolean {
    for (const entry of this.entries) {
      if (entry.kind !== kind) continue;
      if (needsAtLeast(job.spec, entry.job.spec) && job.priority <= entry.job.priority) return true;
    }
    return false;
  }
}
