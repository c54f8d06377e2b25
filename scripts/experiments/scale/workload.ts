// The users of the scale drill: who submits what and when, drawn from a seed, and what they do about the answers.
import { build as histogram } from 'hdr-histogram-js';
import { bodyOf } from '../../../packages/client/src/request.ts';
import type { JobRequest } from '../../../packages/client/src/types.ts';
import type { JobSpec, UserRequest, UserResponse } from '../../../src/core/base/model.ts';
import { parseJob } from '../../../src/protocol/job.ts';
import {
  cancelCall,
  decodeJobStatus,
  statusCall,
  submitCall,
  type UserCall,
} from '../../../src/protocol/user.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import { type JobId, parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { ScaleCluster } from './cluster.ts';
import type { Judge } from './placements.ts';

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
  /** Jobs that can't start while the drill lasts, kept open all the time. */
  waitingJobs: number;
}

export interface TeamLimits {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

/** Machines: three in ten without accelerators, seven with two each. */
export const PLAIN = { cpus: 32, gpus: 0, memory_gb: 128 };
export const ACCELERATED = { cpus: 16, gpus: 2, memory_gb: 128 };
export const PLAIN_PART = 0.3;
export const ZONES = Array.from({ length: 10 }, (_, i) => `zone-${i}`);

const SWEEP = { cpus: 2.3, memoryGb: 3, runS: 120 };
/** Arrays on accelerators, one for each task: this part of the running tasks. */
const INFER = { cpus: 4, memoryGb: 16, runS: 120, gpus: 1, part: 0.16 };
const GANG = { cpus: 4, memoryGb: 16, runS: 150, part: 0.12 };
const GANG_SIZES: [size: number, weight: number][] = [
  [2, 25],
  [4, 20],
  [8, 20],
  [16, 15],
  [32, 10],
  [64, 7],
  [128, 3],
];
const BURST = { cpus: 1, memoryGb: 1, runS: 4 };
/** Arrays a second in a burst. */
const BURST_ARRAYS = 2;
const CANCELLED_PART = 0.03;
/** Of the teams so many have no limit; they bring the bursts. */
const UNLIMITED_TEAMS = 5;

const POLL_MS = 5000;
const RETRY_MS = 1000;
const STATUS_MS = 2000;
const WRITE_MS = 5000;
const PATIENCE_MS = 60_000;

/** A team of the drill's own whose jobs wait. */
export const WAITING_TEAM: TeamLimits = { name: 'waiting', cpus: 0, cpus_max: 1, gpus: 0, gpus_max: 0 };

type Random = ReturnType<typeof seededRandom>;
const between = (r: Random, min: number, max: number): number =>
  min + ((max - min) * r.below(10_001)) / 10_000;

/** CPUs and accelerators of all machines together. */
export function capacityOf(workers: number): { cpus: number; gpus: number } {
  const plain = Math.round(workers * PLAIN_PART);
  const accelerated = workers - plain;
  return {
    cpus: plain * PLAIN.cpus + accelerated * ACCELERATED.cpus,
    gpus: accelerated * ACCELERATED.gpus,
  };
}

/** How often a team submits, beside the others. */
const weightOf = (team: number): number => 1 / (1 + team * 0.03);

/** Limits between a little more than a team asks for in the mean and several times that; guarantees half of its even part. */
export function teamsFor(d: Demand, seed: number): TeamLimits[] {
  const random = seededRandom(seed);
  const all = capacityOf(d.workers);
  const weights = Array.from({ length: d.teams }, (_, i) => weightOf(i));
  const total = weights.reduce((a, b) => a + b, 0);
  return weights.map((w, i) => {
    const name = `team-${String(i).padStart(2, '0')}`;
    const cpus = Math.round(all.cpus / d.teams / 2);
    const gpus = Math.round(all.gpus / d.teams / 2);
    if (i < UNLIMITED_TEAMS) return { name, cpus, cpus_max: 0, gpus, gpus_max: 0 };
    const asks = (d.running * SWEEP.cpus * w) / total;
    const cpus_max = Math.max(64, cpus, Math.ceil(asks * between(random, 1.2, 3)));
    return {
      name,
      cpus,
      cpus_max,
      gpus,
      gpus_max: Math.max(16, Math.round(all.gpus * between(random, 0.05, 0.2))),
    };
  });
}

interface UserJob {
  spec: JobSpec;
  body: string;
  submittedAt: number;
  accepted: boolean;
  over: boolean;
  cancelAtMs: number | null;
}

export interface UserFigures {
  submitted: number;
  accepted: number;
  refused: number;
  gaveUp: number;
  done: number;
  cancelled: number;
  requests: number;
  unanswered: number;
}

export class Users {
  readonly jobs = new Map<string, UserJob>();
  readonly figures: UserFigures = {
    submitted: 0,
    accepted: 0,
    refused: 0,
    gaveUp: 0,
    done: 0,
    cancelled: 0,
    requests: 0,
    unanswered: 0,
  };
  /** From the submission of an urgent job to the start of its task, in milliseconds. */
  readonly urgent = histogram({ numberOfSignificantValueDigits: 3 });
  private readonly random: Random;
  private readonly timers = new Set<NodeJS.Timeout>();
  private made = 0;
  private turn = 0;
  private stopped = false;
  private readonly weights: number;

  constructor(
    private readonly cluster: ScaleCluster,
    private readonly judge: Judge,
    private readonly demand: Demand,
    private readonly teams: TeamLimits[],
    seed: number,
  ) {
    this.random = seededRandom(seed);
    this.weights = teams.reduce((sum, _, i) => sum + weightOf(i), 0);
    judge.onStart = (task, at) => this.started(task, at);
  }

  specOf(job: string): JobSpec | undefined {
    return this.jobs.get(job)?.spec;
  }

  private get now(): number {
    return performance.timeOrigin + performance.now();
  }

  private after(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      if (!this.stopped) run();
    }, ms);
    this.timers.add(timer);
  }

  /** Calls again and again, so many times a second in the mean. */
  private every(perS: number, run: () => void): void {
    if (perS <= 0) return;
    const next = (): void => {
      run();
      this.after((1000 / perS) * between(this.random, 0.5, 1.5), next);
    };
    this.after((1000 / perS) * between(this.random, 0, 1), next);
  }

  /** Pairs of arrays a second. */
  private get arraysPerS(): number {
    return (this.demand.jobsPerS * (1 - GANG.part)) / 2;
  }

  private anyTeam(): TeamLimits {
    let at = between(this.random, 0, this.weights);
    const found = this.teams.find((_, i) => {
      at -= weightOf(i);
      return at <= 0;
    });
    return found ?? this.teams[0]!;
  }

  // ---- what is submitted

  begin(): void {
    const { demand } = this;
    this.fill();
    this.every(this.arraysPerS, () => this.submitSweep());
    this.every(demand.jobsPerS * GANG.part, () => this.submitGang());
    this.every(demand.urgentPerS, () => this.submitUrgent());
    if (demand.waitingJobs > 0) this.submitBlocked('service');
    for (let i = 0; i < demand.waitingJobs; i++)
      this.after(between(this.random, 5000, 30_000), () => this.submitBlocked('array'));
  }

  /** As much as runs in the mean, with ends spread over the time that a task runs. */
  private fill(): void {
    const arrays = 40;
    const tasks = this.demand.running / arrays;
    for (let i = 0; i < arrays; i++)
      this.after(i * 150, () => {
        const runS = (SWEEP.runS * (i + 1)) / arrays + 10;
        this.submitArrays(tasks, runS);
      });
  }

  /** So many tasks in two arrays, one of them on accelerators; the larger one. */
  private submitArrays(tasks: number, runS: number): UserJob {
    const part = (of: number): number => Math.max(1, Math.round(tasks * of));
    this.submit(
      { ...this.base(this.anyTeam(), 'infer', INFER), gpus: INFER.gpus, tasks: part(INFER.part) },
      runS,
    );
    return this.submit({ ...this.base(this.anyTeam(), 'sweep', SWEEP), tasks: part(1 - INFER.part) }, runS);
  }

  private base(
    team: TeamLimits,
    cls: string,
    of: { cpus: number; memoryGb: number; runS: number },
  ): JobRequest {
    return {
      team: team.name,
      class: cls,
      cpus: of.cpus,
      memoryGb: of.memoryGb,
      image: `image-${this.random.below(20)}`,
      imageGb: 0,
      estimateS: of.runS,
    };
  }

  private submitSweep(): void {
    const { demand } = this;
    // Arrays come two at a time.
    const mean = demand.running / (this.arraysPerS * SWEEP.runS);
    const runS = SWEEP.runS * between(this.random, 0.5, 1.5);
    const job = this.submitArrays(mean * between(this.random, 0.3, 1.7), runS);
    if (this.random.below(1000) < CANCELLED_PART * 1000) {
      job.cancelAtMs = between(this.random, 5000, 60_000);
      this.after(job.cancelAtMs, () => this.cancel(job));
    }
  }

  private submitGang(): void {
    const team = this.anyTeam();
    const total = GANG_SIZES.reduce((sum, [, w]) => sum + w, 0);
    let at = this.random.below(total);
    const drawn = GANG_SIZES.find(([, w]) => {
      at -= w;
      return at < 0;
    })![0];
    const gpus = team.gpus_max > 0 ? team.gpus_max : capacityOf(this.demand.workers).gpus;
    const cpus = team.cpus_max > 0 ? team.cpus_max : capacityOf(this.demand.workers).cpus;
    const tasks = Math.max(2, Math.min(drawn, Math.floor(gpus), Math.floor(cpus / GANG.cpus)));
    const request = { ...this.base(team, 'train', GANG), kind: 'gang' as const, gpus: 1, tasks };
    this.submit(request, GANG.runS * between(this.random, 0.5, 1.5));
  }

  private submitUrgent(): void {
    const request = this.base(this.anyTeam(), 'urgent', { cpus: 1, memoryGb: 1, runS: 3 });
    this.submit({ ...request, priority: 'urgent' }, 3);
  }

  /** Waits for its team's limit, which a service uses up, for as long as the drill lasts. */
  private submitBlocked(kind: 'array' | 'service'): void {
    const request = this.base(WAITING_TEAM, 'waiting', { cpus: 1, memoryGb: 1, runS: 600 });
    this.submit({ ...request, kind, tasks: kind === 'array' ? 20 : 1 }, 600);
  }

  /** So many starts a second of short tasks, for so long. */
  burst(startsPerS: number, seconds: number): void {
    const tasks = Math.round(startsPerS / BURST_ARRAYS);
    for (let i = 0; i < seconds * BURST_ARRAYS; i++)
      this.after((i * 1000) / BURST_ARRAYS, () => {
        const team = this.teams[i % UNLIMITED_TEAMS]!;
        this.submit({ ...this.base(team, 'burst', BURST), tasks }, BURST.runS);
      });
  }

  private submit(request: JobRequest, runS: number): UserJob {
    const id = `run-${String(++this.made).padStart(6, '0')}`;
    const body = bodyOf(id, request);
    const spec = parseJob(JSON.parse(body));
    const job: UserJob = {
      spec,
      body,
      submittedAt: this.now,
      accepted: false,
      over: false,
      cancelAtMs: null,
    };
    this.jobs.set(id, job);
    this.figures.submitted++;
    const { kind, tasks, cpus, gpus, memoryGb } = spec;
    this.cluster.describe([{ id, kind, tasks, cpus, gpus, memoryGb, runMs: runS * 1000 }]);
    this.insist(job, { op: 'submit', spec });
    return job;
  }

  // ---- what is asked and told

  private callOf(job: UserJob, r: UserRequest): UserCall {
    if (r.op === 'submit') return submitCall(job.body);
    return r.op === 'status' ? statusCall(r.id) : cancelCall(r.id);
  }

  private ask(job: UserJob, request: UserRequest, then: (a: UserResponse | null) => void): void {
    const sentAt = this.now;
    const c = this.cluster.controllers[this.turn++ % this.cluster.controllers.length]!;
    const timeoutMs = request.op === 'status' ? STATUS_MS : WRITE_MS;
    this.figures.requests++;
    this.judge.see([{ at: sentAt, kind: 'asked', request }]);
    c.client.call({ ...this.callOf(job, request), timeoutMs }, (r) => {
      if (this.stopped) return;
      const answer = r === null ? null : answerOf(job.spec.id, request, r.status, r.body.toString('utf8'));
      if (answer === null) this.figures.unanswered++;
      else this.judge.see([{ at: this.now, kind: 'told', sentAt, request, answer }]);
      then(answer);
    });
  }

  private insist(job: UserJob, request: UserRequest): void {
    const again = (): void =>
      this.ask(job, request, (a) => {
        if (a === null || a.kind === 'retry') {
          if (this.now - job.submittedAt < PATIENCE_MS || request.op === 'cancel')
            return this.after(RETRY_MS, again);
          this.figures.gaveUp++;
          job.over = true;
          return;
        }
        this.answered(job, request, a);
      });
    again();
  }

  private answered(job: UserJob, request: UserRequest, a: UserResponse): void {
    if (a.kind === 'impossible' || a.kind === 'too-large' || a.kind === 'not-found') {
      this.figures.refused++;
      job.over = true;
      return;
    }
    if (request.op === 'submit' && !job.accepted) {
      job.accepted = true;
      this.figures.accepted++;
      this.after(between(this.random, 0, POLL_MS), () => this.poll(job));
    }
    if ('status' in a && (a.status === 'done' || a.status === 'cancelled')) this.close(job, a.status);
  }

  private close(job: UserJob, status: 'done' | 'cancelled'): void {
    if (job.over) return;
    job.over = true;
    this.figures[status]++;
    this.cluster.forget([job.spec.id]);
  }

  private poll(job: UserJob): void {
    if (job.over) return;
    this.ask(job, { op: 'status', id: job.spec.id }, (a) => {
      if (a !== null && a.kind !== 'retry') this.answered(job, { op: 'status', id: job.spec.id }, a);
      this.after(POLL_MS, () => this.poll(job));
    });
  }

  private cancel(job: UserJob): void {
    if (!job.over) this.insist(job, { op: 'cancel', id: job.spec.id });
  }

  private started(task: string, at: number): void {
    const job = this.jobs.get(parseTaskId(task as TaskId).job);
    if (job?.spec.class !== 'urgent' || this.seenUrgent.has(task)) return;
    this.seenUrgent.add(task);
    this.urgent.recordValue(Math.max(1, Math.round(at - job.submittedAt)));
  }
  private readonly seenUrgent = new Set<string>();

  get open(): number {
    let n = 0;
    for (const j of this.jobs.values()) if (j.accepted && !j.over) n++;
    return n;
  }

  stop(): void {
    this.stopped = true;
    for (const t of this.timers) clearTimeout(t);
  }
}

/** Null: an answer that says nothing, which a user takes as none. */
function answerOf(id: JobId, r: UserRequest, status: number, body: string): UserResponse | null {
  if (status === 404) return { kind: 'not-found' };
  if (status === 400) return { kind: 'too-large', reason: body };
  if (status === 422) return { kind: 'impossible', reason: body };
  if (status !== 200 && status !== 201) return { kind: 'retry', afterS: 1, reason: body, overload: false };
  try {
    const told = decodeJobStatus(body);
    if (told.status === 'done' || told.status === 'cancelled')
      return { kind: 'ended', id, status: told.status };
    if (r.op === 'submit')
      return status === 201 ? { kind: 'accepted', id } : { kind: 'known', id, status: told.status };
    return { kind: 'status', id, ...told };
  } catch {
    return null;
  }
}
