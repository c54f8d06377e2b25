// Settings of a deployment: the controllers, the teams and their limits, and the limits of the services that
// the controllers depend on.
import type { NodeId, TeamName, ZoneName } from '../../types/index.ts';

/**
 * Limits of the store. Each is the lower of the limit in force and the limit announced for later, because the
 * time of the change is not announced.
 */
export interface StoreLimits {
  /** Requests per second by all controllers together. */
  requestsPerS: number;
  /** Changes of keys per second by all controllers together. */
  writesPerS: number;
  maxValueKb: number;
  /** Maximum number of changes in one transaction. */
  maxTransactionOps: number;
}

/** A team, with its guaranteed resources and its limits. */
export interface Team {
  name: TeamName;
  /** Guaranteed CPUs; 0: no guarantee. */
  cpus: number;
  /** Limit of CPUs; 0: no limit. */
  cpusMax: number;
  /** Guaranteed GPUs; 0: no guarantee. */
  gpus: number;
  /** Limit of GPUs; 0: no limit. */
  gpusMax: number;
  /**
   * Seconds within which tasks above a lowered limit are stopped; absent: they run until they end by
   * themselves.
   */
  stopAboveWithinS?: number;
  /** New jobs are refused; jobs accepted earlier continue. */
  closed?: boolean;
}

/** A service-level objective. */
export interface Objective {
  /** `wait`, `finished`, `deadline` or `guarantee`; other kinds do not affect scheduling. */
  kind: string;
  /** The job class that the objective applies to; null: it does not apply to a class. */
  class: string | null;
  /** For `wait` and `finished`: maximum seconds from when a job is ready to its first start or its end. */
  withinS: number | null;
  /** Fraction of the jobs for which the objective must be met. */
  share: number | null;
  /** For `deadline`: a job must be done within its deadline multiplied by this factor. */
  times: number | null;
}

/** Settings of one controller. */
export interface Settings {
  node: NodeId;
  zone: ZoneName;
  /** Address for users and agents. */
  listen: string;
  /** Address for the other controllers. */
  peerListen: string;
  /** The other controllers. */
  peers: { node: NodeId; zone: ZoneName; addr: string }[];
  cloudAddr: string;
  storeAddr: string;
  /** Zones in which machines can be rented. */
  zones: ZoneName[];
  teams: Team[];
  objectives: Objective[];
  /**
   * Timing of the agents, in seconds. An agent sends a heartbeat every `heartbeatS`, and stops its tasks when
   * it has received no response for `leaseS`. A task of a gang waits up to `gangWaitS` for the other tasks to
   * start, and ends `gangPeerS` after another task of the gang has ended. All tasks of a job must have ended
   * `cancelS` after its cancellation was confirmed.
   */
  workers: { heartbeatS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  store: StoreLimits;
  /** Limit of changes per second that is in force now, whatever limit is announced for later. */
  currentWritesPerS: number;
  /** Limit of requests to the cloud, and the maximum time by which its list of machines lags behind. */
  cloud: { requestsPerS: number; listLagS: number };
  /** Maximum number of open sockets of a controller. */
  sockets: number;
  /** Memory limit of a controller in MB; null if the settings file has none. */
  ramMb: number | null;
}
