// Records jobs for which a search found no machine, so that it is not repeated for jobs that need as much.
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { needsAtLeast, placementKey } from '../jobs/placement-constraints.ts';

/** Key of jobs for which the same machines are eligible, except for how much capacity their tasks need. */
export const placementKind = (spec: JobSpec): string => `${spec.class}|${placementKey(spec)}`;

interface UnplaceableJob {
  kind: string;
  job: Job;
}

/** The jobs that found no machine since the last `clear`. */
export class UnplaceableJobs {
  private readonly jobs: UnplaceableJob[] = [];

  /** Removes all jobs, as capacity may have come free. */
  clear(): void {
    this.jobs.length = 0;
  }

  /** Records that no machine was found for a task of the job; `kind` is its `placementKind`. */
  add(job: Job, kind: string): void {
    this.jobs.push({ kind, job });
  }

  /** Whether no machine was found for a job of this kind that is at least as urgent and needs no more. */
  covers(job: Job, kind: string): boolean {
    for (const unplaceable of this.jobs) {
      if (unplaceable.kind !== kind) continue;
      if (needsAtLeast(job.spec, unplaceable.job.spec) && job.priority <= unplaceable.job.priority)
        return true;
    }
    return false;
  }
}
