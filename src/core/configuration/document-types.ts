// Types of configuration documents. A document replaces a part of the settings file: there is one document
// for each team, one for the objectives, and one for the scheduler options of the operators (`dispatch`).
import type { Revision, TeamName } from '../../types/index.ts';
import type { Objective } from '../base/model.ts';

/**
 * What happens to a team's running tasks above a lowered limit: `drain` lets them run to their end, `stop`
 * stops them within `withinS` seconds.
 */
export type OverQuotaPolicy = { kind: 'drain' } | { kind: 'stop'; withinS: number };

/** Guarantees (`cpus`, `gpus`) and limits (`cpusMax`, `gpusMax`) of one team. */
export interface TeamDocument {
  cpus: number;
  /** 0 means no limit, here and in `gpusMax`. */
  cpusMax: number;
  gpus: number;
  gpusMax: number;
  above: OverQuotaPolicy;
  /** Whether the team is closed to new work. Its accepted jobs continue under the limits of this document. */
  removed: boolean;
}

/**
 * Scheduler options set by the document; absent options keep the value that the program was started with.
 * Periods (`takeBackReports`) are given as a number of agent heartbeats.
 */
export interface DispatchDocument {
  threshold?: number;
  takeBackReports?: number;
  teamFloor?: number;
  classFloor?: number;
}

/** A configuration document. */
export type ConfigDocument =
  | { kind: 'team'; name: TeamName; team: TeamDocument }
  | { kind: 'objectives'; objectives: Objective[] }
  | { kind: 'dispatch'; dispatch: DispatchDocument };

/**
 * The newest change: its number, counted from 1, and the id that the operator gave it. Number 0 stands for
 * the announcement of the first change, when there are no documents yet.
 */
export interface ConfigHead {
  number: number;
  id: string;
  /** Wall time of the change, in milliseconds. */
  at: number;
}

/** All documents at the revision of the newest change. */
export interface ConfigSnapshot {
  revision: Revision;
  head: ConfigHead | null;
  documents: ConfigDocument[];
}
