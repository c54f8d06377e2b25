// Public types of the library: job requests, states, outcomes and errors. Durations are in seconds, times in
// milliseconds of the time of day.
import { SwiftfordError, type SwiftfordErrorOptions } from '../../../src/types/errors.ts';

/**
 * A job to submit. Resource amounts apply to each task and are decimal numbers. The default of an optional
 * field is named with it.
 */
export interface JobRequest {
  /** Team whose quota applies. */
  team: string;
  /** Job class, one of those that the operators define. */
  class: string;
  /**
   * `array` (default): tasks run independently. `gang`: all tasks run at the same time or none does.
   * `service`: tasks run until the job is cancelled.
   */
  kind?: 'array' | 'gang' | 'service';
  /** Default `normal`. */
  priority?: 'critical' | 'urgent' | 'normal' | 'idle';
  /** Number of tasks, 1 (default) to 100,000. */
  tasks?: number;
  cpus: number;
  /** Accelerators; default 0. */
  gpus?: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null (default) for any. */
  types?: string[] | null;
  /** The only allowed zone; null (default) for any. */
  zone?: string | null;
  /** All tasks in one zone; default false. */
  oneZone?: boolean;
  /** At most half of the tasks in one zone; default false. */
  spread?: boolean;
  /** May run on spot (preemptible) machines; default false. */
  spot?: boolean;
  /** Estimated run time of a task in seconds, not counting the fetching of the image. */
  estimateS: number;
  /** Interval of a task's periodic checkpoints in seconds of progress; 0 (default): none. */
  checkpointS?: number;
  /** Seconds that a task takes to write a checkpoint when it is stopped; default 0. */
  saveS?: number;
  /** Seconds from submission within which the job should be done; null (default): no deadline. */
  deadlineS?: number | null;
  /** Ids of jobs that must be done before this job starts. */
  awaits?: string[];
}

/** Phase of a job. */
export type JobPhase = 'queued' | 'running' | 'done' | 'cancelled';

/** The state of a job as the service last reported it. */
export interface JobState {
  id: string;
  phase: JobPhase;
  /** Number of tasks done, for display. */
  done: number;
  /** Number of tasks running, for display. */
  running: number;
}

/** How a job ended for its submitter. A job has exactly one. */
export type Outcome =
  | { kind: 'done'; id: string }
  | { kind: 'cancelled'; id: string }
  /**
   * The service will never run the job. `status`: HTTP status of the response; null if the job was not sent
   * because one of its dependencies failed.
   */
  | { kind: 'refused'; id: string; status: number | null; reason: string }
  /**
   * The time-out of the caller ended at `at`. `accepted`: whether the service has accepted the job; null if
   * unknown. An accepted job goes on; `resume` explains how to find out its end.
   */
  | { kind: 'gave-up'; id: string; at: number; reason: string; accepted: boolean | null; resume: string };

/** The journal (option `outbox`) cannot be read or written. Existing records were not overwritten. */
export class JournalError extends SwiftfordError {
  override readonly name = 'OutboxError';
  readonly code = 'JOURNAL_FAILED';

  /** `offset`: position of the error in the file, in bytes. */
  constructor(
    readonly file: string,
    readonly offset: number,
    readonly reason: string,
    options: SwiftfordErrorOptions = {},
  ) {
    super(`${file}, byte ${offset}: ${reason}`, options);
  }
}

/** A request or option is invalid. The library throws this error before anything is recorded or sent. */
export class InvalidRequestError extends SwiftfordError {
  override readonly name = 'BadRequest';
  readonly code = 'INVALID_REQUEST';
}
