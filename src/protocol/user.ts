// The users' interface seen from the user's side; job.ts and user-response.ts are the service's side.
import type { JobSpec, JobStatus } from '../core/base/model.ts';
import type { JobId } from '../types/index.ts';
import { KINDS, PRIORITIES } from './job.ts';
import { asObject, InvalidMessageError, wireNameOf } from './json-fields.ts';
import { STATUS_NAMES } from './user-response.ts';

/** A request of a user to the service. */
export interface UserCall {
  method: 'GET' | 'POST';
  path: string;
  /** JSON, or null without a body. */
  body: string | null;
}

/** What the service says of a job. */
export interface JobStatusView {
  status: JobStatus;
  /** Number of tasks that are done. */
  done: number;
  /** Number of tasks that run. */
  running: number;
}

/** The body of a submission; `parseJob` reads it. */
export function encodeJob(spec: JobSpec): string {
  return JSON.stringify({
    nameId: spec.id,
    jobclass: spec.class,
    owner: spec.team,
    shape: wireNameOf(KINDS, spec.kind),
    urgency: wireNameOf(PRIORITIES, spec.priority),
    pieces: spec.tasks,
    cores: spec.cpus,
    accelerators: spec.gpus,
    memoryGb: spec.memoryGb,
    bundle: spec.image,
    sizeGb: spec.imageGb,
    berthkinds: spec.machineTypes,
    yard: spec.zone,
    samePlace: spec.oneZone,
    scatter: spec.spread,
    loaners: spec.spot,
    guessS: spec.estimatedRunS,
    snapshotS: spec.checkpointIntervalS,
    flushS: spec.checkpointDurationS,
    dueS: spec.deadlineS,
    ...(spec.dependsOn === undefined ? {} : { awaits: spec.dependsOn }),
  });
}

/** Submits a job, encoded by `encodeJob`. */
export const submitCall = (body: string): UserCall => ({ method: 'POST', path: '/work', body });

/** Asks for the state of a job. */
export const statusCall = (id: JobId): UserCall => ({ method: 'GET', path: `/work/${id}`, body: null });

/** Cancels a job. */
export const cancelCall = (id: JobId): UserCall => ({
  method: 'POST',
  path: `/work/${id}/abort`,
  body: null,
});

const JOB_STATUSES = Object.keys(STATUS_NAMES) as JobStatus[];

/** Reads the body of a response with status 200 or 201; throws `InvalidMessageError` on any other. */
export function decodeJobStatus(body: string): JobStatusView {
  const fields = asObject(parseBody(body), 'the answer');
  const status = JOB_STATUSES.find((name) => STATUS_NAMES[name] === fields.status);
  if (status === undefined) throw new InvalidMessageError('the answer names no known status');
  return { status, done: taskCount(fields.done), running: taskCount(fields.running) };
}

/** Responses without a number of tasks stand for none. */
function taskCount(value: unknown): number {
  return typeof value === 'number' && value >= 0 ? value : 0;
}

/** The reason of a refusal, in words for the caller. */
export function decodeReason(status: number, body: string): string {
  try {
    const { error } = asObject(parseBody(body), 'the answer');
    if (typeof error === 'string' && error !== '') return error;
  } catch {}
  return `the service answered ${status} and gave no reason`;
}

function parseBody(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch (cause) {
    throw new InvalidMessageError('the answer is not JSON', { cause });
  }
}

/** Names of a job's fields on the wire, and those of the client library where they differ. */
const CLIENT_FIELD_NAMES: Record<string, string> = {
  jobclass: 'class',
  owner: 'team',
  shape: 'kind',
  pieces: 'tasks',
  cores: 'cpus',
  accelerators: 'gpus',
  bundle: 'image',
  sizeGb: 'imageGb',
  berthkinds: 'types',
  yard: 'zone',
  samePlace: 'oneZone',
  scatter: 'spread',
  loaners: 'spot',
  guessS: 'estimateS',
  snapshotS: 'checkpointS',
  flushS: 'saveS',
  dueS: 'deadlineS',
};

/** A message that begins with a field's name on the wire, with the client library's name in its place. */
export const withOurFieldName = (message: string): string =>
  message.replace(/^\w+/, (wireName) => CLIENT_FIELD_NAMES[wireName] ?? wireName);
