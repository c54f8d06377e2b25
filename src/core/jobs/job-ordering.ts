// Order in which waiting jobs of the same priority are scheduled: by slack, the time left until a job would
// miss its next objective.
import type { Instant } from '../../types/index.ts';
import type { Objective } from '../base/model.ts';
import type { Job } from './job.ts';

/** Time after becoming ready within which a job without objectives and without a deadline should start. */
const DEFAULT_MAX_WAIT_S = 300;
/**
 * Slack of a job that has missed all its objectives, before its age is subtracted. It exceeds the slack of
 * jobs that can still meet an objective, unless their latest start is many days away (1e6 s are 11.6 days).
 */
const MISSED_SLACK_S = 1e6;

/** Weight of the latest run in the moving average of run times. */
const MEAN_WEIGHT = 0.05;
/** Weight of the latest run in the moving average of the ratio of run time to the user's estimate. */
const RATIO_WEIGHT = 0.1;
/** Bounds for the ratio of run time to estimate that a single run contributes to the average. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 5;
/** Expected remaining run time of a task that has just reached its expected run time. */
const MIN_REMAINING_S = 2;

/** Moving averages for each class: of run times, and of the ratio of run times to users' estimates. */
export class RuntimeEstimates {
  private readonly ratioByClass = new Map<string, number>();
  private readonly meanRunSByClass = new Map<string, number>();

  /** Records that a task of the class ran for `actualS` seconds; `estimateS` was the user's estimate. */
  record(className: string, estimateS: number, actualS: number): void {
    const meanRunS = this.meanRunSByClass.get(className) ?? actualS;
    this.meanRunSByClass.set(className, meanRunS * (1 - MEAN_WEIGHT) + actualS * MEAN_WEIGHT);
    if (estimateS <= 0) return;
    const latestRatio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualS / estimateS));
    const ratio = this.ratioByClass.get(className) ?? 1;
    this.ratioByClass.set(className, ratio * (1 - RATIO_WEIGHT) + latestRatio * RATIO_WEIGHT);
  }

  /** Mean run time in seconds of tasks of the class; `estimateS` as long as no run has been recorded. */
  meanRunS(className: string, estimateS: number): number {
    return this.meanRunSByClass.get(className) ?? estimateS;
  }

  /** Expected run time in seconds of a task of the job. */
  expectedRunS(job: Job): number {
    return job.spec.estimatedRunS * (this.ratioByClass.get(job.spec.class) ?? 1);
  }

  /**
   * Expected remaining run time in seconds of a task that has run for `elapsedS`. A task beyond its expected
   * run time is expected to run for as long again as it has exceeded it, plus `MIN_REMAINING_S`.
   */
  remainingS(job: Job, elapsedS: number): number {
    const untilExpectedEndS = this.expectedRunS(job) - elapsedS;
    return untilExpectedEndS > 0 ? untilExpectedEndS : MIN_REMAINING_S - untilExpectedEndS;
  }
}

/** Ranks jobs by the service-level objectives of their classes, and by deadlines. */
export class JobOrdering {
  private readonly objectivesByClass = new Map<string, Objective[]>();
  private readonly estimates: RuntimeEstimates;

  constructor(objectives: readonly Objective[], estimates: RuntimeEstimates) {
    this.estimates = estimates;
    this.configure(objectives);
  }

  /** Replaces the objectives. */
  configure(objectives: readonly Objective[]): void {
    this.objectivesByClass.clear();
    for (const objective of objectives) {
      if (objective.class === null) continue;
      const classObjectives = this.objectivesByClass.get(objective.class) ?? [];
      classObjectives.push(objective);
      this.objectivesByClass.set(objective.class, classObjectives);
    }
  }

  /**
   * Latest starts of the job's tasks in seconds after acceptance, one for each objective, earliest first.
   * For objectives on waiting time the time counts from when the job became ready; for deadlines, its own
   * and those of its dependents, from acceptance.
   */
  latestStartsS(job: Job): number[] {
    const runS = this.estimates.expectedRunS(job);
    const readyS = (job.readyWallTime - job.acceptedAt) / 1000;
    const latestStartsS: number[] = [];
    for (const objective of this.objectivesByClass.get(job.spec.class) ?? []) {
      const latestStartS = latestStartForObjective(job, objective, readyS, runS);
      if (latestStartS !== null) latestStartsS.push(latestStartS);
    }
    if (Number.isFinite(job.inheritedDeadline))
      latestStartsS.push((job.inheritedDeadline - job.acceptedAt) / 1000 - runS);
    if (latestStartsS.length === 0) {
      const { deadlineS } = job.spec;
      latestStartsS.push(deadlineS === null ? readyS + DEFAULT_MAX_WAIT_S : deadlineS - runS);
    }
    return latestStartsS.sort((a, b) => a - b);
  }

  /**
   * Seconds until the job must start to meet its next objective. Jobs that have missed all their objectives
   * come last, the oldest first.
   */
  slackS(job: Job, now: Instant, wallTime: number): number {
    return slackOf(this.deadlinesS(job, now, wallTime), ageS(job, now, wallTime));
  }

  /** Seconds until the latest start for each objective that can still be met, earliest first. */
  deadlinesS(job: Job, now: Instant, wallTime: number): number[] {
    const jobAgeS = ageS(job, now, wallTime);
    return this.latestStartsS(job)
      .filter((latestStartS) => latestStartS >= jobAgeS)
      .map((latestStartS) => latestStartS - jobAgeS);
  }

  /** The shortest waiting time in seconds among the objectives of the class; null if none limits it. */
  shortestWaitS(className: string): number | null {
    let shortestS: number | null = null;
    for (const { kind, withinS } of this.objectivesByClass.get(className) ?? [])
      if (kind === 'wait' && withinS !== null) shortestS = Math.min(shortestS ?? withinS, withinS);
    return shortestS;
  }
}

/**
 * Latest start of the job's tasks to meet the objective, in seconds after acceptance; null if the objective
 * does not apply to the job.
 */
function latestStartForObjective(
  job: Job,
  objective: Objective,
  readyS: number,
  runS: number,
): number | null {
  const { kind, withinS, times } = objective;
  const { deadlineS } = job.spec;
  if (kind === 'wait' && withinS !== null) return readyS + withinS;
  if (kind === 'finished' && withinS !== null) return readyS + withinS - runS;
  if (kind === 'deadline' && deadlineS !== null) return deadlineS * (times ?? 1) - runS;
  return null;
}

/**
 * Slack of a job, given the seconds until the latest start for each objective that it can still meet,
 * earliest first. If there are none, the slack is `MISSED_SLACK_S` less the job's age, which ranks the job
 * after those that can still meet an objective, and the oldest such job first.
 */
export const slackOf = (untilLatestStartsS: readonly number[], jobAgeS: number): number =>
  untilLatestStartsS[0] ?? MISSED_SLACK_S - jobAgeS;

/**
 * Seconds since the job was accepted by the wall clock, or since this controller first saw it by the
 * monotonic clock, whichever is more.
 */
export const ageS = (job: Job, now: Instant, wallTime: number): number =>
  Math.max(0, (wallTime - job.acceptedAt) / 1000, (now - job.seenAt) / 1000);
