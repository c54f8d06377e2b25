// What users of the library see: jobs, their states and outcomes. Durations are in seconds, times in milliseconds of the
// time of day.

/** What every task of a job needs and how it runs. Amounts are decimal numbers; left out, a field has the value named. */
export interface JobRequest {
  /** Whose guarantee and limit apply. */
  team: string;
  /** Class of jobs that it belongs to, as the operators name them. */
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
  /** May run on machines that can be taken away at short notice; default false. */
  spot?: boolean;
  /** Estimated run time of a task in seconds, without fetching the image. */
  estimateS: number;
  /** Seconds of progress after which a task saves by itself; 0 (default): never. */
  checkpointS?: number;
  /** Seconds that saving takes when a task is stopped; default 0. */
  saveS?: number;
  /** Seconds from submission within which it should be done; null (default): no deadline. */
  deadlineS?: number | null;
  /** Ids of jobs that must be done before this one starts. */
  awaits?: string[];
}

export type JobPhase = 'queued' | 'running' | 'done' | 'cancelled';

/** What the service said of a job last. */
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
  /** The service will never run it. `status` is that of the answer; null if it was not sent, as what it awaits failed. */
  | { kind: 'refused'; id: string; status: number | null; reason: string }
  /**
   * The time that the caller gave is over, at `at`. Whether the job was accepted is told by `accepted`: null if it is not
   * known. The job goes on if it was; `resume` says what to do to hear its end.
   */
  | { kind: 'gave-up'; id: string; at: number; reason: string; accepted: boolean | null; resume: string };

/** The outbox cannot be read or written. Nothing was overwritten; `offset` is where in the file, in bytes. */
export class JournalError extends Error {
  override readonly name = 'OutboxError';
  constructor(
    readonly file: string,
    readonly offset: number,
    readonly reason: string,
  ) {
    super(`${file}, byte ${offset}: ${reason}`);
  }
}

/** A request that the library refuses before anything is kept or sent. */
export class InvalidRequestError extends Error {
  override readonly name = 'BadRequest';
}
