// The users' benchmark program, `fleetbench`: its path in the users' kit, and the fields that scripts read
// from the reports written by `fleetbench run --report`.

/** Path of the bench's executable, relative to the kit's folder. */
export const BENCH = 'more/hunt/bin/fleetbench';

/** Number of jobs, and number of those of which at least one task was started. */
export interface StartedJobs {
  jobs: number;
  started: number;
}

/** The bench's counts for a class of jobs. */
export interface ClassReport {
  accepted: number;
  cancelled: number;
  started: number;
  done: number;
  tasks: number;
  /** For services: fraction of the requested replica time during which replicas were up. */
  up?: number;
  /** Seconds from acceptance to the first start, over the jobs that were started. */
  wait_s?: { max: number | null } | null;
}

/** The bench's counts for a controller process. */
export interface NodeReport {
  memory_peak_mb: number;
  connections_peak: number;
  restarts: { why: string }[];
}

/** An objective of the site, and the degree to which it was met. */
export interface TargetReport {
  kind: string;
  class?: string | null;
  within_s?: number;
  times?: number;
  value: number | null;
}

/** The bench's report of one day, that is, one scenario of load and faults. */
export interface BenchReport {
  classes: Record<string, ClassReport>;
  teams: Record<string, StartedJobs>;
  /**
   * The largest jobs of each class, as selected by the bench; absent in reports of bench versions older than
   * the -hunt sites.
   */
  largest?: Record<string, StartedJobs>;
  targets: TargetReport[];
  rules_broken: { total: number };
  node_stats: NodeReport[];
  /**
   * Processor time in seconds, of the bench's simulated world and of the controller processes, each as user
   * time and system time.
   */
  spent: { world: [number, number]; processes: [number, number] };
  fleet: { tasks_killed_by_lease: number; tasks_lost: number; price: number };
}
