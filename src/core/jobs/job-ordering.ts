// In which order waiting jobs of the same priority are served: by the time left until an objective of theirs
// is missed.
import type { Instant } from '../../types/index.ts';
import type { Objective } from '../base/model.ts';
import type { Job } from './job.ts';

/** Within this from being ready a job without objectives or deadline should start. */
const DEFAULT_MAX_WAIT_S = 300;
/**
 * Slack of a job that has missed all its objectives, before its age is subtracted: more than of any that has
 * not.
 */
const MISSED_SLACK_S = 1e6;

/** Weights of the newest run in the moving averages of run times, and of their ratios to users' estimates. */
const MEAN_WEIGHT = 0.05;
const RATIO_WEIGHT = 0.1;
/** One run counts as no more than this far from its estimate. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 5;
/** What is left of a task as it reaches its estimate. */
const MIN_REMAINING_S = 2;

/** Moving averages by class: of run times, and of the ratio of run times to users' estimates. */
export class RuntimeEstimates {
  private readonly ratioByClass = new Map<string, number>();
  private readonly meanByClass = new Map<string, number>();

  /** A task of the class has run for `actualS` seconds; `estimateS` was its user's estimate. */
  record(className: string, estimateS: number, actualS: number): void {
    const mean = this.meanByClass.get(className) ?? actualS;
    this.meanByClass.set(className, mean * (1 - MEAN_WEIGHT) + actualS * MEAN_WEIGHT);
    if (estimateS <= 0) return;
    const newest = Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualS / estimateS));
    const ratio = this.ratioByClass.get(className) ?? 1;
    this.ratioByClass.set(className, ratio * (1 - RATIO_WEIGHT) + newest * RATIO_WEIGHT);
  }

  /** Mean seconds that tasks of a class run; `estimateS` while none has been seen. */
  meanRunS(className: string, estimateS: number): number {
    return this.meanByClass.get(className) ?? estimateS;
  }

  /** Seconds that a task of the job is expected to run. */
  runS(job: Job): number {
    return job.spec.estimatedRunS * (this.ratioByClass.get(job.spec.class) ?? 1);
  }

  /** Seconds that a task is expected to go on; one beyond its estimate for as long again as it is late. */
  remainingS(job: Job, elapsedS: number): number {
    const leftS = this.runS(job) - elapsedS;
    return leftS > 0 ? leftS : MIN_REMAINING_S - leftS;
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
      const ofClass = this.objectivesByClass.get(objective.class) ?? [];
      ofClass.push(objective);
      this.objectivesByClass.set(objective.class, ofClass);
    }
  }

  /**
   * Seconds after acceptance by which the job's tasks should start, one for each objective, earliest first.
   * Waits count from when the job became ready; deadlines, its own and those of jobs that depend on it, from
   * acceptance.
   */
  startBy(job: Job): number[] {
    const runS = this.estimates.runS(job);
    const readyS = (job.readyWall - job.acceptedAt) / 1000;
    const starts: number[] = [];
    for (const objective of this.objectivesByClass.get(job.spec.class) ?? []) {
      const startS = startForObjective(job, objective, readyS, runS);
      if (startS !== null) starts.push(startS);
    }
    if (Number.isFinite(job.inheritedDeadline))
      starts.push((job.inheritedDeadline - job.acceptedAt) / 1000 - runS);
    if (starts.length === 0) {
      const { deadlineS } = job.spec;
      starts.push(deadlineS === null ? readyS + DEFAULT_MAX_WAIT_S : deadlineS - runS);
    }
    return starts.sort((a, b) => a - b);
  }

  /**
   * Seconds until the next objective that can still be met; jobs beyond all theirs come last, the oldest
   * first.
   */
  slackS(job: Job, now: Instant, wallTime: number): number {
    return slackOf(this.deadlinesS(job, now, wallTime), ageS(job, now, wallTime));
  }

  /** Seconds until the start for each objective that can still be met, earliest first. */
  deadlinesS(job: Job, now: Instant, wallTime: number): number[] {
    const jobAgeS = ageS(job, now, wallTime);
    return this.startBy(job)
      .filter((startS) => startS >= jobAgeS)
      .map((startS) => startS - jobAgeS);
  }

  /** The shortest wait in seconds that any objective allows the class; null if none does. */
  shortestWaitS(className: string): number | null {
    let shortestS: number | null = null;
    for (const { kind, withinS } of this.objectivesByClass.get(className) ?? [])
      if (kind === 'wait' && withinS !== null) shortestS = Math.min(shortestS ?? withinS, withinS);
    return shortestS;
  }
}

/**
 * Seconds after acceptance by which the tasks should start for the objective; null if it says nothing of the
 * job.
 */
function startForObjective(job: Job, objective: Objective, readyS: number, runS: number): number | null {
  const { kind, withinS, times } = objective;
  const { deadlineS } = job.spec;
  if (kind === 'wait' && withinS !== null) return readyS + withinS;
  if (kind === 'finished' && withinS !== null) return readyS + withinS - runS;
  if (kind === 'deadline' && deadlineS !== null) return deadlineS * (times ?? 1) - runS;
  return null;
}

/**
 * Seconds left until the first of these starts; if there is none, more than of any job that has one, and less
 * with age.
 */
export const slackOf = (startsS: readonly number[], jobAgeS: number): number =>
  startsS[0] ?? MISSED_SLACK_S - jobAgeS;

/** Seconds since the job was accepted, by whichever clock says more. */
export const ageS = (job: Job, now: Instant, wallTime: number): number =>
  Math.max(0, (wallTime - job.acceptedAt) / 1000, (now - job.seenAt) / 1000);
