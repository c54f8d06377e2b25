// Computes the figures of a day of the fleet experiment: jobs completed, waiting times, images fetched and
// work lost.
import { build as histogram } from 'hdr-histogram-js';
import type { JobSpec } from '../../src/core/base/model.ts';
import type { FleetJob, FleetJobs } from './fleet-jobs.ts';
import { tasksLeft } from './fleet-jobs.ts';
import type { FleetMachines } from './fleet-machines.ts';
import type { GroupOutcome, Outcome } from './fleet-types.ts';

/** A service counts as served if on average at least this fraction of its replicas was up. */
const MIN_REPLICAS_UP = 0.5;
const MAX_WAIT_MS = 36_000_000;

/** Figures of lost work and of fetched images. */
type WorkFigures = Pick<Outcome, 'fetches' | 'fetchedGb' | 'lostWork'>;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

function isServed(job: FleetJob): boolean {
  const { sum: up, samples } = job.replicasUp;
  if (job.arrival.spec.kind === 'service') return samples === 0 || up >= MIN_REPLICAS_UP * samples;
  return tasksLeft(job) === 0;
}

function groupOutcome(jobs: readonly FleetJob[], now: number): GroupOutcome {
  const waits = histogram({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_WAIT_MS });
  for (const { startedAt, acceptedAt } of jobs)
    waits.recordValue(Math.max(1, Math.round((startedAt ?? now) - acceptedAt!)));
  const seconds = (percentile: number): number => waits.getValueAtPercentile(percentile) / 1000;
  return {
    jobs: jobs.length,
    done: jobs.filter(isServed).length,
    wait: { p50: seconds(50), p90: seconds(90), p99: seconds(99), max: waits.maxValue / 1000 },
  };
}

/** Outcomes of the accepted jobs, grouped and sorted by the name that `nameOf` gives, such as the team's. */
export function outcomesBy(
  jobs: FleetJobs,
  nameOf: (spec: JobSpec) => string,
  now: number,
): Record<string, GroupOutcome> {
  const groups = new Map<string, FleetJob[]>();
  for (const job of jobs.byId.values()) {
    if (job.acceptedAt === null) continue;
    const name = nameOf(job.arrival.spec);
    const group = groups.get(name) ?? [];
    group.push(job);
    groups.set(name, group);
  }
  return Object.fromEntries([...groups].sort().map(([name, group]) => [name, groupOutcome(group, now)]));
}

/** Jain's fairness index of the fractions of their jobs that teams were served; 1 if all are equal. */
export function jainIndex(teams: Record<string, GroupOutcome>): number {
  const fractions = Object.values(teams).map(({ done, jobs }) => done / jobs);
  if (fractions.length === 0) return 1;
  return sum(fractions) ** 2 / (fractions.length * sum(fractions.map((fraction) => fraction * fraction)));
}

/** Adds up the work and the image fetches of all tasks that have run. */
export function workFigures(machines: FleetMachines, jobs: FleetJobs, now: number): WorkFigures {
  let cpuSeconds = 0;
  let lostCpuSeconds = 0;
  let fetches = 0;
  let fetchedGb = 0;
  const imagesOf = new Map<string, Set<string>>();
  for (const run of machines.runs) {
    const spec = jobs.ofTask(run.task)?.arrival.spec;
    if (spec === undefined) continue;
    const used = (((run.to ?? now) - run.from) / 1000) * spec.cpus;
    cpuSeconds += used;
    if (run.to !== null && run.why !== 'done') lostCpuSeconds += used;
    const images = imagesOf.get(run.machine) ?? new Set();
    imagesOf.set(run.machine, images);
    if (images.has(spec.image)) continue;
    images.add(spec.image);
    fetches++;
    fetchedGb += spec.imageGb;
  }
  return { fetches, fetchedGb, lostWork: cpuSeconds === 0 ? 0 : lostCpuSeconds / cpuSeconds };
}
