// The simulated users of the scale experiment: they submit jobs, poll their status, and record all responses.
import { build as histogram } from 'hdr-histogram-js';
import { bodyOf } from '../../../packages/client/src/request.ts';
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
import type { ObservationQueue } from './observation-queue.ts';
import { wallClock } from './time.ts';
import { type Demand, type DrawnJob, drawBetween, JobGenerator, type TeamLimits } from './workload.ts';

/** The initial load: this many pairs of arrays are submitted one after the other. */
const INITIAL_PAIRS = 40;
const INITIAL_PAIR_INTERVAL_MS = 150;
const INITIAL_MIN_RUN_S = 10;
const BURST_ARRAYS_PER_S = 2;
/** Fraction of the larger arrays that are cancelled. */
const CANCELLED_FRACTION = 0.03;

const POLL_INTERVAL_MS = 5000;
const RETRY_DELAY_MS = 1000;
const STATUS_TIMEOUT_MS = 2000;
const SUBMIT_OR_CANCEL_TIMEOUT_MS = 5000;
/** Users give up on a submission that is not answered within this time. */
const SUBMISSION_TIMEOUT_MS = 60_000;

/** A job as its user sees it. */
interface UserJob {
  spec: JobSpec;
  body: string;
  submittedAt: number;
  isAccepted: boolean;
  /** The job is done, cancelled or refused, or its user has given up. */
  isOver: boolean;
}

/** Counts of requests and of their results. */
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

/** All users of a cluster. */
export class Users {
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
  /** Delays from the submission of an urgent job to the start of its task, in milliseconds. */
  readonly urgentDelaysMs = histogram({ numberOfSignificantValueDigits: 3 });
  private readonly jobs = new Map<string, UserJob>();
  private readonly startedUrgentTasks = new Set<string>();
  private readonly random: ReturnType<typeof seededRandom>;
  private readonly generator: JobGenerator;
  private readonly timers = new Set<NodeJS.Timeout>();
  private nextNode = 0;
  private isStopped = false;

  constructor(
    private readonly cluster: ScaleCluster,
    private readonly observations: ObservationQueue,
    private readonly demand: Demand,
    teams: readonly TeamLimits[],
    seed: number,
  ) {
    this.random = seededRandom(seed);
    this.generator = new JobGenerator(demand, teams, this.random);
    observations.onTaskStart = (task, at) => this.onTaskStart(task, at);
  }

  /** The spec of a submitted job; undefined if the job is unknown. */
  specOf(job: string): JobSpec | undefined {
    return this.jobs.get(job)?.spec;
  }

  /** Number of jobs that were accepted and are not over. */
  get openJobs(): number {
    let count = 0;
    for (const job of this.jobs.values()) if (job.isAccepted && !job.isOver) count++;
    return count;
  }

  /** Starts to submit jobs. */
  start(): void {
    const { demand, generator } = this;
    this.submitInitialLoad();
    this.repeatAtRate(generator.arrayPairsPerS, () => this.submitArrays());
    this.repeatAtRate(generator.gangsPerS, () => this.submit(generator.drawGang()));
    this.repeatAtRate(demand.urgentPerS, () => this.submit(generator.drawUrgent()));
    if (demand.waitingJobs > 0) this.submit(generator.drawWaiting('service'));
    for (let i = 0; i < demand.waitingJobs; i++)
      this.schedule(drawBetween(this.random, 5000, 30_000), () =>
        this.submit(generator.drawWaiting('array')),
      );
  }

  /** Submits short tasks at a rate of `startsPerS` for `seconds`. */
  burst(startsPerS: number, seconds: number): void {
    const tasks = Math.round(startsPerS / BURST_ARRAYS_PER_S);
    for (let i = 0; i < seconds * BURST_ARRAYS_PER_S; i++)
      this.schedule((i * 1000) / BURST_ARRAYS_PER_S, () => this.submit(this.generator.drawBurst(i, tasks)));
  }

  /** Stops all requests. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearTimeout(timer);
  }

  private schedule(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      if (!this.isStopped) run();
    }, ms);
    this.timers.add(timer);
  }

  /** Calls `run` repeatedly, at a mean rate of `perS` calls a second. */
  private repeatAtRate(perS: number, run: () => void): void {
    if (perS <= 0) return;
    const next = (): void => {
      run();
      this.schedule((1000 / perS) * drawBetween(this.random, 0.5, 1.5), next);
    };
    this.schedule((1000 / perS) * drawBetween(this.random, 0, 1), next);
  }

  // ---- submissions

  /** Submits as many tasks as run in the mean, with end times spread over the run time of a task. */
  private submitInitialLoad(): void {
    const tasks = this.demand.running / INITIAL_PAIRS;
    for (let i = 0; i < INITIAL_PAIRS; i++)
      this.schedule(i * INITIAL_PAIR_INTERVAL_MS, () => {
        const runS = (this.generator.arrayRunS * (i + 1)) / INITIAL_PAIRS + INITIAL_MIN_RUN_S;
        for (const drawn of this.generator.arraysOf(tasks, runS)) this.submit(drawn);
      });
  }

  /** Submits a pair of arrays; the larger one may be cancelled. */
  private submitArrays(): void {
    const [onAccelerators, plain] = this.generator.drawArrays();
    this.submit(onAccelerators);
    const job = this.submit(plain);
    if (this.random.below(1000) < CANCELLED_FRACTION * 1000)
      this.schedule(drawBetween(this.random, 5000, 60_000), () => this.cancel(job));
  }

  private submit({ request, runS }: DrawnJob): UserJob {
    const id = `run-${String(++this.figures.submitted).padStart(6, '0')}`;
    const body = bodyOf(id, request);
    const spec = parseJob(JSON.parse(body));
    const job: UserJob = { spec, body, submittedAt: wallClock(), isAccepted: false, isOver: false };
    this.jobs.set(id, job);
    const { kind, tasks, cpus, gpus, memoryGb } = spec;
    this.cluster.addJobs([{ id, kind, tasks, cpus, gpus, memoryGb, runMs: runS * 1000 }]);
    this.sendUntilAnswered(job, { op: 'submit', spec });
    return job;
  }

  private cancel(job: UserJob): void {
    if (!job.isOver) this.sendUntilAnswered(job, { op: 'cancel', id: job.spec.id });
  }

  // ---- requests and responses

  /** Sends a request once; `onResponse` receives null without a valid response. */
  private sendRequest(
    job: UserJob,
    request: UserRequest,
    onResponse: (response: UserResponse | null) => void,
  ): void {
    const sentAt = wallClock();
    const nodes = this.cluster.controllers.all;
    const node = nodes[this.nextNode++ % nodes.length]!;
    const timeoutMs = request.op === 'status' ? STATUS_TIMEOUT_MS : SUBMIT_OR_CANCEL_TIMEOUT_MS;
    this.figures.requests++;
    this.observations.add([{ at: sentAt, kind: 'asked', request }]);
    node.client.call({ ...callOf(job, request), timeoutMs }, (reply) => {
      if (this.isStopped) return;
      const body = reply?.body.toString('utf8') ?? '';
      const response = reply === null ? null : decodeResponse(job.spec.id, request, reply.status, body);
      if (response === null) this.figures.unanswered++;
      else this.observations.add([{ at: wallClock(), kind: 'told', sentAt, request, answer: response }]);
      onResponse(response);
    });
  }

  /** Repeats a request until it is answered; a submission is repeated until its time-out only. */
  private sendUntilAnswered(job: UserJob, request: UserRequest): void {
    this.sendRequest(job, request, (response) => {
      if (response !== null && response.kind !== 'retry') return this.onResponse(job, request, response);
      if (request.op === 'cancel' || wallClock() - job.submittedAt < SUBMISSION_TIMEOUT_MS)
        return this.schedule(RETRY_DELAY_MS, () => this.sendUntilAnswered(job, request));
      this.figures.gaveUp++;
      job.isOver = true;
    });
  }

  private onResponse(job: UserJob, request: UserRequest, response: UserResponse): void {
    if (response.kind === 'impossible' || response.kind === 'too-large' || response.kind === 'not-found') {
      this.figures.refused++;
      job.isOver = true;
      return;
    }
    if (request.op === 'submit' && !job.isAccepted) {
      job.isAccepted = true;
      this.figures.accepted++;
      this.schedule(drawBetween(this.random, 0, POLL_INTERVAL_MS), () => this.poll(job));
    }
    if ('status' in response && (response.status === 'done' || response.status === 'cancelled'))
      this.recordEnd(job, response.status);
  }

  private recordEnd(job: UserJob, status: 'done' | 'cancelled'): void {
    if (job.isOver) return;
    job.isOver = true;
    this.figures[status]++;
    this.cluster.removeJobs([job.spec.id]);
  }

  private poll(job: UserJob): void {
    if (job.isOver) return;
    const request: UserRequest = { op: 'status', id: job.spec.id };
    this.sendRequest(job, request, (response) => {
      if (response !== null && response.kind !== 'retry') this.onResponse(job, request, response);
      this.schedule(POLL_INTERVAL_MS, () => this.poll(job));
    });
  }

  private onTaskStart(task: string, at: number): void {
    const job = this.jobs.get(parseTaskId(task as TaskId).job);
    if (job?.spec.class !== 'urgent' || this.startedUrgentTasks.has(task)) return;
    this.startedUrgentTasks.add(task);
    this.urgentDelaysMs.recordValue(Math.max(1, Math.round(at - job.submittedAt)));
  }
}

function callOf(job: UserJob, request: UserRequest): UserCall {
  switch (request.op) {
    case 'submit':
      return submitCall(job.body);
    case 'status':
      return statusCall(request.id);
    case 'cancel':
      return cancelCall(request.id);
  }
}

/** Decodes a response; null if it is invalid, which a user treats as no response. */
function decodeResponse(id: JobId, request: UserRequest, status: number, body: string): UserResponse | null {
  if (status === 404) return { kind: 'not-found' };
  if (status === 400) return { kind: 'too-large', reason: body };
  if (status === 422) return { kind: 'impossible', reason: body };
  if (status !== 200 && status !== 201) return { kind: 'retry', afterS: 1, reason: body, overload: false };
  try {
    const jobStatus = decodeJobStatus(body);
    if (jobStatus.status === 'done' || jobStatus.status === 'cancelled')
      return { kind: 'ended', id, status: jobStatus.status };
    if (request.op !== 'submit') return { kind: 'status', id, ...jobStatus };
    return status === 201 ? { kind: 'accepted', id } : { kind: 'known', id, status: jobStatus.status };
  } catch {
    return null;
  }
}
