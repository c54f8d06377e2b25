// The days of the fleet experiment: the load and the faults of each. Figures are relative to the number of
// machines, so that a day can be run with a fleet of any size.
import type { MachineType } from '../../src/core/base/model.ts';
import type { MachineTypeName, TeamName, ZoneName } from '../../src/types/index.ts';

/**
 * A fault that is injected `atS` seconds into a day. `fraction`: of the running machines. `zone`: index into
 * `ZONES`.
 */
export type DayFault =
  | { atS: number; kind: 'crash' | 'hang' | 'slow'; fraction: number; forS: number; factor: number }
  | { atS: number; kind: 'zone-cut'; zone: number; forS: number }
  | { atS: number; kind: 'leader-crash' }
  | { atS: number; kind: 'store-outage'; forS: number };

/** A day: a load and a sequence of faults. */
export interface Day {
  name: string;
  about: string;
  /** CPU demand of the arriving jobs, as a fraction of the CPU capacity of the whole fleet. */
  load: number;
  /**
   * Demand of the hot team as a multiple of a usual team's; another team is hot in each third of the day. 1:
   * none.
   */
  hotTeamFactor: number;
  faults: DayFault[];
}

const leaderCrash = (atS: number): DayFault => ({ atS, kind: 'leader-crash' });

/** All days of the experiment. */
export const DAYS: Day[] = [
  { name: 'calm', about: 'enough capacity for all jobs', load: 0.7, hotTeamFactor: 1, faults: [] },
  {
    name: 'hot',
    about: 'demand above capacity, with one hot team at a time',
    load: 2,
    hotTeamFactor: 12,
    faults: [leaderCrash(250)],
  },
  {
    name: 'loss',
    about: 'machines crash, hang and slow down, the leader crashes',
    load: 0.9,
    hotTeamFactor: 4,
    faults: [
      { atS: 150, kind: 'crash', fraction: 0.1, forS: 0, factor: 1 },
      { atS: 180, kind: 'hang', fraction: 0.05, forS: 30, factor: 1 },
      { atS: 200, kind: 'slow', fraction: 0.05, forS: 1e6, factor: 4 },
      leaderCrash(220),
    ],
  },
  {
    name: 'zone',
    about: 'the largest zone is cut off, the leader crashes, the key-value store is unavailable',
    load: 0.8,
    hotTeamFactor: 1,
    faults: [
      { atS: 150, kind: 'zone-cut', zone: 0, forS: 50 },
      leaderCrash(160),
      { atS: 260, kind: 'store-outage', forS: 20 },
    ],
  },
];

/** Interval between the heartbeats of a machine whose tasks do not change. */
export const HEARTBEAT_INTERVAL_MS = 4000;
/** Time without a heartbeat response after which a machine stops its tasks. */
export const LEASE_MS = 20_000;

/** Zones of the cloud. */
export const ZONES = ['east', 'mid', 'west'] as ZoneName[];
/** Fractions of the machines that are in each zone, in the order of `ZONES`. */
const ZONE_FRACTIONS = [0.5, 0.3, 0.2];
const PLAIN_TYPE = 'box' as MachineTypeName;
const GPU_TYPE = 'lens' as MachineTypeName;
/** Fraction of the machines that have no accelerators. */
const PLAIN_FRACTION = 0.75;
/** CPUs of every machine. */
export const MACHINE_CPUS = 16;

/** Types of machines. */
export const TYPES: MachineType[] = [
  { name: PLAIN_TYPE, cpus: MACHINE_CPUS, gpus: 0, price: 1, spotPrice: 0.35, memoryGb: 64, bootS: 25 },
  { name: GPU_TYPE, cpus: MACHINE_CPUS, gpus: 2, price: 4, spotPrice: 1.4, memoryGb: 128, bootS: 40 },
].map((type) => ({ ...type, cacheGb: 50, fetchGbPerS: 0.4, zones: ZONES }));

/** Number of machines of a type that can be rented in a zone, for a fleet of `machines` machines. */
export function machinesToRent(machines: number, type: MachineTypeName, zone: ZoneName): number {
  const typeFraction = type === PLAIN_TYPE ? PLAIN_FRACTION : 1 - PLAIN_FRACTION;
  return Math.max(1, Math.round(machines * typeFraction * ZONE_FRACTIONS[ZONES.indexOf(zone)]!));
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

/** Name of the `i`th team. */
export const teamName = (i: number): TeamName => `team-${i}` as TeamName;
