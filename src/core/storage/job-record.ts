// Stored form of jobs and of their final states. The record of a job is one value; if its list of
// dependencies does not fit, the rest of the list is in further values, the dependency parts. All values are
// written in one transaction and deleted in one, so a reader that finds the first finds the rest. No other
// module uses the field names of the stored form.
import type { JobId, MachineTypeName, TeamName, WallTime, ZoneName } from '../../types/index.ts';
import type { JobKind, JobSpec, Priority, StoreItem, StoreLimits, StorePut } from '../base/model.ts';
import { jsonBytes, maxValueBytes, TRANSACTION_MAX_BYTES } from './json-size.ts';
import { DEPENDENCY_PART_PREFIX, OPEN_JOB_PREFIX } from './keys.ts';

/** A job's specification as it is stored, and as controllers send it to each other. */
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
  types: MachineTypeName[] | null;
  zone: ZoneName | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Absent if there are no dependencies, as in records of versions before 0.2. */
  awaits?: JobId[];
}

/** Encodes a specification; the fields are in the order in which every version writes them. */
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

/** Decodes a stored specification. */
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

/** Stored record of a job that has not ended. */
export interface JobRecord {
  spec: JobSpec;
  acceptedAt: WallTime;
  /** The cancellation was confirmed to the user; tasks may still be stopping. */
  cancelled: boolean;
  /** Idempotency key of the write that made this value. */
  writeId: string;
  /** Number of further values, each with some of the dependencies. */
  dependencyParts: number;
}

interface StoredJobRecord {
  s: StoredJobSpec;
  t: WallTime;
  c?: 1;
  w: string;
  x?: number;
}

/** The value that is stored under the job's key. */
export const encodeJobRecord = (record: JobRecord): StoredJobRecord => ({
  s: encodeJobSpec(record.spec),
  t: record.acceptedAt,
  ...(record.cancelled ? { c: 1 } : {}),
  w: record.writeId,
  ...(record.dependencyParts > 0 ? { x: record.dependencyParts } : {}),
});

/** Decodes the value under a job's key; the result lacks the dependencies in the dependency parts. */
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

/** Stored final state of a job that has ended. */
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

/** The value that is stored under the key of the job's final state. */
export const encodeFinalState = (final: FinalState): StoredFinalState => ({
  s: final.status,
  w: final.writeId,
  ...(final.endedAt === null ? {} : { t: final.endedAt }),
});

/** Decodes the value under the key of a job's final state. */
export function decodeFinalState(item: StoreItem): FinalState {
  const stored = item.value as StoredFinalState;
  return { status: stored.s, writeId: stored.w, endedAt: stored.t ?? null };
}

/** A dependency part: a further value with some of a job's dependencies. */
interface StoredDependencyPart {
  a: JobId[];
}

const encodeDependencyPart = (dependsOn: JobId[]): StoredDependencyPart => ({ a: dependsOn });

/** The dependencies in a dependency part. */
export const dependenciesInPart = (item: StoreItem): JobId[] => (item.value as StoredDependencyPart).a;

/** The keys of a job's dependency parts; `parts` is their number. */
export const dependencyPartKeys = (id: JobId, parts: number): string[] =>
  Array.from({ length: parts }, (_, index) => `${DEPENDENCY_PART_PREFIX}${id}/${index + 1}`);

/** Bytes kept free for the cancellation mark and the number of parts, which may be added later. */
const RESERVED_BYTES = 32;
/** Bytes that an id takes in a JSON list in addition to its own: two quotes and a comma. */
const ID_OVERHEAD_BYTES = 3;
/**
 * Changes in the transaction that ends a job, in addition to one deletion for each dependency part: its
 * record is deleted and its final state put.
 */
const OTHER_FINAL_CHANGES = 2;

/** The values to store for a new job; null if they do not fit into one transaction. */
export function jobRecordPuts(record: JobRecord, limits: StoreLimits): StorePut[] | null {
  const maxBytes = maxValueBytes(limits) - RESERVED_BYTES;
  const key = OPEN_JOB_PREFIX + record.spec.id;
  const value = encodeJobRecord(record);
  if (jsonBytes(value) <= maxBytes) return [{ key, value }];
  const [ownDependencies, ...dependencyParts] = splitDependencies(value, maxBytes);
  // The first value contains at least one dependency: a version that does not support dependency parts then
  // still detects that the job waits for others.
  if (ownDependencies === undefined || ownDependencies.length === 0) return null;
  if (dependencyParts.length + OTHER_FINAL_CHANGES > limits.maxTransactionOps) return null;
  const firstValue = { ...value, s: { ...value.s, awaits: ownDependencies }, x: dependencyParts.length };
  const partKeys = dependencyPartKeys(record.spec.id, dependencyParts.length);
  const puts: StorePut[] = [
    { key, value: firstValue },
    ...dependencyParts.map((ids, index) => ({ key: partKeys[index]!, value: encodeDependencyPart(ids) })),
  ];
  return jsonBytes(puts) <= TRANSACTION_MAX_BYTES ? puts : null;
}

/**
 * Splits the dependencies into portions: the first fits into the job's own value, each other one into a
 * further value.
 */
function splitDependencies(value: StoredJobRecord, maxBytes: number): JobId[][] {
  const { awaits = [], ...rest } = value.s;
  const portions: JobId[][] = [];
  const partMaxBytes = maxBytes - jsonBytes(encodeDependencyPart([]));
  let remainingBytes = maxBytes - jsonBytes({ ...value, s: { ...rest, awaits: [] } });
  let portion: JobId[] = [];
  for (const id of awaits) {
    const idBytes = id.length + ID_OVERHEAD_BYTES;
    remainingBytes -= idBytes;
    if (remainingBytes < 0) {
      portions.push(portion);
      portion = [];
      remainingBytes = partMaxBytes - idBytes;
    }
    portion.push(id);
  }
  portions.push(portion);
  return portions;
}
