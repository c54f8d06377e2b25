// Who was served least on a day: classes by the bench's report, teams by the service's own account in its
// log. Pure, so that it is tested without the bench.
import type { BenchReport, ClassReport, StartedJobs } from './bench.ts';

/** Who was served least, and how far. */
export interface LeastServed {
  name: string;
  /**
   * Jobs done, of those accepted and not cancelled, and jobs of which a task ever started: what was started
   * and is not done came too late in the day, or took too long. Services are never done: of them the
   * replicas' time up counts.
   */
  jobs: number;
  started: number | null;
  tasks: number | null;
}

/** A job's first start, in seconds after it was accepted. */
export interface FirstStart {
  name: string;
  s: number;
}

/** A line of the service's account in its log, for a team and a class; a team's line when summed up. */
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

const ACCOUNT = /\{.*"msg":"work served by team and class, least first".*\}/;
const NOTHING_SERVED: ServedCounts = {
  services: 0,
  replicas: 0,
  replicasUp: 0,
  jobs: 0,
  done: 0,
  tasks: 0,
  tasksDone: 0,
};
const COUNTS = Object.keys(NOTHING_SERVED) as (keyof ServedCounts)[];

/** A part of a whole; all of it where there is nothing. */
const partOf = (done: number, all: number): number => (all <= 0 ? 1 : done / all);

/** Of several the one that is served least: the first, if some are equal; null if there is none. */
export function leastServed(all: LeastServed[]): LeastServed | null {
  return all.reduce<LeastServed | null>(
    (least, next) => (least === null || next.jobs < least.jobs ? next : least),
    null,
  );
}

/** Of several first starts the one that took longest: the first, if some are equal; null if there is none. */
export function longestStart(starts: FirstStart[]): FirstStart | null {
  return starts.reduce<FirstStart | null>(
    (longest, next) => (longest === null || next.s > longest.s ? next : longest),
    null,
  );
}

/** The first starts of a day that took longest, one for each class that tells. */
export const longestStartsByClass = ({ classes }: BenchReport): FirstStart[] =>
  Object.entries(classes).flatMap(([name, { wait_s }]) => {
    const s = wait_s?.max ?? null;
    return s === null ? [] : [{ name, s }];
  });

function classServed(name: string, counts: ClassReport): LeastServed {
  const started = partOf(counts.started, counts.accepted);
  const isService = counts.up !== undefined && counts.up !== null;
  const jobs = isService
    ? Math.min(started, counts.up!)
    : partOf(counts.done, counts.accepted - counts.cancelled);
  return { name, jobs, started, tasks: null };
}

/** The class that was served least, by the report. */
export const leastServedClass = ({ classes }: BenchReport): LeastServed | null =>
  leastServed(Object.entries(classes).map(([name, counts]) => classServed(name, counts)));

/**
 * By the report, which knows of starts only; what is done is told by the service itself (`leastServedTeam`).
 */
export const leastStarted = (all: Record<string, StartedJobs>): LeastServed | null =>
  leastServed(
    Object.entries(all).map(([name, counts]) => {
      const started = partOf(counts.started, counts.jobs);
      return { name, jobs: started, started, tasks: null };
    }),
  );

/** The lines of the last account in the log; null if there is none. */
function lastAccount(log: string): ServedLine[] | null {
  let last: ServedLine[] | null = null;
  for (const line of log.split('\n')) {
    const match = ACCOUNT.exec(line);
    if (match !== null) last = (JSON.parse(match[0]) as { served: ServedLine[] }).served;
  }
  return last;
}

function teamServed(name: string, counts: ServedCounts): LeastServed {
  const servicesUp = counts.replicas === 0 ? 0 : (counts.services * counts.replicasUp) / counts.replicas;
  const jobs = partOf(counts.done + servicesUp, counts.jobs + counts.services);
  return { name, jobs, started: null, tasks: partOf(counts.tasksDone, counts.tasks) };
}

/** The team that was served least, by the last account in the log; null if there is none. */
export function leastServedTeam(log: string): LeastServed | null {
  const lines = lastAccount(log);
  if (lines === null) return null;
  const teams = new Map<string, ServedCounts>();
  for (const line of lines) {
    const counts = teams.get(line.team) ?? { ...NOTHING_SERVED };
    for (const count of COUNTS) counts[count] += line[count] ?? 0;
    teams.set(line.team, counts);
  }
  return leastServed([...teams].map(([name, counts]) => teamServed(name, counts)));
}

/** Who was served least, for people. */
export function formatLeastServed(least: LeastServed | null): string {
  if (least === null) return 'unknown';
  const started = least.started === null ? '' : ` (started ${least.started.toFixed(2)})`;
  return `${least.name} ${least.jobs.toFixed(2)}${started}`;
}
