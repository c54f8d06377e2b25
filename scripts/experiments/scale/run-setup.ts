// The setup and the result of a run of the scale experiment.
import { readLocalClusterOptions } from '../../../packages/local-cluster/src/index.ts';
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

/** A fault or a burst of load that begins `atS` seconds after the measurement. */
export type ScaleFault = { atS: number } & (
  | { kind: 'burst'; startsPerS: number; forS: number }
  | { kind: 'owner-ends' }
  | { kind: 'all-end' }
  | { kind: 'freeze-owner'; forS: number }
  | { kind: 'outage'; forS: number }
  | { kind: 'rack'; workers: number }
  | { kind: 'zone-cut'; forS: number }
  | { kind: 'restarts'; workers: number; forS: number }
  /** Changes `documents` configuration documents within `forS` seconds. */
  | { kind: 'config-burst'; documents: number; forS: number }
);

/** The setup of a run. It is written to files of figures, so its fields keep their names. */
export interface RunSetup {
  demand: Demand;
  controllers: number;
  seed: number;
  /** Seconds from the start until the measurement, and the duration of the measurement. */
  fillS: number;
  measureS: number;
  /** Starts a second in a burst during the measurement; 0: no burst. */
  burst: number;
  /** Configuration changes a minute; 0: none, so that there are no configuration documents. */
  changesPerMinute: number;
  /** Faults after the measurement. */
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

/** The result of a run. It is written to files of figures, so its fields keep their names. */
export interface RunResult {
  setup: RunSetup;
  figures: Figures;
  /** Figures during the first burst of starts, including the faults that happen in it. */
  peak: Figures | null;
  /** Tasks on machines at the end of the measurement. */
  running: number;
  /** Highest rate of task starts in the whole run. */
  peakStartsPerS: number;
  /** Mean rate of task starts during the measurement. */
  meanStartsPerS: number;
  /** Accepted jobs that were not over at the end of the measurement. */
  openJobs: number;
  urgent: UrgentFigures;
  /** Seconds from each loss of a leader until the next one has received heartbeats of all machines. */
  takeoversS: number[];
  users: UserFigures;
  broken: string[];
  unfinished: number;
  lostByLease: number;
  rented: number;
  /** How often controllers ended by themselves, without a signal. */
  ended: number;
  stateRefused: number;
  config: ConfigFigures;
}

/** Settings of workers in every run. */
export const WORKER_SETTINGS = { report_s: 5, lease_s: 24, gang_wait_s: 35, gang_peer_s: 8, cancel_s: 49 };
const STORE_SETTINGS = { rps: 100, write_rps: 40, value_kb: 8, txn_ops: 24, latency_ms: 5 };
const CLOUD_SETTINGS = { rps: 8, list_lag_s: 8, latency_ms: 80 };
const BOOT_S = 3;

/** The options of the local cluster for a run. */
export function clusterOptions({
  demand,
  controllers,
  seed,
}: RunSetup): ReturnType<typeof readLocalClusterOptions> {
  const countPerZone = (fraction: number): number =>
    Math.max(1, Math.round((demand.workers * fraction) / ZONES.length));
  const teams = [...teamsFor(demand, seed), WAITING_TEAM];
  return readLocalClusterOptions('(experiment)', {
    lab: [{ port: 0, controllers, seed, zones: ZONES }],
    team: Object.fromEntries(teams.map(({ name, ...limits }) => [name, [limits]])),
    type: {
      plain: [{ ...PLAIN, price: 1, boot_s: BOOT_S, count: countPerZone(PLAIN_FRACTION), spot: 0 }],
      accelerated: [
        { ...ACCELERATED, price: 2.5, boot_s: BOOT_S, count: countPerZone(1 - PLAIN_FRACTION), spot: 0 },
      ],
    },
    workers: [WORKER_SETTINGS],
    state: [STORE_SETTINGS],
    cloud: [CLOUD_SETTINGS],
  });
}
