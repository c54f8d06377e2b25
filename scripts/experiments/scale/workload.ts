// The load of the scale experiment: machines, teams and their limits, and the jobs that users submit. All
// random values are drawn from a seed.
import type { JobRequest } from '../../../packages/client/src/types.ts';
import { seededRandom } from '../../../src/runtime/random.ts';

/** The size and the load of a cluster. */
export interface Demand {
  workers: number;
  teams: number;
  /** Mean number of running tasks that ordinary jobs maintain. */
  running: number;
  /** Ordinary jobs a second. */
  jobsPerS: number;
  /** Urgent one-task jobs a second. */
  urgentPerS: number;
  /** Number of jobs that stay open but cannot start during the experiment. */
  waitingJobs: number;
}

/** A team's guarantee and limits, as in a settings file; a limit of 0 means no limit. */
export interface TeamLimits {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

/** A job request, and the run time of its tasks. */
export interface DrawnJob {
  request: JobRequest;
  runS: number;
}

/** Machines without accelerators: three in ten. */
export const PLAIN = { cpus: 32, gpus: 0, memory_gb: 128 };
/** Machines with two accelerators each: seven in ten. */
export const ACCELERATED = { cpus: 16, gpus: 2, memory_gb: 128 };
/** Fraction of the machines that have no accelerators. */
export const PLAIN_FRACTION = 0.3;
/** Zones of the cloud. */
export const ZONES = Array.from({ length: 10 }, (_, i) => `zone-${i}`);

/** An additional team whose jobs wait for its limit during the whole experiment. */
export const WAITING_TEAM: TeamLimits = { name: 'waiting', cpus: 0, cpus_max: 1, gpus: 0, gpus_max: 0 };

/** Resources and mean run time of each task of a job. */
interface TaskSize {
  cpus: number;
  memoryGb: number;
  runS: number;
}

const SWEEP: TaskSize = { cpus: 2.3, memoryGb: 3, runS: 120 };
/** Arrays whose tasks use one accelerator each; `INFER_FRACTION` is their fraction of the running tasks. */
const INFER: TaskSize = { cpus: 4, memoryGb: 16, runS: 120 };
const INFER_FRACTION = 0.16;
const GANG: TaskSize = { cpus: 4, memoryGb: 16, runS: 150 };
/** Fraction of the ordinary jobs that are gangs. */
const GANG_FRACTION = 0.12;
const GANG_SIZES: readonly { tasks: number; weight: number }[] = [
  { tasks: 2, weight: 25 },
  { tasks: 4, weight: 20 },
  { tasks: 8, weight: 20 },
  { tasks: 16, weight: 15 },
  { tasks: 32, weight: 10 },
  { tasks: 64, weight: 7 },
  { tasks: 128, weight: 3 },
];
const URGENT: TaskSize = { cpus: 1, memoryGb: 1, runS: 3 };
const BURST: TaskSize = { cpus: 1, memoryGb: 1, runS: 4 };
const WAITING: TaskSize = { cpus: 1, memoryGb: 1, runS: 600 };
const WAITING_TASKS = 20;
const IMAGES = 20;
/** Number of teams without a limit; they submit the bursts. */
const UNLIMITED_TEAMS = 5;

type SeededRandom = ReturnType<typeof seededRandom>;

/** Draws a number between two others. */
export const drawBetween = (random: SeededRandom, min: number, max: number): number =>
  min + ((max - min) * random.below(10_001)) / 10_000;

/** Total CPUs and accelerators of all machines. */
export function capacityOf(workers: number): { cpus: number; gpus: number } {
  const plain = Math.round(workers * PLAIN_FRACTION);
  const accelerated = workers - plain;
  return {
    cpus: plain * PLAIN.cpus + accelerated * ACCELERATED.cpus,
    gpus: accelerated * ACCELERATED.gpus,
  };
}

/** Relative submission rate of the team with this index. */
const submissionWeight = (teamIndex: number): number => 1 / (1 + teamIndex * 0.03);

/**
 * Draws the limits of teams: a CPU limit is 1.2 to 3 times the mean demand of its team. Each team is
 * guaranteed half of an equal share of the capacity.
 */
export function teamsFor(demand: Demand, seed: number): TeamLimits[] {
  const random = seededRandom(seed);
  const capacity = capacityOf(demand.workers);
  const weights = Array.from({ length: demand.teams }, (_, i) => submissionWeight(i));
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const cpus = Math.round(capacity.cpus / demand.teams / 2);
  const gpus = Math.round(capacity.gpus / demand.teams / 2);
  return weights.map((weight, i) => {
    const name = `team-${String(i).padStart(2, '0')}`;
    if (i < UNLIMITED_TEAMS) return { name, cpus, cpus_max: 0, gpus, gpus_max: 0 };
    const meanDemandCpus = (demand.running * SWEEP.cpus * weight) / totalWeight;
    const cpusMax = Math.max(64, cpus, Math.ceil(meanDemandCpus * drawBetween(random, 1.2, 3)));
    const gpusMax = Math.max(16, Math.round(capacity.gpus * drawBetween(random, 0.05, 0.2)));
    return { name, cpus, cpus_max: cpusMax, gpus, gpus_max: gpusMax };
  });
}

/** Draws the jobs of all teams. */
export class JobGenerator {
  private readonly totalWeight: number;

  constructor(
    private readonly demand: Demand,
    private readonly teams: readonly TeamLimits[],
    private readonly random: SeededRandom,
  ) {
    this.totalWeight = teams.reduce((sum, _, i) => sum + submissionWeight(i), 0);
  }

  /** Mean number of pairs of arrays submitted each second. */
  get arrayPairsPerS(): number {
    return (this.demand.jobsPerS * (1 - GANG_FRACTION)) / 2;
  }

  get gangsPerS(): number {
    return this.demand.jobsPerS * GANG_FRACTION;
  }

  /** Mean run time of the tasks of arrays. */
  get arrayRunS(): number {
    return SWEEP.runS;
  }

  /**
   * Draws a pair of arrays; at the rate `arrayPairsPerS` such pairs maintain the mean number of running
   * tasks.
   */
  drawArrays(): [onAccelerators: DrawnJob, plain: DrawnJob] {
    const meanTasks = this.demand.running / (this.arrayPairsPerS * SWEEP.runS);
    const runS = SWEEP.runS * drawBetween(this.random, 0.5, 1.5);
    return this.arraysOf(meanTasks * drawBetween(this.random, 0.3, 1.7), runS);
  }

  /** Divides `tasks` between two arrays: a smaller one on accelerators and a larger one without. */
  arraysOf(tasks: number, runS: number): [onAccelerators: DrawnJob, plain: DrawnJob] {
    const tasksOf = (fraction: number): number => Math.max(1, Math.round(tasks * fraction));
    const infer = {
      ...this.baseRequest(this.drawTeam(), 'infer', INFER),
      gpus: 1,
      tasks: tasksOf(INFER_FRACTION),
    };
    const sweep = {
      ...this.baseRequest(this.drawTeam(), 'sweep', SWEEP),
      tasks: tasksOf(1 - INFER_FRACTION),
    };
    return [
      { request: infer, runS },
      { request: sweep, runS },
    ];
  }

  /** Draws a gang that fits within the limits of its team. */
  drawGang(): DrawnJob {
    const team = this.drawTeam();
    const drawnTasks = this.drawGangSize();
    const capacity = capacityOf(this.demand.workers);
    const gpus = team.gpus_max > 0 ? team.gpus_max : capacity.gpus;
    const cpus = team.cpus_max > 0 ? team.cpus_max : capacity.cpus;
    const tasks = Math.max(2, Math.min(drawnTasks, Math.floor(gpus), Math.floor(cpus / GANG.cpus)));
    const request = { ...this.baseRequest(team, 'train', GANG), kind: 'gang' as const, gpus: 1, tasks };
    return { request, runS: GANG.runS * drawBetween(this.random, 0.5, 1.5) };
  }

  /** Draws an urgent job of one task. */
  drawUrgent(): DrawnJob {
    const request = this.baseRequest(this.drawTeam(), 'urgent', URGENT);
    return { request: { ...request, priority: 'urgent' }, runS: URGENT.runS };
  }

  /**
   * Draws a job of the waiting team: a service uses its whole limit, so that arrays wait until the experiment
   * ends.
   */
  drawWaiting(kind: 'array' | 'service'): DrawnJob {
    const request = this.baseRequest(WAITING_TEAM, 'waiting', WAITING);
    return { request: { ...request, kind, tasks: kind === 'array' ? WAITING_TASKS : 1 }, runS: WAITING.runS };
  }

  /** Draws the array number `index` of a burst. */
  drawBurst(index: number, tasks: number): DrawnJob {
    const team = this.teams[index % UNLIMITED_TEAMS]!;
    return { request: { ...this.baseRequest(team, 'burst', BURST), tasks }, runS: BURST.runS };
  }

  private drawGangSize(): number {
    const totalWeight = GANG_SIZES.reduce((sum, { weight }) => sum + weight, 0);
    let remainder = this.random.below(totalWeight);
    return GANG_SIZES.find(({ weight }) => {
      remainder -= weight;
      return remainder < 0;
    })!.tasks;
  }

  private drawTeam(): TeamLimits {
    let remainder = drawBetween(this.random, 0, this.totalWeight);
    const found = this.teams.find((_, i) => {
      remainder -= submissionWeight(i);
      return remainder <= 0;
    });
    return found ?? this.teams[0]!;
  }

  private baseRequest(team: TeamLimits, jobClass: string, { cpus, memoryGb, runS }: TaskSize): JobRequest {
    return {
      team: team.name,
      class: jobClass,
      cpus,
      memoryGb,
      image: `image-${this.random.below(IMAGES)}`,
      imageGb: 0,
      estimateS: runS,
    };
  }
}
