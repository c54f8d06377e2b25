// Configuration documents as the program uses them. A document replaces its part of the settings file: there
// is one for each team, one for the objectives and one for the operators' own settings.
import type { Revision, TeamName } from '../../types/index.ts';
import type { Objective } from '../base/model.ts';

/**
 * What happens to a team's tasks above a lowered limit: they end by themselves, or are stopped within so many
 * seconds.
 */
export type OverQuotaPolicy = { kind: 'drain' } | { kind: 'stop'; withinS: number };

/** Guarantees and limits of one team. */
export interface TeamDocument {
  cpus: number;
  /** 0 means none, here and in `gpusMax`. */
  cpusMax: number;
  gpus: number;
  gpusMax: number;
  above: OverQuotaPolicy;
  /** Closed to new work; jobs that have not ended go on under the limits given here. */
  removed: boolean;
}

/**
 * The operators' own settings, as far as documents set them; periods are counted in heartbeats of an agent.
 */
export interface DispatchDocument {
  threshold?: number;
  takeBackReports?: number;
  teamFloor?: number;
  classFloor?: number;
}

/** One document. */
export type ConfigDocument =
  | { kind: 'team'; name: TeamName; team: TeamDocument }
  | { kind: 'objectives'; objectives: Objective[] }
  | { kind: 'dispatch'; dispatch: DispatchDocument };

/**
 * The newest change: its number, counted from 1, and the id that its operator gave it. Number 0 has no
 * documents yet.
 */
export interface ConfigHead {
  number: number;
  id: string;
  /** Wall time of the change, in milliseconds. */
  at: number;
}

/** All documents as of one revision: that of the newest change. */
export interface ConfigSnapshot {
  revision: Revision;
  head: ConfigHead | null;
  documents: ConfigDocument[];
}
