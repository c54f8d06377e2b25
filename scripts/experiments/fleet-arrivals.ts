// Generates the jobs that arrive in a day of the fleet experiment, from a seed.
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
  /** Arrays: median and spread of the number of tasks. Gangs and services: the possible numbers of tasks. */
  tasks: { median: number; spread: number } | number[];
  runS: number;
  imageGb: number;
  images: number;
  deadline: { times: number; plusS: number } | null;
  checkpointS: number;
  /** Fraction of the day's load that comes from this class. */
  loadFraction: number;
  /**
   * True for services: they have the highest priority, are spread over zones, run on non-spot machines and
   * run until their users cancel them.
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
    loadFraction: 0.4,
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
    loadFraction: 0.4,
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
    loadFraction: 0.15,
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
    loadFraction: 0.05,
    service: true,
  },
];

/** Maximum number of tasks of an array. */
const TASKS_MAX = 400;
const MIN_RUN_S = 5;
/**
 * Log-normal spreads: of run times around the median of the class, and of users' estimates around run times.
 */
const RUN_SPREAD = 0.4;
const ESTIMATE_SPREAD = 0.2;
/** Mean run time relative to the median, which exceeds 1 because run times are log-normal. */
const MEAN_RUN_FACTOR = 1.1;
/** Zipf exponents of the choice of a team and of an image. */
const TEAM_SKEW = 0.8;
const IMAGE_SKEW = 1;
/** Number of hot teams in a day; they follow one another, each for an equal time. */
const HOT_TEAM_COUNT = 3;
/** The highest priority. */
const SERVICE_PRIORITY = 3;
const CHECKPOINT_DURATION_S = 3;

/**
 * A job with its arrival time and its run time; a service is cancelled by its user `runS` after acceptance.
 */
export interface Arrival {
  atS: number;
  spec: JobSpec;
  runS: number;
}

/** Draws a number between 0 and 1, both excluded. */
const drawUnit = (random: Random): number => (random.below(1_000_000) + 0.5) / 1_000_000;

/** Draws approximately from the standard normal distribution, as a sum of twelve uniform draws less 6. */
const drawNormal = (random: Random): number =>
  Array.from({ length: 12 }, () => drawUnit(random)).reduce((sum, unit) => sum + unit, -6);

const drawLogNormal = (random: Random, median: number, spread: number): number =>
  median * Math.exp(drawNormal(random) * spread);

/** Draws an index below `count` from a Zipf distribution: index 0 is the most frequent. */
function drawZipf(random: Random, count: number, skew: number): number {
  const weights = Array.from({ length: count }, (_, i) => 1 / (i + 1) ** skew);
  let remaining = drawUnit(random) * weights.reduce((sum, weight) => sum + weight, 0);
  for (let i = 0; i < count; i++) {
    remaining -= weights[i]!;
    if (remaining < 0) return i;
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

/** Generates the jobs of a day. */
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
    this.hotTeams = Array.from({ length: HOT_TEAM_COUNT }, () => random.below(teams));
  }

  /** All jobs, by arrival time. */
  generate(): Arrival[] {
    for (const jobClass of CLASSES) {
      const ratePerS = this.arrivalsPerS(jobClass);
      const drawGapS = (): number => -Math.log(drawUnit(this.random)) / ratePerS;
      for (let atS = drawGapS(); atS < this.lengthS; atS += drawGapS())
        this.arrivals.push(this.draw(jobClass, atS));
    }
    return this.arrivals.sort((a, b) => a.atS - b.atS);
  }

  private arrivalsPerS(jobClass: JobClass): number {
    const cpuSecondsPerJob = meanTasks(jobClass) * jobClass.cpus * jobClass.runS * MEAN_RUN_FACTOR;
    return (this.machines * MACHINE_CPUS * this.day.load * jobClass.loadFraction) / cpuSecondsPerJob;
  }

  private drawTeam(atS: number): number {
    const { hotTeamFactor } = this.day;
    const isHot =
      hotTeamFactor > 1 && drawUnit(this.random) < (hotTeamFactor - 1) / (hotTeamFactor - 1 + this.teams / 2);
    if (!isHot) return drawZipf(this.random, this.teams, TEAM_SKEW);
    return this.hotTeams[Math.min(HOT_TEAM_COUNT - 1, Math.floor((atS / this.lengthS) * HOT_TEAM_COUNT))]!;
  }

  private draw(jobClass: JobClass, atS: number): Arrival {
    const { random } = this;
    const { deadline, checkpointS } = jobClass;
    const isService = jobClass.service ?? false;
    const team = this.drawTeam(atS);
    const tasks = drawTasks(jobClass, random);
    const runS = Math.max(MIN_RUN_S, drawLogNormal(random, jobClass.runS, RUN_SPREAD));
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

/** All jobs of a day by arrival time. The same seed gives the same jobs, whichever version schedules them. */
export function arrivals(
  day: Day,
  machines: number,
  teams: number,
  lengthS: number,
  random: Random,
): Arrival[] {
  return new ArrivalGenerator(day, machines, teams, lengthS, random).generate();
}
