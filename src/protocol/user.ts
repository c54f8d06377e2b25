// The users' interface seen from the user's side; job.ts is the other end of it.
import type { JobSpec, JobStatus } from '../core/base/model.ts';
import type { JobId } from '../types/index.ts';
import { asObject, InvalidMessageError, KINDS, nameOf, PRIORITIES, STATUS } from './job.ts';

export interface UserCall {
  method: 'GET' | 'POST';
  path: string;
  body: string | null;
}

/** What the service says of a job. */
export interface JobStatusView {
  status: JobStatus;
  done: number;
  running: number;
}

export function encodeJob(spec: JobSpec): string {
  return JSON.stringify({
    nameId: spec.id,
    jobclass: spec.class,
    owner: spec.team,
    shape: nameOf(KINDS, spec.kind),
    urgency: nameOf(PRIORITIES, spec.priority),
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

export const submitCall = (body: string): UserCall => ({ method: 'POST', path: '/work', body });
export const statusCall = (id: JobId): UserCall => ({ method: 'GET', path: `/work/${id}`, body: null });
export const cancelCall = (id: JobId): UserCall => ({
  method: 'POST',
  path: `/work/${id}/abort`,
  body: null,
});

/** The body of an answer with status 200 or 201; throws InvalidMessage on any other. */
export function decodeJobStatus(body: string): JobStatusView {
  const f = asObject(parse(body), 'the answer');
  const status = (Object.keys(STATUS) as JobStatus[]).find((s) => STATUS[s] === f.status);
  if (status === undefined) throw new InvalidMessageError('the answer names no known status');
  const amount = (v: unknown): number => (typeof v === 'number' && v >= 0 ? v : 0);
  return { status, done: amount(f.done), running: amount(f.running) };
}

/** The reason of a refusal, as it can be read to a caller. */
export function decodeReason(status: number, body: string): string {
  try {
    const { error } = asObject(parse(body), 'the answer');
    if (typeof error === 'string' && error !== '') return error;
  } catch {}
  return `the service answered ${status} and gave no reason`;
}

function parse(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    throw new InvalidMessageError('the answer is not JSON');
  }
}

/** Fields of a job: what the wire calls them, and what we do where that differs. */
const WORDS: Record<string, string> = {
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
/** A message that begins with the wire's name of a field, with ours in its place. */
export const withOurFieldName = (message: string): string => message.replace(/^\w+/, (w) => WORDS[w] ?? w);
