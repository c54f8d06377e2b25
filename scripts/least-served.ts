// Who was served least on a day: classes by the bench's report, teams by the service's own account in its log. Pure, so that
// it is tested without the bench.

import type { Refused } from './refused-leader.ts';

/** `up`: of services, the part of their replicas' time in which they were up. */
interface ClassReport {
  accepted: number;
  cancelled: number;
  started: number;
  done: number;
  tasks: number;
  up?: number;
  /** Seconds to the first start, of jobs that had one. */
  wait_s?: { max: number | null } | null;
}

/** What is read of a report (`fleetbench run --report`). */
export interface Report {
  classes: Record<string, ClassReport>;
  teams: Record<string, Started>;
  /** Of each class its largest jobs, by the bench's own cut; benches before that of the -hunt sites do not tell. */
  largest?: Record<string, Started>;
  targets: { kind: string; class?: string | null; within_s?: number; times?: number; value: number | null }[];
  rules_broken: { total: number };
  node_stats: { memory_peak_mb: number; connections_peak: number; restarts: { why: string }[] }[];
  /** Seconds of processor time: of the bench's world and of the processes, each in their own code and in the kernel. */
  spent: { world: [number, number]; processes: [number, number] };
  fleet: { tasks_killed_by_lease: number; tasks_lost: number; price: number };
}

interface Started {
  jobs: number;
  started: number;
}

export interface Least {
  name: string;
  /**
   * Jobs done, of those accepted and not cancelled, and jobs of which a task ever started: what was started and is not
   * done came too late in the day, or took too long. Services are never done: of them the replicas' time up counts.
   */
  jobs: number;
  started: number | null;
  tasks: number | null;
}

export interface Play {
  mark: number | null;
  broken: number;
  leastClass: Least | null;
  leastTeam: Least | null;
  /** Of any class's largest jobs; null if the report does not tell. */
  leastLargest: Least | null;
  /** Of any class: the longest time to a first start, in seconds; null if the report does not tell. */
  longestStart: { name: string; s: number } | null;
  killedByLease: number;
  lost: number;
  /** Processor time that the day took to play; processes that ended by themselves; the most memory and sockets of one. */
  cpuS: number;
  ended: number;
  memoryMb: number;
  sockets: number;
  aims: Record<string, number>;
  /** Of a play with a refused leader; see refused.ts. */
  refused?: Refused & { cancelS: number };
}

/** Below this a day fails. */
export const HALF = 0.5;
/** Every job that starts at all is to start within this. */
export const START_MAX_S = 240;
/** A day that takes longer to play has failed too. */
export const CPU_MAX_S = 400;

const part = (done: number, of: number): number => (of <= 0 ? 1 : done / of);

export function least(all: Least[]): Least | null {
  return all.reduce<Least | null>((a, b) => (a === null || b.jobs < a.jobs ? b : a), null);
}

const classPart = (c: ClassReport): { jobs: number; started: number } => {
  const started = part(c.started, c.accepted);
  const jobs =
    c.up !== undefined && c.up !== null ? Math.min(started, c.up) : part(c.done, c.accepted - c.cancelled);
  return { jobs, started };
};

export const leastClass = (r: Report): Least | null =>
  least(Object.entries(r.classes).map(([name, c]) => ({ name, ...classPart(c), tasks: null })));

/** By the report, which knows of starts only; what is done is told by the service itself (`leastTeam`). */
const leastOf = (all: Record<string, Started>): Least | null =>
  least(
    Object.entries(all).map(([name, t]) => {
      const started = part(t.started, t.jobs);
      return { name, jobs: started, started, tasks: null };
    }),
  );

function longestStart(r: Report): Play['longestStart'] {
  let longest: Play['longestStart'] = null;
  for (const [name, c] of Object.entries(r.classes)) {
    const s = c.wait_s?.max ?? null;
    if (s !== null && (longest === null || s > longest.s)) longest = { name, s };
  }
  return longest;
}

const ACCOUNT = /\{.*"msg":"work served by team and class, least first".*\}/;

interface Line {
  team: string;
  services: number;
  replicas: number;
  replicasUp: number;
  jobs: number;
  done: number;
  tasks: number;
  tasksDone: number;
}

/** By the last account in the log; null if there is none. */
export function leastTeam(log: string): Least | null {
  let last: Line[] | null = null;
  for (const line of log.split('\n')) {
    const m = ACCOUNT.exec(line);
    if (m !== null) last = (JSON.parse(m[0]) as { served: Line[] }).served;
  }
  if (last === null) return null;
  const teams = new Map<string, Omit<Line, 'team'>>();
  for (const { team, ...l } of last) {
    const t = teams.get(team) ?? {
      services: 0,
      replicas: 0,
      replicasUp: 0,
      jobs: 0,
      done: 0,
      tasks: 0,
      tasksDone: 0,
    };
    for (const k of Object.keys(t) as (keyof typeof t)[]) t[k] += l[k] ?? 0;
    teams.set(team, t);
  }
  return least(
    [...teams].map(([name, t]) => {
      const up = t.replicas === 0 ? 0 : (t.services * t.replicasUp) / t.replicas;
      const jobs = part(t.done + up, t.jobs + t.services);
      return { name, jobs, started: null, tasks: part(t.tasksDone, t.tasks) };
    }),
  );
}

export function readPlay(report: Report, log: string): Play {
  const mark = /^\S+ +\d+ +([\d.]+) /m.exec(log);
  const aims: Record<string, number> = {};
  for (const t of report.targets) {
    const name = [t.kind, t.class, t.within_s ?? t.times].filter((x) => x !== undefined && x !== null);
    if (t.value !== null) aims[name.join(' ')] = t.value;
  }
  return {
    mark: mark === null ? null : Number(mark[1]),
    broken: report.rules_broken.total,
    leastClass: leastClass(report),
    leastTeam: least([leastTeam(log), leastOf(report.teams)].filter((l) => l !== null)),
    leastLargest: leastOf(report.largest ?? {}),
    longestStart: longestStart(report),
    killedByLease: report.fleet.tasks_killed_by_lease,
    lost: report.fleet.tasks_lost,
    cpuS: [...report.spent.world, ...report.spent.processes].reduce((a, b) => a + b, 0),
    ended: report.node_stats.reduce((n, s) => n + s.restarts.filter((r) => r.why !== 'fault').length, 0),
    memoryMb: Math.max(...report.node_stats.map((s) => s.memory_peak_mb)),
    sockets: Math.max(...report.node_stats.map((s) => s.connections_peak)),
    aims,
  };
}

/** What makes a play fail by itself. */
export function faults(p: Play): string[] {
  const out: string[] = [];
  if (p.broken > 0) out.push(`${p.broken} broken rules`);
  if (p.ended > 0) out.push(`${p.ended} processes ended by themselves`);
  if (p.cpuS > CPU_MAX_S) out.push(`${Math.round(p.cpuS)} s of processor time`);
  if (p.mark === null || p.mark <= 0) out.push('the day is worth nothing');
  for (const [what, l] of [
    ['class', p.leastClass],
    ['team', p.leastTeam],
    ['the largest of', p.leastLargest],
  ] as const)
    if (l !== null && l.jobs < HALF) out.push(`${what} ${l.name} served ${l.jobs.toFixed(2)}`);
  const { longestStart: l } = p;
  if (l !== null && l.s > START_MAX_S) out.push(`${l.name} waited ${Math.round(l.s)} s for a first start`);
  const r = p.refused;
  if (r?.met === 0) out.push('no job was cancelled past a refused leader: the play proves nothing');
  if (r !== undefined && r.latestGoneS !== null && r.latestGoneS > r.cancelS)
    out.push(`cancelled tasks may have lasted ${r.latestGoneS.toFixed(1)} s of ${r.cancelS}`);
  return out;
}

export const show = (l: Least | null): string =>
  l === null
    ? 'unknown'
    : `${l.name} ${l.jobs.toFixed(2)}${l.started === null ? '' : ` (started ${l.started.toFixed(2)})`}`;
