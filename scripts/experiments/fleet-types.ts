// Types of the setup and the outcome of a day of the fleet experiment.
import type { Random } from '../../src/core/base/io.ts';
import type { Settings } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { SchedulerOptions } from '../../src/core/scheduling/scheduler.ts';

/** Exports of a version's library that the experiment uses. */
export interface Library {
  Controller: new (settings: Settings, options: SchedulerOptions, random: Random) => Controller;
  seededRandom: (seed: number) => Random;
}

/** Size of a fleet, duration of its load, and options of its controllers. */
export interface Setup {
  machines: number;
  teams: number;
  seed: number;
  /** Seconds in which jobs arrive, and seconds from then to the end of the day. */
  arriveS: number;
  drainS: number;
  options: SchedulerOptions;
}

/**
 * Outcome of the jobs of a class or a team; `wait`: seconds from acceptance to the start of the first task.
 */
export interface GroupOutcome {
  jobs: number;
  done: number;
  wait: { p50: number; p90: number; p99: number; max: number };
}

/** The outcome of a day. */
export interface Outcome {
  classes: Record<string, GroupOutcome>;
  teams: Record<string, GroupOutcome>;
  /** Mean fraction of its fair share that each team used while it had demand and demand exceeded capacity. */
  fair: Record<string, number>;
  /** Jain's fairness index of the fractions of their jobs that teams were served. */
  jain: number;
  fetches: number;
  fetchedGb: number;
  /** CPU seconds of task runs that ended without completing, as a fraction of all CPU seconds. */
  lostWork: number;
  killedByLease: number;
  /** Violations of the users' rules. */
  broken: string[];
  cpuS: number;
}

/** The outcome of a day run by one side of a comparison. */
export interface DayResult {
  side: string;
  machines: number;
  day: string;
  seed: number;
  outcome: Outcome;
}
