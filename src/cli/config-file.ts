// Reads the operators' configuration file (HCL) into configuration documents: quotas of teams, service-level
// objectives and scheduler settings. A document for which the file has no block stays unchanged.
import * as v from 'valibot';
import type { ConfigDocument, DispatchDocument, TeamDocument } from '../core/configuration/documents.ts';
import { InvalidSettingsError, objectiveOf } from '../protocol/settings.ts';
import type { TeamName } from '../types/index.ts';
import { describeHclIssue } from './hcl-issues.ts';
import { OPTION_KEYS, optionSchema } from './options.ts';

/** Longer names would exceed the length of a key in the store. */
const MAX_NAME_LENGTH = 120;
/**
 * A worker receives an eviction with the response to its next heartbeat, and its tasks save a checkpoint
 * after that: shorter times are refused.
 */
const MIN_STOP_S = 20;
const MAX_STOP_S = 86_400;

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const teamBlock = v.strictObject({
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
  above: v.optional(v.picklist(['drain', 'stop']), 'drain'),
  stop_within_s: v.optional(v.pipe(v.number(), v.minValue(MIN_STOP_S), v.maxValue(MAX_STOP_S))),
  removed: v.optional(v.boolean(), false),
});
const objectiveBlock = v.strictObject({
  kind: v.picklist(['wait', 'finished', 'deadline', 'guarantee']),
  class: v.optional(v.string()),
  within_s: v.optional(amount),
  share: v.optional(v.pipe(amount, v.maxValue(1))),
  times: v.optional(amount),
});
const dispatchBlock = v.strictObject(
  Object.fromEntries(OPTION_KEYS.map((key) => [key.hclName, v.optional(optionSchema(key))])),
);
const teamName = v.pipe(
  v.string(),
  v.maxLength(MAX_NAME_LENGTH),
  v.regex(/^[A-Za-z0-9._-]+$/, 'a team is named by letters, digits, dots, dashes and underscores'),
);
const single = <S extends v.GenericSchema>(schema: S) => v.pipe(v.array(schema), v.length(1));
const configFile = v.strictObject({
  team: v.optional(v.record(teamName, single(teamBlock)), {}),
  aim: v.optional(v.array(objectiveBlock)),
  dispatch: v.optional(single(dispatchBlock)),
});

type TeamBlock = v.InferOutput<typeof teamBlock>;

/** Converts a parsed file to documents; throws `InvalidSettingsError`, naming file and key. */
export function readConfigFile(file: string, parsed: unknown): ConfigDocument[] {
  const checked = v.safeParse(configFile, parsed);
  if (!checked.success) throw new InvalidSettingsError(describeHclIssue(file, checked.issues[0]));
  const { team: teams, aim: objectives, dispatch } = checked.output;
  const documents: ConfigDocument[] = Object.entries(teams).map(([name, blocks]) => ({
    kind: 'team',
    name: name as TeamName,
    team: teamDocument(file, name, blocks[0]!),
  }));
  if (objectives !== undefined) {
    documents.push({ kind: 'objectives', objectives: objectives.map(objectiveOf) });
  }
  if (dispatch !== undefined) {
    documents.push({ kind: 'dispatch', dispatch: dispatchDocument(dispatch[0]!) });
  }
  if (documents.length === 0)
    throw new InvalidSettingsError(`${file}: it has no team, aim or dispatch block`);
  return documents;
}

function teamDocument(file: string, team: string, block: TeamBlock): TeamDocument {
  checkTeam(file, team, block);
  return {
    cpus: block.cpus,
    cpusMax: block.cpus_max,
    gpus: block.gpus,
    gpusMax: block.gpus_max,
    above: block.above === 'stop' ? { kind: 'stop', withinS: block.stop_within_s! } : { kind: 'drain' },
    removed: block.removed,
  };
}

function checkTeam(file: string, team: string, block: TeamBlock): void {
  const fail = (key: string, problem: string): never => {
    throw new InvalidSettingsError(`${file}: team.${team}.${key}: ${problem}`);
  };
  const { cpus, cpus_max, gpus, gpus_max, above, stop_within_s } = block;
  if (cpus_max > 0 && cpus > cpus_max) fail('cpus', 'more is guaranteed than cpus_max allows');
  if (gpus_max > 0 && gpus > gpus_max) fail('gpus', 'more is guaranteed than gpus_max allows');
  if (above === 'drain' && stop_within_s !== undefined)
    fail('stop_within_s', 'goes with above = "stop" only');
  if (above === 'stop' && stop_within_s === undefined) fail('stop_within_s', 'is missing for above = "stop"');
}

function dispatchDocument(block: Record<string, number | undefined>): DispatchDocument {
  const document: Record<string, number> = {};
  for (const key of OPTION_KEYS) {
    const value = block[key.hclName];
    if (value !== undefined) document[key.name] = value;
  }
  return document;
}
