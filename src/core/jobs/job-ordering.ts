// In which order waiting jobs are served: priority, then the time left until a user's aim is missed.
import type { Instant } from '../../types/index.ts';
import type { Objective } from '../base/model.ts';
import type { Job } from './job.ts';

const DEFAULT_PATIENCE_S = 300;

/** Learned ratio of real run times to owners' estimates, a class at a time. */
export class RuntimeEstimates {
  private readonly ratio = new Map<string, number>();
  private readonly mean = new Map<string, number>();

  record(cls: string, estimateS: number, actualS: number): void {
    this.mean.set(cls, (this.mean.get(cls) ?? actualS) * 0.95 + actualS * 0.05);
    if (estimateS <= 0) return;
    const r = Math.min(5, Math.max(0.2, actualS / estimateS));
    this.ratio.set(cls, (this.ratio.get(cls) ?? 1) * 0.9 + r * 0.1);
  }

  /** How long tasks of a class run; `estimateS` while none has been seen. */
  meanRunS(cls: string, estimateS: number): number {
    return this.mean.get(cls) ?? estimateS;
  }

  runS(job: Job): number {
    return job.spec.estimatedRunS * (this.ratio.get(job.spec.class) ?? 1);
  }

  /** A task beyond its estimate is expected to go on for as long again as it is late, not to end at once. */
  remainingS(job: Job, elapsedS: number): number {
    const left = this.runS(job) - elapsedS;
    return left > 0 ? left : 2 - left;
  }
}

export class JobOrdering {
  private readonly byClass = new Map<string, Objective[]>();
  private readonly estimates: RuntimeEstimates;

  constructor(objectives: readonly Objective[], estimates: RuntimeEstimates) {
    this.estimates = estimates;
    this.configure(objectives);
  }

  /** Aims from now on. */
  configure(objectives: readonly Objective[]): void {
    this.byClass.clear();
    for (const o of objectives) {
      if (o.class === null) continue;
      const list = this.byClass.get(o.class) ?? [];
      list.push(o);
      this.byClass.set(o.class, list);
    }
  }

  /**
   * Seconds after submission by which the job's tasks should start, one for each aim, earliest first. Waits count
   * from when the job became ready; deadlines, its own and those of jobs that need it, from submission.
   */
  startBy(job: Job): number[] {
    const run = this.estimates.runS(job);
    const ready = (job.readyWall - job.acceptedAt) / 1000;
    const out: number[] = [];
    for (const o of this.byClass.get(job.spec.class) ?? []) {
      if (o.kind === 'wait' && o.withinS !== null) out.push(ready + o.withinS);
      if (o.kind === 'finished' && o.withinS !== null) out.push(ready + o.withinS - run);
      if (o.kind === 'deadline' && job.spec.deadlineS !== null)
        out.push(job.spec.deadlineS * (o.times ?? 1) - run);
    }
    if (Number.isFinite(job.inheritedDeadline))
      out.push((job.inheritedDeadline - job.acceptedAt) / 1000 - run);
    if (out.length === 0)
      out.push(job.spec.deadlineS === null ? ready + DEFAULT_PATIENCE_S : job.spec.deadlineS - run);
    return out.sort((a, b) => a - b);
  }

  /** Seconds until the next aim that can still be met; jobs beyond all their aims come last, oldest first. */
  slackS(job: Job, now: Instant, wall: number): number {
    return slackOf(this.deadlinesS(job, now, wall), ageS(job, now, wall));
  }

  /** Seconds until each aim that can still be met, earliest first. */
  deadlinesS(job: Job, now: Instant, wall: number): number[] {
    const age = ageS(job, now, wall);
    return this.startBy(job)
      .filter((s) => s >= age)
      .map((s) => s - age);
  }

  /** Shortest wait that any aim allows a class. */
  shortestWaitS(cls: string): number | null {
    const waits = (this.byClass.get(cls) ?? []).filter((o) => o.kind === 'wait' && o.withinS !== null);
    return waits.length === 0 ? null : Math.min(...waits.map((o) => o.withinS as number));
  }
}

/** The time left to the first of these aims; with none left, last, and the oldest first. */
export const slackOf = (duesS: readonly number[], age: number): number => duesS[0] ?? 1e6 - age;

export const ageS = (job: Job, now: Instant, wall: number): number =>
  Math.max(0, (wall - job.acceptedAt) / 1000, (now - job.seenAt) / 1000);
