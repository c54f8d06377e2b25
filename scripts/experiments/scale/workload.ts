// The load of the scale experiment: machines, teams and their limits, and the jobs that users submit, drawn
// from a seed.
import type { JobRequest } from '../../../packages/client/src/types.ts';
import { seededRandom } from '../../../src/runtime/random.ts';

/** How much is asked of a cluster. */
export interface Demand {
  workers: number;
  teams: number;
  /** Tasks on machines that ordinary jobs keep up. */
  running: number;
  /** Ordinary jobs a second. */
  jobsPerS: number;
  /** Urgent one-task jobs a second. */
  urgentPerS: number;
  /** Jobs that can't start while the experiment lasts, kept open all the time. */
  waitingJobs: number;
}

/** A team's guarantee and limits, as a settings file has them; a limit of 0 is none. */
export interface TeamLimits {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

/** What is asked for, and how long its tasks run. */
export interface DrawnJob {
  request: JobRequest;
  runS: number;
}

/** Machines: three in ten without accelerators, seven with two each. */
export const PLAIN = { cpus: 32, gpus: 0, memory_gb: 128 };
/** Machines with accelerators. */
export const ACCELERATED = { cpus: 16, gpus: 2, memory_gb: 128 };
/** Part of the machines that are without accelerators. */
export const PLAIN_FRACTION = 0.3;
/** Zones of the cloud. */
export const ZONES = Array.from({ length: 10 }, (_, i) => `zone-${i}`);

/** A team of the experiment's own whose jobs wait. */
export const WAITING_TEAM: TeamLimits = { name: 'waiting', cpus: 0, cpus_max: 1, gpus: 0, gpus_max: 0 };

/** What each task of a job takes. */
interface TaskSize {
  cpus: number;
  memoryGb: number;
  runS: number;
}

const SWEEP: TaskSize = { cpus: 2.3, memoryGb: 3, runS: 120 };
/** Arrays on accelerators, one for each task: this part of the running tasks. */
const INFER: TaskSize = { cpus: 4, memoryGb: 16, runS: 120 };
const INFER_FRACTION = 0.16;
const GANG: TaskSize = { cpus: 4, memoryGb: 16, runS: 150 };
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
/** Of the teams so many have no limit; they bring the bursts. */
const UNLIMITED_TEAMS = 5;

type SeededRandom = ReturnType<typeof seededRandom>;

/** Draws a number between two others. */
export const drawBetween = (random: SeededRandom, min: number, max: number): number =>
  min + ((max - min) * random.below(10_001)) / 10_000;

/** CPUs and accelerators of all machines together. */
export function capacityOf(workers: number): { cpus: number; gpus: number } {
  const plain = Math.round(workers * PLAIN_FRACTION);
  const accelerated = workers - plain;
  return {
    cpus: plain * PLAIN.cpus + accelerated * ACCELERATED.cpus,
    gpus: accelerated * ACCELERATED.gpus,
  };
}

/** How often a team submits, beside the others. */
const submissionWeight = (team: number): number => 1 / (1 + team * 0.03);

/**
 * Limits between a little more than a team asks for in the mean and several times that; guarantees half of
 * its even part.
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
    const asksCpus = (demand.running * SWEEP.cpus * weight) / totalWeight;
    const cpusMax = Math.max(64, cpus, Math.ceil(asksCpus * drawBetween(random, 1.2, 3)));
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

  /** Pairs of arrays a second. */
  get arrayPairsPerS(): number {
    return (this.demand.jobsPerS * (1 - GANG_FRACTION)) / 2;
  }

  get gangsPerS(): number {
    return this.demand.jobsPerS * GANG_FRACTION;
  }

  /** How long tasks of arrays run in the mean. */
  get arrayRunS(): number {
    return SWEEP.runS;
  }

  /** A pair of arrays that keeps its part of the tasks running. */
  drawArrays(): [onAccelerators: DrawnJob, plain: DrawnJob] {
    const meanTasks = this.demand.running / (this.arrayPairsPerS * SWEEP.runS);
    const runS = SWEEP.runS * drawBetween(this.random, 0.5, 1.5);
    return this.arraysOf(meanTasks * drawBetween(this.random, 0.3, 1.7), runS);
  }

  /** So many tasks in two arrays, one of them on accelerators; the other is the larger one. */
  arraysOf(tasks: number, runS: number): [onAccelerators: DrawnJob, plain: DrawnJob] {
    const partOf = (part: number): number => Math.max(1, Math.round(tasks * part));
    const infer = {
      ...this.baseRequest(this.drawTeam(), 'infer', INFER),
      gpus: 1,
      tasks: partOf(INFER_FRACTION),
    };
    const sweep = { ...this.baseRequest(this.drawTeam(), 'sweep', SWEEP), tasks: partOf(1 - INFER_FRACTION) };
    return [
      { request: infer, runS },
      { request: sweep, runS },
    ];
  }

  /** A gang that its team's limits allow. */
  drawGang(): DrawnJob {
    const team = this.drawTeam();
    const drawn = this.drawGangSize();
    const capacity = capacityOf(this.demand.workers);
    const gpus = team.gpus_max > 0 ? team.gpus_max : capacity.gpus;
    const cpus = team.cpus_max > 0 ? team.cpus_max : capacity.cpus;
    const tasks = Math.max(2, Math.min(drawn, Math.floor(gpus), Math.floor(cpus / GANG.cpus)));
    const request = { ...this.baseRequest(team, 'train', GANG), kind: 'gang' as const, gpus: 1, tasks };
    return { request, runS: GANG.runS * drawBetween(this.random, 0.5, 1.5) };
  }

  /** An urgent job of one task. */
  drawUrgent(): DrawnJob {
    const request = this.baseRequest(this.drawTeam(), 'urgent', URGENT);
    return { request: { ...request, priority: 'urgent' }, runS: URGENT.runS };
  }

  /** Waits for its team's limit, which a service uses up, for as long as the experiment lasts. */
  drawWaiting(kind: 'array' | 'service'): DrawnJob {
    const request = this.baseRequest(WAITING_TEAM, 'waiting', WAITING);
    return { request: { ...request, kind, tasks: kind === 'array' ? WAITING_TASKS : 1 }, runS: WAITING.runS };
  }

  /** The `index`th array of a burst. */
  drawBurst(index: number, tasks: number): DrawnJob {
    const team = this.teams[index % UNLIMITED_TEAMS]!;
    return { request: { ...this.baseRequest(team, 'burst', BURST), tasks }, runS: BURST.runS };
  }

  private drawGangSize(): number {
    const totalWeight = GANG_SIZES.reduce((sum, { weight }) => sum + weight, 0);
    let rest = this.random.below(totalWeight);
    return GANG_SIZES.find(({ weight }) => {
      rest -= weight;
      return rest < 0;
    })!.tasks;
  }

  private drawTeam(): TeamLimits {
    let rest = drawBetween(this.random, 0, this.totalWeight);
    const found = this.teams.find((_, i) => {
      rest -= submissionWeight(i);
      return rest <= 0;
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
