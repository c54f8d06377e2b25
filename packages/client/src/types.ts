// What users of the library see: jobs, their states, outcomes and errors. Durations are in seconds, times in
// milliseconds of the time of day.
import { SwiftfordError, type SwiftfordErrorOptions } from '../../../src/types/errors.ts';

/**
 * What every task of a job needs and how it runs. Amounts are decimal numbers; left out, a field has the
 * value named.
 */
export interface JobRequest {
  /** Team whose quota applies. */
  team: string;
  /** Job class that it belongs to, as the operators name them. */
  class: string;
  /** `array` (default): tasks run on their own. `gang`: all at once or none. `service`: until cancelled. */
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
  /** Estimated run time of a task in seconds, without fetching the image. */
  estimateS: number;
  /** Seconds of progress after which a task writes a checkpoint by itself; 0 (default): never. */
  checkpointS?: number;
  /** Seconds that writing a checkpoint takes when a task is stopped; default 0. */
  saveS?: number;
  /** Seconds from submission within which it should be done; null (default): no deadline. */
  deadlineS?: number | null;
  /** Ids of jobs that must be done before this one starts. */
  awaits?: string[];
}

/** Where a job is on its way. */
export type JobPhase = 'queued' | 'running' | 'done' | 'cancelled';

/** The state of a job as the service last gave it. */
export interface JobState {
  id: string;
  phase: JobPhase;
  /** Tasks done and running, for display. */
  done: number;
  running: number;
}

/** How a job ended for its submitter. A job has exactly one. */
export type Outcome =
  | { kind: 'done'; id: string }
  | { kind: 'cancelled'; id: string }
  /**
   * The service will never run it. `status` is that of the answer; null if it was not sent, as what it awaits
   * failed.
   */
  | { kind: 'refused'; id: string; status: number | null; reason: string }
  /**
   * The time that the caller gave was over at `at`. `accepted`: whether the service has accepted the job,
   * null if that is not known. An accepted job goes on; `resume` says how to get to know its end.
   */
  | { kind: 'gave-up'; id: string; at: number; reason: string; accepted: boolean | null; resume: string };

/** The journal (option `outbox`) cannot be read or written. Nothing was overwritten. */
export class JournalError extends SwiftfordError {
  override readonly name = 'OutboxError';
  readonly code = 'JOURNAL_FAILED';

  /** `offset`: where in the file, in bytes. */
  constructor(
    readonly file: string,
    readonly offset: number,
    readonly reason: string,
    options: SwiftfordErrorOptions = {},
  ) {
    super(`${file}, byte ${offset}: ${reason}`, options);
  }
}

/** A request that the library refuses before anything is recorded or sent. */
export class InvalidRequestError extends SwiftfordError {
  override readonly name = 'BadRequest';
  readonly code = 'INVALID_REQUEST';
}
