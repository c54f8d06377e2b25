// Small types of their own for ids, versions and times, so that none is taken for another.
declare const brand: unique symbol;
type Brand<T, B> = T & { readonly [brand]: B };

export type JobId = Brand<string, 'JobId'>;
/** A task's name on the wire and in maps: job id, slash, index. */
export type TaskId = Brand<string, 'TaskId'>;
export type MachineId = Brand<string, 'MachineId'>;
export type NodeId = Brand<string, 'NodeId'>;
export type TeamName = Brand<string, 'TeamName'>;
export type ZoneName = Brand<string, 'ZoneName'>;
export type TypeName = Brand<string, 'TypeName'>;
/** Version of a key in the state service, and the service's change counter. */
export type Revision = Brand<number, 'Revision'>;
/** What entitles a controller to command a machine; larger wins. */
export type FencingToken = Brand<number, 'Token'>;
/** One start of a task; never used twice for the same task. */
export type Attempt = Brand<number, 'Attempt'>;
export type StoreLeaseId = Brand<number, 'HoldId'>;
/** Milliseconds on this process's steady clock. */
export type Instant = Brand<number, 'Instant'>;
/** Milliseconds of the time of day; only for what outlives a process. */
export type WallTime = Brand<number, 'WallTime'>;
/** Milliseconds between two instants. */
export type Millis = number;

export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;
export const addMs = (t: Instant, ms: Millis): Instant => (t + ms) as Instant;
export const elapsedMs = (now: Instant, then: Instant): Millis => now - then;
export const NEVER = Number.POSITIVE_INFINITY as Instant;
export const LONG_AGO = Number.NEGATIVE_INFINITY as Instant;

export function parseTaskId(id: TaskId): { job: JobId; index: number } {
  const cut = id.lastIndexOf('/');
  return { job: id.slice(0, cut) as JobId, index: Number(id.slice(cut + 1)) };
}
