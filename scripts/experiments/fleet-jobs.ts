// Simulates the users of the fleet experiment, who submit and cancel jobs, and records when their jobs are
// accepted, started, completed and cancelled.
import type { Random } from '../../src/core/base/io.ts';
import type { UserRequest, UserResponse } from '../../src/core/base/model.ts';
import type { TaskId } from '../../src/types/index.ts';
import type { Arrival } from './fleet-arrivals.ts';
import type { FleetControllers } from './fleet-controllers.ts';

const RETRY_PERIOD_MS = 60_000;
const RETRY_DELAY_MS = 1000;
const CANCEL_RETRY_MS = 3000;
const RESPONSE_TIMEOUT_MS = 5000;

/** A job with its state as observed by its user and by the machines. */
export interface FleetJob {
  readonly arrival: Arrival;
  acceptedAt: number | null;
  startedAt: number | null;
  cancelledAt: number | null;
  readonly completedTasks: Set<number>;
  /** Of services: the number of samples, and the sum over them of the fraction of replicas that were up. */
  readonly replicasUp: { sum: number; samples: number };
}

/** The simulated surroundings of the users. */
export interface JobEnvironment {
  readonly now: number;
  readonly random: Random;
  readonly controllers: FleetControllers;
  readonly violations: string[];
  after(ms: number, run: () => void): void;
}

/** The id of the job that a task belongs to. */
export const jobOf = (task: TaskId): string => task.slice(0, task.lastIndexOf('/'));

/** Number of the job's tasks that are not completed. */
export const tasksLeft = (job: FleetJob): number => job.arrival.spec.tasks - job.completedTasks.size;

/** The jobs of a day, submitted and cancelled by their users. */
export class FleetJobs {
  readonly byId = new Map<string, FleetJob>();

  constructor(private readonly environment: JobEnvironment) {}

  /** The job of a task; undefined if it was never submitted. */
  ofTask(task: TaskId): FleetJob | undefined {
    return this.byId.get(jobOf(task));
  }

  /** Submits an arriving job. */
  arrive(arrival: Arrival): void {
    const job: FleetJob = {
      arrival,
      acceptedAt: null,
      startedAt: null,
      cancelledAt: null,
      completedTasks: new Set(),
      replicasUp: { sum: 0, samples: 0 },
    };
    this.byId.set(arrival.spec.id, job);
    this.submit(job, this.environment.now);
  }

  /** Records that a task has run to completion. */
  onCompleted(task: TaskId): void {
    const index = Number(task.slice(task.lastIndexOf('/') + 1));
    this.ofTask(task)?.completedTasks.add(index);
  }

  private submit(job: FleetJob, firstAttemptAt: number): void {
    const { environment } = this;
    const retry = (delayMs: number): void => {
      if (environment.now + delayMs - firstAttemptAt < RETRY_PERIOD_MS)
        environment.after(delayMs, () => this.submit(job, firstAttemptAt));
    };
    const node = this.anyNode();
    if (node === null) return retry(RETRY_DELAY_MS);
    let isPending = true;
    const onResponse = (response: UserResponse): void => {
      if (!isPending) return;
      isPending = false;
      if (response.kind === 'retry') retry(Math.max(RETRY_DELAY_MS, response.afterS * 1000));
      else this.onSubmitted(job, response);
    };
    environment.after(RESPONSE_TIMEOUT_MS, () => {
      if (isPending) retry(RETRY_DELAY_MS);
      isPending = false;
    });
    this.send(node, { op: 'submit', spec: job.arrival.spec }, onResponse);
  }

  private onSubmitted(job: FleetJob, response: UserResponse): void {
    const { environment } = this;
    const { spec, runS } = job.arrival;
    if (response.kind !== 'accepted' && response.kind !== 'known') {
      environment.violations.push(
        `submission of ${spec.id}: expected the response accepted or known, got ${response.kind}`,
      );
      return;
    }
    job.acceptedAt ??= environment.now;
    if (spec.kind === 'service') environment.after(runS * 1000, () => this.cancel(job));
  }

  /** Sends the cancellation repeatedly until it is confirmed. */
  private cancel(job: FleetJob): void {
    const { environment } = this;
    if (job.cancelledAt !== null) return;
    environment.after(CANCEL_RETRY_MS, () => this.cancel(job));
    const node = this.anyNode();
    if (node === null) return;
    this.send(node, { op: 'cancel', id: job.arrival.spec.id }, (response) => {
      if (response.kind === 'ended' && response.status === 'cancelled') job.cancelledAt ??= environment.now;
    });
  }

  private anyNode(): string | null {
    const { controllers, random } = this.environment;
    const { running } = controllers;
    return running.length === 0 ? null : running[random.below(running.length)]!;
  }

  private send(node: string, request: UserRequest, onResponse: (response: UserResponse) => void): void {
    this.environment.controllers.request(
      node,
      (requestId) => ({ kind: 'user', requestId, request }),
      onResponse,
    );
  }
}
