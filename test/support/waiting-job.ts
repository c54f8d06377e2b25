// A job in the leader's memory, outside of any world.
import type { JobSpec } from '../../src/core/base/model.ts';
import { Job } from '../../src/core/jobs/job.ts';
import type { Instant, Revision, WallTime } from '../../src/types/index.ts';

/** The job as accepted in this term: all its tasks wait for machines. */
export const waitingJob = (spec: JobSpec): Job =>
  new Job({
    spec,
    revision: 1 as Revision,
    acceptedAt: 0 as WallTime,
    seenAt: 0 as Instant,
    mayHaveUnlocatedTasks: false,
  });
