// The figures of a day of the fleet experiment: who was served, how long work waited, what was fetched and
// lost.
import { build as histogram } from 'hdr-histogram-js';
import type { JobSpec } from '../../src/core/base/model.ts';
import type { FleetJob, FleetJobs } from './fleet-jobs.ts';
import { tasksLeft } from './fleet-jobs.ts';
import type { FleetMachines } from './fleet-machines.ts';
import type { Outcome, Served } from './fleet-types.ts';

/** A service is served when so much of its replicas was up. */
const SERVED_REPLICAS = 0.5;
const MAX_WAIT_MS = 36_000_000;

/** Work that was done and lost, and images that were fetched for it. */
type WorkFigures = Pick<Outcome, 'fetches' | 'fetchedGb' | 'lostWork'>;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

function isServed(job: FleetJob): boolean {
  const { sum: up, looks } = job.replicasUp;
  if (job.arrival.spec.kind === 'service') return looks === 0 || up >= SERVED_REPLICAS * looks;
  return tasksLeft(job) === 0;
}

function servedOf(jobs: readonly FleetJob[], now: number): Served {
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

/** Accepted jobs by a name of theirs, in the order of the names. */
export function servedBy(
  jobs: FleetJobs,
  nameOf: (spec: JobSpec) => string,
  now: number,
): Record<string, Served> {
  const groups = new Map<string, FleetJob[]>();
  for (const job of jobs.byId.values()) {
    if (job.acceptedAt === null) continue;
    const name = nameOf(job.arrival.spec);
    const group = groups.get(name) ?? [];
    group.push(job);
    groups.set(name, group);
  }
  return Object.fromEntries([...groups].sort().map(([name, group]) => [name, servedOf(group, now)]));
}

/** Jain's index of the parts of their jobs that teams were served; 1 if all are equal. */
export function jainIndex(teams: Record<string, Served>): number {
  const parts = Object.values(teams).map(({ done, jobs }) => done / jobs);
  if (parts.length === 0) return 1;
  return sum(parts) ** 2 / (parts.length * sum(parts.map((part) => part * part)));
}

/** Adds up all tasks that have run. */
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
