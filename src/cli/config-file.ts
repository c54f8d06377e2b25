// The operators' configuration file (HCL): teams, aims and the operators' own settings, read into documents. A file names what
// it changes; all else stays.
import * as v from 'valibot';
import type { Objective } from '../core/base/model.ts';
import type { ConfigDocument, DispatchDocument, TeamDocument } from '../core/configuration/documents.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import type { TeamName } from '../types/index.ts';
import { KEYS } from './options.ts';

/** Longer names would not fit a key of the state service. */
const NAME_MAX = 120;
/** A machine is told of a stop with its next report, and its tasks save after that. */
const STOP_LEAST_S = 20;

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const teamBlock = v.strictObject({
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
  above: v.optional(v.picklist(['drain', 'stop']), 'drain'),
  stop_within_s: v.optional(v.pipe(v.number(), v.minValue(STOP_LEAST_S), v.maxValue(86_400))),
  removed: v.optional(v.boolean(), false),
});
const aimBlock = v.strictObject({
  kind: v.picklist(['wait', 'finished', 'deadline', 'guarantee']),
  class: v.optional(v.string()),
  within_s: v.optional(amount),
  share: v.optional(v.pipe(amount, v.maxValue(1))),
  times: v.optional(amount),
});
const dispatchBlock = v.strictObject(
  Object.fromEntries(
    KEYS.map((k) => {
      const number = v.pipe(v.number(), v.minValue(k.min), v.maxValue(k.max));
      return [k.hcl, v.optional(k.whole ? v.pipe(number, v.integer()) : number)];
    }),
  ),
);
const one = <S extends v.GenericSchema>(schema: S) => v.pipe(v.array(schema), v.length(1));
const teamName = v.pipe(
  v.string(),
  v.maxLength(NAME_MAX),
  v.regex(/^[A-Za-z0-9._-]+$/, 'a team is named by letters, digits, dots, dashes and underscores'),
);
const file = v.strictObject({
  team: v.optional(v.record(teamName, one(teamBlock)), {}),
  aim: v.optional(v.array(aimBlock)),
  dispatch: v.optional(one(dispatchBlock)),
});

/** The documents that a parsed file asks for; throws BadSettings naming file and key. */
export function readConfigFile(name: string, parsed: unknown): ConfigDocument[] {
  const checked = v.safeParse(file, parsed);
  if (!checked.success) throw new InvalidSettingsError(issueLine(name, checked.issues[0]));
  const { team, aim, dispatch } = checked.output;
  const documents: ConfigDocument[] = Object.entries(team).map(([of, blocks]) => ({
    kind: 'team',
    name: of as TeamName,
    team: teamDocument(name, of, blocks[0]!),
  }));
  if (aim !== undefined) documents.push({ kind: 'objectives', objectives: aim.map(objectiveOf) });
  if (dispatch !== undefined) documents.push({ kind: 'dispatch', dispatch: dispatchDocument(dispatch[0]!) });
  if (documents.length === 0)
    throw new InvalidSettingsError(`${name}: it has no team, aim or dispatch block`);
  return documents;
}

function issueLine(name: string, issue: v.BaseIssue<unknown>): string {
  const path = issue.path?.map((p) => String(p.key)).filter((p) => p !== '0');
  const what = issue.expected === 'never' ? 'unknown name' : issue.message;
  return `${name}: ${path?.join('.') ?? '(whole file)'}: ${what}`;
}

function teamDocument(name: string, team: string, b: v.InferOutput<typeof teamBlock>): TeamDocument {
  const fail = (key: string, what: string): never => {
    throw new InvalidSettingsError(`${name}: team.${team}.${key}: ${what}`);
  };
  if (b.cpus_max > 0 && b.cpus > b.cpus_max) fail('cpus', 'more is guaranteed than cpus_max allows');
  if (b.gpus_max > 0 && b.gpus > b.gpus_max) fail('gpus', 'more is guaranteed than gpus_max allows');
  if (b.above === 'drain' && b.stop_within_s !== undefined)
    fail('stop_within_s', 'goes with above = "stop" only');
  if (b.above === 'stop' && b.stop_within_s === undefined)
    fail('stop_within_s', 'is missing for above = "stop"');
  return {
    cpus: b.cpus,
    cpusMax: b.cpus_max,
    gpus: b.gpus,
    gpusMax: b.gpus_max,
    above: b.above === 'stop' ? { kind: 'stop', withinS: b.stop_within_s! } : { kind: 'drain' },
    removed: b.removed,
  };
}

const objectiveOf = (b: v.InferOutput<typeof aimBlock>): Objective => ({
  kind: b.kind,
  class: b.class ?? null,
  withinS: b.within_s ?? null,
  share: b.share ?? null,
  times: b.times ?? null,
});

function dispatchDocument(block: Record<string, number | undefined>): DispatchDocument {
  const out: Record<string, number> = {};
  for (const k of KEYS) {
    const value = block[k.hcl];
    if (value !== undefined) out[k.name] = value;
  }
  return out;
}
