// How jobs and their final states are stored. A job's record is one value, and further ones for a list of dependencies that is
// longer than a value may be. All are written in one transaction and deleted in one, so whoever finds the first finds the rest.
// The short field names belong to the stored form alone; everything else works with the types of this module.
import type { JobId, TeamName, TypeName, WallTime, ZoneName } from '../../types/index.ts';
import type { JobKind, JobSpec, Priority, StoreItem, StoreLimits, StorePut } from '../base/model.ts';
import { jsonBytes } from './json-size.ts';
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

/** The fields in the order in which every version writes them. */
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

/** What is on record of a job that is not over. */
export interface JobRecord {
  spec: JobSpec;
  acceptedAt: WallTime;
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

export const encodeJobRecord = (record: JobRecord): StoredJobRecord => ({
  s: encodeJobSpec(record.spec),
  t: record.acceptedAt,
  ...(record.cancelled ? { c: 1 } : {}),
  w: record.writeId,
  ...(record.dependencyParts > 0 ? { x: record.dependencyParts } : {}),
});

export function decodeJobRecord(item: StoreItem): JobRecord {
  const { s, t, c, w, x } = item.value as StoredJobRecord;
  return {
    spec: decodeJobSpec(s),
    acceptedAt: t,
    cancelled: c === 1,
    writeId: w,
    dependencyParts: x ?? 0,
  };
}

/** What is on record of a job that is over. */
export interface FinalState {
  status: 'done' | 'cancelled';
  writeId: string;
  /** Null in records of versions before 0.2. */
  endedAt: WallTime | null;
}

interface StoredFinalState {
  s: FinalState['status'];
  w: string;
  t?: WallTime;
}

export const encodeFinalState = (final: FinalState): StoredFinalState => ({
  s: final.status,
  w: final.writeId,
  ...(final.endedAt === null ? {} : { t: final.endedAt }),
});

export function decodeFinalState(item: StoreItem): FinalState {
  const { s, w, t } = item.value as StoredFinalState;
  return { status: s, writeId: w, endedAt: t ?? null };
}

export const dependencyPartKeys = (id: JobId, parts: number): string[] =>
  Array.from({ length: parts }, (_, i) => `${DEPENDENCY_PART_PREFIX}${id}/${i + 1}`);

/** Bytes left free for the cancellation mark and the number of parts, which may be added later. */
const RESERVED_BYTES = 32;
/** A job that is over takes one change for each of its values, and two more. */
const OTHER_CHANGES = 2;
const TRANSACTION_MAX_BYTES = 48 * 1024;

/** What is to be stored for a new job; null when one transaction cannot hold it. */
export function jobRecordPuts(record: JobRecord, limits: StoreLimits): StorePut[] | null {
  const maxBytes = Math.floor(limits.maxValueKb * 1024) - RESERVED_BYTES;
  const key = OPEN_JOB_PREFIX + record.spec.id;
  const value = encodeJobRecord(record);
  if (jsonBytes(value) <= maxBytes) return [{ key, value }];
  const parts = splitDependencies(value, maxBytes);
  const [first, ...more] = parts;
  // The first value names at least one, so that a reader who knows no parts sees a job that waits.
  if (first === undefined || first.length === 0 || more.length + OTHER_CHANGES > limits.maxTransactionOps)
    return null;
  const head = { ...value, s: { ...value.s, awaits: first }, x: more.length };
  const keys = dependencyPartKeys(record.spec.id, more.length);
  const puts: StorePut[] = [
    { key, value: head },
    ...more.map((ids, i) => ({ key: keys[i]!, value: { a: ids } })),
  ];
  return jsonBytes(puts) <= TRANSACTION_MAX_BYTES ? puts : null;
}

/** The dependencies in portions of which the first fits the job's own value and each other a value of its own. */
function splitDependencies(value: StoredJobRecord, maxBytes: number): JobId[][] {
  const { awaits = [], ...rest } = value.s;
  const parts: JobId[][] = [];
  // Besides the list's own brackets, an id takes itself, two quotes and a comma.
  let leftBytes = maxBytes - jsonBytes({ ...value, s: { ...rest, awaits: [] } });
  let part: JobId[] = [];
  for (const id of awaits) {
    leftBytes -= id.length + 3;
    if (leftBytes < 0) {
      parts.push(part);
      part = [];
      leftBytes = maxBytes - jsonBytes({ a: [] }) - id.length - 3;
    }
    part.push(id);
  }
  parts.push(part);
  return parts;
}

/** The dependencies in one of the further values. */
export const dependenciesInPart = (item: StoreItem): JobId[] => (item.value as { a: JobId[] }).a;
