// Computes the effective configuration of a controller from the settings file and the configuration
// documents.
import type { TeamName } from '../../types/index.ts';
import type { Objective, Team } from '../base/model.ts';
import type { ConfigDocument, DispatchDocument, TeamDocument } from './document-types.ts';

/** The settings file with the parts replaced for which there are documents. */
export interface EffectiveConfig {
  teams: ReadonlyMap<TeamName, Team>;
  objectives: readonly Objective[];
  /** The scheduler options set by the document; empty if there is none. */
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
    if (document.kind === 'team') teams.set(document.name, teamFromDocument(document.name, document.team));
    else if (document.kind === 'objectives') objectives = document.objectives;
    else dispatch = document.dispatch;
  }
  return { teams, objectives, dispatch };
}

function teamFromDocument(name: TeamName, document: TeamDocument): Team {
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

/** Whether the limit of any team is lower than before, or a team no longer exists. */
export function lowersLimit(before: EffectiveConfig, after: EffectiveConfig): boolean {
  for (const [name, previous] of before.teams) {
    const current = after.teams.get(name);
    if (current === undefined) return true;
    if (isLower(current.cpusMax, previous.cpusMax) || isLower(current.gpusMax, previous.gpusMax)) return true;
  }
  return false;
}

/** Whether a limit is lower than the old one; 0 means no limit. */
const isLower = (limit: number, oldLimit: number): boolean =>
  limit > 0 && (oldLimit <= 0 || limit < oldLimit);
