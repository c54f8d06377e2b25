// Jobs as their users submit them.
import type { JobId, TeamName, TypeName, ZoneName } from '../../types/index.ts';

/**
 * `array`: tasks run independently. `gang`: all tasks run at once. `service`: tasks run until the job is
 * cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** 3 is the most urgent. */
export type Priority = 0 | 1 | 2 | 3;

/** A job's specification. It never changes. */
export interface JobSpec {
  id: JobId;
  /** Name given by users to similar jobs: objectives and run time estimates go by it. */
  class: string;
  team: TeamName;
  kind: JobKind;
  priority: Priority;
  /** Number of tasks, from 1 on. */
  tasks: number;
  /** What each task needs. CPUs and GPUs may be fractions. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Container image, and its size, which a machine fetches before it runs a task. */
  image: string;
  imageGb: number;
  /** Machine types on which tasks may run; null for any. */
  machineTypes: TypeName[] | null;
  /** The only zone in which tasks may run; null for any. */
  zone: ZoneName | null;
  /** All tasks must run in one zone. */
  oneZone: boolean;
  /** At most half of the tasks may run in one zone. */
  spread: boolean;
  /** Tasks may run on spot machines, which can be preempted. */
  spot: boolean;
  /** The user's estimate of a task's run time, without fetching the image. */
  estimatedRunS: number;
  /** Run time between two checkpoints that a task saves by itself; 0 for none. */
  checkpointIntervalS: number;
  /** How long saving a checkpoint takes when a task is stopped. */
  checkpointDurationS: number;
  /** Seconds from acceptance within which the job should be done; null for no deadline. */
  deadlineS: number | null;
  /**
   * Jobs that must be done before any task of this one starts; absent when there are none, as in older
   * records.
   */
  dependsOn?: JobId[];
}

/** A job's status as users see it. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';
