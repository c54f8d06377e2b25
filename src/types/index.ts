// Branded types for ids, versions and times, which the compiler keeps apart. At run time they are plain
// strings and numbers, or bigints where a number does not hold the value (uint64.ts).
import type { Uint64 } from './uint64.ts';

declare const brand: unique symbol;
type Brand<T, B> = T & { readonly [brand]: B };

/** A job's id, such as `run-000412`. */
export type JobId = Brand<string, 'JobId'>;
/** A task's id: its job's id, a slash and its index. */
export type TaskId = Brand<string, 'TaskId'>;
/** A machine's id, assigned by the cloud. */
export type MachineId = Brand<string, 'MachineId'>;
/** A controller's name in the settings files. */
export type NodeId = Brand<string, 'NodeId'>;
/** A team's name. Quotas are set per team. */
export type TeamName = Brand<string, 'TeamName'>;
/** The name of a zone of the cloud. */
export type ZoneName = Brand<string, 'ZoneName'>;
/** The name of a machine type. */
export type MachineTypeName = Brand<string, 'MachineTypeName'>;
/** The revision of a key in the store, and the store's global revision, which increases with each change. */
export type Revision = Brand<Uint64, 'Revision'>;
/** The fencing token of a leader's commands; machines reject tokens lower than the highest received. */
export type FencingToken = Brand<Uint64, 'FencingToken'>;
/** The number of an attempt to run a task; unique within the task. */
export type Attempt = Brand<Uint64, 'Attempt'>;
/** The id of a lease in the store. */
export type StoreLeaseId = Brand<Uint64, 'StoreLeaseId'>;
/** Milliseconds of this process's monotonic clock. */
export type Instant = Brand<number, 'Instant'>;
/** Milliseconds of the wall clock; only for times that must stay valid after the process has ended. */
export type WallTime = Brand<number, 'WallTime'>;
/** A duration in milliseconds. */
export type Millis = number;

/** In place of a revision: the key does not exist, or there is no such change or term. */
export const NO_REVISION = 0 as Revision;
/** The fencing token of the leader that was elected at this revision. */
export const fencingTokenOf = (term: Revision): FencingToken => term as Uint64 as FencingToken;

/** An instant later than all others. */
export const NEVER = Number.POSITIVE_INFINITY as Instant;
/** An instant earlier than all others. */
export const LONG_AGO = Number.NEGATIVE_INFINITY as Instant;

/** The id of the job's task with this index. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

/** The instant `ms` milliseconds after `instant`. */
export const addMs = (instant: Instant, ms: Millis): Instant => (instant + ms) as Instant;

/** The milliseconds that have elapsed from `then` to `now`. */
export const elapsedMs = (now: Instant, then: Instant): Millis => now - then;

/** Splits a task's id into its job's id and its index. */
export function parseTaskId(id: TaskId): { job: JobId; index: number } {
  const slash = id.lastIndexOf('/');
  return { job: id.slice(0, slash) as JobId, index: Number(id.slice(slash + 1)) };
}
