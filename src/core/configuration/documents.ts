// Configuration documents in the state service, and how they overlay the settings file. A document replaces its part of the
// file: one for each team, one for the aims, one for the operators' own settings. Pure: reading and writing them is done
// elsewhere (configuration.ts, change.ts).
import type { Revision, TeamName } from '../../types/index.ts';
import type { Objective, StoreItem, Team } from '../base/model.ts';
import { CONFIG_HEAD_KEY, CONFIG_PREFIX } from '../storage/keys.ts';

/** Layout of the documents; one of another version is not applied. */
export const DOCUMENT_VERSION = 1;

/** What is left of a team's work above a lowered limit: it ends by itself, or is stopped within so many seconds. */
export type OverQuotaPolicy = { kind: 'drain' } | { kind: 'stop'; withinS: number };

export interface TeamDocument {
  cpus: number;
  /** 0 means none, here and in `gpusMax`. */
  cpusMax: number;
  gpus: number;
  gpusMax: number;
  above: OverQuotaPolicy;
  /** Closed to new work; unfinished jobs go on under the limits given here. */
  removed: boolean;
}

/** The operators' own settings, as far as documents set them; periods are counted in reports of a worker. */
export interface DispatchDocument {
  threshold?: number;
  takeBackReports?: number;
  teamFloor?: number;
  classFloor?: number;
}

export type ConfigDocument =
  | { kind: 'team'; name: TeamName; team: TeamDocument }
  | { kind: 'objectives'; objectives: Objective[] }
  | { kind: 'dispatch'; dispatch: DispatchDocument };

/** The newest change: its number, counted from 1, and the id that its operator gave it. Number 0 has no documents yet. */
export interface ConfigHead {
  number: number;
  id: string;
  /** Wall time of the change, in milliseconds. */
  at: number;
}

const TEAM = `${CONFIG_PREFIX}team/`;
const OBJECTIVES = `${CONFIG_PREFIX}objectives`;
const DISPATCH = `${CONFIG_PREFIX}dispatch`;

export const documentKey = (d: ConfigDocument): string =>
  d.kind === 'team' ? TEAM + d.name : d.kind === 'objectives' ? OBJECTIVES : DISPATCH;

/** The value on record. */
export function documentValue(d: ConfigDocument): Record<string, unknown> {
  const v = DOCUMENT_VERSION;
  if (d.kind === 'team') return { v, ...d.team };
  return d.kind === 'objectives' ? { v, objectives: d.objectives } : { v, ...d.dispatch };
}

/** A record that this program can't read as a configuration document. */
export class UnreadableDocumentError extends Error {
  override readonly name = 'UnreadableDocument';
  constructor(readonly key: string) {
    super(`${key} is not a configuration document of version ${DOCUMENT_VERSION}`);
  }
}

/** Throws UnreadableDocument. */
export function readDocument(key: string, value: unknown): ConfigDocument {
  const record = value as ({ v?: unknown } & Record<string, unknown>) | null;
  if (record === null || typeof record !== 'object' || record.v !== DOCUMENT_VERSION)
    throw new UnreadableDocumentError(key);
  const { v: _, ...rest } = record;
  if (key.startsWith(TEAM))
    return { kind: 'team', name: key.slice(TEAM.length) as TeamName, team: rest as unknown as TeamDocument };
  if (key === OBJECTIVES) return { kind: 'objectives', objectives: rest.objectives as Objective[] };
  if (key === DISPATCH) return { kind: 'dispatch', dispatch: rest as DispatchDocument };
  throw new UnreadableDocumentError(key);
}

export function readHead(value: unknown): ConfigHead {
  const record = value as ({ v?: unknown } & ConfigHead) | null;
  if (record?.v !== DOCUMENT_VERSION) throw new UnreadableDocumentError(CONFIG_HEAD_KEY);
  return { number: record.number, id: record.id, at: record.at };
}

export const headValue = (head: ConfigHead): Record<string, unknown> => ({ v: DOCUMENT_VERSION, ...head });

/** All documents as of one revision: that of the newest change. */
export interface ConfigSnapshot {
  revision: Revision;
  head: ConfigHead | null;
  documents: ConfigDocument[];
}

export const NO_DOCUMENTS: ConfigSnapshot = { revision: 0 as Revision, head: null, documents: [] };

/** From one listing of all configuration records, which is atomic. Throws UnreadableDocument. */
export function readSnapshot(items: readonly StoreItem[]): ConfigSnapshot {
  const head = items.find((i) => i.key === CONFIG_HEAD_KEY);
  if (head === undefined) return NO_DOCUMENTS;
  const documents = items.filter((i) => i !== head).map((i) => readDocument(i.key, i.value));
  return { revision: head.revision, head: readHead(head.value), documents };
}

/** What a controller goes by: the settings file, overlaid by the documents. */
export interface EffectiveConfig {
  teams: ReadonlyMap<TeamName, Team>;
  objectives: readonly Objective[];
  dispatch: DispatchDocument;
}

export interface BaseConfig {
  teams: readonly Team[];
  objectives: readonly Objective[];
}

export function overlay(base: BaseConfig, documents: readonly ConfigDocument[]): EffectiveConfig {
  const teams = new Map(base.teams.map((t) => [t.name, t]));
  let objectives = base.objectives;
  let dispatch: DispatchDocument = {};
  for (const d of documents) {
    if (d.kind === 'team') teams.set(d.name, teamOf(d.name, d.team));
    else if (d.kind === 'objectives') objectives = d.objectives;
    else dispatch = d.dispatch;
  }
  return { teams, objectives, dispatch };
}

function teamOf(name: TeamName, d: TeamDocument): Team {
  const { cpus, cpusMax, gpus, gpusMax, above, removed } = d;
  return {
    name,
    cpus,
    cpusMax,
    gpus,
    gpusMax,
    ...(above.kind === 'stop' ? { stopAboveWithinS: above.withinS } : {}),
    ...(removed ? { closed: true } : {}),
  };
}

/** Whether any limit of `after` is below that of `before`; a limit of 0 means none. */
export function lowersLimit(before: EffectiveConfig, after: EffectiveConfig): boolean {
  const lower = (old: number, now: number): boolean => now > 0 && (old <= 0 || now < old);
  for (const [name, old] of before.teams) {
    const now = after.teams.get(name);
    if (now === undefined || lower(old.cpusMax, now.cpusMax) || lower(old.gpusMax, now.gpusMax)) return true;
  }
  return false;
}
