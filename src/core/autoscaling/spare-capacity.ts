// Computes the spare capacity for job classes whose objectives allow a shorter wait than a machine takes to
// boot: jobs of these classes need capacity that is ready when they arrive. Its size depends on the
// objectives and on the recent arrival rate.
import { elapsedMs, type Instant, type Millis, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, MachineType, Objective, Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { typeFits } from '../jobs/placement-constraints.ts';

/** Arrivals are counted over a sliding window of this length. */
const ARRIVAL_WINDOW_MS: Millis = 150_000;
/** The arrival rate is not used before arrivals have been counted for this time. */
const MIN_ARRIVAL_WINDOW_MS: Millis = 20_000;
/** A boot may take up to about this many times its usual time. */
const BOOT_TIME_MARGIN = 1.5;
/** A class is considered inactive if no job of it has arrived for this many average arrival intervals. */
const MAX_SILENCE_GAPS = 3;
const DEFAULT_OBJECTIVE_SHARE = 0.9;
/** The quantile is computed for probabilities within these bounds. */
const MIN_PROBABILITY = 0.5;
const MAX_PROBABILITY = 0.999;

/** Spare capacity to keep for a job class. */
export interface SpareRequirement {
  /** The job of the class that arrived last; its resources are taken for all jobs of the class. */
  job: Job;
  /** The number of such tasks to keep capacity for. */
  tasks: number;
  /** The largest number of tasks of one job that arrived within the window. */
  maxTasksPerJob: number;
}

interface Arrival {
  at: Instant;
  tasks: number;
}

interface ClassArrivals {
  /** The job that arrived last. */
  latest: Job;
  arrivals: Arrival[];
}

/** A wait objective: `share` is the fraction of jobs that must start within `withinS` seconds. */
interface WaitObjective {
  withinS: number;
  share: number;
}

/** Counts the arrivals of each job class and derives the spare capacity from them. */
export class SpareCapacity {
  private readonly classes = new Map<string, ClassArrivals>();
  private readonly io: ControllerIo;
  private objectives: readonly Objective[] = [];
  private teamsWithGuarantee = new Set<TeamName>();
  private readonly startedAt: Instant;

  constructor(io: ControllerIo) {
    this.io = io;
    this.startedAt = io.now;
  }

  /** Applies changed objectives and guarantees. */
  configure(objectives: readonly Objective[], teams: Iterable<Team>): void {
    this.objectives = objectives;
    this.teamsWithGuarantee = new Set([...teams].filter((team) => team.cpus > 0).map((team) => team.name));
  }

  /** Counts the arrival of a job, which may start from now on. */
  onJobReady(job: Job): void {
    const classArrivals = this.classes.get(job.spec.class) ?? { latest: job, arrivals: [] };
    classArrivals.latest = job;
    classArrivals.arrivals.push({ at: this.io.now, tasks: job.spec.tasks });
    this.classes.set(job.spec.class, classArrivals);
  }

  /**
   * The spare capacity to keep for each class. `readyS`: seconds until a task of the job can run on a new
   * machine.
   */
  requirements(readyS: (job: Job) => number): SpareRequirement[] {
    const requirements: SpareRequirement[] = [];
    if (this.windowMs < MIN_ARRIVAL_WINDOW_MS) return requirements;
    for (const [className, classArrivals] of this.classes) {
      classArrivals.arrivals = classArrivals.arrivals.filter((arrival) => this.isRecent(arrival));
      const requirement = this.requirementOf(className, classArrivals, readyS(classArrivals.latest));
      if (requirement !== null) requirements.push(requirement);
    }
    return requirements;
  }

  private requirementOf(
    className: string,
    { latest, arrivals }: ClassArrivals,
    readyS: number,
  ): SpareRequirement | null {
    const objective = this.shortestWait(className, latest);
    if (objective === null || objective.withinS >= readyS * BOOT_TIME_MARGIN) return null;
    const last = arrivals.at(-1);
    if (last === undefined) return null;
    const gapMs = this.windowMs / arrivals.length;
    if (elapsedMs(this.io.now, last.at) > MAX_SILENCE_GAPS * gapMs) return null;
    // Arrivals during a boot are assumed to be Poisson distributed, so that their variance equals their mean.
    const expectedJobs = (readyS * 1000) / gapMs;
    const jobs = expectedJobs + standardNormalQuantile(objective.share) * Math.sqrt(expectedJobs);
    const tasksPerJob = arrivals.reduce((sum, arrival) => sum + arrival.tasks, 0) / arrivals.length;
    return {
      job: latest,
      tasks: Math.ceil(jobs * tasksPerJob),
      maxTasksPerJob: Math.max(...arrivals.map((arrival) => arrival.tasks)),
    };
  }

  /**
   * Expected number of the class's tasks to arrive within a time, at the recent rate; infinite if the rate is
   * not known.
   */
  expectedArrivals(className: string, withinMs: Millis): number {
    const classArrivals = this.classes.get(className);
    const { windowMs } = this;
    if (classArrivals === undefined || windowMs < MIN_ARRIVAL_WINDOW_MS) return Number.POSITIVE_INFINITY;
    let tasks = 0;
    for (const arrival of classArrivals.arrivals) if (this.isRecent(arrival)) tasks += arrival.tasks;
    return (tasks * withinMs) / windowMs;
  }

  /** The time over which arrivals have been counted: the full window, or less after the start of a term. */
  private get windowMs(): Millis {
    return Math.min(ARRIVAL_WINDOW_MS, elapsedMs(this.io.now, this.startedAt));
  }

  private isRecent(arrival: Arrival): boolean {
    return elapsedMs(this.io.now, arrival.at) < ARRIVAL_WINDOW_MS;
  }

  private shortestWait(className: string, job: Job): WaitObjective | null {
    // Capacity guaranteed to a team must be available at once, for jobs of any class.
    const isGuaranteed = job.spec.gpus === 0 && this.teamsWithGuarantee.has(job.spec.team);
    let shortest: WaitObjective | null = null;
    for (const { kind, class: objectiveClass, withinS, share } of this.objectives) {
      const applies =
        (kind === 'wait' && objectiveClass === className) || (kind === 'guarantee' && isGuaranteed);
      if (!applies || withinS === null) continue;
      if (shortest === null || withinS < shortest.withinS)
        shortest = { withinS, share: share ?? DEFAULT_OBJECTIVE_SHARE };
    }
    return shortest;
  }
}

/**
 * The quantile of the standard normal distribution for probabilities of at least 0.5, with an error of a few
 * hundredths at most (Abramowitz and Stegun, 26.2.22).
 */
export function standardNormalQuantile(share: number): number {
  const probability = Math.min(MAX_PROBABILITY, Math.max(MIN_PROBABILITY, share));
  const t = Math.sqrt(-2 * Math.log(1 - probability));
  return Math.max(0, t - (2.30753 + 0.27061 * t) / (1 + 0.99229 * t + 0.04481 * t * t));
}

/**
 * Seconds until a task of the job can run on a new machine: boot time and image fetch of the fastest type
 * that fits; 0 if no type fits.
 */
export function readyTimeS(types: Iterable<MachineType>, spec: JobSpec): number {
  let best = Number.POSITIVE_INFINITY;
  for (const type of types) {
    if (!typeFits(type, spec)) continue;
    const fetchS = type.fetchGbPerS > 0 ? spec.imageGb / type.fetchGbPerS : 0;
    best = Math.min(best, type.bootS + fetchS);
  }
  return Number.isFinite(best) ? best : 0;
}
