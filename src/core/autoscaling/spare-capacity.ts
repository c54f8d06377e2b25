// Spare capacity for classes whose objectives allow a shorter wait than a machine takes to boot: jobs that
// arrive during a boot must find capacity ready. How much follows from the objectives and the arrivals seen.
import { elapsedMs, type Instant, type Millis, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, MachineType, Objective, Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { typeFits } from '../jobs/placement-constraints.ts';

/** Arrivals are counted over this time. */
const WINDOW_MS: Millis = 150_000;
/** Before this much of a window has passed, a rate is not trusted. */
const MIN_WINDOW_MS: Millis = 20_000;
/** Boots take up to about this many times their usual time. */
const BOOT_TIME_MARGIN = 1.5;
/** A class has stopped arriving when nothing came for so many times the usual gap. */
const MAX_SILENCE_GAPS = 3;
const DEFAULT_OBJECTIVE_SHARE = 0.9;
/** Shares of objectives for which the quantile is computed. */
const MIN_SHARE = 0.5;
const MAX_SHARE = 0.999;

/** Capacity to keep for a class. */
export interface SpareRequirement {
  /** A job of the class. */
  job: Job;
  /** The number of its tasks to keep capacity for. */
  tasks: number;
  /** The most tasks that arrived in one job. */
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

/** A wait objective: the share of jobs that must start within so many seconds. */
interface WaitObjective {
  withinS: number;
  share: number;
}

/** Watches arrivals and derives spare capacity from them. */
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

  /** Counts an arrival: the job may start from now on. */
  onJobReady(job: Job): void {
    const known = this.classes.get(job.spec.class) ?? { latest: job, arrivals: [] };
    known.latest = job;
    known.arrivals.push({ at: this.io.now, tasks: job.spec.tasks });
    this.classes.set(job.spec.class, known);
  }

  /** What to keep for each class; `readyS`: seconds until a task of the job can run on a new machine. */
  requirements(readyS: (job: Job) => number): SpareRequirement[] {
    const requirements: SpareRequirement[] = [];
    if (this.windowMs < MIN_WINDOW_MS) return requirements;
    for (const [className, known] of this.classes) {
      known.arrivals = known.arrivals.filter((arrival) => this.isRecent(arrival));
      const requirement = this.requirementOf(className, known, readyS(known.latest));
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
    // Arrivals during a boot are taken to be Poisson distributed: their variance is their mean.
    const expectedJobs = (readyS * 1000) / gapMs;
    const jobs = expectedJobs + quantile(objective.share) * Math.sqrt(expectedJobs);
    const tasksPerJob = arrivals.reduce((sum, arrival) => sum + arrival.tasks, 0) / arrivals.length;
    return {
      job: latest,
      tasks: Math.ceil(jobs * tasksPerJob),
      maxTasksPerJob: Math.max(...arrivals.map((arrival) => arrival.tasks)),
    };
  }

  /** Tasks of the class expected within a time, at the rate seen lately; infinite while no rate is known. */
  expectedArrivals(className: string, withinMs: Millis): number {
    const known = this.classes.get(className);
    const { windowMs } = this;
    if (known === undefined || windowMs < MIN_WINDOW_MS) return Number.POSITIVE_INFINITY;
    let tasks = 0;
    for (const arrival of known.arrivals) if (this.isRecent(arrival)) tasks += arrival.tasks;
    return (tasks * withinMs) / windowMs;
  }

  /** The time over which arrivals have been counted. */
  private get windowMs(): Millis {
    return Math.min(WINDOW_MS, elapsedMs(this.io.now, this.startedAt));
  }

  private isRecent(arrival: Arrival): boolean {
    return elapsedMs(this.io.now, arrival.at) < WINDOW_MS;
  }

  private shortestWait(className: string, job: Job): WaitObjective | null {
    // What a team is guaranteed must be there at once, whatever the class.
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

/** Standard normal quantile for shares from 0.5, within a few hundredths (Abramowitz and Stegun, 26.2.22). */
export function quantile(share: number): number {
  const probability = Math.min(MAX_SHARE, Math.max(MIN_SHARE, share));
  const t = Math.sqrt(-2 * Math.log(1 - probability));
  return Math.max(0, t - (2.30753 + 0.27061 * t) / (1 + 0.99229 * t + 0.04481 * t * t));
}

/**
 * Seconds until a task of the job can run on a new machine of the quickest type that fits; 0 if none does.
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
