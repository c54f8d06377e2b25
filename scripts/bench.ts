// The users' bench: where it is in their kit, and what is read of the reports that it writes (`fleetbench run
// --report`).

/** The bench's program, from the kit's folder. */
export const BENCH = 'more/hunt/bin/fleetbench';

/** How many jobs there were, and of how many a task was started. */
export interface StartedJobs {
  jobs: number;
  started: number;
}

/** What the bench counted of a class of jobs. */
export interface ClassReport {
  accepted: number;
  cancelled: number;
  started: number;
  done: number;
  tasks: number;
  /** Of services, the part of their replicas' time in which they were up. */
  up?: number;
  /** Seconds to the first start, of jobs that had one. */
  wait_s?: { max: number | null } | null;
}

/** What the bench counted of a controller's process. */
export interface NodeReport {
  memory_peak_mb: number;
  connections_peak: number;
  restarts: { why: string }[];
}

/** An aim of the site, and how far it was met. */
export interface TargetReport {
  kind: string;
  class?: string | null;
  within_s?: number;
  times?: number;
  value: number | null;
}

/** The report of one day. */
export interface BenchReport {
  classes: Record<string, ClassReport>;
  teams: Record<string, StartedJobs>;
  /**
   * Of each class its largest jobs, by the bench's own cut; benches before that of the -hunt sites do not
   * say.
   */
  largest?: Record<string, StartedJobs>;
  targets: TargetReport[];
  rules_broken: { total: number };
  node_stats: NodeReport[];
  /**
   * Seconds of processor time: of the bench's world and of the processes, each in their own code and in the
   * kernel.
   */
  spent: { world: [number, number]; processes: [number, number] };
  fleet: { tasks_killed_by_lease: number; tasks_lost: number; price: number };
}
