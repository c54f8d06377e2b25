// What a day of the fleet experiment is set up with, and what comes of it.
import type { Random } from '../../src/core/base/io.ts';
import type { Settings } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { SchedulerOptions } from '../../src/core/scheduling/scheduler.ts';

/** What is taken of a version of the program. */
export interface Lib {
  Controller: new (settings: Settings, options: SchedulerOptions, random: Random) => Controller;
  seededRandom: (seed: number) => Random;
}

/** The size of a fleet, its load, and the options of its controllers. */
export interface Setup {
  machines: number;
  teams: number;
  seed: number;
  /** Jobs arrive for so long, and the day ends so much later. */
  arriveS: number;
  drainS: number;
  options: SchedulerOptions;
}

/** Jobs of a class or a team: how many were done, and their waits in seconds until their first task runs. */
export interface Served {
  jobs: number;
  done: number;
  wait: { p50: number; p90: number; p99: number; max: number };
}

/** What came of a day. */
export interface Outcome {
  classes: Record<string, Served>;
  teams: Record<string, Served>;
  /** Mean part of its fair share that each team had while it kept asking and there was not room for all. */
  fair: Record<string, number>;
  /** Jain's index of the teams' served parts. */
  jain: number;
  fetches: number;
  fetchedGb: number;
  /** CPU seconds of tasks that ended otherwise than done, as a part of all. */
  lostWork: number;
  killedByLease: number;
  broken: string[];
  cpuS: number;
}

/** The outcome of a day of one side of a comparison. */
export interface Played {
  side: string;
  machines: number;
  day: string;
  seed: number;
  out: Outcome;
}
