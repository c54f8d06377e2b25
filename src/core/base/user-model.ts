// Requests of users, and responses to them.
import type { JobId } from '../../types/index.ts';
import type { JobSpec, JobStatus } from './job-model.ts';

/** A request of a user. Submission and cancellation are idempotent: a job is known by its id. */
export type UserRequest =
  | { op: 'submit'; spec: JobSpec }
  | { op: 'status'; id: JobId }
  | { op: 'cancel'; id: JobId };

/** The response to a user's request. */
export type UserResponse =
  /** The submitted job is stored. */
  | { kind: 'accepted'; id: JobId }
  /** The submitted job was accepted before. */
  | { kind: 'known'; id: JobId; status: JobStatus }
  | {
      kind: 'status';
      id: JobId;
      status: JobStatus;
      /** Number of tasks that are done, and that run. */
      done: number;
      running: number;
      /** Dependencies that are not done yet. */
      dependsOn?: JobId[];
      /** Why its waiting tasks can't start as things are. */
      reason?: string;
    }
  /** The final state of the job is stored, or, of a cancelled one, its cancellation. */
  | { kind: 'ended'; id: JobId; status: 'done' | 'cancelled' }
  /** The submitted job can never run. */
  | { kind: 'impossible'; reason: string }
  /** The submitted job is larger than a record may be. */
  | { kind: 'too-large'; reason: string }
  | { kind: 'not-found' }
  /** Not served now; the user should retry after `afterS` seconds. `overload`: there is too much work. */
  | { kind: 'retry'; afterS: number; reason: string; overload: boolean };
