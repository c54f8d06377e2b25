// Options and results of the client's methods, besides jobs and outcomes. Durations are in seconds.
import type { JobRequest, Outcome } from './types.ts';

/** Options of `Client.open`. */
export interface ClientOptions {
  /**
   * Addresses of nodes or of their load balancer, `host:port`. Requests are spread over all of them; an
   * address that does not answer is avoided for a while.
   */
  nodes: string[];
  /**
   * Path of the journal file, in which jobs are recorded before they are sent. Without it, a script that is
   * started again cannot resume its jobs.
   */
  outbox?: string;
  /** Maximum number of connections to each node; default 8. */
  connections?: number;
  /** `submit` waits before it sends while this many submissions are not accepted yet; default 1000. */
  pending?: number;
  /**
   * Called before a new job is recorded and sent, for example to upload the commands of its tasks. If it
   * rejects, the job is not sent.
   */
  prepare?: (id: string, request: JobRequest, key: string | null) => Promise<void>;
}

/** Options of submitting a job and waiting for it. */
export interface SubmitOptions {
  /**
   * The caller's own name for this job, the same in every run of the script. With the option `outbox`, only
   * one job is ever submitted under a key.
   */
  key?: string;
  /** Id of the job; default: a new unique id. */
  id?: string;
  /** Seconds after which the client gives the job up if it was not accepted; default 600. */
  acceptWithinS?: number;
  /** Seconds after which the client gives the job up if it has not ended; default: never. The job goes on. */
  withinS?: number;
  /** Ends the caller's waiting (AbortError), not the job. */
  signal?: AbortSignal;
}

/** Options of waiting for the end of a job. */
export type WaitOptions = Pick<SubmitOptions, 'signal' | 'withinS'>;

/** Result of `Client.submit`. */
export interface Submitted {
  id: string;
  /** Null if the job was accepted and has not ended. */
  outcome: Outcome | null;
}

/** A job in the journal, as `Client.jobs` lists it. */
export interface JournalSummary {
  id: string;
  key: string | null;
  /** Null if the outcome is not known yet. */
  outcome: Outcome | null;
}
