// The users of a history: they submit its jobs, ask about them, cancel them, and press where it hurts.
import type { UserRequest, UserResponse } from '../../src/core/base/model.ts';
import type { JobId, TeamName, ZoneName } from '../../src/types/index.ts';
import type { FaultObserver } from './fault-observer.ts';
import { LIMITED_AT_ONCE, specOf } from './history-jobs.ts';
import type { History } from './history-model.ts';
import type { HistoryRun } from './history-run.ts';
import { job, LIMITED_TEAM } from './simulated-settings.ts';

const POLL_INTERVAL_S = 5;
/** What a poll takes of its interval while it waits for the response. */
const POLL_RESPONSE_S = 2;
/** Users give up on a request after this. */
const PATIENCE_S = 60;
const RETRY_DELAY_MS = 1000;
/** When a user looks for a response: a moment after the request has timed out. */
const STATUS_RESPONSE_MS = 2100;
const CHANGE_RESPONSE_MS = 5100;
/** When a user who looks closely asks again, after the news. */
const CLOSE_LOOKS_MS = [0, 1, 4, 15, 60, 250];
const CANCEL_AT_LOOK_MS = 4;
/** How long tasks run of the work that meets a change of the quota. */
const LIMITED_RUN_S = 10;

/** Sends what the users of one history ask. */
export class HistoryUsers {
  /** Users ask at all nodes within milliseconds of news. */
  isLookingClosely = false;
  /** Of tasks that end, the part whose jobs are cancelled at that moment. */
  cancelAtEndShare = 0;
  private readonly polledJobs = new Set<string>();
  private readonly seenNews = new Set<string>();
  private streamedJobs = 0;
  private limitedJobs = 0;
  private oddRequests = 0;

  constructor(
    private readonly history: History,
    private readonly run: HistoryRun,
    private readonly observer: FaultObserver,
  ) {}

  /** A user gets a response. */
  onResponse(response: UserResponse): void {
    // Whoever was told that the job is known goes on asking, however the one who submitted it first fared.
    if (response.kind === 'accepted' || response.kind === 'known') this.poll(response.id);
    this.observer.onResponse(response);
    if (this.isLookingClosely) this.lookClosely(response);
  }

  /** A task has ended by itself: its user may cancel the job at that moment. */
  onTaskEnd(task: string): void {
    const { world, met, random } = this.run;
    if (!this.run.happens(this.cancelAtEndShare)) return;
    met['cancelled-at-the-end']++;
    const id = task.slice(0, task.lastIndexOf('/')) as JobId;
    world.after(random.below(80), () => this.cancel(id));
  }

  /** Submits a job of the history when its time has come, and perhaps cancels it later. */
  submitJob(index: number): void {
    const { atS, cancelAtS, runS } = this.history.jobs[index]!;
    const spec = specOf(this.history, index);
    const { world } = this.run;
    world.runOf.set(spec.id, runS);
    world.after(atS * 1000, () =>
      this.insist({ op: 'submit', spec }, () => {
        this.poll(spec.id);
        if (cancelAtS !== null) world.after(Math.max(0, cancelAtS - atS) * 1000, () => this.cancel(spec.id));
      }),
    );
  }

  /** Cancels a job. */
  cancel(id: JobId): void {
    this.observer.onCancelRequested();
    this.insist({ op: 'cancel', id }, () => {});
  }

  /** Submits a job of one task; every fourth is cancelled. */
  submitStreamedJob(): void {
    const { world, met, random } = this.run;
    const n = this.streamedJobs++;
    const id = `run-s${n}` as JobId;
    met['one-task-stream']++;
    world.runOf.set(id, 1 + (n % 4));
    this.insist({ op: 'submit', spec: job(id) }, () => {
      this.poll(id);
      if (n % 4 === 0) world.after(random.below(3000), () => this.cancel(id));
    });
  }

  /** Submits more work than the limited team may run at once. */
  submitLimitedJob(): void {
    const id = `run-q${this.limitedJobs++}` as JobId;
    this.run.world.runOf.set(id, LIMITED_RUN_S);
    const spec = job(id, { team: LIMITED_TEAM as TeamName, tasks: 2 * LIMITED_AT_ONCE });
    this.insist({ op: 'submit', spec }, () => this.poll(id));
  }

  /**
   * Sends what can never run, what is known with other contents, and a cancellation of what nobody has
   * submitted.
   */
  sendOddRequests(): void {
    const { run } = this;
    const { world, random, met } = run;
    const submitted = [...world.jobs.values()];
    const any = submitted[random.below(Math.max(1, submitted.length))];
    const node = run.anyNode();
    const n = ++this.oddRequests;
    met['odd-requests']++;
    const odd = [
      { cpus: 99 },
      { zone: 'nowhere' as ZoneName },
      { team: 'nobody' as TeamName },
      { kind: 'gang' as const, tasks: 2, spread: true, oneZone: true },
    ][random.below(4)]!;
    world.ask(node, { op: 'submit', spec: job(`run-odd-${n}`, odd) });
    if (any === undefined) return;
    world.ask(run.anyNode(), { op: 'submit', spec: any.spec });
    world.ask(run.anyNode(), { op: 'submit', spec: { ...any.spec, ...odd, id: any.spec.id } });
    world.ask(run.anyNode(), { op: 'cancel', id: `run-none-${n}` as JobId });
  }

  /**
   * Sends a request once; `onResult` is told whether it was answered with something else than to come back
   * later.
   */
  private ask(request: UserRequest, onResult: (isAnswered: boolean) => void): void {
    const pending = this.run.world.ask(this.run.anyNode(), request);
    const waitMs = request.op === 'status' ? STATUS_RESPONSE_MS : CHANGE_RESPONSE_MS;
    this.run.world.after(waitMs, () => onResult(pending.answer !== null && pending.answer.kind !== 'retry'));
  }

  /** Repeated until it is answered, for as long as a user would. */
  private insist(
    request: UserRequest,
    onAnswered: () => void,
    until = this.run.world.now + PATIENCE_S * 1000,
  ): void {
    const { world } = this.run;
    this.ask(request, (isAnswered) => {
      if (isAnswered) onAnswered();
      else if (world.now < until) world.after(RETRY_DELAY_MS, () => this.insist(request, onAnswered, until));
    });
  }

  /** Asks for the status of a job from now on. */
  private poll(id: JobId): void {
    if (this.polledJobs.has(id)) return;
    this.polledJobs.add(id);
    const pauseMs = (POLL_INTERVAL_S - POLL_RESPONSE_S) * 1000;
    const again = (): void => this.ask({ op: 'status', id }, () => this.run.world.after(pauseMs, again));
    again();
  }

  /** Asked at all nodes within milliseconds of the news, repeated, and some of it cancelled. */
  private lookClosely(response: UserResponse): void {
    if (response.kind !== 'accepted' && response.kind !== 'ended') return;
    const { id } = response;
    const news = `${id} ${response.kind === 'ended' ? response.status : response.kind}`;
    if (this.seenNews.has(news)) return;
    this.seenNews.add(news);
    const { world, random } = this.run;
    const { spec } = world.jobs.get(id)!;
    const isCancelled = response.kind === 'accepted' && random.below(4) === 0;
    for (const ms of CLOSE_LOOKS_MS)
      world.after(ms, () => {
        for (const node of [...world.nodes.keys()]) {
          world.ask(node, { op: 'status', id });
          world.ask(node, { op: 'submit', spec });
          if (isCancelled && ms === CANCEL_AT_LOOK_MS) world.ask(node, { op: 'cancel', id });
          this.run.met['close-looks']++;
        }
      });
  }
}
