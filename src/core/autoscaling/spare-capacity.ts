// Spare room for classes whose aims allow a shorter wait than a machine takes to boot: what arrives
// during a boot must find its place ready. Everything comes from the aims and the arrivals seen.
import { elapsedMs, type Instant, type Millis, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, MachineType, Objective, Team } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import { typeFits } from '../jobs/placement-constraints.ts';

const WINDOW_MS = 150_000;
/** Before this much of a window has been seen, a rate is not trusted. */
const FIRST_MS = 20_000;
/** Boots take up to about this many times their usual time. */
const BOOT_SPREAD = 1.5;

interface Spare {
  job: Job;
  tasks: number;
  most: number;
}

interface Seen {
  sample: Job;
  arrivals: { at: Instant; tasks: number }[];
}

export class SpareCapacity {
  private readonly classes = new Map<string, Seen>();
  private readonly io: ControllerIo;
  private objectives: readonly Objective[] = [];
  private guaranteed = new Set<TeamName>();
  private readonly beganAt: Instant;

  constructor(io: ControllerIo) {
    this.io = io;
    this.beganAt = io.now;
  }

  /** Aims and guarantees from now on. */
  configure(objectives: readonly Objective[], teams: Iterable<Team>): void {
    this.objectives = objectives;
    this.guaranteed = new Set([...teams].filter((t) => t.cpus > 0).map((t) => t.name));
  }

  onJobReady(job: Job): void {
    const seen = this.classes.get(job.spec.class) ?? { sample: job, arrivals: [] };
    seen.sample = job;
    seen.arrivals.push({ at: this.io.now, tasks: job.spec.tasks });
    this.classes.set(job.spec.class, seen);
  }

  /** For each class, a job like its own, the number of its tasks to keep room for, and the most that came in one job. */
  requirements(readyS: (job: Job) => number): Spare[] {
    const out: Spare[] = [];
    const span = Math.min(WINDOW_MS, elapsedMs(this.io.now, this.beganAt));
    if (span < FIRST_MS) return out;
    for (const [cls, seen] of this.classes) {
      seen.arrivals = seen.arrivals.filter((a) => elapsedMs(this.io.now, a.at) < WINDOW_MS);
      const aim = this.shortestWait(cls, seen.sample);
      const boot = readyS(seen.sample);
      if (aim === null || aim.withinS >= boot * BOOT_SPREAD || seen.arrivals.length === 0) continue;
      const gapMs = span / seen.arrivals.length;
      // A silence this long says that the class has stopped coming.
      if (elapsedMs(this.io.now, seen.arrivals.at(-1)!.at) > 3 * gapMs) continue;
      const expected = (boot * 1000) / gapMs;
      const perJob = seen.arrivals.reduce((n, a) => n + a.tasks, 0) / seen.arrivals.length;
      out.push({
        job: seen.sample,
        tasks: Math.ceil((expected + quantile(aim.share) * Math.sqrt(expected)) * perJob),
        most: Math.max(...seen.arrivals.map((a) => a.tasks)),
      });
    }
    return out;
  }

  /** Tasks of the class that are expected to come within a time, at the rate seen lately. */
  expectedArrivals(cls: string, withinMs: Millis): number {
    const seen = this.classes.get(cls);
    const span = Math.min(WINDOW_MS, elapsedMs(this.io.now, this.beganAt));
    if (seen === undefined || span < FIRST_MS) return Number.POSITIVE_INFINITY;
    let tasks = 0;
    for (const a of seen.arrivals) if (elapsedMs(this.io.now, a.at) < WINDOW_MS) tasks += a.tasks;
    return (tasks * withinMs) / span;
  }

  private shortestWait(cls: string, sample: Job): { withinS: number; share: number } | null {
    let best: { withinS: number; share: number } | null = null;
    for (const o of this.objectives) {
      const own = o.kind === 'wait' && o.class === cls;
      // What a team is guaranteed must be there at once, whatever the class.
      const due = o.kind === 'guarantee' && sample.spec.gpus === 0 && this.guaranteed.has(sample.spec.team);
      if ((!own && !due) || o.withinS === null) continue;
      if (best === null || o.withinS < best.withinS) best = { withinS: o.withinS, share: o.share ?? 0.9 };
    }
    return best;
  }
}

/** Standard normal quantile for shares from a half up, to within a few hundredths. */
export function quantile(share: number): number {
  const p = Math.min(0.999, Math.max(0.5, share));
  const t = Math.sqrt(-2 * Math.log(1 - p));
  return Math.max(0, t - (2.30753 + 0.27061 * t) / (1 + 0.99229 * t + 0.04481 * t * t));
}

/** How long a new machine takes until a task of the job can run on it, for the quickest type that fits. */
export function readyTimeS(types: Iterable<MachineType>, spec: JobSpec): number {
  let best = Number.POSITIVE_INFINITY;
  for (const t of types) {
    if (!typeFits(t, spec)) continue;
    best = Math.min(best, t.bootS + (t.fetchGbPerS > 0 ? spec.imageGb / t.fetchGbPerS : 0));
  }
  return Number.isFinite(best) ? best : 0;
}
