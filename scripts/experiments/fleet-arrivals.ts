// The jobs of a day of the fleet experiment, drawn from a seed.
import type { Random } from '../../src/core/base/io.ts';
import type { JobSpec } from '../../src/core/base/model.ts';
import type { JobId } from '../../src/types/index.ts';
import { type Day, MACHINE_CPUS, teamName } from './fleet-days.ts';

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
