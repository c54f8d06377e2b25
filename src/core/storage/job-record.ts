// How jobs and their final states are stored. A job's record is one value, and further ones for a list of
// dependencies that is longer than a value may be; all are written in one transaction and deleted in one, so
// whoever finds the first finds the rest. The field names of the stored form belong to this module alone.
import type { JobId, TeamName, TypeName, WallTime, ZoneName } from '../../types/index.ts';
import type { JobKind, JobSpec, Priority, StoreItem, StoreLimits, StorePut } from '../base/model.ts';
import { jsonBytes, TRANSACTION_MAX_BYTES } from './json-size.ts';
import { DEPENDENCY_PART_PREFIX, OPEN_JOB_PREFIX } from './keys.ts';

/** A job's specification as it is stored, and as controllers pass it to each other. */
export interface StoredJobSpec {
  id: JobId;
  class: string;
  team: TeamName;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  types: TypeName[] | null;
  zone: ZoneName | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Absent when there are none, as in records of versions before 0.2. */
  awaits?: JobId[];
}

/** The stored form; its fields are in the order in which every version writes them. */
export const encodeJobSpec = (spec: JobSpec): StoredJobSpec => ({
  id: spec.id,
  class: spec.class,
  team: spec.team,
  kind: spec.kind,
  priority: spec.priority,
  tasks: spec.tasks,
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
  image: spec.image,
  imageGb: spec.imageGb,
  types: spec.machineTypes,
  zone: spec.zone,
  oneZone: spec.oneZone,
  spread: spec.spread,
  spot: spec.spot,
  estimateS: spec.estimatedRunS,
  checkpointS: spec.checkpointIntervalS,
  saveS: spec.checkpointDurationS,
  deadlineS: spec.deadlineS,
  ...(spec.dependsOn === undefined ? {} : { awaits: spec.dependsOn }),
});

/** The specification that a stored form stands for. */
export const decodeJobSpec = (stored: StoredJobSpec): JobSpec => ({
  id: stored.id,
  class: stored.class,
  team: stored.team,
  kind: stored.kind,
  priority: stored.priority,
  tasks: stored.tasks,
  cpus: stored.cpus,
  gpus: stored.gpus,
  memoryGb: stored.memoryGb,
  image: stored.image,
  imageGb: stored.imageGb,
  machineTypes: stored.types,
  zone: stored.zone,
  oneZone: stored.oneZone,
  spread: stored.spread,
  spot: stored.spot,
  estimatedRunS: stored.estimateS,
  checkpointIntervalS: stored.checkpointS,
  checkpointDurationS: stored.saveS,
  deadlineS: stored.deadlineS,
  ...(stored.awaits === undefined ? {} : { dependsOn: stored.awaits }),
});

/** What is on record of a job that has not ended. */
export interface JobRecord {
  spec: JobSpec;
  acceptedAt: WallTime;
  /** Its cancellation was confirmed; its tasks may still be stopping. */
  cancelled: boolean;
  /** Idempotency key of the write that made this value. */
  writeId: string;
  /** Number of further values, each with a part of the dependencies. */
  dependencyParts: number;
}

interface StoredJobRecord {
  s: StoredJobSpec;
  t: WallTime;
  c?: 1;
  w: string;
  x?: number;
}

/** The value under the job's key. */
export const encodeJobRecord = (record: JobRecord): StoredJobRecord => ({
  s: encodeJobSpec(record.spec),
  t: record.acceptedAt,
  ...(record.cancelled ? { c: 1 } : {}),
  w: record.writeId,
  ...(record.dependencyParts > 0 ? { x: record.dependencyParts } : {}),
});

/** The record that was read under a job's key; without the dependencies in its further values. */
export function decodeJobRecord(item: StoreItem): JobRecord {
  const stored = item.value as StoredJobRecord;
  return {
    spec: decodeJobSpec(stored.s),
    acceptedAt: stored.t,
    cancelled: stored.c === 1,
    writeId: stored.w,
    dependencyParts: stored.x ?? 0,
  };
}

/** What is on record of a job that has ended. */
export interface FinalState {
  status: 'done' | 'cancelled';
  /** Idempotency key of the write that made this value. */
  writeId: string;
  /** Null in records of versions before 0.2. */
  endedAt: WallTime | null;
}

interface StoredFinalState {
  s: FinalState['status'];
  w: string;
  t?: WallTime;
}

/** The value under the job's key. */
export const encodeFinalState = (final: FinalState): StoredFinalState => ({
  s: final.status,
  w: final.writeId,
  ...(final.endedAt === null ? {} : { t: final.endedAt }),
});

/** The final state that was read. */
export function decodeFinalState(item: StoreItem): FinalState {
  const stored = item.value as StoredFinalState;
  return { status: stored.s, writeId: stored.w, endedAt: stored.t ?? null };
}

/** A part of a job's dependencies, in a further value. */
interface StoredDependencyPart {
  a: JobId[];
}

const encodeDependencyPart = (dependsOn: JobId[]): StoredDependencyPart => ({ a: dependsOn });

/** The dependencies in one of the further values. */
export const dependenciesInPart = (item: StoreItem): JobId[] => (item.value as StoredDependencyPart).a;

/** The keys of the further values of a job that has so many. */
export const dependencyPartKeys = (id: JobId, parts: number): string[] =>
  Array.from({ length: parts }, (_, index) => `${DEPENDENCY_PART_PREFIX}${id}/${index + 1}`);

/** Bytes left free for the cancellation mark and the number of parts, which may be added later. */
const RESERVED_BYTES = 32;
/** What an id takes in a list beside itself: two quotes and a comma. */
const ID_OVERHEAD_BYTES = 3;
/** When a job has ended, one change is made for each of its values, and two more. */
const OTHER_CHANGES = 2;

/** What is to be stored for a new job; null when one transaction cannot hold it. */
export function jobRecordPuts(record: JobRecord, limits: StoreLimits): StorePut[] | null {
  const maxBytes = Math.floor(limits.maxValueKb * 1024) - RESERVED_BYTES;
  const key = OPEN_JOB_PREFIX + record.spec.id;
  const value = encodeJobRecord(record);
  if (jsonBytes(value) <= maxBytes) return [{ key, value }];
  const [first, ...more] = splitDependencies(value, maxBytes);
  // The first value names at least one, so that a reader who knows no parts sees a job that waits.
  if (first === undefined || first.length === 0) return null;
  if (more.length + OTHER_CHANGES > limits.maxTransactionOps) return null;
  const firstValue = { ...value, s: { ...value.s, awaits: first }, x: more.length };
  const partKeys = dependencyPartKeys(record.spec.id, more.length);
  const puts: StorePut[] = [
    { key, value: firstValue },
    ...more.map((ids, index) => ({ key: partKeys[index]!, value: encodeDependencyPart(ids) })),
  ];
  return jsonBytes(puts) <= TRANSACTION_MAX_BYTES ? puts : null;
}

/**
 * The dependencies in portions of which the first fits the job's own value and each other a value of its own.
 */
function splitDependencies(value: StoredJobRecord, maxBytes: number): JobId[][] {
  const { awaits = [], ...rest } = value.s;
  const parts: JobId[][] = [];
  const partMaxBytes = maxBytes - jsonBytes(encodeDependencyPart([]));
  let leftBytes = maxBytes - jsonBytes({ ...value, s: { ...rest, awaits: [] } });
  let part: JobId[] = [];
  for (const id of awaits) {
    const idBytes = id.length + ID_OVERHEAD_BYTES;
    leftBytes -= idBytes;
    if (leftBytes < 0) {
      parts.push(part);
      part = [];
      leftBytes = partMaxBytes - idBytes;
    }
    part.push(id);
  }
  parts.push(part);
  return parts;
}
