// What a run of the scale experiment is set up with, and what comes of it.
import { readLabOptions } from '../../../packages/local-cluster/src/index.ts';
import type { Figures } from './measure.ts';
import type { ConfigFigures } from './operator.ts';
import type { UserFigures } from './users.ts';
import {
  ACCELERATED,
  type Demand,
  PLAIN,
  PLAIN_FRACTION,
  teamsFor,
  WAITING_TEAM,
  ZONES,
} from './workload.ts';

/** A fault `atS` seconds after the measurement, or something else that is done to the cluster then. */
export type ScaleFault = { atS: number } & (
  | { kind: 'burst'; startsPerS: number; forS: number }
  | { kind: 'owner-ends' }
  | { kind: 'all-end' }
  | { kind: 'freeze-owner'; forS: number }
  | { kind: 'outage'; forS: number }
  | { kind: 'rack'; workers: number }
  | { kind: 'zone-cut'; forS: number }
  | { kind: 'restarts'; workers: number; forS: number }
  /** So many documents changed within so many seconds. */
  | { kind: 'config-burst'; documents: number; forS: number }
);

/** A run. Its fields are kept in files of figures. */
export interface RunSetup {
  demand: Demand;
  controllers: number;
  seed: number;
  /** Seconds from the start until it is measured, and for how long. */
  fillS: number;
  measureS: number;
  /** Starts a second in a burst beside the measurement; 0: none. */
  burst: number;
  /** Changes of the configuration a minute; 0: none, and no documents. */
  changesPerMinute: number;
  /** What goes wrong after the measurement. */
  troubles: readonly ScaleFault[];
  /** Seconds from the last fault to the end. */
  calmS: number;
}

/** Delays from the submission of urgent jobs to their start. */
export interface UrgentFigures {
  n: number;
  p50S: number;
  p99S: number;
  maxS: number;
}

/** What came of a run. Its fields are kept in files of figures. */
export interface RunResult {
  setup: RunSetup;
  figures: Figures;
  /** The same in the first burst of starts, with whatever goes wrong in it. */
  peak: Figures | null;
  /** Of the whole run. */
  running: number;
  peakStartsPerS: number;
  meanStartsPerS: number;
  openJobs: number;
  urgent: UrgentFigures;
  /** From each end of a leader until the next has heard all machines, in seconds. */
  takeoversS: number[];
  users: UserFigures;
  broken: string[];
  unfinished: number;
  lostByLease: number;
  rented: number;
  /** Controllers that ended by themselves. */
  ended: number;
  stateRefused: number;
  config: ConfigFigures;
}

/** Settings of workers in every run. */
export const WORKER_SETTINGS = { report_s: 5, lease_s: 24, gang_wait_s: 35, gang_peer_s: 8, cancel_s: 49 };
const STORE_SETTINGS = { rps: 100, write_rps: 40, value_kb: 8, txn_ops: 24, latency_ms: 5 };
const CLOUD_SETTINGS = { rps: 8, list_lag_s: 8, latency_ms: 80 };
const BOOT_S = 3;

/** The local cluster's options for a run. */
export function clusterOptions({ demand, controllers, seed }: RunSetup): ReturnType<typeof readLabOptions> {
  const countOf = (part: number): number => Math.max(1, Math.round((demand.workers * part) / ZONES.length));
  const teams = [...teamsFor(demand, seed), WAITING_TEAM];
  return readLabOptions('(experiment)', {
    lab: [{ port: 0, controllers, seed, zones: ZONES }],
    team: Object.fromEntries(teams.map(({ name, ...limits }) => [name, [limits]])),
    type: {
      plain: [{ ...PLAIN, price: 1, boot_s: BOOT_S, count: countOf(PLAIN_FRACTION), spot: 0 }],
      accelerated: [
        { ...ACCELERATED, price: 2.5, boot_s: BOOT_S, count: countOf(1 - PLAIN_FRACTION), spot: 0 },
      ],
    },
    workers: [WORKER_SETTINGS],
    state: [STORE_SETTINGS],
    cloud: [CLOUD_SETTINGS],
  });
}
