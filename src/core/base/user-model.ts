// Requests of users and the responses to them.
import type { JobId } from '../../types/index.ts';
import type { JobSpec, JobStatus } from './job-model.ts';

/** A request of a user. Submission and cancellation are idempotent, because the job id identifies the job. */
export type UserRequest =
  | { op: 'submit'; spec: JobSpec }
  | { op: 'status'; id: JobId }
  | { op: 'cancel'; id: JobId };

/** The response to a user's request. */
export type UserResponse =
  /** The submitted job has been stored. */
  | { kind: 'accepted'; id: JobId }
  /** The submitted job had already been accepted. */
  | { kind: 'known'; id: JobId; status: JobStatus }
  | {
      kind: 'status';
      id: JobId;
      status: JobStatus;
      /** Number of tasks that are done. */
      done: number;
      /** Number of tasks that are running. */
      running: number;
      /** Dependencies that are not done yet. */
      dependsOn?: JobId[];
      /** Why the job's waiting tasks cannot start at present. */
      reason?: string;
    }
  /** The job has ended: its final state has been stored or, for a cancelled job, its cancellation. */
  | { kind: 'ended'; id: JobId; status: 'done' | 'cancelled' }
  /** The submitted job can never run. */
  | { kind: 'impossible'; reason: string }
  /** The submitted job exceeds the maximum size of a record. */
  | { kind: 'too-large'; reason: string }
  | { kind: 'not-found' }
  /** Not served; the user should retry after `afterS` seconds. `overload`: because of overload. */
  | { kind: 'retry'; afterS: number; reason: string; overload: boolean };
