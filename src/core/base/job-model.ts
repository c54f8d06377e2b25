// The specification of a job as its user submits it, and its status.
import type { JobId, MachineTypeName, TeamName, ZoneName } from '../../types/index.ts';

/**
 * `array`: tasks run independently. `gang`: all tasks run at once. `service`: tasks run until the job is
 * cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** Priority of a job; 3 is the most urgent. */
export type Priority = 0 | 1 | 2 | 3;

/** A job's specification; immutable once submitted. */
export interface JobSpec {
  id: JobId;
  /** Name that users give to similar jobs; objectives and run time estimates are kept per class. */
  class: string;
  team: TeamName;
  kind: JobKind;
  priority: Priority;
  /** Number of tasks; at least 1. */
  tasks: number;
  /** Resources of each task. CPUs and GPUs may be fractions. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Container image, which a machine fetches before it runs a task. */
  image: string;
  /** Size of the container image. */
  imageGb: number;
  /** Machine types on which tasks may run; null for any. */
  machineTypes: MachineTypeName[] | null;
  /** The only zone in which tasks may run; null for any. */
  zone: ZoneName | null;
  /** All tasks must run in one zone. */
  oneZone: boolean;
  /** At most half of the tasks may run in one zone. */
  spread: boolean;
  /** Tasks may run on spot machines, which can be preempted. */
  spot: boolean;
  /** The user's estimate of a task's run time, not counting the fetch of the image. */
  estimatedRunS: number;
  /** Interval at which a running task saves checkpoints by itself; 0: it saves none. */
  checkpointIntervalS: number;
  /** Time that a task needs to save a checkpoint when it is stopped. */
  checkpointDurationS: number;
  /** Seconds from acceptance within which the job should be done; null for no deadline. */
  deadlineS: number | null;
  /**
   * Jobs that must be done before any task of this job starts. Absent if there are none, as in records of
   * versions without dependencies.
   */
  dependsOn?: JobId[];
}

/** A job's status as users see it. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';
