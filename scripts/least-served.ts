// Finds the class and the team that were served least on a day: classes from the bench's report, teams from
// the summary that the service logs. Free of I/O, so that it can be tested without the bench.
import type { BenchReport, ClassReport, StartedJobs } from './bench.ts';

/** Fractions of its demand that a class or a team was served. */
export interface ServedFractions {
  name: string;
  /**
   * Fraction of the accepted and not cancelled jobs that are done. Services never end; a class of services
   * has here the lower of its fraction of started services and its fraction of the requested replica time
   * during which replicas were up.
   */
  jobs: number;
  /**
   * Fraction of the jobs of which a task was started; jobs that were started and are not done arrived too
   * late in the day or took too long. Null if unknown.
   */
  started: number | null;
  /** Fraction of the tasks that are done; null if unknown. */
  tasks: number | null;
}

/** Longest time from the acceptance of a class's job to its first start: name of the class, and seconds. */
export interface FirstStart {
  name: string;
  s: number;
}

/** Counts from the summary that the service logs, for a team and a class or summed up over a team. */
interface ServedCounts {
  services: number;
  replicas: number;
  replicasUp: number;
  jobs: number;
  done: number;
  tasks: number;
  tasksDone: number;
}
type ServedLine = ServedCounts & { team: string };

const SERVED_LOG_LINE = /\{.*"msg":"work served by team and class, least first".*\}/;
const NOTHING_SERVED: ServedCounts = {
  services: 0,
  replicas: 0,
  replicasUp: 0,
  jobs: 0,
  done: 0,
  tasks: 0,
  tasksDone: 0,
};
const COUNT_NAMES = Object.keys(NOTHING_SERVED) as (keyof ServedCounts)[];

/** `count` as a fraction of `total`; 1 if the total is 0. */
const fractionOf = (count: number, total: number): number => (total <= 0 ? 1 : count / total);

/** The group with the lowest fraction of jobs served; the first one of equals, null if there are none. */
export function leastServed(groups: ServedFractions[]): ServedFractions | null {
  return groups.reduce<ServedFractions | null>(
    (least, next) => (least === null || next.jobs < least.jobs ? next : least),
    null,
  );
}

/** The longest of several first starts; the first one of equals, null if there are none. */
export function longestStart(starts: FirstStart[]): FirstStart | null {
  return starts.reduce<FirstStart | null>(
    (longest, next) => (longest === null || next.s > longest.s ? next : longest),
    null,
  );
}

/** The longest first start of each class for which the report has one. */
export const longestStartsByClass = ({ classes }: BenchReport): FirstStart[] =>
  Object.entries(classes).flatMap(([name, { wait_s }]) => {
    const s = wait_s?.max ?? null;
    return s === null ? [] : [{ name, s }];
  });

function classServed(name: string, counts: ClassReport): ServedFractions {
  const started = fractionOf(counts.started, counts.accepted);
  const isService = counts.up !== undefined && counts.up !== null;
  const jobs = isService
    ? Math.min(started, counts.up!)
    : fractionOf(counts.done, counts.accepted - counts.cancelled);
  return { name, jobs, started, tasks: null };
}

/** The class that was served least, according to the report. */
export const leastServedClass = ({ classes }: BenchReport): ServedFractions | null =>
  leastServed(Object.entries(classes).map(([name, counts]) => classServed(name, counts)));

/**
 * The group with the lowest fraction of started jobs. The report has only the number of started jobs by
 * group; completed jobs are taken from the service's log (`leastServedTeam`).
 */
export const leastStarted = (groups: Record<string, StartedJobs>): ServedFractions | null =>
  leastServed(
    Object.entries(groups).map(([name, counts]) => {
      const started = fractionOf(counts.started, counts.jobs);
      return { name, jobs: started, started, tasks: null };
    }),
  );

/** The lines of the last served-work summary in the log; null if there is none. */
function lastServedReport(log: string): ServedLine[] | null {
  let last: ServedLine[] | null = null;
  for (const line of log.split('\n')) {
    const match = SERVED_LOG_LINE.exec(line);
    if (match !== null) last = (JSON.parse(match[0]) as { served: ServedLine[] }).served;
  }
  return last;
}

function teamServed(name: string, counts: ServedCounts): ServedFractions {
  const servicesUp = counts.replicas === 0 ? 0 : (counts.services * counts.replicasUp) / counts.replicas;
  const jobs = fractionOf(counts.done + servicesUp, counts.jobs + counts.services);
  return { name, jobs, started: null, tasks: fractionOf(counts.tasksDone, counts.tasks) };
}

/** The team that was served least, according to the last summary in the log; null if there is none. */
export function leastServedTeam(log: string): ServedFractions | null {
  const lines = lastServedReport(log);
  if (lines === null) return null;
  const teams = new Map<string, ServedCounts>();
  for (const line of lines) {
    const counts = teams.get(line.team) ?? { ...NOTHING_SERVED };
    for (const count of COUNT_NAMES) counts[count] += line[count] ?? 0;
    teams.set(line.team, counts);
  }
  return leastServed([...teams].map(([name, counts]) => teamServed(name, counts)));
}

/** Formats the least served group as text. */
export function formatLeastServed(least: ServedFractions | null): string {
  if (least === null) return 'unknown';
  const started = least.started === null ? '' : ` (started ${least.started.toFixed(2)})`;
  return `${least.name} ${least.jobs.toFixed(2)}${started}`;
}
