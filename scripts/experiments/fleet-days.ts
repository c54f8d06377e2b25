// What the fleet drill plays: who asks for what, and what goes wrong when. Figures are relative to the number of machines, so
// that the same day can be played at any size.
import type { Random } from '../../src/core/base/io.ts';
import type { JobSpec, MachineType } from '../../src/core/base/model.ts';
import type { JobId, TeamName, TypeName, ZoneName } from '../../src/types/index.ts';

export type Trouble =
  | { atS: number; kind: 'die' | 'hang' | 'slow'; part: number; forS: number; factor: number }
  | { atS: number; kind: 'zone'; zone: number; forS: number }
  | { atS: number; kind: 'owner-ends' }
  | { atS: number; kind: 'store'; forS: number };

export interface Day {
  name: string;
  about: string;
  /** What arrives, as a part of what the whole fleet can do. */
  load: number;
  /** One team asks for this many times its part, another one every third of the day; 1: none. */
  hot: number;
  troubles: Trouble[];
}

const ends = (atS: number): Trouble => ({ atS, kind: 'owner-ends' });

export const DAYS: Day[] = [
  { name: 'calm', about: 'room for all', load: 0.7, hot: 1, troubles: [] },
  { name: 'hot', about: 'a hot team that moves, more than fits', load: 2, hot: 12, troubles: [ends(250)] },
  {
    name: 'loss',
    about: 'machines die, hang and slow down, the owner ends',
    load: 0.9,
    hot: 4,
    troubles: [
      { atS: 150, kind: 'die', part: 0.1, forS: 0, factor: 1 },
      { atS: 180, kind: 'hang', part: 0.05, forS: 30, factor: 1 },
      { atS: 200, kind: 'slow', part: 0.05, forS: 1e6, factor: 4 },
      ends(220),
    ],
  },
  {
    name: 'zone',
    about: 'the largest zone is cut off, the owner ends, the state service is away',
    load: 0.8,
    hot: 1,
    troubles: [
      { atS: 150, kind: 'zone', zone: 0, forS: 50 },
      ends(160),
      { atS: 260, kind: 'store', forS: 20 },
    ],
  },
];

export const ZONES = ['east', 'mid', 'west'] as ZoneName[];
/** Zones are of unequal size. */
const ZONE_PART = [0.5, 0.3, 0.2];
const box = 'box' as TypeName;
const lens = 'lens' as TypeName;
const PLAIN = 0.75;

export const TYPES: MachineType[] = [
  { name: box, cpus: 16, gpus: 0, price: 1, spotPrice: 0.35, memoryGb: 64, bootS: 25 },
  { name: lens, cpus: 16, gpus: 2, price: 4, spotPrice: 1.4, memoryGb: 128, bootS: 40 },
].map((t) => ({ ...t, cacheGb: 50, fetchGbPerS: 0.4, zones: ZONES }));

/** How many machines of a kind there are to be rented. */
export const room = (machines: number, type: TypeName, zone: ZoneName): number =>
  Math.max(1, Math.round(machines * (type === box ? PLAIN : 1 - PLAIN) * ZONE_PART[ZONES.indexOf(zone)]!));

interface Kind {
  class: string;
  kind: JobSpec['kind'];
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Median and spread of the number of tasks of an array; sizes of gangs. */
  tasks: { median: number; spread: number } | number[];
  runS: number;
  imageGb: number;
  images: number;
  deadline: { times: number; plusS: number } | null;
  checkpointS: number;
  /** Part of the arriving work. */
  part: number;
  /** Of services: the most urgent, spread over zones, on ordinary machines, for as long as their users want them. */
  service?: true;
}

const KINDS: Kind[] = [
  {
    class: 'small',
    kind: 'array',
    cpus: 1,
    gpus: 0,
    memoryGb: 2,
    tasks: { median: 80, spread: 0.7 },
    runS: 25,
    imageGb: 1.2,
    images: 12,
    deadline: { times: 2.5, plusS: 30 },
    checkpointS: 0,
    part: 0.4,
  },
  {
    class: 'joint',
    kind: 'gang',
    cpus: 12,
    gpus: 0,
    memoryGb: 40,
    tasks: [1, 1, 2, 3, 6],
    runS: 70,
    imageGb: 2.5,
    images: 20,
    deadline: null,
    checkpointS: 20,
    part: 0.4,
  },
  {
    class: 'scan',
    kind: 'array',
    cpus: 5,
    gpus: 1,
    memoryGb: 30,
    tasks: { median: 15, spread: 0.6 },
    runS: 45,
    imageGb: 3.5,
    images: 20,
    deadline: { times: 2, plusS: 60 },
    checkpointS: 15,
    part: 0.15,
  },
  {
    class: 'watch',
    kind: 'service',
    cpus: 2,
    gpus: 1,
    memoryGb: 12,
    tasks: [2, 2, 3, 6],
    runS: 120,
    imageGb: 3,
    images: 8,
    deadline: null,
    checkpointS: 0,
    part: 0.05,
    service: true,
  },
];

export const OBJECTIVES = [
  { kind: 'wait', class: 'joint', withinS: 30, share: 0.9, times: null },
  { kind: 'finished', class: 'joint', withinS: 300, share: 0.97, times: null },
  { kind: 'deadline', class: 'small', withinS: null, share: 0.95, times: 1 },
  { kind: 'wait', class: 'small', withinS: 150, share: 0.99, times: null },
  { kind: 'deadline', class: 'scan', withinS: null, share: 0.9, times: 1 },
  { kind: 'wait', class: 'watch', withinS: 15, share: 0.8, times: null },
  { kind: 'guarantee', class: null, withinS: 20, share: 0.9, times: null },
];

export const teamName = (i: number): TeamName => `team-${i}` as TeamName;

const unit = (r: Random): number => (r.below(1_000_000) + 0.5) / 1_000_000;
/** Near enough to a normal draw: the sum of twelve even ones. */
const normal = (r: Random): number => Array.from({ length: 12 }, () => unit(r)).reduce((a, b) => a + b, -6);

/** By Zipf: the first of n is drawn most often. */
function zipf(r: Random, n: number, s: number): number {
  const w = Array.from({ length: n }, (_, i) => 1 / (i + 1) ** s);
  let at = unit(r) * w.reduce((a, b) => a + b, 0);
  for (let i = 0; i < n; i++) {
    at -= w[i]!;
    if (at < 0) return i;
  }
  return n - 1;
}

/** `runS`: of a service, how long after it was accepted its user cancels it. */
export interface Arrival {
  atS: number;
  spec: JobSpec;
  runS: number;
}

/** All jobs of a day, in the order in which they come; the same for the same seed, whoever schedules them. */
export function arrivals(day: Day, machines: number, teams: number, lengthS: number, r: Random): Arrival[] {
  const out: Arrival[] = [];
  const cpus = machines * 16;
  const hotTeam = [0, 1, 2].map(() => r.below(teams));
  let n = 0;
  for (const k of KINDS) {
    const sizes = k.tasks;
    const meanTasks = Array.isArray(sizes)
      ? sizes.reduce((a, b) => a + b, 0) / sizes.length
      : sizes.median * Math.exp(sizes.spread ** 2 / 2);
    const work = meanTasks * k.cpus * k.runS * 1.1;
    const perS = (cpus * day.load * k.part) / work;
    const gap = (): number => -Math.log(unit(r)) / perS;
    for (let t = gap(); t < lengthS; t += gap()) {
      const hot = day.hot > 1 && unit(r) < (day.hot - 1) / (day.hot - 1 + teams / 2);
      const team = hot ? hotTeam[Math.min(2, Math.floor((t / lengthS) * 3))]! : zipf(r, teams, 0.8);
      const tasks = Array.isArray(sizes)
        ? sizes[r.below(sizes.length)]!
        : Math.max(1, Math.min(400, Math.round(sizes.median * Math.exp(normal(r) * sizes.spread))));
      const runS = Math.max(5, k.runS * Math.exp(normal(r) * 0.4));
      const estimateS = runS * Math.exp(normal(r) * 0.2);
      const spec: JobSpec = {
        id: `run-${String(++n).padStart(6, '0')}` as JobId,
        class: k.class,
        team: teamName(team),
        kind: k.kind,
        priority: k.service ? 3 : 1,
        tasks,
        cpus: k.cpus,
        gpus: k.gpus,
        memoryGb: k.memoryGb,
        image: `${k.class}-${zipf(r, k.images, 1)}`,
        imageGb: k.imageGb,
        machineTypes: null,
        zone: null,
        oneZone: k.kind === 'gang',
        spread: k.service ?? false,
        spot: !k.service,
        estimatedRunS: k.service ? 0 : estimateS,
        checkpointIntervalS: k.checkpointS,
        checkpointDurationS: k.checkpointS > 0 ? 3 : 0,
        deadlineS: k.deadline === null ? null : estimateS * k.deadline.times + k.deadline.plusS,
      };
      out.push({ atS: t, spec, runS });
    }
  }
  return out.sort((a, b) => a.atS - b.atS);
}
