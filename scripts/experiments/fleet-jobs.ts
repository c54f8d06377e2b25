// The jobs of the fleet experiment as their users see them: submitted, cancelled, started and completed.
import type { Random } from '../../src/core/base/io.ts';
import type { UserRequest, UserResponse } from '../../src/core/base/model.ts';
import type { TaskId } from '../../src/types/index.ts';
import type { Arrival } from './fleet-arrivals.ts';
import type { FleetControllers } from './fleet-controllers.ts';

const RETRY_FOR_MS = 60_000;
const RETRY_DELAY_MS = 1000;
const CANCEL_RETRY_MS = 3000;
const RESPONSE_TIMEOUT_MS = 5000;

/** A job, and what its user and its machines have seen of it. */
export interface FleetJob {
  readonly arrival: Arrival;
  acceptedAt: number | null;
  startedAt: number | null;
  cancelledAt: number | null;
  readonly completedTasks: Set<number>;
  /** Of services: how often they were looked at, and the sum of the parts of their replicas that were up. */
  readonly replicasUp: { sum: number; looks: number };
}

/** What users need of the world. */
export interface JobEnvironment {
  readonly now: number;
  readonly random: Random;
  readonly controllers: FleetControllers;
  readonly broken: string[];
  after(ms: number, run: () => void): void;
}

/** The job that a task belongs to. */
export const jobOf = (task: TaskId): string => task.slice(0, task.lastIndexOf('/'));

/** Tasks of the job that are not completed. */
export const tasksLeft = (job: FleetJob): number => job.arrival.spec.tasks - job.completedTasks.size;

/** The jobs of a day, submitted and cancelled by their users. */
export class FleetJobs {
  readonly byId = new Map<string, FleetJob>();

  constructor(private readonly environment: JobEnvironment) {}

  /** The job of a task. */
  ofTask(task: TaskId): FleetJob | undefined {
    return this.byId.get(jobOf(task));
  }

  /** A user has a job to be run. */
  arrive(arrival: Arrival): void {
    const job: FleetJob = {
      arrival,
      acceptedAt: null,
      startedAt: null,
      cancelledAt: null,
      completedTasks: new Set(),
      replicasUp: { sum: 0, looks: 0 },
    };
    this.byId.set(arrival.spec.id, job);
    this.submit(job, this.environment.now);
  }

  /** A task has been run to its end. */
  onCompleted(task: TaskId): void {
    const index = Number(task.slice(task.lastIndexOf('/') + 1));
    this.ofTask(task)?.completedTasks.add(index);
  }

  private submit(job: FleetJob, firstAt: number): void {
    const { environment } = this;
    const retry = (delayMs: number): void => {
      if (environment.now + delayMs - firstAt < RETRY_FOR_MS)
        environment.after(delayMs, () => this.submit(job, firstAt));
    };
    const node = this.anyNode();
    if (node === null) return retry(RETRY_DELAY_MS);
    let isOpen = true;
    const onResponse = (response: UserResponse): void => {
      if (!isOpen) return;
      isOpen = false;
      if (response.kind === 'retry') retry(Math.max(RETRY_DELAY_MS, response.afterS * 1000));
      else this.onSubmitted(job, response);
    };
    environment.after(RESPONSE_TIMEOUT_MS, () => {
      if (isOpen) retry(RETRY_DELAY_MS);
      isOpen = false;
    });
    this.send(node, { op: 'submit', spec: job.arrival.spec }, onResponse);
  }

  private onSubmitted(job: FleetJob, response: UserResponse): void {
    const { environment } = this;
    const { spec, runS } = job.arrival;
    if (response.kind !== 'accepted' && response.kind !== 'known') {
      environment.broken.push(`${spec.id} was answered ${response.kind}`);
      return;
    }
    job.acceptedAt ??= environment.now;
    if (spec.kind === 'service') environment.after(runS * 1000, () => this.cancel(job));
  }

  /** Asked again and again until it is answered. */
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
