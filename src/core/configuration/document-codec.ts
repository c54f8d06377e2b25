// Encodes and decodes stored configuration documents. No other module uses the stored forms of documents;
// each stored value contains the version of its layout.

import { SwiftfordError } from '../../types/errors.ts';
import type { TeamName } from '../../types/index.ts';
import type { Objective } from '../base/model.ts';
import { CONFIG_HEAD_KEY, CONFIG_PREFIX } from '../storage/keys.ts';
import type {
  ConfigDocument,
  ConfigHead,
  DispatchDocument,
  OverQuotaPolicy,
  TeamDocument,
} from './document-types.ts';

/** Version of the layout of stored values; documents with another version are not applied. */
export const DOCUMENT_VERSION = 1;

const TEAM_PREFIX = `${CONFIG_PREFIX}team/`;
const OBJECTIVES_KEY = `${CONFIG_PREFIX}objectives`;
const DISPATCH_KEY = `${CONFIG_PREFIX}dispatch`;

/** A stored record is not a configuration document that this version of the program can read. */
export class UnreadableDocumentError extends SwiftfordError {
  readonly code = 'UNREADABLE_DOCUMENT';

  /** `key`: the key of the record. */
  constructor(readonly key: string) {
    super(`${key} is not a configuration document of version ${DOCUMENT_VERSION}`);
  }
}

type StoredPolicy = { kind: 'drain' } | { kind: 'stop'; withinS: number };

interface StoredTeam {
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
  above: StoredPolicy;
  removed: boolean;
}

interface StoredObjective {
  kind: string;
  class: string | null;
  withinS: number | null;
  share: number | null;
  times: number | null;
}

interface StoredDispatch {
  threshold?: number;
  takeBackReports?: number;
  teamFloor?: number;
  classFloor?: number;
}

interface Versioned {
  v: typeof DOCUMENT_VERSION;
}

interface StoredObjectives {
  objectives: StoredObjective[];
}

/** A document as it is stored under its key. */
export type StoredDocument = Versioned & (StoredTeam | StoredObjectives | StoredDispatch);

/** A document as it is stored within a history entry. */
export type StoredDocumentOfChange =
  | { kind: 'team'; name: TeamName; team: StoredTeam }
  | { kind: 'objectives'; objectives: StoredObjective[] }
  | { kind: 'dispatch'; dispatch: StoredDispatch };

const encodePolicy = (policy: OverQuotaPolicy): StoredPolicy =>
  policy.kind === 'stop' ? { kind: 'stop', withinS: policy.withinS } : { kind: 'drain' };

const decodePolicy = (stored: StoredPolicy): OverQuotaPolicy =>
  stored.kind === 'stop' ? { kind: 'stop', withinS: stored.withinS } : { kind: 'drain' };

const encodeTeam = (team: TeamDocument): StoredTeam => ({
  cpus: team.cpus,
  cpusMax: team.cpusMax,
  gpus: team.gpus,
  gpusMax: team.gpusMax,
  above: encodePolicy(team.above),
  removed: team.removed,
});

const decodeTeam = (stored: StoredTeam): TeamDocument => ({
  cpus: stored.cpus,
  cpusMax: stored.cpusMax,
  gpus: stored.gpus,
  gpusMax: stored.gpusMax,
  above: decodePolicy(stored.above),
  removed: stored.removed,
});

const encodeObjective = (objective: Objective): StoredObjective => ({
  kind: objective.kind,
  class: objective.class,
  withinS: objective.withinS,
  share: objective.share,
  times: objective.times,
});

const decodeObjective = (stored: StoredObjective): Objective => ({
  kind: stored.kind,
  class: stored.class,
  withinS: stored.withinS,
  share: stored.share,
  times: stored.times,
});

const encodeDispatch = (dispatch: DispatchDocument): StoredDispatch => ({
  ...(dispatch.threshold === undefined ? {} : { threshold: dispatch.threshold }),
  ...(dispatch.takeBackReports === undefined ? {} : { takeBackReports: dispatch.takeBackReports }),
  ...(dispatch.teamFloor === undefined ? {} : { teamFloor: dispatch.teamFloor }),
  ...(dispatch.classFloor === undefined ? {} : { classFloor: dispatch.classFloor }),
});

const decodeDispatch = (stored: StoredDispatch): DispatchDocument => ({
  ...(stored.threshold === undefined ? {} : { threshold: stored.threshold }),
  ...(stored.takeBackReports === undefined ? {} : { takeBackReports: stored.takeBackReports }),
  ...(stored.teamFloor === undefined ? {} : { teamFloor: stored.teamFloor }),
  ...(stored.classFloor === undefined ? {} : { classFloor: stored.classFloor }),
});

/** The key under which a document is stored. */
export function documentKey(document: ConfigDocument): string {
  if (document.kind === 'team') return TEAM_PREFIX + document.name;
  return document.kind === 'objectives' ? OBJECTIVES_KEY : DISPATCH_KEY;
}

/** The value that is stored under the key of the document. */
export function encodeDocument(document: ConfigDocument): StoredDocument {
  const v = DOCUMENT_VERSION;
  switch (document.kind) {
    case 'team':
      return { v, ...encodeTeam(document.team) };
    case 'objectives':
      return { v, objectives: document.objectives.map(encodeObjective) };
    case 'dispatch':
      return { v, ...encodeDispatch(document.dispatch) };
  }
}

/** Decodes the document stored under a key. Throws {@link UnreadableDocumentError}. */
export function decodeDocument(key: string, value: unknown): ConfigDocument {
  if (!hasSupportedVersion(value)) throw new UnreadableDocumentError(key);
  if (key.startsWith(TEAM_PREFIX)) {
    const name = key.slice(TEAM_PREFIX.length) as TeamName;
    return { kind: 'team', name, team: decodeTeam(value as unknown as StoredTeam) };
  }
  if (key === OBJECTIVES_KEY) {
    const { objectives } = value as unknown as StoredObjectives;
    return { kind: 'objectives', objectives: objectives.map(decodeObjective) };
  }
  if (key === DISPATCH_KEY) return { kind: 'dispatch', dispatch: decodeDispatch(value as StoredDispatch) };
  throw new UnreadableDocumentError(key);
}

/** Encodes a document for a history entry. */
export function encodeDocumentOfChange(document: ConfigDocument): StoredDocumentOfChange {
  switch (document.kind) {
    case 'team':
      return { kind: 'team', name: document.name, team: encodeTeam(document.team) };
    case 'objectives':
      return { kind: 'objectives', objectives: document.objectives.map(encodeObjective) };
    case 'dispatch':
      return { kind: 'dispatch', dispatch: encodeDispatch(document.dispatch) };
  }
}

/** Decodes a document of a history entry. */
export function decodeDocumentOfChange(stored: StoredDocumentOfChange): ConfigDocument {
  switch (stored.kind) {
    case 'team':
      return { kind: 'team', name: stored.name, team: decodeTeam(stored.team) };
    case 'objectives':
      return { kind: 'objectives', objectives: stored.objectives.map(decodeObjective) };
    case 'dispatch':
      return { kind: 'dispatch', dispatch: decodeDispatch(stored.dispatch) };
  }
}

interface StoredHead extends Versioned {
  number: number;
  id: string;
  at: number;
}

/** The stored value of the head and of its copy. */
export const encodeHead = (head: ConfigHead): StoredHead => ({
  v: DOCUMENT_VERSION,
  number: head.number,
  id: head.id,
  at: head.at,
});

/** Decodes the stored head. Throws {@link UnreadableDocumentError}. */
export function decodeHead(value: unknown): ConfigHead {
  if (!hasSupportedVersion(value)) throw new UnreadableDocumentError(CONFIG_HEAD_KEY);
  const { number, id, at } = value as StoredHead;
  return { number, id, at };
}

/** Whether a stored value has the supported layout version. */
export const hasSupportedVersion = (value: unknown): value is Versioned =>
  typeof value === 'object' && (value as { v?: unknown } | null)?.v === DOCUMENT_VERSION;
