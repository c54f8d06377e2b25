// Simulated users of a history: submit, poll and cancel its jobs, and send bursts of adversarial requests.
import type { UserRequest, UserResponse } from '../../src/core/base/model.ts';
import type { JobId, TeamName, ZoneName } from '../../src/types/index.ts';
import type { FaultObserver } from './fault-observer.ts';
import { LIMITED_TEAM_MAX_TASKS, specOf } from './history-jobs.ts';
import type { History } from './history-model.ts';
import type { HistoryRun } from './history-run.ts';
import { job, LIMITED_TEAM } from './simulated-settings.ts';

const POLL_INTERVAL_S = 5;
/** Part of the poll interval that is spent waiting for the response. */
const POLL_WAIT_S = 2;
/** Users stop retrying a request after this time. */
const REQUEST_DEADLINE_S = 60;
const RETRY_DELAY_MS = 1000;
/** How long a user waits before reading the response: slightly longer than the request's timeout. */
const STATUS_WAIT_MS = 2100;
const CHANGE_WAIT_MS = 5100;
/** Delays after an event at which a burst sends its requests. */
const BURST_DELAYS_MS = [0, 1, 4, 15, 60, 250];
const BURST_CANCEL_DELAY_MS = 4;
/** Run time of the tasks that are submitted before a quota change. */
const LIMITED_RUN_S = 10;

/** Sends the requests of all users of one history. */
export class HistoryUsers {
  /** Whether users send requests to all nodes within milliseconds of an acceptance or the end of a job. */
  sendsRequestBursts = false;
  /** Fraction of completing tasks whose jobs are cancelled at that moment. */
  cancelAtEndShare = 0;
  private readonly polledJobs = new Set<string>();
  private readonly eventsFollowedByBurst = new Set<string>();
  private streamedJobCount = 0;
  private limitedJobCount = 0;
  private oddRequestCount = 0;

  constructor(
    private readonly history: History,
    private readonly run: HistoryRun,
    private readonly observer: FaultObserver,
  ) {}

  /** Handles a response to a user. */
  onResponse(response: UserResponse): void {
    // A user who gets `known` polls too, whether or not the first submission was answered.
    if (response.kind === 'accepted' || response.kind === 'known') this.poll(response.id);
    this.observer.onResponse(response);
    if (this.sendsRequestBursts) this.sendRequestBurst(response);
  }

  /** Handles the completion of a task: its user may cancel the job at that moment. */
  onTaskEnd(task: string): void {
    const { world, met, random } = this.run;
    if (!this.run.occursWithProbability(this.cancelAtEndShare)) return;
    met['cancelled-at-the-end']++;
    const id = task.slice(0, task.lastIndexOf('/')) as JobId;
    world.after(random.below(80), () => this.cancel(id));
  }

  /** Schedules the submission of a job of the history, and its cancellation if it has one. */
  submitJob(index: number): void {
    const { atS, cancelAtS, runS } = this.history.jobs[index]!;
    const spec = specOf(this.history, index);
    const { world } = this.run;
    world.runSByJob.set(spec.id, runS);
    world.after(atS * 1000, () =>
      this.requestUntilAnswered({ op: 'submit', spec }, () => {
        this.poll(spec.id);
        if (cancelAtS !== null) world.after(Math.max(0, cancelAtS - atS) * 1000, () => this.cancel(spec.id));
      }),
    );
  }

  /** Cancels a job. */
  cancel(id: JobId): void {
    this.observer.onCancelRequested();
    this.requestUntilAnswered({ op: 'cancel', id }, () => {});
  }

  /** Submits a job of one task; every fourth is cancelled. */
  submitStreamedJob(): void {
    const { world, met, random } = this.run;
    const jobNumber = this.streamedJobCount++;
    const id = `run-s${jobNumber}` as JobId;
    met['one-task-stream']++;
    world.runSByJob.set(id, 1 + (jobNumber % 4));
    this.requestUntilAnswered({ op: 'submit', spec: job(id) }, () => {
      this.poll(id);
      if (jobNumber % 4 === 0) world.after(random.below(3000), () => this.cancel(id));
    });
  }

  /** Submits a job with more tasks than the limited team may run at the same time. */
  submitLimitedJob(): void {
    const id = `run-q${this.limitedJobCount++}` as JobId;
    this.run.world.runSByJob.set(id, LIMITED_RUN_S);
    const spec = job(id, { team: LIMITED_TEAM as TeamName, tasks: 2 * LIMITED_TEAM_MAX_TASKS });
    this.requestUntilAnswered({ op: 'submit', spec }, () => this.poll(id));
  }

  /**
   * Sends invalid and repeated requests: a job that can never run, a known job again, the same with other
   * contents, and a cancellation of an unknown job.
   */
  sendOddRequests(): void {
    const { run } = this;
    const { world, random, met } = run;
    const submitted = [...world.jobs.values()];
    const existing = submitted[random.below(Math.max(1, submitted.length))];
    const node = run.randomRunningNode();
    const requestNumber = ++this.oddRequestCount;
    met['odd-requests']++;
    const invalidFields = [
      { cpus: 99 },
      { zone: 'nowhere' as ZoneName },
      { team: 'nobody' as TeamName },
      { kind: 'gang' as const, tasks: 2, spread: true, oneZone: true },
    ][random.below(4)]!;
    world.sendRequest(node, { op: 'submit', spec: job(`run-odd-${requestNumber}`, invalidFields) });
    if (existing === undefined) return;
    world.sendRequest(run.randomRunningNode(), { op: 'submit', spec: existing.spec });
    world.sendRequest(run.randomRunningNode(), {
      op: 'submit',
      spec: { ...existing.spec, ...invalidFields, id: existing.spec.id },
    });
    world.sendRequest(run.randomRunningNode(), { op: 'cancel', id: `run-none-${requestNumber}` as JobId });
  }

  /** Sends a request once; `onResult` is called with whether the response was one other than `retry`. */
  private sendRequest(request: UserRequest, onResult: (isAnswered: boolean) => void): void {
    const pending = this.run.world.sendRequest(this.run.randomRunningNode(), request);
    const waitMs = request.op === 'status' ? STATUS_WAIT_MS : CHANGE_WAIT_MS;
    this.run.world.after(waitMs, () => onResult(pending.answer !== null && pending.answer.kind !== 'retry'));
  }

  /** Repeats a request until it is answered or `REQUEST_DEADLINE_S` has passed. */
  private requestUntilAnswered(
    request: UserRequest,
    onAnswered: () => void,
    deadline = this.run.world.now + REQUEST_DEADLINE_S * 1000,
  ): void {
    const { world } = this.run;
    this.sendRequest(request, (isAnswered) => {
      if (isAnswered) onAnswered();
      else if (world.now < deadline)
        world.after(RETRY_DELAY_MS, () => this.requestUntilAnswered(request, onAnswered, deadline));
    });
  }

  /** Polls the status of a job from now on, once per poll interval. */
  private poll(id: JobId): void {
    if (this.polledJobs.has(id)) return;
    this.polledJobs.add(id);
    const pauseMs = (POLL_INTERVAL_S - POLL_WAIT_S) * 1000;
    const poll = (): void =>
      this.sendRequest({ op: 'status', id }, () => this.run.world.after(pauseMs, poll));
    poll();
  }

  /** Sends repeated requests about a job to all nodes within milliseconds of an event; cancels some jobs. */
  private sendRequestBurst(response: UserResponse): void {
    if (response.kind !== 'accepted' && response.kind !== 'ended') return;
    const { id } = response;
    const event = `${id} ${response.kind === 'ended' ? response.status : response.kind}`;
    if (this.eventsFollowedByBurst.has(event)) return;
    this.eventsFollowedByBurst.add(event);
    const { world, random } = this.run;
    const { spec } = world.jobs.get(id)!;
    const shouldCancel = response.kind === 'accepted' && random.below(4) === 0;
    for (const ms of BURST_DELAYS_MS)
      world.after(ms, () => {
        for (const node of [...world.nodes.keys()]) {
          world.sendRequest(node, { op: 'status', id });
          world.sendRequest(node, { op: 'submit', spec });
          if (shouldCancel && ms === BURST_CANCEL_DELAY_MS) world.sendRequest(node, { op: 'cancel', id });
          this.run.met['close-looks']++;
        }
      });
  }
}
