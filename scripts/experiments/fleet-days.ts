// What the fleet experiment plays: who asks for what, and what goes wrong when. Figures are relative to the
// number of machines, so that the same day can be played at any size.
import type { MachineType } from '../../src/core/base/model.ts';
import type { TeamName, TypeName, ZoneName } from '../../src/types/index.ts';

/** What goes wrong `atS` seconds into a day. `part`: of the machines. `zone`: its number in `ZONES`. */
export type DayFault =
  | { atS: number; kind: 'die' | 'hang' | 'slow'; part: number; forS: number; factor: number }
  | { atS: number; kind: 'zone'; zone: number; forS: number }
  | { atS: number; kind: 'owner-ends' }
  | { atS: number; kind: 'store'; forS: number };

/** A kind of day. */
export interface Day {
  name: string;
  about: string;
  /** What arrives, as a part of what the whole fleet can do. */
  load: number;
  /** One team asks for this many times its part, another one every third of the day; 1: none. */
  hot: number;
  troubles: DayFault[];
}

const leaderEnds = (atS: number): DayFault => ({ atS, kind: 'owner-ends' });

/** The days that are played. */
export const DAYS: Day[] = [
  { name: 'calm', about: 'room for all', load: 0.7, hot: 1, troubles: [] },
  {
    name: 'hot',
    about: 'a hot team that moves, more than fits',
    load: 2,
    hot: 12,
    troubles: [leaderEnds(250)],
  },
  {
    name: 'loss',
    about: 'machines die, hang and slow down, the owner ends',
    load: 0.9,
    hot: 4,
    troubles: [
      { atS: 150, kind: 'die', part: 0.1, forS: 0, factor: 1 },
      { atS: 180, kind: 'hang', part: 0.05, forS: 30, factor: 1 },
      { atS: 200, kind: 'slow', part: 0.05, forS: 1e6, factor: 4 },
      leaderEnds(220),
    ],
  },
  {
    name: 'zone',
    about: 'the largest zone is cut off, the owner ends, the state service is away',
    load: 0.8,
    hot: 1,
    troubles: [
      { atS: 150, kind: 'zone', zone: 0, forS: 50 },
      leaderEnds(160),
      { atS: 260, kind: 'store', forS: 20 },
    ],
  },
];

/** How often machines send heartbeats when nothing changes. */
export const HEARTBEAT_INTERVAL_MS = 4000;
/** How long machines go on unanswered. */
export const LEASE_MS = 20_000;

/** Zones of the cloud. */
export const ZONES = ['east', 'mid', 'west'] as ZoneName[];
/** Zones are of unequal size. */
const ZONE_PART = [0.5, 0.3, 0.2];
const PLAIN_TYPE = 'box' as TypeName;
const GPU_TYPE = 'lens' as TypeName;
/** Part of the machines that are without accelerators. */
const PLAIN_PART = 0.75;
/** CPUs of every machine. */
export const MACHINE_CPUS = 16;

/** Types of machines. */
export const TYPES: MachineType[] = [
  { name: PLAIN_TYPE, cpus: MACHINE_CPUS, gpus: 0, price: 1, spotPrice: 0.35, memoryGb: 64, bootS: 25 },
  { name: GPU_TYPE, cpus: MACHINE_CPUS, gpus: 2, price: 4, spotPrice: 1.4, memoryGb: 128, bootS: 40 },
].map((type) => ({ ...type, cacheGb: 50, fetchGbPerS: 0.4, zones: ZONES }));

/** How many machines of a type there are to be rented in a zone, of a fleet of this size. */
export function machinesToRent(machines: number, type: TypeName, zone: ZoneName): number {
  const typePart = type === PLAIN_TYPE ? PLAIN_PART : 1 - PLAIN_PART;
  return Math.max(1, Math.round(machines * typePart * ZONE_PART[ZONES.indexOf(zone)]!));
}

/** Objectives of the fleet's settings. */
export const OBJECTIVES = [
  { kind: 'wait', class: 'joint', withinS: 30, share: 0.9, times: null },
  { kind: 'finished', class: 'joint', withinS: 300, share: 0.97, times: null },
  { kind: 'deadline', class: 'small', withinS: null, share: 0.95, times: 1 },
  { kind: 'wait', class: 'small', withinS: 150, share: 0.99, times: null },
  { kind: 'deadline', class: 'scan', withinS: null, share: 0.9, times: 1 },
  { kind: 'wait', class: 'watch', withinS: 15, share: 0.8, times: null },
  { kind: 'guarantee', class: null, withinS: 20, share: 0.9, times: null },
];

/** Names of teams, by number. */
export const teamName = (i: number): TeamName => `team-${i}` as TeamName;
