// What callers give to a client and get from it, besides jobs and outcomes. Durations are in seconds.
import type { JobRequest, Outcome } from './types.ts';

/** How a client reaches the service. */
export interface ClientOptions {
  /**
   * Addresses of nodes or of their load balancer, `host:port`. Each is asked, and avoided for a while when it
   * fails.
   */
  nodes: string[];
  /**
   * File of the journal, in which jobs are recorded before they are sent; without it a script that ends
   * forgets them.
   */
  outbox?: string;
  /** Connections to each node; default 8. */
  connections?: number;
  /** Submissions that may wait for acceptance before `submit` itself waits; default 1000. */
  pending?: number;
  /**
   * Called before a new job is recorded and sent, as to upload what its tasks need; the job is not sent if it
   * fails.
   */
  prepare?: (id: string, request: JobRequest, key: string | null) => Promise<void>;
}

/** How one job is submitted and waited for. */
export interface SubmitOptions {
  /**
   * The caller's own name for this job, the same whenever the script runs. With an outbox: submitted once
   * under it.
   */
  key?: string;
  /** Id of the job; by default a new one. */
  id?: string;
  /** Seconds after which it is given up if it was not accepted; default 600. */
  acceptWithinS?: number;
  /** Seconds after which it is given up if it has not ended; default: never. The job itself goes on. */
  withinS?: number;
  /** Ends the caller's waiting (AbortError), not the job. */
  signal?: AbortSignal;
}

/** How the end of a job is waited for. */
export type WaitOptions = Pick<SubmitOptions, 'signal' | 'withinS'>;

/** A job that was submitted. */
export interface Submitted {
  id: string;
  /** Null if it was accepted and goes on. */
  outcome: Outcome | null;
}

/** A job of the journal. */
export interface JournalSummary {
  id: string;
  key: string | null;
  /** Null if it is not known yet. */
  outcome: Outcome | null;
}
