// Encodes a caller's job, completed with the defaults, as a submission for the service. Invalid requests are
// rejected here, before anything is sent.
import { randomUUID } from 'node:crypto';
import type { JobSpec } from '../../../src/core/base/model.ts';
import { isJobId, JOB_PRIORITIES, parseJob } from '../../../src/protocol/job.ts';
import { InvalidMessageError } from '../../../src/protocol/json-fields.ts';
import { encodeJob, withClientFieldName } from '../../../src/protocol/user.ts';
import type { JobId, MachineTypeName, TeamName, ZoneName } from '../../../src/types/index.ts';
import { InvalidRequestError, type JobRequest } from './types.ts';

/** All field names of a request. The type makes the compiler check that the list matches `JobRequest`. */
const REQUEST_FIELDS: Record<keyof JobRequest, true> = {
  team: true,
  class: true,
  kind: true,
  priority: true,
  tasks: true,
  cpus: true,
  gpus: true,
  memoryGb: true,
  image: true,
  imageGb: true,
  types: true,
  zone: true,
  oneZone: true,
  spread: true,
  spot: true,
  estimateS: true,
  checkpointS: true,
  saveS: true,
  deadlineS: true,
  awaits: true,
};

/** Returns a new job id with 122 random bits, unique across machines, processes and restarts. */
export const newId = (): string => `run-${randomUUID()}`;

/** Encodes the body of a submission. Throws InvalidRequestError that names the invalid field. */
export function bodyOf(id: string, request: JobRequest): string {
  checkRequest(id, request);
  const body = encodeJob(specOf(id as JobId, request));
  try {
    // The parser of the service runs here too, so that a malformed request is rejected before it is recorded.
    parseJob(JSON.parse(body));
  } catch (error) {
    if (!(error instanceof InvalidMessageError)) throw error;
    throw new InvalidRequestError(withClientFieldName(error.message), { cause: error });
  }
  return body;
}

function checkRequest(id: string, request: JobRequest): void {
  const unknownField = Object.keys(request).find((field) => !Object.hasOwn(REQUEST_FIELDS, field));
  if (unknownField !== undefined) throw new InvalidRequestError(`${unknownField}: there is no such field`);
  if (!isJobId(id)) throw new InvalidRequestError(`${id}: a job id looks like run-000412`);
  const { priority } = request;
  if (priority !== undefined && !Object.hasOwn(JOB_PRIORITIES, priority))
    throw new InvalidRequestError(`priority must be one of ${Object.keys(JOB_PRIORITIES).join(', ')}`);
}

function specOf(id: JobId, request: JobRequest): JobSpec {
  const { awaits } = request;
  return {
    id,
    class: request.class,
    team: request.team as TeamName,
    kind: request.kind ?? 'array',
    priority: JOB_PRIORITIES[request.priority ?? 'normal']!,
    tasks: request.tasks ?? 1,
    cpus: request.cpus,
    gpus: request.gpus ?? 0,
    memoryGb: request.memoryGb,
    image: request.image,
    imageGb: request.imageGb,
    machineTypes: (request.types ?? null) as MachineTypeName[] | null,
    zone: (request.zone ?? null) as ZoneName | null,
    oneZone: request.oneZone ?? false,
    spread: request.spread ?? false,
    spot: request.spot ?? false,
    estimatedRunS: request.estimateS,
    checkpointIntervalS: request.checkpointS ?? 0,
    checkpointDurationS: request.saveS ?? 0,
    deadlineS: request.deadlineS ?? null,
    ...(awaits === undefined || awaits.length === 0 ? {} : { dependsOn: awaits as JobId[] }),
  };
}
