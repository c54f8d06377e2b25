// What the fleet experiment plays: who asks for what, and what goes wrong when. Figures are relative to the
// number of machines, so that the same day can be played at any size.
import type { Random } from '../../src/core/base/io.ts';
import type { JobSpec, MachineType } from '../../src/core/base/model.ts';
import type { JobId, TeamName, TypeName, ZoneName } from '../../src/types/index.ts';

/** What goes wrong `atS` seconds into a day. `part`: of the machines. `zone`: its number in `ZONES`. */
export type DayFault =
  | { atS: number; kind: 'die' | 'hang' | 'slow'; part: number; forS: number; factor: number }
  | { atS: number; kind: 'zone'; zone: number; forS: number }
  | { atS: number; kind: 'owner-ends' }
  | { atS: number; kind: 'store'; forS: number };

/** A kind of day. */
export interface Day {
  name: string;
  about: string;
  /** What arrives, as a part of what the whole fleet can do. */
  load: number;
  /** One team asks for this many times its part, another one every third of the day; 1: none. */
  hot: number;
  troubles: DayFault[];
}

const leaderEnds = (atS: number): DayFault => ({ atS, kind: 'owner-ends' });

/** The days that are played. */
export const DAYS: Day[] = [
  { name: 'calm', about: 'room for all', load: 0.7, hot: 1, troubles: [] },
  {
    name: 'hot',
    about: 'a hot team that moves, more than fits',
    load: 2,
    hot: 12,
    troubles: [leaderEnds(250)],
  },
  {
    name: 'loss',
    about: 'machines die, hang and slow down, the owner ends',
    load: 0.9,
    hot: 4,
    troubles: [
      { atS: 150, kind: 'die', part: 0.1, forS: 0, factor: 1 },
      { atS: 180, kind: 'hang', part: 0.05, forS: 30, factor: 1 },
      { atS: 200, kind: 'slow', part: 0.05, forS: 1e6, factor: 4 },
      leaderEnds(220),
    ],
  },
  {
    name: 'zone',
    about: 'the largest zone is cut off, the owner ends, the state service is away',
    load: 0.8,
    hot: 1,
    troubles: [
      { atS: 150, kind: 'zone', zone: 0, forS: 50 },
      leaderEnds(160),
      { atS: 260, kind: 'store', forS: 20 },
    ],
  },
];

/** How often machines send heartbeats when nothing changes. */
export const HEARTBEAT_INTERVAL_MS = 4000;
/** How long machines go on unanswered. */
export const LEASE_MS = 20_000;

/** Zones of the cloud. */
export const ZONES = ['east', 'mid', 'west'] as ZoneName[];
/** Zones are of unequal size. */
const ZONE_PART = [0.5, 0.3, 0.2];
const PLAIN_TYPE = 'box' as TypeName;
const GPU_TYPE = 'lens' as TypeName;
/** Part of the machines that are without accelerators. */
const PLAIN_PART = 0.75;
const MACHINE_CPUS = 16;

/** Types of machines. */
export const TYPES: MachineType[] = [
  { name: PLAIN_TYPE, cpus: MACHINE_CPUS, gpus: 0, price: 1, spotPrice: 0.35, memoryGb: 64, bootS: 25 },
  { name: GPU_TYPE, cpus: MACHINE_CPUS, gpus: 2, price: 4, spotPrice: 1.4, memoryGb: 128, bootS: 40 },
].map((type) => ({ ...type, cacheGb: 50, fetchGbPerS: 0.4, zones: ZONES }));

/** How many machines of a type there are to be rented in a zone, of a fleet of this size. */
export function machinesToRent(machines: number, type: TypeName, zone: ZoneName): number {
  const typePart = type === PLAIN_TYPE ? PLAIN_PART : 1 - PLAIN_PART;
  return Math.max(1, Math.round(machines * typePart * ZONE_PART[ZONES.indexOf(zone)]!));
}

/** A class of jobs. */
interface JobClass {
  name: string;
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
  /**
   * Of services: the most urgent, spread over zones, on ordinary machines, for as long as their users want
   * them.
   */
  service?: true;
}

const CLASSES: JobClass[] = [
  {
    name: 'small',
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
    name: 'joint',
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
    name: 'scan',
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
    name: 'watch',
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

/** Objectives of the fleet's settings. */
export const OBJECTIVES = [
  { kind: 'wait', class: 'joint', withinS: 30, share: 0.9, times: null },
  { kind: 'finished', class: 'joint', withinS: 300, share: 0.97, times: null },
  { kind: 'deadline', class: 'small', withinS: null, share: 0.95, times: 1 },
  { kind: 'wait', class: 'small', withinS: 150, share: 0.99, times: null },
  { kind: 'deadline', class: 'scan', withinS: null, share: 0.9, times: 1 },
  { kind: 'wait', class: 'watch', withinS: 15, share: 0.8, times: null },
  { kind: 'guarantee', class: null, withinS: 20, share: 0.9, times: null },
];

/** Names of teams, by number. */
export const teamName = (i: number): TeamName => `team-${i}` as TeamName;

/** Arrays have so many tasks at the most. */
const TASKS_MAX = 400;
const LEAST_RUN_S = 5;
/** Spreads of how long jobs run beside their class, and of users' estimates beside that. */
const RUN_SPREAD = 0.4;
const ESTIMATE_SPREAD = 0.2;
/** Mean of what the spread of run times does to the work of a job. */
const RUN_SPREAD_WORK = 1.1;
/** How unequal teams and images are, by Zipf. */
const TEAM_SKEW = 0.8;
const IMAGE_SKEW = 1;
/** The hot team is another one in each part of the day. */
const HOT_TEAMS = 3;
/** The most urgent. */
const SERVICE_PRIORITY = 3;
const CHECKPOINT_DURATION_S = 3;

/**
 * A job, when it arrives, and how long it runs; of a service, how long after it was accepted its user cancels
 * it.
 */
export interface Arrival {
  atS: number;
  spec: JobSpec;
  runS: number;
}

/** Between 0 and 1, without either. */
const drawUnit = (random: Random): number => (random.below(1_000_000) + 0.5) / 1_000_000;

/** Near enough to a normal draw: the sum of twelve even ones. */
const drawNormal = (random: Random): number =>
  Array.from({ length: 12 }, () => drawUnit(random)).reduce((sum, unit) => sum + unit, -6);

const drawLogNormal = (random: Random, median: number, spread: number): number =>
  median * Math.exp(drawNormal(random) * spread);

/** By Zipf: the first of so many is drawn most often. */
function drawZipf(random: Random, count: number, skew: number): number {
  const weights = Array.from({ length: count }, (_, i) => 1 / (i + 1) ** skew);
  let rest = drawUnit(random) * weights.reduce((sum, weight) => sum + weight, 0);
  for (let i = 0; i < count; i++) {
    rest -= weights[i]!;
    if (rest < 0) return i;
  }
  return count - 1;
}

function meanTasks({ tasks }: JobClass): number {
  if (!Array.isArray(tasks)) return tasks.median * Math.exp(tasks.spread ** 2 / 2);
  return tasks.reduce((sum, size) => sum + size, 0) / tasks.length;
}

function drawTasks({ tasks }: JobClass, random: Random): number {
  if (Array.isArray(tasks)) return tasks[random.below(tasks.length)]!;
  return Math.max(1, Math.min(TASKS_MAX, Math.round(drawLogNormal(random, tasks.median, tasks.spread))));
}

/** Draws the jobs of a day, one after the other. */
class ArrivalGenerator {
  private readonly arrivals: Arrival[] = [];
  private readonly hotTeams: number[];

  constructor(
    private readonly day: Day,
    private readonly machines: number,
    private readonly teams: number,
    private readonly lengthS: number,
    private readonly random: Random,
  ) {
    this.hotTeams = Array.from({ length: HOT_TEAMS }, () => random.below(teams));
  }

  /** All jobs in the order in which they come. */
  generate(): Arrival[] {
    for (const jobClass of CLASSES) {
      const perS = this.arrivalsPerS(jobClass);
      const gap = (): number => -Math.log(drawUnit(this.random)) / perS;
      for (let atS = gap(); atS < this.lengthS; atS += gap()) this.arrivals.push(this.draw(jobClass, atS));
    }
    return this.arrivals.sort((a, b) => a.atS - b.atS);
  }

  private arrivalsPerS(jobClass: JobClass): number {
    const work = meanTasks(jobClass) * jobClass.cpus * jobClass.runS * RUN_SPREAD_WORK;
    return (this.machines * MACHINE_CPUS * this.day.load * jobClass.part) / work;
  }

  private drawTeam(atS: number): number {
    const { hot } = this.day;
    const isHot = hot > 1 && drawUnit(this.random) < (hot - 1) / (hot - 1 + this.teams / 2);
    if (!isHot) return drawZipf(this.random, this.teams, TEAM_SKEW);
    return this.hotTeams[Math.min(HOT_TEAMS - 1, Math.floor((atS / this.lengthS) * HOT_TEAMS))]!;
  }

  private draw(jobClass: JobClass, atS: number): Arrival {
    const { random } = this;
    const { deadline, checkpointS } = jobClass;
    const isService = jobClass.service ?? false;
    const team = this.drawTeam(atS);
    const tasks = drawTasks(jobClass, random);
    const runS = Math.max(LEAST_RUN_S, drawLogNormal(random, jobClass.runS, RUN_SPREAD));
    const estimateS = drawLogNormal(random, runS, ESTIMATE_SPREAD);
    const spec: JobSpec = {
      id: `run-${String(this.arrivals.length + 1).padStart(6, '0')}` as JobId,
      class: jobClass.name,
      team: teamName(team),
      kind: jobClass.kind,
      priority: isService ? SERVICE_PRIORITY : 1,
      tasks,
      cpus: jobClass.cpus,
      gpus: jobClass.gpus,
      memoryGb: jobClass.memoryGb,
      image: `${jobClass.name}-${drawZipf(random, jobClass.images, IMAGE_SKEW)}`,
      imageGb: jobClass.imageGb,
      machineTypes: null,
      zone: null,
      oneZone: jobClass.kind === 'gang',
      spread: isService,
      spot: !isService,
      estimatedRunS: isService ? 0 : estimateS,
      checkpointIntervalS: checkpointS,
      checkpointDurationS: checkpointS > 0 ? CHECKPOINT_DURATION_S : 0,
      deadlineS: deadline === null ? null : estimateS * deadline.times + deadline.plusS,
    };
    return { atS, spec, runS };
  }
}

/** All jobs of a day, in the order in which they come; the same for the same seed, whoever schedules them. */
export function arrivals(
  day: Day,
  machines: number,
  teams: number,
  lengthS: number,
  random: Random,
): Arrival[] {
  return new ArrivalGenerator(day, machines, teams, lengthS, random).generate();
}
