// What a controller goes by: the settings file, overlaid by the configuration documents.
import type { TeamName } from '../../types/index.ts';
import type { Objective, Team } from '../base/model.ts';
import type { ConfigDocument, DispatchDocument, TeamDocument } from './document-types.ts';

/** The settings file, overlaid by the documents. */
export interface EffectiveConfig {
  teams: ReadonlyMap<TeamName, Team>;
  objectives: readonly Objective[];
  /** What documents set of the operators' own settings. */
  dispatch: DispatchDocument;
}

/** The parts of the settings file that documents may replace. */
export interface BaseConfig {
  teams: readonly Team[];
  objectives: readonly Objective[];
}

/** Replaces each part of the settings for which there is a document. */
export function overlay(base: BaseConfig, documents: readonly ConfigDocument[]): EffectiveConfig {
  const teams = new Map(base.teams.map((team) => [team.name, team]));
  let objectives = base.objectives;
  let dispatch: DispatchDocument = {};
  for (const document of documents) {
    if (document.kind === 'team') teams.set(document.name, teamOf(document.name, document.team));
    else if (document.kind === 'objectives') objectives = document.objectives;
    else dispatch = document.dispatch;
  }
  return { teams, objectives, dispatch };
}

function teamOf(name: TeamName, document: TeamDocument): Team {
  const { cpus, cpusMax, gpus, gpusMax, above, removed } = document;
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

/** Whether any limit of a team is lower than before, or a team is gone. */
export function lowersLimit(before: EffectiveConfig, after: EffectiveConfig): boolean {
  for (const [name, old] of before.teams) {
    const now = after.teams.get(name);
    if (now === undefined) return true;
    if (isLower(now.cpusMax, old.cpusMax) || isLower(now.gpusMax, old.gpusMax)) return true;
  }
  return false;
}

/** Whether a limit is lower than it was; 0 means none. */
const isLower = (limit: number, oldLimit: number): boolean =>
  limit > 0 && (oldLimit <= 0 || limit < oldLimit);
