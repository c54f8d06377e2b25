// Types of their own for ids, versions and times, so that the compiler tells them apart. At run time they are plain
// strings and numbers.
declare const brand: unique symbol;
type Brand<T, B> = T & { readonly [brand]: B };

/** A job's id, such as `run-000412`. */
export type JobId = Brand<string, 'JobId'>;
/** A task's id: its job's id, a slash and its index. */
export type TaskId = Brand<string, 'TaskId'>;
/** A machine's id, given by the cloud. */
export type MachineId = Brand<string, 'MachineId'>;
/** A controller's name in the settings files. */
export type NodeId = Brand<string, 'NodeId'>;
/** A team's name; quotas are given to teams. */
export type TeamName = Brand<string, 'TeamName'>;
/** The name of a zone of the cloud. */
export type ZoneName = Brand<string, 'ZoneName'>;
/** The name of a machine type. */
export type TypeName = Brand<string, 'TypeName'>;
/** The version of a key in the store; also the store's counter of changes. */
export type Revision = Brand<number, 'Revision'>;
/** What entitles a leader to command a machine; the larger one wins. */
export type FencingToken = Brand<number, 'Token'>;
/** The number of one start of a task; never used twice for the same task. */
export type Attempt = Brand<number, 'Attempt'>;
/** A lease of the store. */
export type StoreLeaseId = Brand<number, 'HoldId'>;
/** Milliseconds on this process's steady clock. */
export type Instant = Brand<number, 'Instant'>;
/** Milliseconds of the time of day; only for what outlives a process. */
export type WallTime = Brand<number, 'WallTime'>;
/** A duration in milliseconds. */
export type Millis = number;

/** An instant after all others. */
export const NEVER = Number.POSITIVE_INFINITY as Instant;
/** An instant before all others. */
export const LONG_AGO = Number.NEGATIVE_INFINITY as Instant;

/** The id of a job's task. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

/** The instant so many milliseconds after another. */
export const addMs = (instant: Instant, ms: Millis): Instant => (instant + ms) as Instant;

/** The milliseconds from `then` to `now`. */
export const elapsedMs = (now: Instant, then: Instant): Millis => now - then;

/** The parts of a task's id. */
export function parseTaskId(id: TaskId): { job: JobId; index: number } {
  const slash = id.lastIndexOf('/');
  return { job: id.slice(0, slash) as JobId, index: Number(id.slice(slash + 1)) };
}
