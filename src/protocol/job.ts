// Jobs between JSON on the wire and the domain.
import type { JobKind, JobSpec, JobStatus, Priority, UserResponse } from '../core/base/model.ts';
import type { JobId, TeamName, TypeName, ZoneName } from '../types/index.ts';

const MAX_TASKS = 100_000;
const JOB_ID = /^run-[A-Za-z0-9_.-]{1,120}$/;
export const KINDS: Record<string, JobKind> = { batch: 'array', gang: 'gang', daemon: 'service' };
export const PRIORITIES: Record<string, Priority> = { critical: 3, urgent: 2, normal: 1, idle: 0 };
export const STATUS: Record<JobStatus, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

/** The wire's name of a value that has one. */
export const nameOf = <T>(known: Record<string, T>, value: T): string =>
  Object.keys(known).find((k) => known[k] === value)!;

/** Says which field is wrong; the message is shown to the user. */
export class InvalidMessageError extends Error {}

type Fields = Record<string, unknown>;

export function asObject(value: unknown, what: string): Fields {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new InvalidMessageError(`${what} must be an object`);
  return value as Fields;
}

export function text(f: Fields, name: string): string {
  const v = f[name];
  if (typeof v !== 'string' || v === '' || v.length > 200)
    throw new InvalidMessageError(`${name} must be a string`);
  return v;
}

export function amount(f: Fields, name: string, min = 0, max = 1e9): number {
  const v = f[name];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < min || v > max)
    throw new InvalidMessageError(`${name} must be a number from ${min}`);
  return v;
}

export function count(f: Fields, name: string, min = 0, max = Number.MAX_SAFE_INTEGER): number {
  const v = f[name];
  if (typeof v !== 'number' || !Number.isInteger(v) || v < min || v > max)
    throw new InvalidMessageError(`${name} must be a whole number from ${min} to ${max}`);
  return v;
}

export function flag(f: Fields, name: string): boolean {
  const v = f[name];
  if (typeof v !== 'boolean') throw new InvalidMessageError(`${name} must be true or false`);
  return v;
}

export const optional = <T>(f: Fields, name: string, read: (f: Fields, name: string) => T): T | null =>
  f[name] === undefined || f[name] === null ? null : read(f, name);

function oneOf<T>(f: Fields, name: string, known: Record<string, T>): T {
  const v = f[name];
  if (typeof v !== 'string' || !Object.hasOwn(known, v))
    throw new InvalidMessageError(`${name} must be one of ${Object.keys(known).join(', ')}`);
  return known[v] as T;
}

function typeNames(f: Fields, name: string): TypeName[] {
  const v = f[name];
  if (!Array.isArray(v) || v.some((x) => typeof x !== 'string'))
    throw new InvalidMessageError(`${name} must be a list of machine types`);
  return v as TypeName[];
}

function jobIds(f: Fields, name: string): JobId[] {
  const v = f[name];
  if (!Array.isArray(v) || v.some((x) => typeof x !== 'string' || !isJobId(x)))
    throw new InvalidMessageError(`${name} must be a list of job ids like run-000412`);
  return [...new Set(v as JobId[])];
}

export function isJobId(id: string): id is JobId {
  return JOB_ID.test(id);
}

export function parseJob(json: unknown): JobSpec {
  const f = asObject(json, 'the job');
  const id = text(f, 'nameId');
  const dependsOn = optional(f, 'awaits', jobIds) ?? [];
  if (!isJobId(id)) throw new InvalidMessageError('nameId must look like run-000412');
  return {
    id,
    class: text(f, 'jobclass'),
    team: text(f, 'owner') as TeamName,
    kind: oneOf(f, 'shape', KINDS),
    priority: oneOf(f, 'urgency', PRIORITIES),
    tasks: count(f, 'pieces', 1, MAX_TASKS),
    cpus: amount(f, 'cores'),
    gpus: amount(f, 'accelerators'),
    memoryGb: amount(f, 'memoryGb'),
    image: text(f, 'bundle'),
    imageGb: amount(f, 'sizeGb'),
    machineTypes: optional(f, 'berthkinds', typeNames),
    zone: optional(f, 'yard', text) as ZoneName | null,
    oneZone: flag(f, 'samePlace'),
    spread: flag(f, 'scatter'),
    spot: flag(f, 'loaners'),
    estimatedRunS: amount(f, 'guessS'),
    checkpointIntervalS: amount(f, 'snapshotS'),
    checkpointDurationS: amount(f, 'flushS'),
    deadlineS: optional(f, 'dueS', amount),
    ...(dependsOn.length === 0 ? {} : { dependsOn }),
  };
}

export interface HttpResponse {
  status: number;
  body: string;
  retryAfterS?: number;
}

export const errorResponse = (status: number, reason: string, retryAfterS?: number): HttpResponse => ({
  status,
  body: JSON.stringify({ error: reason }),
  ...(retryAfterS === undefined ? {} : { retryAfterS }),
});

export function encodeUserResponse(a: UserResponse): HttpResponse {
  switch (a.kind) {
    case 'accepted':
      return { status: 201, body: JSON.stringify({ nameId: a.id, status: STATUS.queued }) };
    case 'known':
    case 'ended':
      return { status: 200, body: JSON.stringify({ nameId: a.id, status: STATUS[a.status] }) };
    case 'status':
      return {
        status: 200,
        body: JSON.stringify({
          nameId: a.id,
          status: STATUS[a.status],
          done: a.done,
          running: a.running,
          ...(a.dependsOn === undefined ? {} : { awaits: a.dependsOn }),
          ...(a.reason === undefined ? {} : { reason: a.reason }),
        }),
      };
    case 'too-large':
      return errorResponse(400, a.reason);
    case 'impossible':
      return errorResponse(422, a.reason);
    case 'not-found':
      return errorResponse(404, 'no such job');
    case 'retry':
      return errorResponse(a.overload ? 429 : 503, a.reason, a.afterS);
  }
}
