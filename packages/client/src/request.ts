// A caller's job, with what was left out, in the form that the service takes; refused here if it can't be right.
import { randomUUID } from 'node:crypto';
import type { JobSpec } from '../../../src/core/base/model.ts';
import { isJobId, PRIORITIES, parseJob } from '../../../src/protocol/job.ts';
import { InvalidMessageError } from '../../../src/protocol/json-fields.ts';
import { encodeJob, withOurFieldName } from '../../../src/protocol/user.ts';
import type { JobId, TeamName, TypeName, ZoneName } from '../../../src/types/index.ts';
import { InvalidRequestError, type JobRequest } from './types.ts';

const FIELDS = new Set(
  [
    'team class kind priority tasks cpus gpus memoryGb image imageGb types zone oneZone spread spot estimateS',
    'checkpointS saveS deadlineS awaits',
  ].flatMap((s) => s.split(' ')),
);

/** Unique over machines, processes and restarts: 122 random bits. */
export const newId = (): string => `run-${randomUUID()}`;

/** The body of the submission; throws BadRequest naming the field. */
export function bodyOf(id: string, request: JobRequest): string {
  const unknown = Object.keys(request).find((k) => !FIELDS.has(k));
  if (unknown !== undefined) throw new InvalidRequestError(`${unknown}: there is no such field`);
  if (!isJobId(id)) throw new InvalidRequestError(`${id}: a job id looks like run-000412`);
  const r = request;
  if (r.priority !== undefined && !Object.hasOwn(PRIORITIES, r.priority))
    throw new InvalidRequestError(`priority must be one of ${Object.keys(PRIORITIES).join(', ')}`);
  const spec: JobSpec = {
    id: id as JobId,
    class: r.class,
    team: r.team as TeamName,
    kind: r.kind ?? 'array',
    priority: PRIORITIES[r.priority ?? 'normal']!,
    tasks: r.tasks ?? 1,
    cpus: r.cpus,
    gpus: r.gpus ?? 0,
    memoryGb: r.memoryGb,
    image: r.image,
    imageGb: r.imageGb,
    machineTypes: (r.types ?? null) as TypeName[] | null,
    zone: (r.zone ?? null) as ZoneName | null,
    oneZone: r.oneZone ?? false,
    spread: r.spread ?? false,
    spot: r.spot ?? false,
    estimatedRunS: r.estimateS,
    checkpointIntervalS: r.checkpointS ?? 0,
    checkpointDurationS: r.saveS ?? 0,
    deadlineS: r.deadlineS ?? null,
    ...(r.awaits === undefined || r.awaits.length === 0 ? {} : { dependsOn: r.awaits as JobId[] }),
  };
  const body = encodeJob(spec);
  try {
    // What the service would refuse as malformed is refused before it is kept.
    parseJob(JSON.parse(body));
  } catch (e) {
    if (e instanceof InvalidMessageError) throw new InvalidRequestError(withOurFieldName(e.message));
    throw e;
  }
  return body;
}
