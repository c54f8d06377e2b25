// Settings of a deployment: the controllers, the teams and their limits, and the limits of the services that
// they depend on.
import type { NodeId, TeamName, ZoneName } from '../../types/index.ts';

/**
 * Limits of the store: the lower of those in force and those announced, since both must be kept to from the
 * start.
 */
export interface StoreLimits {
  /** Requests of all controllers together. */
  requestsPerS: number;
  /** Changes of keys by all controllers together. */
  writesPerS: number;
  maxValueKb: number;
  /** Changes in one transaction. */
  maxTransactionOps: number;
}

/** A team, with what it is guaranteed and what it may use at most. */
export interface Team {
  name: TeamName;
  /** Guaranteed; 0 means nothing. */
  cpus: number;
  /** Limit; 0 means none. */
  cpusMax: number;
  /** Guaranteed; 0 means nothing. */
  gpus: number;
  /** Limit; 0 means none. */
  gpusMax: number;
  /** Work above a limit that was lowered is stopped within so many seconds; absent: it ends by itself. */
  stopAboveWithinS?: number;
  /** Takes no new work; jobs accepted before go on. */
  closed?: boolean;
}

/** A service-level objective. */
export interface Objective {
  /** `wait`, `finished` or `deadline`; others are known to operators only. */
  kind: string;
  /** The class of jobs that it is about; null if it is not about a class. */
  class: string | null;
  /** Of `wait` and `finished`: seconds from a job's being ready to its first start, or its end. */
  withinS: number | null;
  /** Fraction of the jobs for which it is to be met. */
  share: number | null;
  /** Of `deadline`: within this many times a job's deadline. */
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
   * Agents send a heartbeat every `heartbeatS` and stop their tasks when none has been answered for `leaseS`.
   * Tasks of a gang wait `gangWaitS` for the others to start, and end `gangPeerS` after one of the others
   * has. Tasks of a job whose cancellation was confirmed must have ended after `cancelS`.
   */
  workers: { heartbeatS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  store: StoreLimits;
  /** The rate of changes granted until the announced limits are in force. */
  currentWritesPerS: number;
  /** Limit of requests to the cloud, and for how long its list of machines may miss a change. */
  cloud: { requestsPerS: number; listLagS: number };
  /** Sockets that a controller may have open. */
  sockets: number;
  /** Memory limit of a controller in MB; null if the platform does not tell. */
  ramMb: number | null;
}
