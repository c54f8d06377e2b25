// Client side of the user protocol: encodes requests, decodes responses. The server side is in job.ts and
// user-response.ts.
import type { JobSpec, JobStatus } from '../core/base/model.ts';
import type { JobId } from '../types/index.ts';
import { JOB_KINDS, JOB_PRIORITIES } from './job.ts';
import { asObject, InvalidMessageError, wireNameOf } from './json-fields.ts';
import { JOB_STATUS_NAMES } from './user-response.ts';

/** A request of a user to the service. */
export interface UserCall {
  method: 'GET' | 'POST';
  path: string;
  /** JSON; null: no body. */
  body: string | null;
}

/** A job's status and progress as the service reports them. */
export interface JobStatusView {
  status: JobStatus;
  /** Number of tasks that are done. */
  done: number;
  /** Number of tasks that are running. */
  running: number;
}

/** Encodes the body of a submission; `parseJob` decodes it. */
export function encodeJob(spec: JobSpec): string {
  return JSON.stringify({
    nameId: spec.id,
    jobclass: spec.class,
    owner: spec.team,
    shape: wireNameOf(JOB_KINDS, spec.kind),
    urgency: wireNameOf(JOB_PRIORITIES, spec.priority),
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

/** The request that submits a job, with the body encoded by `encodeJob`. */
export const submitCall = (body: string): UserCall => ({ method: 'POST', path: '/work', body });

/** The request for the status of a job. */
export const statusCall = (id: JobId): UserCall => ({ method: 'GET', path: `/work/${id}`, body: null });

/** The request that cancels a job. */
export const cancelCall = (id: JobId): UserCall => ({
  method: 'POST',
  path: `/work/${id}/abort`,
  body: null,
});

const JOB_STATUSES = Object.keys(JOB_STATUS_NAMES) as JobStatus[];

/** Decodes the body of a response with status 200 or 201; throws `InvalidMessageError` if it is invalid. */
export function decodeJobStatus(body: string): JobStatusView {
  const fields = asObject(parseBody(body), 'the response');
  const status = JOB_STATUSES.find((name) => JOB_STATUS_NAMES[name] === fields.status);
  if (status === undefined)
    throw new InvalidMessageError(
      `the response's status is not one of ${Object.values(JOB_STATUS_NAMES).join(', ')}`,
    );
  return { status, done: taskCount(fields.done), running: taskCount(fields.running) };
}

/** A number of tasks; 0 if the response has none or an invalid one. */
function taskCount(value: unknown): number {
  return typeof value === 'number' && value >= 0 ? value : 0;
}

/** The reason that a refusal gives, as a text for the caller. */
export function decodeReason(status: number, body: string): string {
  try {
    const { error } = asObject(parseBody(body), 'the response');
    if (typeof error === 'string' && error !== '') return error;
  } catch {}
  return `the service answered ${status} and gave no reason`;
}

function parseBody(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch (cause) {
    throw new InvalidMessageError('the response is not JSON', { cause });
  }
}

/** Maps the wire names of a job's fields to the names in the client library, where these differ. */
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

/** Replaces the wire name of a field at the beginning of a message by its name in the client library. */
export const withClientFieldName = (message: string): string =>
  message.replace(/^\w+/, (wireName) => CLIENT_FIELD_NAMES[wireName] ?? wireName);
