// Decodes submitted jobs from JSON to job specifications. The encoder is in user.ts.
import type { JobKind, JobSpec, Priority } from '../core/base/model.ts';
import type { JobId, MachineTypeName, TeamName, ZoneName } from '../types/index.ts';
import {
  asObject,
  InvalidMessageError,
  type JsonObject,
  readAmount,
  readBoolean,
  readCount,
  readOneOf,
  readOptional,
  readString,
} from './json-fields.ts';

const MAX_TASKS = 100_000;
const JOB_ID = /^run-[A-Za-z0-9_.-]{1,120}$/;

/** Job kinds by their names on the wire. */
export const JOB_KINDS: Record<string, JobKind> = { batch: 'array', gang: 'gang', daemon: 'service' };
/** Job priorities by their names on the wire. */
export const JOB_PRIORITIES: Record<string, Priority> = { critical: 3, urgent: 2, normal: 1, idle: 0 };

/** Whether a string has the form of a job id, such as `run-000412`. */
export function isJobId(id: string): id is JobId {
  return JOB_ID.test(id);
}

function readMachineTypes(object: JsonObject, name: string): MachineTypeName[] {
  const value = object[name];
  if (!Array.isArray(value) || value.some((type) => typeof type !== 'string'))
    throw new InvalidMessageError(`${name} must be a list of machine types`);
  return value as MachineTypeName[];
}

/** A list of job ids without duplicates, in the order of their first occurrence. */
function readJobIds(object: JsonObject, name: string): JobId[] {
  const value = object[name];
  if (!Array.isArray(value) || value.some((id) => typeof id !== 'string' || !isJobId(id)))
    throw new InvalidMessageError(`${name} must be a list of job ids like run-000412`);
  return [...new Set(value as JobId[])];
}

/**
 * Decodes the body of a submission. Unknown fields are ignored.
 * Throws `InvalidMessageError`, whose text gives the wire name of the invalid field.
 */
export function parseJob(json: unknown): JobSpec {
  const fields = asObject(json, 'the job');
  const id = readString(fields, 'nameId');
  const dependsOn = readOptional(fields, 'awaits', readJobIds) ?? [];
  if (!isJobId(id)) throw new InvalidMessageError('nameId must look like run-000412');
  return {
    id,
    class: readString(fields, 'jobclass'),
    team: readString(fields, 'owner') as TeamName,
    kind: readOneOf(fields, 'shape', JOB_KINDS),
    priority: readOneOf(fields, 'urgency', JOB_PRIORITIES),
    tasks: readCount(fields, 'pieces', 1, MAX_TASKS),
    cpus: readAmount(fields, 'cores'),
    gpus: readAmount(fields, 'accelerators'),
    memoryGb: readAmount(fields, 'memoryGb'),
    image: readString(fields, 'bundle'),
    imageGb: readAmount(fields, 'sizeGb'),
    machineTypes: readOptional(fields, 'berthkinds', readMachineTypes),
    zone: readOptional(fields, 'yard', readString) as ZoneName | null,
    oneZone: readBoolean(fields, 'samePlace'),
    spread: readBoolean(fields, 'scatter'),
    spot: readBoolean(fields, 'loaners'),
    estimatedRunS: readAmount(fields, 'guessS'),
    checkpointIntervalS: readAmount(fields, 'snapshotS'),
    checkpointDurationS: readAmount(fields, 'flushS'),
    deadlineS: readOptional(fields, 'dueS', readAmount),
    ...(dependsOn.length === 0 ? {} : { dependsOn }),
  };
}
